//----------------------------------------------------------------------------------------------------------------------
// spurlug: work in progress at a target
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>

namespace spurlug::targets
{

/// \brief Work in progress at a target, of one request, one daemon or all daemons.
struct Outstanding
{
    std::int64_t prefillMicros = 0; ///< Remaining prefill time of the prompts of its own requests, us.
    std::int64_t partPrefillMicros
        = 0; ///< The same of prompt parts for other targets, which precede its own prompts, us.
    std::int64_t requests = 0; ///< Requests that the target answers, in prefill or decode.
    std::int64_t decodingRequests = 0; ///< Of these, the ones in decode.
    std::int64_t shortGapRequests = 0; ///< Of `requests`, the ones whose streams tolerate only short gaps.
    std::int64_t longGapRequests = 0; ///< Of `requests`, the ones that tolerate the longest gaps of their service.
    std::int64_t prefillParts = 0; ///< Prompt parts being prefilled for other targets.
    std::int64_t memoryTokens = 0; ///< Maximum KV memory that the work may need.
    std::int64_t decodingContextTokens = 0; ///< Total context of the requests in decode.

    Outstanding &operator+=(const Outstanding &other) noexcept;
    Outstanding &operator-=(const Outstanding &other) noexcept;
    Outstanding &operator*=(double factor) noexcept;
    [[nodiscard]] bool operator==(const Outstanding &) const = default;
};

/// \brief One daemon's work at one target, as reported to other daemons.
struct TargetWork
{
    std::uint32_t target = 0; ///< relay::incarnationHash of the target.
    Outstanding work;
    std::int64_t prefillDueMicros = 0; ///< Time from the report until its prefill should be complete, us.
};

} // namespace spurlug::targets
