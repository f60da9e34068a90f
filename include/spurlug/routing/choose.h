//----------------------------------------------------------------------------------------------------------------------
// spurlug: choice of a target by expected time to first token
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/routing_strategy.h"
#include "spurlug/core/time.h"
#include "spurlug/targets/target_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace spurlug::routing
{

/// \brief What routing needs to know of a request.
struct RouteRequest
{
    std::int64_t tokens = 0; ///< Prompt length.
    bool urgent = true; ///< Whether engines serve it ahead of long prompts.
    std::uint64_t prefix = 0; ///< Hash of the prompt's beginning; 0: none to be shared.
};

/// \brief Weights of the choice.
struct RouteRule
{
    core::Duration staleAfter = absl::Seconds(3); ///< A report older than this counts for nothing.
    core::Duration streamCost = core::fromMs(1); ///< Expected delay by each stream already running.
    /// Taken off at the target that should hold the prompt's prefix. Off: its worth is not measured yet.
    core::Duration affinityBonus = absl::ZeroDuration();
    double tieShare = 0.10; ///< Targets within this share of the best count as equal.
    core::Duration tieSpan = core::fromMs(5); ///< Targets within this time of the best count as equal.
    core::Duration spillAfter = core::fromMs(250); ///< Expected wait at home beyond which other domains are looked at.
    core::Duration spillPenalty = core::fromMs(50); ///< Added to the expected wait in another failure domain.
    core::Duration remoteFresh = absl::Seconds(20); ///< An older report from another failure domain says nothing.
    config::RoutingStrategy strategy = config::RoutingStrategy::ExpectedTtft;
    std::int64_t chunkTokens = 8192; ///< Work that a short prompt waits for at a target that prefills a long one.
    double defaultPrefillRate = 10'000; ///< Tokens a second, when a target has not said.
};

/// \brief One target that was considered.
struct Candidate
{
    std::string id;
    core::Duration expected = absl::InfiniteDuration(); ///< Expected time to first token.
    bool usable = false;
    std::string_view why; ///< Why it is not usable; a static text.
};

/// \brief The outcome of a choice.
struct Choice
{
    std::optional<std::size_t> chosen; ///< Index into `candidates` and into the views that were given.
    std::vector<Candidate> candidates;
};

/// \brief Expected time to first token of a request at a target.
[[nodiscard]] core::Duration expectedTtft(const RouteRequest &request, const targets::TargetView &target,
                                          const RouteRule &rule);

/// \brief Chooses among targets; about equal ones share requests by `pick`.
/// \param excluded Ids of targets that this request has tried already; taken only when nothing else is usable.
/// \param pick A random number: daemons that see the same stale report must not all choose the same target.
[[nodiscard]] Choice chooseTarget(const RouteRequest &request, const std::vector<targets::TargetView> &targets,
                                  const std::vector<std::string> &excluded, const RouteRule &rule, std::uint64_t pick);

/// \brief Chooses among targets of all failure domains, those at home first.
///
/// Targets elsewhere are looked at when none at home is usable or the expected wait at home is long, and only those
/// whose load was heard of not long ago. When even those are missing, any target elsewhere will do.
/// \param home This daemon's failure domain.
[[nodiscard]] Choice chooseAcrossDomains(const RouteRequest &request, const std::vector<targets::TargetView> &targets,
                                         const std::string &home, const std::vector<std::string> &excluded,
                                         const RouteRule &rule, std::uint64_t pick);

} // namespace spurlug::routing
