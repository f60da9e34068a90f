//----------------------------------------------------------------------------------------------------------------------
// spurlug: where a request runs, and which engines help to read its prompt
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/route_table.h"
#include "spurlug/core/time.h"
#include "spurlug/relay/request_facts.h"
#include "spurlug/relay/target_set.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace spurlug::relay
{

/// \brief A target as the choice sees it.
struct Candidate
{
    Outstanding load; ///< Work of all daemons there.
    int slots = 1;
    bool atHome = false; ///< In this daemon's failure domain.
    bool mayAnswer = true; ///< Whether it may get the request itself.
    bool mayHelp = true; ///< Whether it may read a part for another one.
};

/// \brief Weights of the choice.
struct PlacementRule
{
    /// Cost of one more engine that reads a part, ms: keeps short prompts in one place.
    double helperCostMs = 3;
    /// Cost of a first generating request at an engine, ms: its passes take `stepsPerPass` steps from then on, so reading
    /// slows down there several times over. Requests gather where others generate already.
    double firstWriterCostMs = 60;
    double otherDomainCostMs = 1; ///< Cost of a target elsewhere: the way there and back.
    int mostHelpers = 15;
    std::int64_t leastPartTokens = 400; ///< Parts below this are not worth a message.
    double memoryShare = 0.97; ///< Part of an engine's memory that is given out; the rest covers rounding to blocks.
    /// Queue at a plain target beyond its slots, as a share of them, before requests wait here.
    double plainQueueShare = 1.0;
};

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
    std::int64_t partTokens = 0; ///< What each of the engines reads.
};

/// \brief Length of a pass of an engine, reading not counted, ms.
[[nodiscard]] double passMs(const config::EngineCosts &costs, const Outstanding &load) noexcept;

/// \brief Expected time until an engine has read `tokens` more tokens behind what is there, ms.
/// \param pairsMs Time for the pairs of these tokens with earlier ones.
[[nodiscard]] double readMs(const config::EngineCosts &costs, const Outstanding &load, std::int64_t tokens,
                            double pairsMs) noexcept;

/// \brief Chooses engines for a prompt.
/// \param pick A random number: daemons that see the same loads must not all choose alike.
/// \returns Nothing when no engine has a slot and memory for it.
[[nodiscard]] std::optional<Placement> placePrompt(const config::EngineCosts &costs, const PromptFacts &prompt,
                                                   const std::vector<Candidate> &candidates, const PlacementRule &rule,
                                                   std::uint64_t pick);

/// \brief Chooses a target of a plain service.
/// \returns Nothing when all are full.
[[nodiscard]] std::optional<Placement> placePlain(const std::vector<Candidate> &candidates, const PlacementRule &rule,
                                                  std::uint64_t pick);

} // namespace spurlug::relay
