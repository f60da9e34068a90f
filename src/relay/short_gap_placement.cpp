//----------------------------------------------------------------------------------------------------------------------
// spurlug: placement of prompts whose streams tolerate only short gaps
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/engine_estimate.h"

#include <algorithm>
#include <array>
#include <limits>

namespace spurlug::relay
{

namespace
{

constexpr double MinSpareShare = 0.05; // Minimum divisor of the fill cost, as a fraction of the slots.
constexpr std::array<std::size_t, 10> HelperCounts{0, 1, 2, 3, 4, 6, 8, 10, 12, 15};

/// Searches for the cheapest placement of one prompt.
class ShortGapPlacer
{
public:
    ShortGapPlacer(const config::EngineCosts &costs, const PromptRequest &request, const EngineEstimate &engines,
                   const PlacementWeights &weights)
        : m_costs(costs)
        , m_request(request)
        , m_engines(engines)
        , m_weights(weights)
    { }

    /// The cheapest placement on an engine that the request considers, or on any other engine if there is none.
    std::optional<Placement> cheapest()
    {
        search([this](std::size_t i) { return m_engines.isConsidered(i); });
        if (!m_best) {
            search([this](std::size_t i) { return !m_engines.isConsidered(i); });
        }
        return m_best;
    }

private:
    template<typename Considered>
    void search(Considered considered)
    {
        for (const auto count : HelperCounts) {
            if (count > 0 && !worthSplitting(count)) {
                break;
            }
            const auto part = prefillPartMs(m_costs, m_request.prompt.promptTokens, count + 1);
            const auto prefillers = bestPrefillers(part, count + 1);
            for (std::size_t i = 0; i < m_engines.size(); ++i) {
                if (considered(i) && hasCapacity(i) && m_engines.fitsPrompt(i)) {
                    evaluate(i, prefillers, count, part);
                }
            }
        }
    }

    [[nodiscard]] bool worthSplitting(std::size_t helpers) const
    {
        const auto part = m_request.prompt.promptTokens / static_cast<std::int64_t>(helpers + 1);
        return part >= m_weights.leastPartTokens && helpers <= static_cast<std::size_t>(m_weights.mostHelpers);
    }

    /// Whether the engine has a slot and no more queued prefill than requests should wait for there.
    [[nodiscard]] bool hasCapacity(std::size_t candidate) const
    {
        const auto &engine = m_engines.at(candidate);
        const auto requests = static_cast<double>(engine.load.requests);
        const auto slots = engine.slots * (m_request.mayQueue ? 1 + m_weights.queueShare : 1);
        const auto maxQueuedMs = m_request.mayQueue ? m_weights.mostQueueMs : m_weights.mostAheadTightMs;
        return engine.mayAnswer && requests < slots && m_engines.queuedPrefillMs(candidate) <= maxQueuedMs;
    }

    /// Engines with the lowest cost of prefilling a part, best first.
    [[nodiscard]] std::vector<std::size_t> bestPrefillers(double part, std::size_t maxCount) const
    {
        std::vector<std::pair<double, std::size_t>> byCost;
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            if (m_engines.acceptsPart(i) && !m_engines.at(i).reservedForShortGaps) {
                byCost.emplace_back(m_engines.prefillCost(i, part), i);
            }
        }
        std::sort(byCost.begin(), byCost.end());
        byCost.resize(std::min(byCost.size(), maxCount));
        std::vector<std::size_t> prefillers;
        for (const auto &[ms, candidate] : byCost) {
            prefillers.push_back(candidate);
        }
        return prefillers;
    }

    [[nodiscard]] double costOf(std::size_t target, const std::vector<std::size_t> &helpers, double part,
                                double expectedMs) const
    {
        const auto safeTtftMs = absl::ToDoubleMilliseconds(m_request.ttftObjective) * m_weights.aimShare;
        auto cost
            = expectedMs * m_weights.expectedWeight + std::max(0.0, expectedMs - safeTtftMs) * m_weights.lateWeight;
        cost += m_engines.streamDelayCost(target, part) + m_engines.networkCostMs(target);
        for (const auto helper : helpers) {
            cost += m_engines.streamDelayCost(helper, part) + m_weights.helperCostMs;
        }
        return cost + fillCost(target) + (m_engines.at(target).reservedForShortGaps ? 0 : m_weights.notKeptCostMs);
    }

    /// Cost of one more stream at an engine with few free slots, because later requests would have to wait.
    [[nodiscard]] double fillCost(std::size_t target) const
    {
        const auto &engine = m_engines.at(target);
        const auto requests = static_cast<double>(engine.load.requests + 1);
        const auto excess = requests / std::max(engine.slots, 1) - m_weights.tightFill;
        return m_weights.fillCostMs * std::max(0.0, excess) / std::max(1 - m_weights.tightFill, MinSpareShare);
    }

    void evaluate(std::size_t target, const std::vector<std::size_t> &prefillers, std::size_t helperCount, double part)
    {
        std::vector<std::size_t> helpers;
        for (const auto prefiller : prefillers) {
            if (prefiller != target && helpers.size() < helperCount) {
                helpers.push_back(prefiller);
            }
        }
        if (helpers.size() < helperCount) {
            return;
        }
        const auto expectedMs = m_engines.finishMs(target, helpers, part) + m_engines.slotWaitMs(target);
        const auto cost = costOf(target, helpers, part, expectedMs);
        if (cost < m_bestCost) {
            m_bestCost = cost;
            m_best
                = Placement{target, std::move(helpers), {}, absl::Milliseconds(expectedMs), absl::Milliseconds(part)};
        }
    }

    const config::EngineCosts &m_costs;
    const PromptRequest &m_request;
    const EngineEstimate &m_engines;
    const PlacementWeights &m_weights;
    std::optional<Placement> m_best;
    double m_bestCost = std::numeric_limits<double>::infinity();
};

} // namespace

std::optional<Placement> placeShortGaps(const config::EngineCosts &costs, const PromptRequest &request,
                                        const EngineEstimate &engines, const PlacementWeights &weights)
{
    return ShortGapPlacer(costs, request, engines, weights).cheapest();
}

} // namespace spurlug::relay
