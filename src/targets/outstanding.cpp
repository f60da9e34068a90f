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
    prefillMicros += other.prefillMicros;
    partPrefillMicros += other.partPrefillMicros;
    requests += other.requests;
    decodingRequests += other.decodingRequests;
    shortGapRequests += other.shortGapRequests;
    longGapRequests += other.longGapRequests;
    prefillParts += other.prefillParts;
    memoryTokens += other.memoryTokens;
    decodingContextTokens += other.decodingContextTokens;
    return *this;
}

Outstanding &Outstanding::operator-=(const Outstanding &other) noexcept
{
    prefillMicros -= other.prefillMicros;
    partPrefillMicros -= other.partPrefillMicros;
    requests -= other.requests;
    decodingRequests -= other.decodingRequests;
    shortGapRequests -= other.shortGapRequests;
    longGapRequests -= other.longGapRequests;
    prefillParts -= other.prefillParts;
    memoryTokens -= other.memoryTokens;
    decodingContextTokens -= other.decodingContextTokens;
    return *this;
}

Outstanding &Outstanding::operator*=(double factor) noexcept
{
    for (auto *field : {&prefillMicros, &partPrefillMicros, &requests, &decodingRequests, &shortGapRequests,
                        &longGapRequests, &prefillParts, &memoryTokens, &decodingContextTokens}) {
        *field = static_cast<std::int64_t>(static_cast<double>(*field) * factor);
    }
    return *this;
}

} // namespace spurlug::targets
