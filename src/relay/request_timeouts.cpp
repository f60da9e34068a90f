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

/// A silent target is checked after this multiple of the expected time; most live targets have answered by then.
constexpr double SilenceCheckFactor = 2;
constexpr auto MinSilenceCheckDelay = absl::Milliseconds(600); // Longer than the forward passes that streams tolerate.
/// If a target accepts connections but stays silent, another one is tried after the longer of these two times, as the
/// connection may be dead although the target is not: a multiple of the expected time, and a share of the time until
/// the caller abandons the request, the rest of which must be enough for the other target.
constexpr double SilenceTimeoutFactor = 4;
constexpr double CallerTimeoutShare = 0.6;
/// With target feedback, the expected time contains the observed speed, up to 16. These shares of the time until the
/// caller abandons the request limit what it adds, so that a hung engine is still detected before that.
constexpr double MaxSilenceCheckShare = 0.25;
constexpr double MaxExpectedShare = 0.5;
constexpr double GapTimeoutFactor = 4; // Multiple of the longest gap between events that meets the objective.
constexpr auto MinGapTimeout = absl::Milliseconds(1400); // Callers abandon a stream after 2 s of silence.
/// A target that responded to any request within this time is alive: forward passes of a busy engine are shorter.
constexpr auto AliveAfterActivity = absl::Milliseconds(700);
constexpr double PlainServiceTimeoutFactor
    = 2; // Multiple of the latency objective; requests to plain services are short.
constexpr auto MinPlainServiceTimeout = absl::Milliseconds(300);
/// Requests that an engine starts meanwhile, and the prompts that it reads, make an answer take longer than published.
constexpr double DecodeTimeFactor = 1.5;

} // namespace

core::Duration RequestProgress::callerTimeout() const noexcept
{
    return relay::callerTimeout(m_route->latencyObjective, m_route->gapObjective);
}

core::Duration RequestProgress::expectedDuration(const ChosenTargets *chosen) const
{
    const auto *spec = m_table->serviceNamed(m_service);
    if (spec == nullptr || !spec->engine || !m_facts.prompt) {
        return m_route->latencyObjective;
    }
    const auto &costs = *spec->engine;
    const auto &prompt = *m_facts.prompt;
    auto first = std::min(absl::Milliseconds(prefillPartMs(costs, prompt.promptTokens, 1)), m_route->latencyObjective);
    auto pass = absl::ZeroDuration();
    if (chosen != nullptr) {
        first = chosen->expectedTtft;
        pass = chosen->published.pass;
    }
    if (pass == absl::ZeroDuration()) {
        Outstanding load;
        load.decodingRequests = 1;
        load.decodingContextTokens = prompt.promptTokens;
        pass = absl::Milliseconds(decodePassMs(costs, load));
    }
    const auto usualTokens = costs.meanAnswerTokens > 0 ? costs.meanAnswerTokens : prompt.maxAnswerTokens;
    const auto answerTokens = static_cast<double>(std::min(usualTokens, prompt.maxAnswerTokens));
    return first + pass * (answerTokens / std::max(costs.stepsPerPass, 1) * DecodeTimeFactor);
}

core::Time RequestProgress::latestStart(const ChosenTargets *chosen) const
{
    return m_context.shutdown.latestStart(expectedDuration(chosen));
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

WaitingRequest RequestProgress::waitingRequest() const noexcept
{
    const bool toleratesLongGaps = !needsShortGaps() && m_facts.prompt.has_value();
    WaitingRequest request;
    request.arrivedAt = m_arrivedAt;
    request.deadline = m_deadline;
    request.attemptTime = m_attemptTime;
    request.maxWait = maxWait(m_route->latencyObjective, callerTimeout(), toleratesLongGaps);
    request.mayHaveRun = m_mayHaveRun;
    return request;
}

bool RequestProgress::waitExpired(core::Time now, bool heldByScheduler) const noexcept
{
    auto request = waitingRequest();
    if (heldByScheduler && m_context.features().admission) {
        request.attemptTime = absl::ZeroDuration();
        request.maxWait = callerTimeout();
    }
    return relay::waitExpired(request, now);
}

void RequestProgress::recordRefusal(core::Duration retryAfter) noexcept
{
    m_refusalRetryAfter = retryAfter;
}

std::optional<Unavailability> RequestProgress::unavailability(const Target &target, core::Time now) const
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

std::optional<Unavailability> RequestProgress::earliestAvailability(const TargetQuery &query, core::Time now) const
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
    return relay::availableTooLate(waitingRequest(), availableAt, now);
}

double RequestProgress::drawWakePosition() const
{
    std::uniform_real_distribution<double> uniform(0, 1);
    return wakePosition(m_priority, uniform(m_context.random));
}

core::Time RequestProgress::continueAt(core::Time availableAt) const
{
    return relay::continueAt(waitingRequest(), availableAt, drawWakePosition());
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
    auto delay = (bodyStarted ? m_route->gapObjective : chosen.expectedTtft) * SilenceCheckFactor;
    if (!bodyStarted && m_context.features().targetFeedback) {
        delay = std::min(delay, callerTimeout() * MaxSilenceCheckShare);
    }
    return std::min(std::max(delay, core::Duration(MinSilenceCheckDelay)), silenceTimeout(chosen, bodyStarted));
}

core::Duration RequestProgress::silenceTimeout(const ChosenTargets &chosen, bool bodyStarted) const noexcept
{
    if (m_route->kind != config::RouteKind::Stream) {
        return std::max(m_route->latencyObjective * PlainServiceTimeoutFactor, core::Duration(MinPlainServiceTimeout));
    }
    if (!bodyStarted) {
        auto expected = chosen.expectedTtft * SilenceTimeoutFactor;
        if (m_context.features().targetFeedback) {
            expected = std::min(expected, callerTimeout() * MaxExpectedShare);
        }
        return std::max(expected, callerTimeout() * CallerTimeoutShare);
    }
    return m_route->gapObjective == absl::InfiniteDuration()
        ? m_route->gapObjective
        : std::max(m_route->gapObjective * GapTimeoutFactor, core::Duration(MinGapTimeout));
}

core::Duration RequestProgress::retryAfter(Reason reason, core::Time now) const
{
    if (reason == Reason::PredictedLate) {
        return m_refusalRetryAfter;
    }
    if (reason != Reason::TargetsCoolingDown && reason != Reason::TargetsLimited) {
        return relay::retryAfter(reason, std::nullopt, 0, now);
    }
    TargetQuery anyTarget; // A retry may go to targets that this request must not use any more.
    anyTarget.service = m_service;
    return relay::retryAfter(reason, availableAt(anyTarget, now), drawWakePosition(), now);
}

} // namespace spurlug::relay
