//----------------------------------------------------------------------------------------------------------------------
// spurlug: the choice among the targets that are known, by the work that is known there
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/relay/context.h"
#include "spurlug/relay/placement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace spurlug::relay
{

/// \brief A chosen target and the engines that help it.
struct ChosenTargets
{
    core::Ref<Target> target;
    std::vector<core::Ref<Target>> helpers; ///< Those that hold memory first.
    std::vector<std::int64_t> holdingTokens; ///< Of the first helpers.
    core::Duration expected; ///< Until the first event.
    core::Duration partRead; ///< Time that each engine reads.
};

/// \brief What a request asks of its target.
struct TargetQuery
{
    std::string service;
    std::optional<PromptRequest> prompt; ///< Of a request to a model engine.
    std::vector<std::uint32_t> notAt; ///< Hashes of targets that must not answer it.
    std::optional<std::vector<std::uint32_t>> onlyAt; ///< If set, only these may.
    /// Hashes of targets that must get nothing from the daemon that sends the request, no help for it either.
    std::vector<std::uint32_t> unwanted;
    bool atHome = false; ///< Only targets of this failure domain, if there are any.
    bool forFleet = false; ///< Whether the choice is a scheduler's, which places the prompts of all daemons.
    std::string from; ///< Failure domain of the daemon that sends the request; empty: this one's.
    /// Helpers in the failure domain of the engine that answers only: another one was refused for this request.
    bool nearHelpers = false;
};

/// \brief Whether a tight request that has waited this long may queue at an engine instead of here: a refusal after it
/// would come too late to be made up for.
[[nodiscard]] bool mayQueueAfter(core::Duration waited, core::Duration aim) noexcept;

/// \brief Chooses targets with what this daemon knows now.
/// \returns Nothing when none is free for the request.
[[nodiscard]] std::optional<ChosenTargets> chooseTargets(RelayContext &context, const TargetQuery &query,
                                                         core::Time now);

/// \brief What a prompt adds to the work of the engines chosen for it; the one that answers comes last.
[[nodiscard]] std::vector<std::pair<core::Ref<Target>, Outstanding>> workOf(const ChosenTargets &chosen,
                                                                            const PromptFacts &prompt);

} // namespace spurlug::relay
