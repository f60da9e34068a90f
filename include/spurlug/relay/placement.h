//----------------------------------------------------------------------------------------------------------------------
// spurlug: where a request runs, and which engines help to read its prompt
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/route_table.h"
#include "spurlug/core/time.h"
#include "spurlug/relay/request_facts.h"
#include "spurlug/relay/target_set.h"
#include "spurlug/settings/placement_rule.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace spurlug::relay
{

/// \brief A target as the choice sees it.
struct Candidate
{
    Outstanding load; ///< Work of all daemons there, as far as it is known.
    int slots = 1;
    bool atHome = false; ///< In this daemon's failure domain.
    bool mayAnswer = true; ///< Whether it may get the request itself.
    bool mayHelp = true; ///< Whether it may read a part for another one.
    bool tightOnly = false; ///< Kept free of long prompts.
};

/// \brief What the choice needs to know of a prompt.
struct PromptRequest
{
    PromptFacts prompt;
    core::Duration aim; ///< Time to the first event that counts as in time.
    bool tight = true; ///< Whether its stream bears short pauses only.
    bool mayQueue = false; ///< Whether it may queue for a slot, if it is tight: it has waited here long enough.
    core::Duration waited = absl::ZeroDuration(); ///< Since it arrived.
    core::Duration patience = absl::InfiniteDuration(); ///< From its arrival until its caller is likely to leave.
    config::ShortestPauses pauses; ///< Of the streams at the engines.
    core::Duration loadAge = absl::ZeroDuration(); ///< How old the known loads of other daemons are.
};

using settings::PlacementRule;

/// \brief KV memory to be reserved at an engine.
struct Holding
{
    std::size_t candidate = 0;
    std::int64_t tokens = 0;
};

/// \brief Where a request goes; numbers are indices of candidates.
struct Placement
{
    std::size_t target = 0;
    std::vector<std::size_t> helpers; ///< Holders first, then those that only read.
    std::vector<Holding> holdings; ///< At the first helpers, in order; for a prompt beyond the target's own memory.
    core::Duration expected; ///< Until the first event.
    core::Duration partRead; ///< Time that each of the engines reads.
};

/// \brief Length of a pass of an engine, reading not counted, ms; 0 when nothing generates there.
[[nodiscard]] double passMs(const config::EngineCosts &costs, const Outstanding &load) noexcept;

/// \brief Time to read one of `parts` even parts of a prompt, ms. Each has its share of the pairs of the whole prompt.
[[nodiscard]] double partMs(const config::EngineCosts &costs, std::int64_t promptTokens, std::size_t parts) noexcept;

/// \brief Engines to be kept for tight streams: enough for those there are.
[[nodiscard]] std::size_t enginesForTight(const std::vector<Outstanding> &loads, int slots,
                                          const PlacementRule &rule) noexcept;

/// \brief Spreads choices: a number from 0 to 1 that differs by candidate and request.
[[nodiscard]] double choiceJitter(std::uint64_t pick, std::size_t candidate) noexcept;

/// \brief Chooses engines for a prompt.
/// \param pick A random number: daemons that see the same loads must not all choose alike.
/// \returns Nothing when no engine has a slot and memory for it.
[[nodiscard]] std::optional<Placement> placePrompt(const config::EngineCosts &costs, const PromptRequest &request,
                                                   const std::vector<Candidate> &candidates, const PlacementRule &rule,
                                                   std::uint64_t pick);

/// \brief Chooses a target of a plain service.
/// \returns Nothing when all are full.
[[nodiscard]] std::optional<Placement> placePlain(const std::vector<Candidate> &candidates, const PlacementRule &rule,
                                                  std::uint64_t pick);

} // namespace spurlug::relay
