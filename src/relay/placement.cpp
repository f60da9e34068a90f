//----------------------------------------------------------------------------------------------------------------------
// spurlug: placement of requests on targets, and of prefill parts on helper engines
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/placement.h"

#include "spurlug/relay/engine_estimate.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace spurlug::relay
{

double choiceJitter(std::uint64_t pick, std::size_t candidate) noexcept
{
    constexpr std::uint64_t Spread = 0x9E3779B97F4A7C15ULL; // Odd constants whose set bits are spread over the word.
    constexpr std::uint64_t FirstMix = 0xBF58476D1CE4E5B9ULL;
    constexpr std::uint64_t SecondMix = 0x94D049BB133111EBULL;
    constexpr unsigned Bits = 24;
    // Multiplication alone keeps the difference between two candidates constant, so that one of two equal candidates
    // would get 84 of 100 requests.
    auto mixed = pick + candidate * Spread;
    mixed = (mixed ^ (mixed >> 30U)) * FirstMix;
    mixed = (mixed ^ (mixed >> 27U)) * SecondMix;
    return static_cast<double>(mixed >> (64U - Bits)) / static_cast<double>(1U << Bits);
}

double passMs(const config::EngineCosts &costs, const Outstanding &load) noexcept
{
    constexpr double Thousand = 1000;
    if (load.writers <= 0) {
        return 0;
    }
    const auto step = costs.stepMs + costs.perSequenceMs * static_cast<double>(load.writers)
        + costs.contextMsPerThousand * static_cast<double>(load.contextTokens) / Thousand;
    return step * costs.stepsPerPass;
}

double partMs(const config::EngineCosts &costs, std::int64_t promptTokens, std::size_t parts) noexcept
{
    constexpr double Million = 1e6;
    const auto whole = static_cast<double>(promptTokens);
    const auto tokens = whole / static_cast<double>(parts);
    const auto steps = std::ceil(tokens / static_cast<double>(std::max<std::int64_t>(costs.chunkTokens, 1)));
    const auto pairs = whole * whole / 2 / Million / static_cast<double>(parts);
    return tokens / costs.readTokensPerMs + steps * costs.stepMs + pairs * costs.pairsMsPerMillion;
}

std::size_t enginesForTight(const std::vector<Outstanding> &loads, int slots, const PlacementRule &rule) noexcept
{
    double streams = rule.tightSpare;
    for (const auto &load : loads) {
        streams += static_cast<double>(load.tightRequests);
    }
    const auto wanted = std::ceil(streams / (std::max(slots, 1) * rule.tightFill));
    const auto most = std::floor(static_cast<double>(loads.size()) * rule.tightOnlyShare);
    return static_cast<std::size_t>(std::min(wanted, most));
}

std::optional<Placement> placePrompt(const config::EngineCosts &costs, const PromptRequest &request,
                                     const std::vector<Candidate> &candidates, const PlacementRule &rule,
                                     std::uint64_t pick)
{
    const EngineEstimate engines(costs, request, candidates, rule, pick);
    const auto largest = static_cast<double>(costs.memoryTokens) * rule.memoryShare;
    const bool fitsOneEngine = static_cast<double>(request.prompt.memoryTokens()) <= largest;
    if (request.tight && fitsOneEngine) {
        return placeTight(costs, request, engines, rule);
    }
    return placeSpread(costs, request, engines, rule);
}

std::optional<Placement> placePlain(const std::vector<Candidate> &candidates, const PlacementRule &rule,
                                    std::uint64_t pick)
{
    // Fraction of a slot's load: a free remote target is preferred to a busy local one.
    constexpr double FarShare = 0.1;
    constexpr double JitterShare = 0.05;
    std::optional<Placement> best;
    double bestCost = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto &candidate = candidates[i];
        const auto slots = static_cast<double>(std::max(candidate.slots, 1));
        const auto busy = static_cast<double>(candidate.load.requests) / slots;
        if (!candidate.mayAnswer || busy >= 1 + rule.plainQueueShare) {
            continue;
        }
        const auto cost = busy + (candidate.atHome ? 0 : FarShare) + JitterShare * choiceJitter(pick, i);
        if (cost < bestCost) {
            bestCost = cost;
            best = Placement{i, {}, {}, absl::ZeroDuration(), absl::ZeroDuration()};
        }
    }
    return best;
}

} // namespace spurlug::relay
