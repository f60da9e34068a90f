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

constexpr auto RetryAfterElsewhere = absl::Milliseconds(50); // Another daemon can serve the request at once.
constexpr auto RetryAfterFull = absl::Milliseconds(100); // Slots become free several times within this time.
/// Expired target entries are back within 2 s after the directory recovers, entries of new targets sooner.
constexpr auto RetryAfterNoTarget = absl::Seconds(1);
constexpr auto RetryAfterUnknown = absl::Milliseconds(300); // A daemon reads its configuration in less time.

/// Requests that were refused while all targets were cooling down are retried spread over this time after the first
/// target accepts requests again, not all at once. If that target refuses again, only a few have reached it.
constexpr auto ReturnSpread = absl::Seconds(1);
/// The same for requests that wait in this daemon; shorter, as only a part of their latency objective is left.
constexpr auto WakeSpread = absl::Milliseconds(40);
constexpr std::int64_t Ranks = 4; // Number of distinguished priorities; higher ones count as the last.

/// A silent target is checked after this multiple of the expected time; most live targets have answered by then.
constexpr double CheckFactor = 2;
constexpr auto LeastCheckAfter = absl::Milliseconds(600); // Longer than the forward passes that streams tolerate.
/// If a target accepts connections but stays silent, another one is tried after the longer of these two times, as the
/// connection may be dead although the target is not: a multiple of the expected time, and a share of the time until
/// the caller abandons the request, the rest of which must be enough for the other target.
constexpr double PatienceFactor = 4;
constexpr double SilenceShare = 0.6;
constexpr double GapPatienceFactor = 4; // Multiple of the longest gap between events that meets the objective.
constexpr auto LeastGapPatience = absl::Milliseconds(1400); // Callers abandon a stream after 2 s of silence.
/// A target that responded to any request within this time is alive: forward passes of a busy engine are shorter.
constexpr auto LivesWithin = absl::Milliseconds(700);
/// Callers abandon a stream, also before its first event, after the longest of these times (users' protocol): a fixed
/// one, a multiple of the latency objective, and a multiple of the longest gap that meets the objective.
constexpr auto LeastCallerPatience = absl::Seconds(2);
constexpr double CallerPatienceAims = 4;
constexpr double CallerPatienceGaps = 8;
/// Maximum share of that time that a prompt whose stream tolerates long gaps waits in this daemon, so that its caller
/// still has time to retry. Values between 0.25 and 0.75 make no difference to the number of served requests.
constexpr double LooseWaitShare = 0.4;
constexpr double PlainPatienceFactor = 2; // Multiple of the latency objective; requests to plain services are short.
constexpr auto LeastPlainPatience = absl::Milliseconds(300);

} // namespace

core::Duration RequestProgress::callerPatience() const noexcept
{
    auto patience = std::max(core::Duration(LeastCallerPatience), m_route->aim * CallerPatienceAims);
    if (m_route->gapAim != absl::InfiniteDuration()) {
        patience = std::max(patience, m_route->gapAim * CallerPatienceGaps);
    }
    return patience;
}

bool RequestProgress::hasNoTarget(core::Time now) const
{
    const bool listRead = m_context.targetsPosition.known();
    return listRead && !m_ranSomewhere && m_context.targets.listed(m_service, now).empty();
}

Reason RequestProgress::whyNoTarget(core::Time now) const
{
    return m_context.targets.allEvacuated(m_service, now) ? Reason::DomainsEvacuated : Reason::NoTarget;
}

bool RequestProgress::waitedEnough(core::Time now) const noexcept
{
    // If the request may have run or the caller has a part of the stream, it is worth waiting longer.
    if (m_ranSomewhere) {
        return false;
    }
    return now - m_arrivedAt - m_atTargets >= longestWait();
}

core::Duration RequestProgress::longestWait() const noexcept
{
    return isTight() || !m_facts.prompt ? m_route->aim : callerPatience() * LooseWaitShare;
}

std::optional<RequestProgress::Away> RequestProgress::away(const Target &target, core::Time now) const
{
    if (target.cooldown().lasts(now)) {
        return Away{target.cooldown().until(), Reason::TargetsCoolingDown};
    }
    if (!target.rateLimit.perSecond() || atEngine()) {
        return std::nullopt;
    }
    const auto rate = target.rateLimit.rate();
    const RateShare share(RateGiver::Everybody, m_context.fleetKnowledge(now), m_context.settings.vm, target.hash);
    if (share.takesOne(rate, target.recentSends, now)) {
        return std::nullopt;
    }
    return Away{share.nextTurn(rate, now), Reason::TargetsLimited};
}

