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

constexpr double LeastRoom = 0.05; // Minimum divisor of the fill cost, as a fraction of the slots.
constexpr std::array<std::size_t, 10> HelperCounts{0, 1, 2, 3, 4, 6, 8, 10, 12, 15};

/// Searches for the cheapest placement of one prompt.
class TightPlacer
{
public:
    TightPlacer(const config::EngineCosts &costs, const PromptRequest &request, const EngineEstimate &engines,
                const PlacementRule &rule)
        : m_costs(costs)
        , m_request(request)
        , m_engines(engines)
        , m_rule(rule)
    { }

    /// The cheapest placement on an engine that the request considers, or on any other engine if there is none.
    std::optional<Placement> cheapest()
    {
        search([this](std::size_t i) { return m_engines.considered(i); });
        if (!m_best) {
            search([this](std::size_t i) { return !m_engines.considered(i); });
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
            const auto part = partMs(m_costs, m_request.prompt.promptTokens, count + 1);
            const auto readers = bestReaders(part, count + 1);
            for (std::size_t i = 0; i < m_engines.size(); ++i) {
                if (considered(i) && hasRoom(i) && m_engines.holdsPrompt(i)) {
                    consider(i, readers, count, part);
                }
            }
        }
    }

    [[nodiscard]] bool worthSplitting(std::size_t helpers) const
    {
        const auto part = m_request.prompt.promptTokens / static_cast<std::int64_t>(helpers + 1);
        return part >= m_rule.leastPartTokens && helpers <= static_cast<std::size_t>(m_rule.mostHelpers);
    }

    /// Whether the engine has a slot and no more queued prefill than requests should wait for there.
    [[nodiscard]] bool hasRoom(std::size_t candidate) const
    {
        const auto &engine = m_engines.at(candidate);
        const auto requests = static_cast<double>(engine.load.requests);
        const auto slots = engine.slots * (m_request.mayQueue ? 1 + m_rule.queueShare : 1);
        const auto mostAhead = m_request.mayQueue ? m_rule.mostQueueMs : m_rule.mostAheadTightMs;
        return engine.mayAnswer && requests < slots && m_engines.aheadMs(candidate) <= mostAhead;
    }

    /// Engines with the lowest cost of prefilling a part, best first.
    [[nodiscard]] std::vector<std::size_t> bestReaders(double part, std::size_t most) const
    {
        std::vector<std::pair<double, std::size_t>> order;
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            if (m_engines.takesPart(i) && !m_engines.at(i).tightOnly) {
                order.emplace_back(m_engines.readingCost(i, part), i);
            }
        }
        std::sort(order.begin(), order.end());
        order.resize(std::min(order.size(), most));
        std::vector<std::size_t> readers;
        for (const auto &[ms, candidate] : order) {
            readers.push_back(candidate);
        }
        return readers;
    }

    [[nodiscard]] double costOf(std::size_t target, const std::vector<std::size_t> &helpers, double part,
                                double expected) const
    {
        const auto inTime = absl::ToDoubleMilliseconds(m_request.aim) * m_rule.aimShare;
        auto cost = expected * m_rule.expectedWeight + std::max(0.0, expected - inTime) * m_rule.lateWeight;
        cost += m_engines.harmMs(target, part) + m_engines.wayMs(target);
        for (const auto helper : helpers) {
            cost += m_engines.harmMs(helper, part) + m_rule.helperCostMs;
        }
        return cost + fillCost(target) + (m_engines.at(target).tightOnly ? 0 : m_rule.notKeptCostMs);
    }

    /// Cost of one more stream at an engine with few free slots, because later requests would have to wait.
    [[nodiscard]] double fillCost(std::size_t target) const
    {
        const auto &engine = m_engines.at(target);
        const auto requests = static_cast<double>(engine.load.requests + 1);
        const auto beyond = requests / std::max(engine.slots, 1) - m_rule.tightFill;
        return m_rule.fillCostMs * std::max(0.0, beyond) / std::max(1 - m_rule.tightFill, LeastRoom);
    }

    void consider(std::size_t target, const std::vector<std::size_t> &readers, std::size_t count, double part)
    {
        std::vector<std::size_t> helpers;
        for (const auto reader : readers) {
            if (reader != target && helpers.size() < count) {
                helpers.push_back(reader);
            }
        }
        if (helpers.size() < count) {
            return;
        }
        const auto expected = m_engines.finishMs(target, helpers, part) + m_engines.slotWaitMs(target);
        const auto cost = costOf(target, helpers, part, expected);
        if (cost < m_bestCost) {
            m_bestCost = cost;
            m_best = Placement{target, std::move(helpers), {}, absl::Milliseconds(expected), absl::Milliseconds(part)};
        }
    }

    const config::EngineCosts &m_costs;
    const PromptRequest &m_request;
    const EngineEstimate &m_engines;
    const PlacementRule &m_rule;
    std::optional<Placement> m_best;
    double m_bestCost = std::numeric_limits<double>::infinity();
};

} // namespace

std::optional<Placement> placeTight(const config::EngineCosts &costs, const PromptRequest &request,
                                    const EngineEstimate &engines, const PlacementRule &rule)
{
    return TightPlacer(costs, request, engines, rule).cheapest();
}

} // namespace spurlug::relay
