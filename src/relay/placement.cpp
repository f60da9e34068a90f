//----------------------------------------------------------------------------------------------------------------------
// spurlug: placement of requests on targets, and of prefill parts on helper engines
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/placement.h"

#include "spurlug/relay/engine_estimate.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace spurlug::relay
{

namespace
{

/// Known requests at a plain target per slot.
double utilizationOf(const Candidate &candidate) noexcept
{
    return static_cast<double>(candidate.load.requests) / static_cast<double>(std::max(candidate.slots, 1));
}

/// Whether a plain target may answer and has room for one more request.
bool hasPlainRoom(const Candidate &candidate, const PlacementWeights &weights) noexcept
{
    return candidate.mayAnswer && utilizationOf(candidate) < 1 + weights.plainQueueShare;
}

/// The failure domain drawn by the shares of the targets that have room; std::nullopt if none of them has a share.
std::optional<std::size_t> drawDomain(const std::vector<Candidate> &candidates, const PlacementWeights &weights,
                                      double randomShare)
{
    double total = 0;
    for (const auto &candidate : candidates) {
        total += hasPlainRoom(candidate, weights) ? candidate.share : 0;
    }
    std::optional<std::size_t> drawn;
    auto rest = randomShare * total;
    for (const auto &candidate : candidates) {
        if (!hasPlainRoom(candidate, weights) || candidate.share <= 0) {
            continue;
        }
        drawn = candidate.domain;
        rest -= candidate.share;
        if (rest < 0) {
            break;
        }
    }
    return drawn;
}

} // namespace

double choiceJitter(std::uint64_t randomValue, std::size_t candidate) noexcept
{
    constexpr std::uint64_t Spread = 0x9E3779B97F4A7C15ULL; // Odd constants whose set bits are spread over the word.
    constexpr std::uint64_t FirstMix = 0xBF58476D1CE4E5B9ULL;
    constexpr std::uint64_t SecondMix = 0x94D049BB133111EBULL;
    constexpr unsigned Bits = 24;
    // Multiplication alone keeps the difference between two candidates constant, so that one of two equal candidates
    // would get 84 of 100 requests.
    auto mixed = randomValue + candidate * Spread;
    mixed = (mixed ^ (mixed >> 30U)) * FirstMix;
    mixed = (mixed ^ (mixed >> 27U)) * SecondMix;
    return static_cast<double>(mixed >> (64U - Bits)) / static_cast<double>(1U << Bits);
}

double decodePassMs(const config::EngineCosts &costs, const Outstanding &load) noexcept
{
    constexpr double Thousand = 1000;
    if (load.decodingRequests <= 0) {
        return 0;
    }
    const auto step = costs.stepMs + costs.perSequenceMs * static_cast<double>(load.decodingRequests)
        + costs.contextMsPerThousandTokens * static_cast<double>(load.decodingContextTokens) / Thousand;
    return step * costs.stepsPerPass;
}

double prefillPartMs(const config::EngineCosts &costs, std::int64_t promptTokens, std::size_t parts) noexcept
{
    constexpr double Million = 1e6;
    const auto totalTokens = static_cast<double>(promptTokens);
    const auto tokens = totalTokens / static_cast<double>(parts);
    const auto steps = std::ceil(tokens / static_cast<double>(std::max<std::int64_t>(costs.maxChunkTokens, 1)));
    const auto pairs = totalTokens * totalTokens / 2 / Million / static_cast<double>(parts);
    return tokens / costs.prefillTokensPerMs + steps * costs.stepMs + pairs * costs.prefillMsPerMillionPairs;
}

std::size_t enginesForShortGaps(const std::vector<Outstanding> &loads, int slots,
                                const PlacementWeights &weights) noexcept
{
    double streams = weights.tightSpare;
    for (const auto &load : loads) {
        streams += static_cast<double>(load.shortGapRequests);
    }
    const auto wantedEngines = std::ceil(streams / (std::max(slots, 1) * weights.tightFill));
    const auto maxEngines = std::floor(static_cast<double>(loads.size()) * weights.tightOnlyShare);
    return static_cast<std::size_t>(std::min(wantedEngines, maxEngines));
}

std::optional<Placement> placePrompt(const config::EngineCosts &costs, const PromptRequest &request,
                                     const std::vector<Candidate> &candidates, const PlacementWeights &weights,
                                     std::uint64_t randomValue)
{
    const EngineEstimate engines(costs, request, candidates, weights, randomValue);
    const auto maxTokens = static_cast<double>(costs.kvMemoryTokens) * weights.memoryShare;
    const bool fitsOneEngine = static_cast<double>(request.prompt.maxMemoryTokens()) <= maxTokens;
    if (request.shortGaps && fitsOneEngine) {
        return placeShortGaps(costs, request, engines, weights);
    }
    return placeSpread(costs, request, engines, weights);
}

std::optional<Placement> placePlain(const std::vector<Candidate> &candidates, const PlacementWeights &weights,
                                    std::uint64_t randomValue)
{
    // Fraction of a slot's load: a free remote target is preferred to a busy local one.
    constexpr double RemotePenalty = 0.1;
    constexpr double MaxJitter = 0.05;
    std::optional<Placement> best;
    double bestCost = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto &candidate = candidates[i];
        if (!hasPlainRoom(candidate, weights)) {
            continue;
        }
        const auto publishedCost = utilizationOf(candidate) + (candidate.isLocalDomain ? 0 : RemotePenalty)
            + MaxJitter * choiceJitter(randomValue, i);
        const auto cost = publishedCost * candidate.speed;
        if (cost < bestCost) {
            bestCost = cost;
            best = Placement{i, {}, {}, absl::ZeroDuration(), absl::ZeroDuration()};
        }
    }
    return best;
}

std::optional<Placement> placePlainByShare(const std::vector<Candidate> &candidates, const PlacementWeights &weights,
                                           std::uint64_t randomValue)
{
    constexpr std::uint64_t Salt = 0xD6E8FEB86659FD93ULL; // Makes the draw independent of the jitter.
    const auto domain = drawDomain(candidates, weights, choiceJitter(randomValue ^ Salt, candidates.size()));
    if (!domain) {
        return placePlain(candidates, weights, randomValue);
    }
    std::optional<Placement> best;
    auto bestCost = std::make_pair(std::numeric_limits<double>::infinity(), 0.0);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto &candidate = candidates[i];
        if (candidate.domain != *domain || !hasPlainRoom(candidate, weights)) {
            continue;
        }
        const auto slots = static_cast<double>(std::max(candidate.slots, 1));
        // The minimum of exponentially distributed numbers chooses equal targets in proportion to their slots.
        // A slow target counts as one with fewer slots.
        const auto speedSlots = slots / candidate.speed;
        const auto tieBreak = -std::log1p(-choiceJitter(randomValue, i)) / speedSlots;
        const auto cost = std::make_pair(static_cast<double>(candidate.ownRequests) / speedSlots, tieBreak);
        if (cost < bestCost) {
            bestCost = cost;
            best = Placement{i, {}, {}, absl::ZeroDuration(), absl::ZeroDuration()};
        }
    }
    return best;
}

} // namespace spurlug::relay