std::optional<RequestProgress::Away> RequestProgress::firstBack(const TargetQuery &query, core::Time now) const
{
    if (m_context.targets.unwantedHere(now).empty() && !m_context.targets.someLimited()) {
        return std::nullopt;
    }
    std::optional<Away> first;
    for (const auto &target : m_context.targets.listed(query.service, now)) {
        const bool wanted = !query.onlyAt || contains(*query.onlyAt, target->hash);
        if (!wanted || contains(query.notAt, target->hash)) {
            continue;
        }
        const auto isAway = away(*target, now);
        if (!isAway) {
            return std::nullopt;
        }
        if (!first || isAway->until < first->until) {
            first = isAway;
        }
    }
    return first;
}

std::optional<core::Time> RequestProgress::backAt(const TargetQuery &query, core::Time now) const
{
    const auto first = firstBack(query, now);
    return first ? std::optional(first->until) : std::nullopt;
}

Reason RequestProgress::whyAway(const TargetQuery &query, core::Time now) const
{
    const auto first = firstBack(query, now);
    return first ? first->why : Reason::NoCapacity;
}

bool RequestProgress::backTooLate(core::Time backAt, core::Time now) const noexcept
{
    if (m_ranSomewhere) {
        return backAt >= m_deadline;
    }
    const auto waited = now - m_arrivedAt - m_atTargets;
    return backAt >= std::min(m_deadline, now + longestWait() - waited);
}

double RequestProgress::placeInOrder() const
{
    const auto rank = std::clamp<std::int64_t>(m_priority, 0, Ranks - 1);
    std::uniform_real_distribution<double> draw(0, 1);
    return (static_cast<double>(rank) + draw(m_context.random)) / Ranks;
}

core::Time RequestProgress::wakeAt(core::Time backAt) const
{
    return std::min(backAt + WakeSpread * placeInOrder(), m_deadline);
}

bool RequestProgress::targetLives(core::Time now) const noexcept
{
    return now - m_current.target->heardAt < LivesWithin;
}

core::Duration RequestProgress::patience(const ChosenTargets &chosen, bool answering) const noexcept
{
    if (m_route->kind != config::RouteKind::Stream) {
        return longestSilence(chosen, answering);
    }
    const auto usual = answering ? m_route->gapAim : chosen.expected;
    return std::min(std::max(usual * CheckFactor, core::Duration(LeastCheckAfter)), longestSilence(chosen, answering));
}

core::Duration RequestProgress::longestSilence(const ChosenTargets &chosen, bool answering) const noexcept
{
    if (m_route->kind != config::RouteKind::Stream) {
        return std::max(m_route->aim * PlainPatienceFactor, core::Duration(LeastPlainPatience));
    }
    if (!answering) {
        return std::max(chosen.expected * PatienceFactor, callerPatience() * SilenceShare);
    }
    return m_route->gapAim == absl::InfiniteDuration()
        ? m_route->gapAim
        : std::max(m_route->gapAim * GapPatienceFactor, core::Duration(LeastGapPatience));
}

core::Duration RequestProgress::retryAfter(Reason reason, core::Time now) const
{
    switch (reason) {
    case Reason::Stopping:
    case Reason::StaleConfiguration:
        return RetryAfterElsewhere;
    case Reason::NotReady:
        return RetryAfterUnknown;
    case Reason::NoTarget:
    case Reason::DomainsEvacuated:
        return RetryAfterNoTarget;
    case Reason::TargetsCoolingDown:
    case Reason::TargetsLimited: {
        TargetQuery anyTarget; // A retry may go to targets that this request must not use any more.
        anyTarget.service = m_service;
        const auto back = backAt(anyTarget, now);
        const bool known = back && *back != absl::InfiniteFuture(); // Otherwise it may be the turn of other daemons.
        return known ? *back - now + ReturnSpread * placeInOrder() : core::Duration(RetryAfterFull);
    }
    case Reason::CrashesTargets:
        return CrashLedger::FirstTrialAfter;
    case Reason::UnknownPath:
    case Reason::MissingKey:
    case Reason::UnknownKey:
        return absl::ZeroDuration(); // A retry cannot succeed.
    default:
        return RetryAfterFull;
    }
}

} // namespace spurlug::relay
