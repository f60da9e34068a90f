//----------------------------------------------------------------------------------------------------------------------
// spurlug: choice of the targets for a request, based on the known load of each
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/relay/context.h"
#include "spurlug/relay/placement.h"
#include "spurlug/relay/published_times.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace spurlug::relay
{

/// \brief A chosen target and the engines that prefill parts of the prompt for it.
struct ChosenTargets
{
    core::Ref<Target> target;
    std::vector<core::Ref<Target>> helpers; ///< Engines that also hold KV memory for the prompt come first.
    std::vector<std::int64_t> reservedTokens; ///< KV memory tokens held by each of the first helpers, in order.
    core::Duration expectedTtft; ///< Expected time until the first event.
    core::Duration partPrefillTime; ///< Expected prefill time of each engine's part.
    PublishedTimes published = {}; ///< For comparison with the observed times.

    /// \brief Expected time until the first event by the published costs, in which work is counted; the expected time
    /// if it is not known.
    [[nodiscard]] core::Duration publishedTtft() const noexcept
    {
        return published.ttft > absl::ZeroDuration() ? published.ttft : expectedTtft;
    }
};

/// \brief What a request requires of its target.
struct TargetQuery
{
    std::string service;
    std::optional<PromptRequest> prompt; ///< Set for requests to a model engine.
    std::vector<std::uint32_t> excludedTargets; ///< Hashes of targets that must not answer the request.
    std::optional<std::vector<std::uint32_t>> allowedTargets; ///< If set, only targets with these hashes may answer it.
    /// Hashes of targets to which the requesting daemon must send nothing, not even a prefill part.
    std::vector<std::uint32_t> avoidedTargets;
    bool localDomainOnly = false; ///< Restricts the choice to the local failure domain if it has targets.
    bool forScheduler = false; ///< True if a scheduler chooses on behalf of all daemons.
    std::string senderDomain; ///< Failure domain of the requesting daemon; empty means this daemon's.
    /// Restricts helpers to the failure domain of the answering engine. Set after a helper was refused for this
    /// request.
    bool localHelpersOnly = false;
    std::uint32_t organisation = 0; ///< Hash of the name of the caller's organisation; 0 if there is none.
    std::uint64_t digest = 0; ///< First 8 bytes of the digest of the request's work; 0 if not known.
    core::Duration timeLeft = absl::InfiniteDuration(); ///< Until the deadline of the request.
    bool mayHaveRun = false; ///< Whether a target may have processed the request.
};

/// \brief Whether a request that tolerates only short gaps and has waited this long may queue at an engine instead of
/// in the daemon: a refusal after such a wait would come too late to be made up for.
[[nodiscard]] bool mayQueueAtEngine(core::Duration waited, core::Duration ttftObjective) noexcept;

/// \brief Chooses targets by what this daemon currently knows.
/// \returns std::nullopt if no target is free for the request.
[[nodiscard]] std::optional<ChosenTargets> chooseTargets(RelayContext &context, const TargetQuery &query,
                                                         core::Time now);

/// \brief The work that a prompt adds to each chosen engine; the engine that answers comes last.
[[nodiscard]] std::vector<std::pair<core::Ref<Target>, Outstanding>> addedWork(const ChosenTargets &chosen,
                                                                               const PromptInfo &prompt);

} // namespace spurlug::relay
