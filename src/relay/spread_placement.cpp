//----------------------------------------------------------------------------------------------------------------------
// spurlug: where a prompt goes whose stream bears longer pauses
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/engine_estimate.h"

#include <algorithm>
#include <limits>

namespace spurlug::relay
{

namespace
{

constexpr std::int64_t MemoryBlock = 16; // Tokens; reservations are whole blocks.
/// Time that a prompt too long to be in time may take, in terms of that with all engines: some are always busy.
constexpr double SlowestShare = 1.5;
constexpr std::int64_t LeastHolding = 4096; // Tokens; smaller ones are not worth an order.

/// Reads one prompt in even parts, each at an engine of its own.
class SpreadPlacer
{
public:
    using Readers = std::vector<std::size_t>;

    SpreadPlacer(const config::EngineCosts &costs, const PromptRequest &request, const EngineEstimate &engines,
                 const PlacementRule &rule)
        : m_costs(costs)
        , m_request(request)
        , m_engines(engines)
        , m_rule(rule)
    { }

    [[nodiscard]] std::optional<Placement> place() const
    {
        auto placement = among(calmOnes());
        if (placement && absl::ToDoubleMilliseconds(placement->expected) > longestMs()) {
            return std::nullopt; // More engines will be calm soon.
        }
        return placement;
    }

private:
    /// Longest time until the first event for which the prompt is sent now rather than kept waiting for more engines.
    /// One that can still be in time must be; any other must end well before its caller leaves, and not hold few
    /// engines for long.
    [[nodiscard]] double longestMs() const
    {
        const auto waited = absl::ToDoubleMilliseconds(m_request.waited);
        const auto aim = absl::ToDoubleMilliseconds(m_request.aim);
        const auto soonest = partOver(engagedAtMost());
        if (waited + soonest <= aim) {
            return aim - waited;
        }
        const auto patience = absl::ToDoubleMilliseconds(m_request.patience) - waited;
        return std::min(std::max(aim * m_rule.lateSpan, soonest * SlowestShare), patience * m_rule.patienceShare);
    }

    /// Engines that would read the prompt if none had other work. Those that recover from failures do not help.
    [[nodiscard]] std::size_t engagedAtMost() const
    {
        std::size_t helping = 0;
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            helping += m_engines.at(i).mayHelp ? 1 : 0;
        }
        return helping;
    }

    /// Reads the prompt at these engines; nothing when they lack slots or memory.
    [[nodiscard]] std::optional<Placement> among(Readers readers) const
    {
        const auto part = partOver(readers.size());
        std::sort(readers.begin(), readers.end(),
                  [&](std::size_t left, std::size_t right) { return costOf(left, part) < costOf(right, part); });
        Placement placement;
        if (const auto target = bestWriter(readers, part)) {
            placement.target = *target;
        } else if (!holdAmong(readers, placement)) {
            return std::nullopt;
        }
        addReaders(readers, placement);
        placement.expected = absl::Milliseconds(m_engines.finishMs(placement.target, placement.helpers, part));
        placement.partRead = absl::Milliseconds(part);
        return placement;
    }

    [[nodiscard]] std::size_t mostHelpers() const
    {
        return static_cast<std::size_t>(m_rule.mostHelpers);
    }

    /// Most parts of the prompt that are worth a message each.
    [[nodiscard]] std::size_t mostParts() const
    {
        const auto parts = m_request.prompt.promptTokens / m_rule.leastPartTokens;
        return static_cast<std::size_t>(std::clamp<std::int64_t>(parts, 1, m_rule.mostHelpers + 1));
    }

    [[nodiscard]] double partOver(std::size_t readers) const
    {
        return partMs(m_costs, m_request.prompt.promptTokens, std::clamp<std::size_t>(readers, 1, mostParts()));
    }

    [[nodiscard]] Readers all() const
    {
        Readers readers;
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            if (m_engines.takesPart(i)) {
                readers.push_back(i);
            }
        }
        return readers;
    }

