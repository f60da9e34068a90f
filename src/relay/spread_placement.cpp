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

constexpr std::int64_t MemoryBlock = 16; // Tokens; reservations are multiples of a block.
/// Maximum time for a prompt that is too long to be in time, relative to its time with all engines; some engines are
/// always busy.
constexpr double SlowestShare = 1.5;
constexpr std::int64_t LeastHolding = 4096; // Tokens; smaller reservations are not worth a request.

/// Places one prompt that is prefilled in equal parts, each on a different engine.
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
            return std::nullopt; // More engines will have capacity soon.
        }
        return placement;
    }

private:
    /// Maximum expected time until the first event for which the prompt is sent now instead of waiting for more
    /// engines. A prompt that can still be in time must be; any other must finish well before its caller disconnects
    /// and must not occupy few engines for long.
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

    /// Number of engines that would prefill the prompt if none had other work. Engines that recover from failures do
    /// not help.
    [[nodiscard]] std::size_t engagedAtMost() const
    {
        std::size_t helping = 0;
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            helping += m_engines.at(i).mayHelp ? 1 : 0;
        }
        return helping;
    }

    /// Placement of the prompt on these engines; std::nullopt if they lack slots or memory.
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

    /// Maximum number of parts that are each worth a message.
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

    /// Engines whose streams stay in time. Parts grow as engines are excluded, so this iterates until no more are
    /// excluded.
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

    /// Cost of prefilling a part at an engine. A surcharge keeps parts away from engines with streams that tolerate
    /// only short gaps while others are available.
    [[nodiscard]] double costOf(std::size_t candidate, double part) const
    {
        const auto amongTight = m_engines.servesTight(candidate) ? m_rule.notKeptCostMs : 0;
        return m_engines.readingCost(candidate, part) + amongTight;
    }

    /// Engines that may generate the answer: those that prefill, and those that currently may not help others but may
    /// answer. The latter include engines that return from an ejection: they are not asked for help until they have
    /// answered a request of their own.
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

    /// The cheapest engine that can generate the answer; std::nullopt if none has both a slot and memory.
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

    /// Divides the KV memory of a prompt that fits no single engine among several.
    /// \returns False if they do not have enough memory together.
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

    /// Adds engines that are not yet in the placement, cheapest first, up to the maximum number of parts.
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
