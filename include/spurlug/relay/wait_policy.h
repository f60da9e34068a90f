//----------------------------------------------------------------------------------------------------------------------
// spurlug: how long a request waits for a target, when it is refused and when its caller should return
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/reason.h"
#include "spurlug/core/time.h"

#include <cstdint>
#include <optional>

namespace spurlug::relay
{

/// \brief What the wait of one request depends on.
struct WaitingRequest
{
    core::Time arrivedAt = absl::InfinitePast();
    core::Time deadline = absl::InfiniteFuture(); ///< Of the caller and of the route, whichever is earlier.
    core::Duration attemptTime = absl::ZeroDuration(); ///< Total duration of the ended attempts.
    core::Duration maxWait = absl::ZeroDuration(); ///< Maximum time without a target, see `maxWait`.
    bool mayHaveRun = false; ///< Whether any ended attempt may have been processed by its target.
};

/// \brief When a target accepts requests from this daemon again, and why not now.
struct Unavailability
{
    core::Time until;
    core::Reason reason;
};

/// \brief How long a caller waits for the first event before it abandons the stream.
/// \param gapObjective Infinite if the route has none.
[[nodiscard]] core::Duration callerTimeout(core::Duration latencyObjective, core::Duration gapObjective) noexcept;

/// \brief Maximum time without a target before a request that has run nowhere is refused.
/// \param toleratesLongGaps Whether it is a prompt whose stream tolerates long gaps; such prompts wait longer.
[[nodiscard]] core::Duration maxWait(core::Duration latencyObjective, core::Duration callerTimeout,
                                     bool toleratesLongGaps) noexcept;

/// \brief Whether a request without an available target should be refused now instead of waiting longer. The time
/// spent in attempts is not counted: a target that did not accept the connection says nothing about the others.
[[nodiscard]] bool waitExpired(const WaitingRequest &request, core::Time now) noexcept;

/// \brief Whether a request would be refused or reach its deadline before `availableAt`, so that waiting is pointless.
[[nodiscard]] bool availableTooLate(const WaitingRequest &request, core::Time availableAt, core::Time now) noexcept;

/// \brief Position in the order in which waiting requests continue and refused callers return, 0 to 1: by the
/// operator's priority, spread evenly within one priority.
/// \param fraction Position within the priority, 0 to 1.
[[nodiscard]] double wakePosition(std::int64_t priority, double fraction) noexcept;

/// \brief When a request that waits for `availableAt` continues: staggered by its position.
[[nodiscard]] core::Time continueAt(const WaitingRequest &request, core::Time availableAt, double position) noexcept;

/// \brief After which time a caller that is refused now should retry; 0 if a retry cannot succeed.
/// \param availableAt When the first target accepts requests again, if the reason is a limit of the targets.
/// \param position Position of the caller among those that return, see `wakePosition`.
[[nodiscard]] core::Duration retryAfter(core::Reason reason, std::optional<core::Time> availableAt, double position,
                                        core::Time now) noexcept;

} // namespace spurlug::relay
