//----------------------------------------------------------------------------------------------------------------------
// spurlug: timeouts and retry delays of a relayed request
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/request_progress.h"

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

/// A silent target is checked after this multiple of the expected time; most live targets have answered by then.
constexpr double SilenceCheckFactor = 2;
constexpr auto MinSilenceCheckDelay = absl::Milliseconds(600); // Longer than the forward passes that streams tolerate.
/// If a target accepts connections but stays silent, another one is tried after the longer of these two times, as the
/// connection may be dead although the target is not: a multiple of the expected time, and a share of the time until
/// the caller abandons the request, the rest of which must be enough for the other target.
constexpr double SilenceTimeoutFactor = 4;
constexpr double CallerTimeoutShare = 0.6;
constexpr double GapTimeoutFactor = 4; // Multiple of the longest gap between events that meets the objective.
constexpr auto MinGapTimeout = absl::Milliseconds(1400); // Callers abandon a stream after 2 s of silence.
/// A target that responded to any request within this time is alive: forward passes of a busy engine are shorter.
constexpr auto AliveAfterActivity = absl::Milliseconds(700);
/// Callers abandon a stream, also before its first event, after the longest of these times (users' protocol): a fixed
/// one, a multiple of the latency objective, and a multiple of the longest gap that meets the objective.
constexpr auto MinCallerTimeout = absl::Seconds(2);
constexpr double CallerTimeoutAims = 4;
constexpr double CallerTimeoutGaps = 8;
/// Maximum share of that time that a prompt whose stream tolerates long gaps waits in this daemon, so that its caller
/// still has time to retry. Values between 0.25 and 0.75 make no difference to the number of served requests.
constexpr double LongGapsWaitShare = 0.4;
constexpr double PlainServiceTimeoutFactor
    = 2; // Multiple of the latency objective; requests to plain services are short.
constexpr auto MinPlainServiceTimeout = absl::Milliseconds(300);

} // namespace

core::Duration RequestProgress::callerTimeout() const noexcept
{
    auto timeout = std::max(core::Duration(MinCallerTimeout), m_route->latencyObjective * CallerTimeoutAims);
    if (m_route->gapObjective != absl::InfiniteDuration()) {
        timeout = std::max(timeout, m_route->gapObjective * CallerTimeoutGaps);
    }
    return timeout;
}

bool RequestProgress::hasNoTarget(core::Time now) const
{
    const bool listRead = m_context.targetsPosition.isKnown();
    return listRead && !m_mayHaveRun && m_context.targets.availableTargets(m_service, now).empty();
}

Reason RequestProgress::noTargetReason(core::Time now) const
{
    return m_context.targets.allEvacuated(m_service, now) ? Reason::DomainsEvacuated : Reason::NoTarget;
}

bool RequestProgress::waitExpired(core::Time now) const noexcept
{
    // If the request may have run or the caller has a part of the stream, it is worth waiting longer.
    if (m_mayHaveRun) {
        return false;
    }
    return now - m_arrivedAt - m_attemptTime >= maxWait();
}

core::Duration RequestProgress::maxWait() const noexcept
{
    return needsShortGaps() || !m_facts.prompt ? m_route->latencyObjective : callerTimeout() * LongGapsWaitShare;
}

std::optional<RequestProgress::Unavailability> RequestProgress::unavailability(const Target &target,
                                                                               core::Time now) const
{
    if (target.cooldown().isActive(now)) {
        return Unavailability{target.cooldown().endsAt(), Reason::TargetsCoolingDown};
    }
    if (!target.rateLimit.perSecond() || usesEngine()) {
        return std::nullopt;
    }
    const auto rate = target.rateLimit.rate();
    const LocalRateShare share(SenderRole::AnyDaemon, m_context.fleetView(now), m_context.settings.vm, target.hash);
    if (share.allowsRequest(rate, target.recentSends, now)) {
        return std::nullopt;
    }
    return Unavailability{share.nextPermitAt(rate, now), Reason::TargetsLimited};
}

