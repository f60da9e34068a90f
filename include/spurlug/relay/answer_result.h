//----------------------------------------------------------------------------------------------------------------------
// spurlug: evaluates answers of targets and decides whether a request may be retried
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/route_table.h"
#include "spurlug/core/reason.h"
#include "spurlug/core/time.h"
#include "spurlug/relay/request_info.h"
#include "spurlug/relay/target_health.h"

#include <optional>
#include <string>

namespace spurlug::relay
{

/// \brief Result of evaluating the head of an answer.
struct AnswerResult
{
    /// Completed if the answer may be passed on; otherwise the outcome of the attempt.
    core::Outcome outcome = core::Outcome::MayHaveRun;
    core::Reason reason = core::Reason::None;
    std::optional<TargetFault> fault; ///< What the target did wrong, if anything.
};

/// \brief Whether an answer belongs to this request and comes from the expected target. Only then do its headers apply
/// to that target.
[[nodiscard]] bool isOwnAnswer(const AnswerInfo &answer, const std::string &requestId) noexcept;

/// \brief Whether a target refuses requests (status 429 or 503) for a time that the answer states.
[[nodiscard]] bool asksForCooldown(const AnswerInfo &answer) noexcept;

/// \brief Evaluates the head of an answer. A request for a cooldown that states that the work did not start is not a
/// fault: no fault is reported to the scheduler, which also places requests of daemons that the target did not ask.
[[nodiscard]] AnswerResult evaluateAnswer(const AnswerInfo &answer, const std::string &requestId);

/// \brief State of a request after an attempt without an answer to pass on; decides about a retry.
struct RetryConditions
{
    bool repeatable = false; ///< Whether the request may be processed twice.
    bool mayHaveRun = false; ///< Any attempt, including the last one, may have been processed.
    int targetCount = 0; ///< Number of targets that the request was sent to.
    bool anyRefused = false; ///< Some of them did not start processing it, so it may be sent there again.
    int attempts = 0; ///< Number of attempts, including those without a connection.
    int maxTargets = 1; ///< Maximum number of targets that the request may be sent to.
    core::Time deadline;
};

/// \brief Whether a request may be retried, apart from the fleet-wide retry budget.
[[nodiscard]] bool mayRetry(const RetryConditions &state, core::Time now) noexcept;

/// \brief HTTP status of the relay's final error answer.
///
/// 503 promises that the request has not run and never will, so it is used only if that is true for every attempt.
[[nodiscard]] int finalStatus(bool mayHaveRun, core::Reason reason) noexcept;

} // namespace spurlug::relay
