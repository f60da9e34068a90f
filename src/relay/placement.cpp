//----------------------------------------------------------------------------------------------------------------------
// spurlug: where a request runs, and which engines help to read its prompt
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace spurlug::relay
{

namespace
{

constexpr std::array<std::size_t, 10> HelperCounts{0, 1, 2, 3, 4, 6, 8, 10, 12, 15};
constexpr std::int64_t MemoryBlock = 16; // Tokens; reservations are whole blocks.
constexpr std::int64_t LeastHolding = 4096; // Tokens; smaller ones are not worth an order.
constexpr double JitterMs = 4; // Spreads choices of daemons that see the same loads.

/// A number from 0 to 1 that differs by candidate and request.
double jitter(std::uint64_t pick, std::size_t candidate)
{
    const auto mixed = (pick + candidate * 0x9E3779B97F4A7C15ULL) * 0xBF58476D1CE4E5B9ULL;
    return static_cast<double>(mixed >> 40U) / static_cast<double>(1U << 24U);
}

/// Looks for the cheapest placement of one prompt.
class PromptPlacer
{
public:
    PromptPlacer(const config::EngineCosts &costs, const PromptFacts &prompt, const std::vector<Candidate> &candidates,
                 const PlacementRule &rule, std::uint64_t pick)
        : m_costs(costs)
        , m_prompt(prompt)
        , m_candidates(candidates)
        , m_rule(rule)
        , m_pick(pick)
    { }

    std::optional<Placement> inOneMemory()
    {
        for (const auto count : HelperCounts) {
            const auto part = partOf(count);
            if (count > 0 && (part < m_rule.leastPartTokens || count > static_cast<std::size_t>(m_rule.mostHelpers))) {
                break;
            }
            const auto readers = fastestReaders(part, count + 1);
            for (std::size_t i = 0; i < m_candidates.size(); ++i) {
                if (m_candidates[i].mayAnswer && hasSlot(i) && freeMemory(i) >= m_prompt.memoryTokens()) {
                    consider(i, readers, count);
                }
            }
        }
        return m_best;
    }

    std::optional<Placement> acrossMemories()
    {
        const auto target = roomiest();
        if (!target) {
            return std::nullopt;
        }
        Placement placement;
        placement.target = *target;
        auto missing = m_prompt.memoryTokens() - freeMemory(*target);
        for (const auto holder : byFreeMemory(*target)) {
            const auto free = freeMemory(holder) / MemoryBlock * MemoryBlock;
            if (missing <= 0 || free < LeastHolding
                || placement.holdings.size() == static_cast<std::size_t>(m_rule.mostHelpers)) {
                break;
            }
            const auto wanted = (missing + MemoryBlock - 1) / MemoryBlock * MemoryBlock;
            const auto tokens = std::min(free, std::max(wanted, LeastHolding));
            placement.holdings.push_back({holder, tokens});
            placement.helpers.push_back(holder);
            missing -= tokens;
        }
        if (missing > 0) {
            return std::nullopt;
        }
        addReaders(placement);
        placement.partTokens = partOf(placement.helpers.size());
        placement.expected = absl::Milliseconds(firstEventMs(placement.target, placement.helpers));
        return placement;
    }

private:
    [[nodiscard]] std::int64_t partOf(std::size_t helpers) const
    {
        const auto parts = static_cast<std::int64_t>(helpers) + 1;
        return (m_prompt.promptTokens + parts - 1) / parts;
    }

    /// Time for the pairs of one part: each part has its share of the pairs of the whole prompt.
    [[nodiscard]] double pairsMs(std::size_t helpers) const
    {
        const auto tokens = static_cast<double>(m_prompt.promptTokens);
        constexpr double Million = 1e6;
        return tokens * tokens / 2 / Million * m_costs.pairsMsPerMillion / static_cast<double>(helpers + 1);
    }

    [[nodiscard]] bool hasSlot(std::size_t candidate) const
    {
        return m_candidates[candidate].load.requests < m_candidates[candidate].slots;
    }

    [[nodiscard]] std::int64_t freeMemory(std::size_t candidate) const
    {
        const auto total = static_cast<std::int64_t>(static_cast<double>(m_costs.memoryTokens) * m_rule.memoryShare);
        return total - m_candidates[candidate].load.memoryTokens;
    }

    [[nodiscard]] bool mayHelp(std::size_t candidate) const
    {
        return m_candidates[candidate].mayHelp
            && m_candidates[candidate].load.parts < m_candidates[candidate].slots;
    }

    [[nodiscard]] double readTime(std::size_t candidate, std::int64_t tokens, double pairs) const
    {
        return readMs(m_costs, m_candidates[candidate].load, tokens, pairs);
    }

    /// Engines that would have read a part soonest, best first.
    [[nodiscard]] std::vector<std::size_t> fastestReaders(std::int64_t part, std::size_t most) const
    {
        std::vector<std::pair<double, std::size_t>> order;
        for (std::size_t i = 0; i < m_candidates.size(); ++i) {
            if (mayHelp(i)) {
                const auto far = m_candidates[i].atHome ? 0 : m_rule.otherDomainCostMs;
                order.emplace_back(readTime(i, part, 0) + far + JitterMs * jitter(m_pick, i), i);
            }
        }
        std::sort(order.begin(), order.end());
        std::vector<std::size_t> readers;
        for (const auto &[ms, candidate] : order) {
            if (readers.size() == most) {
                break;
            }
            readers.push_back(candidate);
        }
        return readers;
    }

    [[nodiscard]] double firstEventMs(std::size_t target, const std::vector<std::size_t> &helpers) const
    {
        const auto part = partOf(helpers.size());
        const auto pairs = pairsMs(helpers.size());
        auto read = readTime(target, part, pairs);
        for (const auto helper : helpers) {
            read = std::max(read, readTime(helper, part, pairs));
        }
        auto load = m_candidates[target].load;
        ++load.writers;
        load.contextTokens += m_prompt.promptTokens;
        return read + passMs(m_costs, load);
    }

    void consider(std::size_t target, const std::vector<std::size_t> &readers, std::size_t count)
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
        const auto expected = firstEventMs(target, helpers);
        const auto &candidate = m_candidates[target];
        auto cost = expected + m_rule.helperCostMs * static_cast<double>(count) + JitterMs * jitter(m_pick, target);
        cost += candidate.load.requests == 0 ? m_rule.firstWriterCostMs : 0;
        cost += candidate.atHome ? 0 : m_rule.otherDomainCostMs;
        if (cost < m_bestCost) {
            m_bestCost = cost;
            m_best = Placement{target, std::move(helpers), {}, absl::Milliseconds(expected), partOf(count)};
        }
    }

    [[nodiscard]] std::optional<std::size_t> roomiest() const
    {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < m_candidates.size(); ++i) {
            if (m_candidates[i].mayAnswer && hasSlot(i) && (!best || freeMemory(i) > freeMemory(*best))) {
                best = i;
            }
        }
        return best && freeMemory(*best) > 0 ? best : std::nullopt;
    }

    [[nodiscard]] std::vector<std::size_t> byFreeMemory(std::size_t except) const
    {
        std::vector<std::size_t> order;
        for (std::size_t i = 0; i < m_candidates.size(); ++i) {
            if (i != except && mayHelp(i)) {
                order.push_back(i);
            }
        }
        std::stable_sort(order.begin(), order.end(),
                         [this](std::size_t left, std::size_t right) { return freeMemory(left) > freeMemory(right); });
        return order;
    }

    /// Adds engines that only read, while that makes the first event come sooner.
    void addReaders(Placement &placement) const
    {
        const auto readers = fastestReaders(partOf(placement.helpers.size()), m_candidates.size());
        for (const auto reader : readers) {
            const bool used = reader == placement.target
                || std::find(placement.helpers.begin(), placement.helpers.end(), reader) != placement.helpers.end();
            if (used || placement.helpers.size() >= static_cast<std::size_t>(m_rule.mostHelpers)) {
                continue;
            }
            auto more = placement.helpers;
            more.push_back(reader);
            const auto gain = firstEventMs(placement.target, placement.helpers) - firstEventMs(placement.target, more);
            if (gain > m_rule.helperCostMs) {
                placement.helpers = std::move(more);
            }
        }
    }

    const config::EngineCosts &m_costs;
    const PromptFacts &m_prompt;
    const std::vector<Candidate> &m_candidates;
    const PlacementRule &m_rule;
    const std::uint64_t m_pick;
    std::optional<Placement> m_best;
    double m_bestCost = std::numeric_limits<double>::infinity();
};

} // namespace

