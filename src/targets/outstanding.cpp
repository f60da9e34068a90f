//----------------------------------------------------------------------------------------------------------------------
// spurlug: work in progress at a target
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/targets/outstanding.h"

#include <initializer_list>

namespace spurlug::targets
{

Outstanding &Outstanding::operator+=(const Outstanding &other) noexcept
{
    readMicros += other.readMicros;
    partMicros += other.partMicros;
    requests += other.requests;
    writers += other.writers;
    tightRequests += other.tightRequests;
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
    tightRequests -= other.tightRequests;
    parts -= other.parts;
    memoryTokens -= other.memoryTokens;
    contextTokens -= other.contextTokens;
    return *this;
}

Outstanding &Outstanding::operator*=(double factor) noexcept
{
    for (auto *field :
         {&readMicros, &partMicros, &requests, &writers, &tightRequests, &parts, &memoryTokens, &contextTokens}) {
        *field = static_cast<std::int64_t>(static_cast<double>(*field) * factor);
    }
    return *this;
}

} // namespace spurlug::targets