std::optional<RequestProgress::Unavailability> RequestProgress::earliestAvailability(const TargetQuery &query,
                                                                                     core::Time now) const
{
    if (m_context.targets.avoidedTargets(now).empty() && !m_context.targets.anyRateLimited()) {
        return std::nullopt;
    }
    std::optional<Unavailability> first;
    for (const auto &target : m_context.targets.availableTargets(query.service, now)) {
        const bool allowed = !query.allowedTargets || contains(*query.allowedTargets, target->hash);
        if (!allowed || contains(query.excludedTargets, target->hash)) {
            continue;
        }
        const auto unavailable = unavailability(*target, now);
        if (!unavailable) {
            return std::nullopt;
        }
        if (!first || unavailable->until < first->until) {
            first = unavailable;
        }
    }
    return first;
}

std::optional<core::Time> RequestProgress::availableAt(const TargetQuery &query, core::Time now) const
{
    const auto first = earliestAvailability(query, now);
    return first ? std::optional(first->until) : std::nullopt;
}

Reason RequestProgress::unavailabilityReason(const TargetQuery &query, core::Time now) const
{
    const auto first = earliestAvailability(query, now);
    return first ? first->reason : Reason::NoCapacity;
}

bool RequestProgress::availableTooLate(core::Time availableAt, core::Time now) const noexcept
{
    if (m_mayHaveRun) {
        return availableAt >= m_deadline;
    }
    const auto waited = now - m_arrivedAt - m_attemptTime;
    return availableAt >= std::min(m_deadline, now + maxWait() - waited);
}

double RequestProgress::wakePosition() const
{
    const auto level = std::clamp<std::int64_t>(m_priority, 0, PriorityLevels - 1);
    std::uniform_real_distribution<double> uniform(0, 1);
    return (static_cast<double>(level) + uniform(m_context.random)) / PriorityLevels;
}

core::Time RequestProgress::continueAt(core::Time availableAt) const
{
    return std::min(availableAt + WakeSpread * wakePosition(), m_deadline);
}

bool RequestProgress::targetIsAlive(core::Time now) const noexcept
{
    return now - m_chosen.target->lastResponseAt < AliveAfterActivity;
}

core::Duration RequestProgress::silenceCheckDelay(const ChosenTargets &chosen, bool bodyStarted) const noexcept
{
    if (m_route->kind != config::RouteKind::Stream) {
        return silenceTimeout(chosen, bodyStarted);
    }
    const auto expected = bodyStarted ? m_route->gapObjective : chosen.expectedTtft;
    return std::min(std::max(expected * SilenceCheckFactor, core::Duration(MinSilenceCheckDelay)),
                    silenceTimeout(chosen, bodyStarted));
}

core::Duration RequestProgress::silenceTimeout(const ChosenTargets &chosen, bool bodyStarted) const noexcept
{
    if (m_route->kind != config::RouteKind::Stream) {
        return std::max(m_route->latencyObjective * PlainServiceTimeoutFactor, core::Duration(MinPlainServiceTimeout));
    }
    if (!bodyStarted) {
        return std::max(chosen.expectedTtft * SilenceTimeoutFactor, callerTimeout() * CallerTimeoutShare);
    }
    return m_route->gapObjective == absl::InfiniteDuration()
        ? m_route->gapObjective
        : std::max(m_route->gapObjective * GapTimeoutFactor, core::Duration(MinGapTimeout));
}

core::Duration RequestProgress::retryAfter(Reason reason, core::Time now) const
{
    switch (reason) {
    case Reason::Stopping:
    case Reason::StaleConfiguration:
        return RetryAfterOtherDaemon;
    case Reason::NotReady:
        return RetryAfterNotReady;
    case Reason::NoTarget:
    case Reason::DomainsEvacuated:
        return RetryAfterNoTarget;
    case Reason::TargetsCoolingDown:
    case Reason::TargetsLimited: {
        TargetQuery anyTarget; // A retry may go to targets that this request must not use any more.
        anyTarget.service = m_service;
        const auto nextAt = availableAt(anyTarget, now);
        const bool known
            = nextAt && *nextAt != absl::InfiniteFuture(); // Otherwise it may be the turn of other daemons.
        return known ? *nextAt - now + RetrySpread * wakePosition() : core::Duration(RetryAfterFull);
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