    /// Engines whose streams stay in time. The fewer they are, the larger each part: looks until none is left out.
    [[nodiscard]] Readers calmOnes() const
    {
        auto readers = all();
        std::size_t before = 0;
        do {
            before = readers.size();
            const auto part = partOver(before);
            std::erase_if(readers, [&](std::size_t i) { return !m_engines.staysCalm(i, part); });
        } while (readers.size() != before);
        return readers;
    }

    /// Cost of reading a part at an engine; where others are left, those with tight streams get none.
    [[nodiscard]] double costOf(std::size_t candidate, double part) const
    {
        const auto amongTight = m_engines.servesTight(candidate) ? m_rule.notKeptCostMs : 0;
        return m_engines.readingCost(candidate, part) + amongTight;
    }

    /// Engines that may generate the answer: the readers, and those that may not help others now but may answer. An
    /// engine that was left out is among the latter: it is not asked for help before it has answered a request of its
    /// own.
    [[nodiscard]] Readers writers(const Readers &readers, double part) const
    {
        auto writers = readers;
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            if (!m_engines.at(i).mayHelp && m_engines.staysCalm(i, part)) {
                writers.push_back(i);
            }
        }
        return writers;
    }

    /// The best engine to generate the answer; nothing when none has a slot and memory.
    [[nodiscard]] std::optional<std::size_t> bestWriter(const Readers &readers, double part) const
    {
        std::optional<std::size_t> best;
        double bestCost = std::numeric_limits<double>::infinity();
        for (const auto i : writers(readers, part)) {
            if (!m_engines.hasSlot(i) || !m_engines.holdsPrompt(i)) {
                continue;
            }
            const auto &load = m_engines.at(i).load;
            const bool alone = load.requests == load.tightRequests;
            const auto cost = costOf(i, part) + (alone ? m_rule.gatherCostMs : 0);
            if (cost < bestCost) {
                bestCost = cost;
                best = i;
            }
        }
        return best;
    }

    /// Lays a prompt that no reader can hold alone into the memory of several.
    /// \returns False when they have not enough together.
    [[nodiscard]] bool holdAmong(const Readers &readers, Placement &placement) const
    {
        auto roomiest = readers;
        std::stable_sort(roomiest.begin(), roomiest.end(), [this](std::size_t left, std::size_t right) {
            return m_engines.freeMemory(left) > m_engines.freeMemory(right);
        });
        const auto target
            = std::find_if(roomiest.begin(), roomiest.end(), [this](std::size_t i) { return m_engines.hasSlot(i); });
        if (target == roomiest.end() || m_engines.freeMemory(*target) <= 0) {
            return false;
        }
        placement.target = *target;
        roomiest.erase(target);
        auto missing = m_request.prompt.memoryTokens() - m_engines.freeMemory(placement.target);
        for (const auto holder : roomiest) {
            const auto free = m_engines.freeMemory(holder) / MemoryBlock * MemoryBlock;
            if (missing <= 0 || free < LeastHolding || placement.holdings.size() == mostHelpers()) {
                break;
            }
            const auto wanted = (missing + MemoryBlock - 1) / MemoryBlock * MemoryBlock;
            const auto tokens = std::min(free, std::max(wanted, LeastHolding));
            placement.holdings.push_back({holder, tokens});
            placement.helpers.push_back(holder);
            missing -= tokens;
        }
        return missing <= 0;
    }

    /// Adds readers that are not in the placement yet, best first, up to the most parts.
    void addReaders(const Readers &readers, Placement &placement) const
    {
        const auto holders = placement.helpers;
        for (const auto reader : readers) {
            const bool used
                = reader == placement.target || std::find(holders.begin(), holders.end(), reader) != holders.end();
            if (!used && placement.helpers.size() + 1 < mostParts()) {
                placement.helpers.push_back(reader);
            }
        }
    }

    const config::EngineCosts &m_costs;
    const PromptRequest &m_request;
    const EngineEstimate &m_engines;
    const PlacementRule &m_rule;
};

} // namespace

std::optional<Placement> placeSpread(const config::EngineCosts &costs, const PromptRequest &request,
                                     const EngineEstimate &engines, const PlacementRule &rule)
{
    return SpreadPlacer(costs, request, engines, rule).place();
}

} // namespace spurlug::relay
