//----------------------------------------------------------------------------------------------------------------------
// spurlug: what a target says of itself
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
    Unknown, ///< Nothing was heard of it yet.
    Serving,
    Leaving, ///< It finishes what it has and takes nothing new.
    Unreachable, ///< Its observer gets no answer.
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
        EnumName<Condition>{Condition::Leaving, "leaving"},
        EnumName<Condition>{Condition::Unreachable, "unreachable"},
    };
};

} // namespace spurlug::core

namespace spurlug::targets
{

/// \brief A target's own view of its load. It lags behind the truth.
struct LoadReport
{
    TargetCondition condition = TargetCondition::Unknown;
    std::int64_t queuedTokens = 0; ///< Prefill tokens waiting, all priorities.
    std::int64_t urgentTokens = 0; ///< Prefill tokens that a short prompt would wait for.
    std::int64_t streams = 0; ///< Requests being prefilled or decoded.
    std::int64_t maxStreams = 0; ///< Most requests at once.
    std::int64_t freeTokens = 0; ///< KV memory neither in use nor reserved, tokens.
    double prefillRate = 0; ///< Prefill tokens a second at a short context.
    bool reserved = false; ///< Some memory is reserved for a group.
};

} // namespace spurlug::targets
