//----------------------------------------------------------------------------------------------------------------------
// spurlug: evaluates answers of targets and decides whether a request may be retried
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/verdict.h"

#include "spurlug/core/http_status.h"

namespace spurlug::relay
{

namespace
{

using core::Outcome;
using core::Reason;
using namespace core::http_status;

constexpr int MostAttempts = 8; // Includes attempts without a connection.
constexpr auto LeastTimeLeft = absl::Milliseconds(5); // With less time left, no target can answer.

/// Whether a status tells the caller that its request has not run and never will.
bool promisesNotRun(int status)
{
    return status == RequestTimeout || status == Misdirected || status == TooManyRequests || status == Unavailable;
}

} // namespace

bool isOwnAnswer(const AnswerFacts &answer, const std::string &requestId) noexcept
{
    return answer.requestId == requestId && !answer.wrongTarget;
}

bool asksForCooldown(const AnswerFacts &answer) noexcept
{
    const bool turnedAway = answer.status == Unavailable || answer.status == TooManyRequests;
    return turnedAway && answer.retryAfter && *answer.retryAfter > absl::ZeroDuration();
}

Verdict judgeAnswer(const AnswerFacts &answer, const std::string &requestId)
{
    if (answer.requestId != requestId) {
        return {Outcome::MayHaveRun, Reason::TargetFailed, TargetFault::Garbled};
    }
    if (answer.notRun) {
        const auto fault = asksForCooldown(answer) ? std::nullopt : std::optional(TargetFault::Busy);
        return {Outcome::NotRun, Reason::TargetRefused, fault};
    }
    const bool success = answer.status >= Ok && answer.status < FirstRedirect;
    if (answer.encoded || (success && !answer.hasSignature)) {
        return {Outcome::MayHaveRun, Reason::TargetFailed, TargetFault::Garbled};
    }
    if (promisesNotRun(answer.status)) {
        // The status promises it, but the header that confirms it is missing, so the caller must not be promised it.
        return {Outcome::MayHaveRun, Reason::TargetFailed, TargetFault::Error};
    }
    const auto fault
        = answer.status >= FirstServerError ? std::optional(TargetFault::Error) : std::optional<TargetFault>();
    return {Outcome::Completed, Reason::None, fault};
}

bool mayResend(const ResendState &state, core::Time now) noexcept
{
    if (state.ranSomewhere && !state.repeatable) {
        return false;
    }
    const bool somewhereToGo = state.targets < state.mostTargets || state.someRefused;
    return somewhereToGo && state.attempts < MostAttempts && state.deadline - now > LeastTimeLeft;
}

int finalStatus(bool ranSomewhere, core::Reason reason) noexcept
{
    if (!ranSomewhere) {
        return Unavailable;
    }
    return reason == Reason::DeadlinePassed ? GatewayTimeout : BadGateway;
}

} // namespace spurlug::relay