double passMs(const config::EngineCosts &costs, const Outstanding &load) noexcept
{
    constexpr double Thousand = 1000;
    if (load.writers <= 0) {
        return costs.stepMs;
    }
    const auto step = costs.stepMs + costs.perSequenceMs * static_cast<double>(load.writers)
        + costs.contextMsPerThousand * static_cast<double>(load.contextTokens) / Thousand;
    return step * costs.stepsPerPass;
}

double readMs(const config::EngineCosts &costs, const Outstanding &load, std::int64_t tokens, double pairsMs) noexcept
{
    const auto all = static_cast<double>(std::max<std::int64_t>(load.readTokens + load.partTokens, 0) + tokens);
    const auto passes = std::ceil(all / static_cast<double>(std::max<std::int64_t>(costs.chunkTokens, 1)));
    const auto pass = passMs(costs, load);
    const auto underWay = load.writers > 0 ? pass / 2 : 0; // The pass that runs when the request comes, in the mean.
    return underWay + passes * pass + all / costs.readTokensPerMs + pairsMs;
}

std::optional<Placement> placePrompt(const config::EngineCosts &costs, const PromptFacts &prompt,
                                     const std::vector<Candidate> &candidates, const PlacementRule &rule,
                                     std::uint64_t pick)
{
    PromptPlacer placer(costs, prompt, candidates, rule, pick);
    auto placement = placer.inOneMemory();
    return placement ? placement : placer.acrossMemories();
}

std::optional<Placement> placePlain(const std::vector<Candidate> &candidates, const PlacementRule &rule,
                                    std::uint64_t pick)
{
    constexpr double FarShare = 0.1; // Of a slot's load: a free target elsewhere goes before a busy one at home.
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
        const auto cost = busy + (candidate.atHome ? 0 : FarShare) + JitterShare * jitter(pick, i);
        if (cost < bestCost) {
            bestCost = cost;
            best = Placement{i, {}, {}, absl::ZeroDuration(), 0};
        }
    }
    return best;
}

} // namespace spurlug::relay
