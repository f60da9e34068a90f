//----------------------------------------------------------------------------------------------------------------------
// spurlug: a target's condition and load
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/enum_names.h"

#include <cstdint>

namespace spurlug::targets
{

/// \brief Whether a target may get new work.
enum class TargetCondition
{
    Unknown, ///< No report has been received yet.
    Serving,
    Draining, ///< It finishes its requests and accepts no new ones.
    Unreachable, ///< It does not answer its observer.
};

} // namespace spurlug::targets

namespace spurlug::core
{

template<>
struct EnumNames<targets::TargetCondition>
{
    using Condition = targets::TargetCondition;
    static constexpr std::array table{
        EnumName<Condition>{Condition::Unknown, "unknown"},
        EnumName<Condition>{Condition::Serving, "serving"},
        EnumName<Condition>{Condition::Draining, "leaving"},
        EnumName<Condition>{Condition::Unreachable, "unreachable"},
    };
};

} // namespace spurlug::core

namespace spurlug::targets
{

/// \brief Load as reported by a target; it lags behind the actual load.
struct LoadReport
{
    TargetCondition condition = TargetCondition::Unknown;
    std::int64_t queuedTokens = 0; ///< Queued prefill tokens of all priorities.
    std::int64_t urgentTokens = 0; ///< Prefill tokens that would be processed before a new short prompt.
    std::int64_t streams = 0; ///< Requests in prefill or decode.
    std::int64_t maxStreams = 0; ///< Maximum number of concurrent requests.
    std::int64_t freeTokens = 0; ///< Tokens of KV memory that are neither in use nor reserved.
    double prefillRate = 0; ///< Prefill tokens per second at a short context.
    bool reserved = false; ///< Whether any memory is reserved for a group.
};

} // namespace spurlug::targets
