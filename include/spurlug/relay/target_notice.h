//----------------------------------------------------------------------------------------------------------------------
// spurlug: processing of the notices that targets attach to their responses
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/relay/context.h"
#include "spurlug/relay/request_info.h"
#include "spurlug/relay/target_set.h"
#include "spurlug/targets/rate_report.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace spurlug::relay
{

/// \brief Processes the notices in the head of a target's response. The caller has checked that the response belongs to
/// this request. A response from another target at the same address ends the target's incarnation.
/// \param request Id of the answered request or reservation, for logging.
void applyTargetNotice(RelayContext &context, Target &target, const AnswerInfo &answer, std::string_view request,
                       core::Time now);

/// \brief Notes that a target is warming up for a while, as announced by its entry or a response, or assumed when its
/// evacuation ends.
/// \param from Source of the notice, for logging.
void noteWarmUp(RelayContext &context, Target &target, core::Duration span, std::string_view from, core::Time now);

/// \brief Notes the request rate that a target accepts from the whole fleet.
/// \param perSecond std::nullopt if the limit was lifted.
/// \param from Source of the notice, for logging.
void noteRateLimit(Target &target, std::optional<double> perSecond, core::Time announcedAt, std::string_view from);

/// \brief Lifts the limit of a target whose response names none. Responses to requests that were sent before the limit
/// was announced are ignored.
void noteLimitLifted(Target &target, const AnswerInfo &answer, core::Time requestSentAt, core::Time now);

/// \brief Applies the rate limits of targets that a peer reported.
void applyRateReports(RelayContext &context, const std::vector<targets::RateReport> &reports, std::string_view peer,
                      core::Time now);

/// \brief Rate limits to report to peers, including those that were lifted recently.
/// \returns At most the given number of entries, newest first.
[[nodiscard]] std::vector<targets::RateReport> rateReports(const RelayContext &context, std::size_t maxCount,
                                                           core::Time now);

/// \brief Marks the incarnation of a target as ended and notifies its watchers.
/// \param proof What showed that it ended, for logging.
void endIncarnation(RelayContext &context, Target &target, std::string_view proof);

/// \brief Processes a peer's report of targets that are shutting down, given by the hashes of their incarnations.
void applyDrainingReports(RelayContext &context, const std::vector<std::uint32_t> &drainingHashes,
                          std::string_view peer);

/// \brief Hashes of targets to report to peers as shutting down because their entries do not say so yet.
/// \returns At most the given number of entries, a new random selection on each call.
[[nodiscard]] std::vector<std::uint32_t> drainingReports(RelayContext &context, std::size_t maxCount);

} // namespace spurlug::relay
