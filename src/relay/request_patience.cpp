//----------------------------------------------------------------------------------------------------------------------
// spurlug: how long a relayed request waits for what
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/request_progress.h"

#include <algorithm>

namespace spurlug::relay
{

namespace
{

using core::Reason;

constexpr auto RetryAfterElsewhere = absl::Milliseconds(50); // Another daemon can serve at once.
constexpr auto RetryAfterFull = absl::Milliseconds(100); // A slot falls free several times in this time.
/// Entries of targets that lapsed are back within 2 s of the directory's return, those of new ones sooner.
constexpr auto RetryAfterNoTarget = absl::Seconds(1);
constexpr auto RetryAfterUnknown = absl::Milliseconds(300); // A daemon reads its configuration in less.

/// Silence after which a target is checked, in terms of what was expected; a live one has answered by then mostly.
constexpr double CheckFactor = 2;
constexpr auto LeastCheckAfter = absl::Milliseconds(600); // Longer than the passes that streams bear.
/// Silence of a target that takes connections until another one is tried: the connection may be dead though the target
/// is not. In terms of what was expected, and of the caller's patience: the rest must do for the other target.
constexpr double PatienceFactor = 4;
constexpr double SilenceShare = 0.6;
constexpr double GapPatienceFactor = 4; // Of the longest pause that counts as in time.
constexpr auto LeastGapPatience = absl::Milliseconds(1400); // Callers leave a stream after two seconds of silence.
/// A target that answered any request within this is alive: passes of a busy engine are shorter.
constexpr auto LivesWithin = absl::Milliseconds(700);
/// Callers leave a stream, also before its first event, after the longest of these (the users' protocol).
constexpr auto LeastCallerPatience = absl::Seconds(2);
constexpr double CallerPatienceAims = 4;
constexpr double CallerPatienceGaps = 8;
/// Part of that which a request with a long prompt waits here at most: its caller still has the time to come back.
/// Between 0.25 and 0.75 it makes no difference to what is served.
constexpr double LooseWaitShare = 0.4;
constexpr double PlainPatienceFactor = 2; // Of the aim; work of plain services is short.
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
    const bool listRead = m_context.targetsRevision > 0;
    return listRead && !m_ranSomewhere && m_context.targets.listed(m_service, now).empty();
}

bool RequestProgress::waitedEnough(core::Time now) const noexcept
{
    // A stream that the caller has begun to read, or work that may have run, is worth waiting for.
    if (m_ranSomewhere) {
        return false;
    }
    const auto longest = isTight() || !m_facts.prompt ? m_route->aim : callerPatience() * LooseWaitShare;
    return now - m_arrivedAt - m_atTargets >= longest;
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

core::Duration RequestProgress::retryAfter(Reason reason) const noexcept
{
    switch (reason) {
    case Reason::Stopping:
    case Reason::StaleConfiguration:
        return RetryAfterElsewhere;
    case Reason::NotReady:
        return RetryAfterUnknown;
    case Reason::NoTarget:
        return RetryAfterNoTarget;
    case Reason::CrashesTargets:
        return CrashLedger::FirstTrialAfter;
    case Reason::UnknownPath:
    case Reason::MissingKey:
    case Reason::UnknownKey:
        return absl::ZeroDuration(); // Coming back will not help.
    default:
        return RetryAfterFull;
    }
}

} // namespace spurlug::relay
