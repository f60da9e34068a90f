//----------------------------------------------------------------------------------------------------------------------
// spurlug: placement of prompts whose streams tolerate longer gaps
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/engine_estimate.h"

#include <algorithm>
#include <limits>

namespace spurlug::relay
{

namespace
{

constexpr std::int64_t MemoryBlockTokens = 16; // Tokens; reservations are multiples of a block.
/// Maximum time for a prompt that is too long to be in time, relative to its time with all engines; some engines are
/// always busy.
constexpr double MaxSlowdown = 1.5;
constexpr std::int64_t MinReservationTokens = 4096; // Tokens; smaller reservations are not worth a request.

/// Places one prompt that is prefilled in equal parts, each on a different engine.
class SpreadPlacer
{
public:
    using Prefillers = std::vector<std::size_t>;

    SpreadPlacer(const config::EngineCosts &costs, const PromptRequest &request, const EngineEstimate &engines,
                 const PlacementWeights &weights)
        : m_costs(costs)
        , m_request(request)
        , m_engines(engines)
        , m_weights(weights)
    { }

    [[nodiscard]] std::optional<Placement> place() const
    {
        auto placement = placeOn(prefillersInTime());
        if (placement && absl::ToDoubleMilliseconds(placement->expectedTtft) > maxTtftMs()) {
            return std::nullopt; // More engines will have capacity soon.
        }
        return placement;
    }

private:
    /// Maximum expected time until the first event for which the prompt is sent now instead of waiting for more
    /// engines. A prompt that can still be in time must be; any other must finish well before its caller disconnects
    /// and must not occupy few engines for long.
    [[nodiscard]] double maxTtftMs() const
    {
        const auto waitedMs = absl::ToDoubleMilliseconds(m_request.waited);
        const auto ttftObjectiveMs = absl::ToDoubleMilliseconds(m_request.ttftObjective);
        const auto fastestMs = partMsOver(helperCandidates());
        if (waitedMs + fastestMs <= ttftObjectiveMs) {
            return ttftObjectiveMs - waitedMs;
        }
        const auto remainingMs = absl::ToDoubleMilliseconds(m_request.callerTimeout) - waitedMs;
        const auto callerLimitMs = remainingMs * m_weights.patienceShare;
        if (!m_request.inTimePromptWaits) {
            return callerLimitMs; // No other prompt would be in time on the engines that it occupies.
        }
        return std::min(std::max(ttftObjectiveMs * m_weights.lateSpan, fastestMs * MaxSlowdown), callerLimitMs);
    }

    /// Number of engines that would prefill the prompt if none had other work. Engines that recover from failures do
    /// not help.
    [[nodiscard]] std::size_t helperCandidates() const
    {
        std::size_t helping = 0;
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            helping += m_engines.at(i).mayHelp ? 1 : 0;
        }
        return helping;
    }

    /// Placement of the prompt on these engines; std::nullopt if they lack slots or memory.
    [[nodiscard]] std::optional<Placement> placeOn(Prefillers prefillers) const
    {
        const auto part = partMsOver(prefillers.size());
        std::sort(prefillers.begin(), prefillers.end(),
                  [&](std::size_t left, std::size_t right) { return costOf(left, part) < costOf(right, part); });
        Placement placement;
        if (const auto target = cheapestTarget(prefillers, part)) {
            placement.target = *target;
        } else if (!reserveAmong(prefillers, placement)) {
            return std::nullopt;
        }
        addPrefillers(prefillers, placement);
        placement.expectedTtft = absl::Milliseconds(m_engines.finishMs(placement.target, placement.helpers, part));
        placement.partPrefillTime = absl::Milliseconds(part);
        return placement;
    }

    [[nodiscard]] std::size_t maxHelpers() const
    {
        return static_cast<std::size_t>(m_weights.mostHelpers);
    }

    /// Maximum number of parts that are each worth a message.
    [[nodiscard]] std::size_t maxParts() const
    {
        const auto parts = m_request.prompt.promptTokens / m_weights.leastPartTokens;
        return static_cast<std::size_t>(std::clamp<std::int64_t>(parts, 1, m_weights.mostHelpers + 1));
    }

    [[nodiscard]] double partMsOver(std::size_t prefillers) const
    {
        return prefillPartMs(m_costs, m_request.prompt.promptTokens,
                             std::clamp<std::size_t>(prefillers, 1, maxParts()));
    }

    [[nodiscard]] Prefillers availablePrefillers() const
    {
        Prefillers prefillers;
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            if (m_engines.acceptsPart(i)) {
                prefillers.push_back(i);
            }
        }
        return prefillers;
    }

    /// Engines whose streams stay in time. Parts grow as engines are excluded, so this iterates until no more are
    /// excluded.
    [[nodiscard]] Prefillers prefillersInTime() const
    {
        auto prefillers = availablePrefillers();
        std::size_t previousSize = 0;
        do {
            previousSize = prefillers.size();
            const auto part = partMsOver(previousSize);
            std::erase_if(prefillers, [&](std::size_t i) { return !m_engines.staysInTime(i, part); });
        } while (prefillers.size() != previousSize);
        return prefillers;
    }

