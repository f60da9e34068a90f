//----------------------------------------------------------------------------------------------------------------------
// spurlug: what targets say of themselves beside their answers
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/relay/context.h"
#include "spurlug/relay/request_facts.h"
#include "spurlug/relay/target_set.h"
#include "spurlug/targets/rate_news.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace spurlug::relay
{

/// \brief Takes what the head of an answer says of its target. The caller has checked that the answer is the target's
/// own: not one to another request. An answer of whoever has the address now says that the target's life is over.
/// \param request Id of the request or the reservation that it answers, for the log.
void takeTargetNotice(RelayContext &context, Target &target, const AnswerFacts &answer, std::string_view request,
                      core::Time now);

/// \brief Notes that a target is slow for a while: its entry, an answer or its return from an evacuation says so.
/// \param from Who said it, for the log.
void noteCold(RelayContext &context, Target &target, core::Duration span, std::string_view from, core::Time now);

/// \brief Notes which request rate a target takes from the whole fleet.
/// \param perSecond Nothing: it has no limit any more.
/// \param from Who said it, for the log.
void noteRateLimit(Target &target, std::optional<double> perSecond, core::Time saidAt, std::string_view from);

/// \brief Notes that a target has no limit any more, where its answer names none. An answer to a request that was sent
/// before the limit was named says nothing of it.
void noteUnlimited(Target &target, const AnswerFacts &answer, core::Time requestSentAt, core::Time now);

/// \brief Takes what a peer tells of the rates that targets take.
void takeRateNews(RelayContext &context, const std::vector<targets::RateNews> &news, std::string_view peer,
                  core::Time now);

/// \brief Rates that peers should be told of: limits, and those that ended of late.
/// \returns `most` of them at most, what was said last first.
[[nodiscard]] std::vector<targets::RateNews> rateNews(const RelayContext &context, std::size_t most, core::Time now);

/// \brief Notes that a life of a target is over; whoever waits for it lets go.
/// \param proof What showed it, for the log.
void endLife(RelayContext &context, Target &target, std::string_view proof);

/// \brief Takes what a peer tells of targets that leave.
/// \param leaving Hashes of their lives.
void takeLeavingNews(RelayContext &context, const std::vector<std::uint32_t> &leaving, std::string_view peer);

/// \brief Targets of which peers should be told that they leave: their entries do not say so yet.
/// \returns `most` of them at most, drawn anew each time.
[[nodiscard]] std::vector<std::uint32_t> leavingNews(RelayContext &context, std::size_t most);

} // namespace spurlug::relay
