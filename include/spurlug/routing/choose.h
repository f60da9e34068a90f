//----------------------------------------------------------------------------------------------------------------------
// spurlug: target selection by expected time to first token
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

/// \brief Properties of a request that determine its routing.
struct RouteRequest
{
    std::int64_t tokens = 0; ///< Length of the prompt.
    bool urgent = true; ///< Whether engines prefill it ahead of long prompts.
    std::uint64_t prefixHash = 0; ///< Hash of the start of the prompt; 0 if it has no prefix to share.
};

/// \brief Parameters of the selection.
struct RouteRule
{
    core::Duration staleAfter = absl::Seconds(3); ///< The load in an older report is ignored.
    core::Duration streamCost = core::fromMs(1); ///< Expected delay due to each running stream.
    /// Subtracted at the target that should have the prompt's prefix cached. Zero, so disabled: its benefit has not
    /// been measured.
    core::Duration affinityBonus = absl::ZeroDuration();
    double tieFraction = 0.10; ///< Targets that exceed the best time by at most this fraction count as equal.
    core::Duration tieSpan = core::fromMs(5); ///< Targets that exceed the best time by at most this count as equal.
    core::Duration spillThreshold
        = core::fromMs(250); ///< Expected time at home beyond which other domains are considered.
    core::Duration spillPenalty = core::fromMs(50); ///< Added to the expected time in another failure domain.
    core::Duration maxRemoteReportAge
        = absl::Seconds(20); ///< Maximum age of a usable report from another failure domain.
    config::RoutingStrategy strategy = config::RoutingStrategy::ExpectedTtft;
    std::int64_t chunkTokens = 8192; ///< Prefill tokens that a short prompt waits for while a long one is prefilled.
    double defaultPrefillRate = 10'000; ///< Tokens per second, for targets that have not reported a rate.
};

/// \brief One target that was considered.
struct Candidate
{
    std::string id; ///< Of the target.
    core::Duration estimatedTtft = absl::InfiniteDuration(); ///< Expected time to first token.
    bool usable = false; ///< Whether the target may be chosen.
    std::string_view unusableReason; ///< What speaks against the target; a static string, empty if nothing does.
};

/// \brief Result of a selection.
struct Choice
{
    std::optional<std::size_t> chosen; ///< Index into `candidates` and into the given views; empty if none is usable.
    std::vector<Candidate> candidates;
};

/// \brief Expected time to first token of a request at a target.
[[nodiscard]] core::Duration expectedTtft(const RouteRequest &request, const targets::TargetView &target,
                                          const RouteRule &rule);

/// \brief Selects a target; `randomValue` spreads requests over targets that count as equal.
/// \param excluded Ids of targets that this request has already tried; used only if no other target is usable.
/// \param randomValue Random number, so that daemons that see the same stale report do not all choose the same target.
[[nodiscard]] Choice chooseTarget(const RouteRequest &request, const std::vector<targets::TargetView> &targets,
                                  const std::vector<std::string> &excluded, const RouteRule &rule,
                                  std::uint64_t randomValue);

/// \brief Selects a target from all failure domains, preferring those of the home domain.
///
/// Targets of other domains are considered if no target of the home domain is usable or the expected time there is
/// long. Only those with a recent load report qualify. If neither the home domain nor such a target is usable, all
/// targets are considered.
/// \param localDomain This daemon's failure domain.
[[nodiscard]] Choice chooseAcrossDomains(const RouteRequest &request, const std::vector<targets::TargetView> &targets,
                                         const std::string &localDomain, const std::vector<std::string> &excluded,
                                         const RouteRule &rule, std::uint64_t randomValue);

} // namespace spurlug::routing
