//----------------------------------------------------------------------------------------------------------------------
// spurlug: what a target's answer means, and whether a request is sent again
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/route_table.h"
#include "spurlug/core/reason.h"
#include "spurlug/core/time.h"
#include "spurlug/relay/request_facts.h"
#include "spurlug/relay/target_health.h"

#include <optional>
#include <string>

namespace spurlug::relay
{

/// \brief What the head of an answer means for its request.
struct Verdict
{
    /// Completed: the answer may be passed on. Else how the attempt ended.
    core::Outcome outcome = core::Outcome::MayHaveRun;
    core::Reason reason = core::Reason::None;
    std::optional<TargetFault> fault; ///< What the target did wrong.
};

/// \brief Whether an answer is to this request and of the target that it was sent to: only then does it say something
/// of that target.
[[nodiscard]] bool isOwnAnswer(const AnswerFacts &answer, const std::string &requestId) noexcept;

/// \brief Whether an answer turns work away for a time that the target tells.
[[nodiscard]] bool asksForCooldown(const AnswerFacts &answer) noexcept;

/// \brief Judges the head of an answer. A target that asks this daemon for a cooldown does nothing wrong: nothing is
/// held against it at the scheduler, which places for daemons that it did not ask.
[[nodiscard]] Verdict judgeAnswer(const AnswerFacts &answer, const std::string &requestId);

/// \brief What is known of a request when an attempt has ended without an answer to pass on.
struct ResendState
{
    bool repeatable = false; ///< Whether the work may be done twice.
    bool ranSomewhere = false; ///< Some attempt may have run, the last one included.
    int targets = 0; ///< Targets that it was sent to.
    bool someRefused = false; ///< Some of them did not begin: it may go there again.
    int attempts = 0; ///< All attempts, those without a connection included.
    int mostTargets = 1; ///< Most targets the request may be sent to.
    core::Time deadline;
};

/// \brief Whether a request may be sent again, the fleet's bound on repeated sends not counted.
[[nodiscard]] bool mayResend(const ResendState &state, core::Time now) noexcept;

/// \brief Status of the relay's own last word on a request.
///
/// 503 says that the request has not run and never will: it is told only when that holds for every attempt.
[[nodiscard]] int finalStatus(bool ranSomewhere, core::Reason reason) noexcept;

} // namespace spurlug::relay
