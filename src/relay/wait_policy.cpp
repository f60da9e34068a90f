//----------------------------------------------------------------------------------------------------------------------
// spurlug: how long a request waits for a target, when it is refused and when its caller should return
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/wait_policy.h"

#include "spurlug/relay/crash_tracker.h"

#include <algorithm>

namespace spurlug::relay
{

namespace
{

using core::Reason;

constexpr auto RetryAfterOtherDaemon = absl::Milliseconds(50); // Another daemon can serve the request at once.
constexpr auto RetryAfterFull = absl::Milliseconds(100); // Slots become free several times within this time.
/// Expired target entries are back within 2 s after the directory recovers, entries of new targets sooner.
constexpr auto RetryAfterNoTarget = absl::Seconds(1);
constexpr auto RetryAfterNotReady = absl::Milliseconds(300); // A daemon reads its configuration in less time.

/// Requests that were refused while all targets were cooling down are retried spread over this time after the first
/// target accepts requests again, not all at once. If that target refuses again, only a few have reached it.
constexpr auto RetrySpread = absl::Seconds(1);
/// The same for requests that wait in this daemon; shorter, as only a part of their latency objective is left.
constexpr auto WakeSpread = absl::Milliseconds(40);
constexpr std::int64_t PriorityLevels = 4; // Number of distinguished priorities; higher ones count as the last.

/// Callers abandon a stream, also before its first event, after the longest of these times (users' protocol): a fixed
/// one, a multiple of the latency objective, and a multiple of the longest gap that meets the objective.
constexpr auto MinCallerTimeout = absl::Seconds(2);
constexpr double CallerTimeoutAims = 4;
constexpr double CallerTimeoutGaps = 8;
/// Maximum share of that time that a prompt whose stream tolerates long gaps waits in this daemon, so that its caller
/// still has time to retry. Values between 0.25 and 0.75 make no difference to the number of served requests.
constexpr double LongGapsWaitShare = 0.4;

} // namespace

core::Duration callerTimeout(core::Duration latencyObjective, core::Duration gapObjective) noexcept
{
    auto timeout = std::max(core::Duration(MinCallerTimeout), latencyObjective * CallerTimeoutAims);
    if (gapObjective != absl::InfiniteDuration()) {
        timeout = std::max(timeout, gapObjective * CallerTimeoutGaps);
    }
    return timeout;
}

core::Duration maxWait(core::Duration latencyObjective, core::Duration callerTimeout, bool toleratesLongGaps) noexcept
{
    return toleratesLongGaps ? callerTimeout * LongGapsWaitShare : latencyObjective;
}

bool waitExpired(const WaitingRequest &request, core::Time now) noexcept
{
    // If the request may have run or the caller has a part of the stream, it is worth waiting longer.
    if (request.mayHaveRun) {
        return false;
    }
    return now - request.arrivedAt - request.attemptTime >= request.maxWait;
}

bool availableTooLate(const WaitingRequest &request, core::Time availableAt, core::Time now) noexcept
{
    if (request.mayHaveRun) {
        return availableAt >= request.deadline;
    }
    const auto waited = now - request.arrivedAt - request.attemptTime;
    return availableAt >= std::min(request.deadline, now + request.maxWait - waited);
}

double wakePosition(std::int64_t priority, double fraction) noexcept
{
    const auto level = std::clamp<std::int64_t>(priority, 0, PriorityLevels - 1);
    return (static_cast<double>(level) + fraction) / PriorityLevels;
}

core::Time continueAt(const WaitingRequest &request, core::Time availableAt, double position) noexcept
{
    return std::min(availableAt + WakeSpread * position, request.deadline);
}

core::Duration retryAfter(Reason reason, std::optional<core::Time> availableAt, double position,
                          core::Time now) noexcept
{
    switch (reason) {
    case Reason::Stopping:
    case Reason::StaleConfiguration:
    case Reason::NoPath:
        return RetryAfterOtherDaemon;
    case Reason::NotReady:
        return RetryAfterNotReady;
    case Reason::NoTarget:
    case Reason::DomainsEvacuated:
        return RetryAfterNoTarget;
    case Reason::TargetsCoolingDown:
    case Reason::TargetsLimited: {
        const bool known
            = availableAt && *availableAt != absl::InfiniteFuture(); // Otherwise it may be the turn of other daemons.
        return known ? *availableAt - now + RetrySpread * position : core::Duration(RetryAfterFull);
    }
    case Reason::CrashesTargets:
        return CrashTracker::FirstTrialDelay;
    case Reason::UnknownPath:
    case Reason::MissingKey:
    case Reason::UnknownKey:
        return absl::ZeroDuration(); // A retry cannot succeed.
    default:
        return RetryAfterFull;
    }
}

} // namespace spurlug::relay
