//----------------------------------------------------------------------------------------------------------------------
// spurlug: evaluates answers of targets and decides whether a request may be retried
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/answer_result.h"

#include "spurlug/core/http_status.h"

namespace spurlug::relay
{

namespace
{

using core::Outcome;
using core::Reason;
using namespace core::http_status;

constexpr int MaxAttempts = 8; // Includes attempts without a connection.
constexpr auto MinTimeLeft = absl::Milliseconds(5); // With less time left, no target can answer.

/// Whether a status tells the caller that its request has not run and never will.
bool promisesNotRun(int status)
{
    return status == RequestTimeout || status == MisdirectedRequest || status == TooManyRequests
        || status == ServiceUnavailable;
}

} // namespace

bool isOwnAnswer(const AnswerInfo &answer, const std::string &requestId) noexcept
{
    return answer.requestId == requestId && !answer.wrongTarget;
}

bool asksForCooldown(const AnswerInfo &answer) noexcept
{
    const bool isRefusal = answer.status == ServiceUnavailable || answer.status == TooManyRequests;
    return isRefusal && answer.retryAfter && *answer.retryAfter > absl::ZeroDuration();
}

AnswerResult evaluateAnswer(const AnswerInfo &answer, const std::string &requestId)
{
    if (answer.requestId != requestId) {
        return {Outcome::MayHaveRun, Reason::TargetFailed, TargetFault::MalformedResponse};
    }
    if (answer.notRun) {
        const auto fault = asksForCooldown(answer) ? std::nullopt : std::optional(TargetFault::Busy);
        return {Outcome::NotRun, Reason::TargetRefused, fault};
    }
    const bool success = answer.status >= Ok && answer.status < FirstRedirect;
    if (answer.hasContentEncoding || (success && !answer.hasSignature)) {
        return {Outcome::MayHaveRun, Reason::TargetFailed, TargetFault::MalformedResponse};
    }
    if (promisesNotRun(answer.status)) {
        // The status promises it, but the header that confirms it is missing, so the caller must not be promised it.
        return {Outcome::MayHaveRun, Reason::TargetFailed, TargetFault::ErrorResponse};
    }
    const auto fault
        = answer.status >= FirstServerError ? std::optional(TargetFault::ErrorResponse) : std::optional<TargetFault>();
    return {Outcome::Completed, Reason::None, fault};
}

bool mayRetry(const RetryConditions &state, core::Time now) noexcept
{
    if (state.mayHaveRun && !state.repeatable) {
        return false;
    }
    const bool targetLeft = state.targetCount < state.maxTargets || state.anyRefused;
    return targetLeft && state.attempts < MaxAttempts && state.deadline - now > MinTimeLeft;
}

int finalStatus(bool mayHaveRun, core::Reason reason) noexcept
{
    if (!mayHaveRun) {
        return ServiceUnavailable;
    }
    return reason == Reason::DeadlinePassed ? GatewayTimeout : BadGateway;
}

} // namespace spurlug::relay
