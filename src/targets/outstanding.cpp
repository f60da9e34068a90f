//----------------------------------------------------------------------------------------------------------------------
// spurlug: work in progress at a target
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/targets/outstanding.h"

namespace spurlug::targets
{

Outstanding &Outstanding::operator+=(const Outstanding &other) noexcept
{
    readTokens += other.readTokens;
    requests += other.requests;
    writers += other.writers;
    parts += other.parts;
    partTokens += other.partTokens;
    memoryTokens += other.memoryTokens;
    contextTokens += other.contextTokens;
    return *this;
}

Outstanding &Outstanding::operator-=(const Outstanding &other) noexcept
{
    readTokens -= other.readTokens;
    requests -= other.requests;
    writers -= other.writers;
    parts -= other.parts;
    partTokens -= other.partTokens;
    memoryTokens -= other.memoryTokens;
    contextTokens -= other.contextTokens;
    return *this;
}

} // namespace spurlug::targets