    /// Cost of prefilling a part at an engine. A surcharge keeps parts away from engines with streams that tolerate
    /// only short gaps while others are available.
    [[nodiscard]] double costOf(std::size_t candidate, double part) const
    {
        const auto shortGapSurcharge = m_engines.servesShortGaps(candidate) ? m_weights.notKeptCostMs : 0;
        return m_engines.prefillCost(candidate, part) + shortGapSurcharge;
    }

    /// Engines that may generate the answer: those that prefill, and those that currently may not help others but may
    /// answer. The latter include engines that return from an ejection: they are not asked for help until they have
    /// answered a request of their own.
    [[nodiscard]] Prefillers targetCandidates(const Prefillers &prefillers, double part) const
    {
        auto candidates = prefillers;
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            if (!m_engines.at(i).mayHelp && m_engines.staysInTime(i, part)) {
                candidates.push_back(i);
            }
        }
        return candidates;
    }

    /// Whether the engine has streams beside which one more does not lower the gap that the engine tolerates. A stream
    /// with a middle gap beside streams with only the longest one halves the parts that the engine accepts.
    [[nodiscard]] bool gathersWithAlike(std::size_t candidate) const
    {
        if (m_request.gapsByEngine && !m_request.longGap) {
            return m_engines.middleStreams(candidate) > 0;
        }
        const auto &load = m_engines.at(candidate).load;
        return load.requests != load.shortGapRequests;
    }

    /// The cheapest engine that can generate the answer; std::nullopt if none has both a slot and memory.
    [[nodiscard]] std::optional<std::size_t> cheapestTarget(const Prefillers &prefillers, double part) const
    {
        std::optional<std::size_t> best;
        double bestCost = std::numeric_limits<double>::infinity();
        for (const auto i : targetCandidates(prefillers, part)) {
            if (!m_engines.hasSlot(i) || !m_engines.fitsPrompt(i)) {
                continue;
            }
            const auto cost = costOf(i, part) + (gathersWithAlike(i) ? 0 : m_weights.gatherCostMs);
            if (cost < bestCost) {
                bestCost = cost;
                best = i;
            }
        }
        return best;
    }

    /// Divides the KV memory of a prompt that fits no single engine among several.
    /// \returns False if they do not have enough memory together.
    [[nodiscard]] bool reserveAmong(const Prefillers &prefillers, Placement &placement) const
    {
        auto byFreeMemory = prefillers;
        std::stable_sort(byFreeMemory.begin(), byFreeMemory.end(), [this](std::size_t left, std::size_t right) {
            return m_engines.freeMemory(left) > m_engines.freeMemory(right);
        });
        const auto target = std::find_if(byFreeMemory.begin(), byFreeMemory.end(),
                                         [this](std::size_t i) { return m_engines.hasSlot(i); });
        if (target == byFreeMemory.end() || m_engines.freeMemory(*target) <= 0) {
            return false;
        }
        placement.target = *target;
        byFreeMemory.erase(target);
        auto missingTokens = m_request.prompt.maxMemoryTokens() - m_engines.freeMemory(placement.target);
        for (const auto helper : byFreeMemory) {
            const auto freeTokens = m_engines.freeMemory(helper) / MemoryBlockTokens * MemoryBlockTokens;
            if (missingTokens <= 0 || freeTokens < MinReservationTokens
                || placement.reservations.size() == maxHelpers()) {
                break;
            }
            const auto wantedTokens = (missingTokens + MemoryBlockTokens - 1) / MemoryBlockTokens * MemoryBlockTokens;
            const auto tokens = std::min(freeTokens, std::max(wantedTokens, MinReservationTokens));
            placement.reservations.push_back({helper, tokens});
            placement.helpers.push_back(helper);
            missingTokens -= tokens;
        }
        return missingTokens <= 0;
    }

    /// Adds engines that are not yet in the placement, cheapest first, up to the maximum number of parts.
    void addPrefillers(const Prefillers &prefillers, Placement &placement) const
    {
        const auto reservedHelpers = placement.helpers;
        for (const auto prefiller : prefillers) {
            const bool used = prefiller == placement.target
                || std::find(reservedHelpers.begin(), reservedHelpers.end(), prefiller) != reservedHelpers.end();
            if (!used && placement.helpers.size() + 1 < maxParts()) {
                placement.helpers.push_back(prefiller);
            }
        }
    }

    const config::EngineCosts &m_costs;
    const PromptRequest &m_request;
    const EngineEstimate &m_engines;
    const PlacementWeights &m_weights;
};

} // namespace

std::optional<Placement> placeSpread(const config::EngineCosts &costs, const PromptRequest &request,
                                     const EngineEstimate &engines, const PlacementWeights &weights)
{
    return SpreadPlacer(costs, request, engines, weights).place();
}

} // namespace spurlug::relay
