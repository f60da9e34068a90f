//----------------------------------------------------------------------------------------------------------------------
// spurlug: what the order of waiting requests depends on
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <cstdint>

namespace spurlug::overload
{

/// \brief A waiting request as seen by the decisions about the order.
struct QueueItem
{
    int priority = 0; ///< Set by the operator; 0 is the most urgent.
    bool late = false; ///< Whether its first event can no longer come within the objective.
    bool returnsOnTime = false; ///< Whether its caller returned at the time of its `Retry-After`.
    bool shortGaps = true; ///< Whether its stream tolerates only short gaps.
    std::uint32_t organisation = 0; ///< Hash of the name; 0 if there is none.
    double costMs = 0; ///< Engine time that it needs, ms.
    core::Duration slack = absl::ZeroDuration(); ///< Time that it can wait and still be in time.
};

} // namespace spurlug::overload
