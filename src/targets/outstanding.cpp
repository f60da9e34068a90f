//----------------------------------------------------------------------------------------------------------------------
// spurlug: work in progress at a target
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/targets/outstanding.h"

namespace spurlug::targets
{

Outstanding &Outstanding::operator+=(const Outstanding &other) noexcept
{
    readMicros += other.readMicros;
    partMicros += other.partMicros;
    requests += other.requests;
    writers += other.writers;
    tightWriters += other.tightWriters;
    parts += other.parts;
    memoryTokens += other.memoryTokens;
    contextTokens += other.contextTokens;
    return *this;
}

Outstanding &Outstanding::operator-=(const Outstanding &other) noexcept
{
    readMicros -= other.readMicros;
    partMicros -= other.partMicros;
    requests -= other.requests;
    writers -= other.writers;
    tightWriters -= other.tightWriters;
    parts -= other.parts;
    memoryTokens -= other.memoryTokens;
    contextTokens -= other.contextTokens;
    return *this;
}

} // namespace spurlug::targets
