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
constexpr double MicrosPerMs = 1000;

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
    PromptPlacer(const config::EngineCosts &costs, const PromptRequest &request,
                 const std::vector<Candidate> &candidates, const PlacementRule &rule, std::uint64_t pick)
        : m_costs(costs)
        , m_request(request)
        , m_candidates(candidates)
        , m_rule(rule)
        , m_pick(pick)
    { }

    std::optional<Placement> inOneMemory()
    {
        for (const auto count : HelperCounts) {
            if (count > 0 && !worthSplitting(count)) {
                break;
            }
            const auto part = partMs(m_costs, m_request.prompt.promptTokens, count + 1);
            const auto readers = bestReaders(part, count + 1);
            for (std::size_t i = 0; i < m_candidates.size(); ++i) {
                if (mayAnswer(i) && freeMemory(i) >= m_request.prompt.memoryTokens()) {
                    consider(i, readers, count, part);
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
        auto missing = m_request.prompt.memoryTokens() - freeMemory(*target);
        for (const auto holder : byFreeMemory(*target)) {
            const auto free = freeMemory(holder) / MemoryBlock * MemoryBlock;
            if (missing <= 0 || free < LeastHolding || placement.holdings.size() == mostHelpers()) {
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
        const auto part = partMs(m_costs, m_request.prompt.promptTokens, placement.helpers.size() + 1);
        placement.partRead = absl::Milliseconds(part);
        placement.expected = absl::Milliseconds(firstEventMs(placement.target, placement.helpers, part));
        return placement;
    }

private:
    [[nodiscard]] std::size_t mostHelpers() const
    {
        return static_cast<std::size_t>(m_rule.mostHelpers);
    }

    [[nodiscard]] bool worthSplitting(std::size_t helpers) const
    {
        const auto part = m_request.prompt.promptTokens / static_cast<std::int64_t>(helpers + 1);
        return part >= m_rule.leastPartTokens && helpers <= mostHelpers();
    }

    /// Whether the engine has a slot, and not more to read than requests should wait for there.
    [[nodiscard]] bool hasRoom(std::size_t candidate) const
    {
        const auto &at = m_candidates[candidate];
        const auto requests = static_cast<double>(at.load.requests + at.unseen.requests);
        const auto ahead = aheadMs(at.load) + aheadMs(at.unseen);
        if (m_request.mayQueue) {
            return requests < at.slots * (1 + m_rule.queueShare) && ahead <= m_rule.mostQueueMs;
        }
        return requests < at.slots && ahead <= (m_request.tight ? m_rule.mostAheadTightMs : m_rule.mostAheadLooseMs);
    }

    [[nodiscard]] bool mayAnswer(std::size_t candidate) const
    {
        const auto &at = m_candidates[candidate];
        return at.mayAnswer && (m_request.tight || !at.tightOnly) && hasRoom(candidate);
    }

    [[nodiscard]] std::int64_t freeMemory(std::size_t candidate) const
    {
        const auto total = static_cast<std::int64_t>(static_cast<double>(m_costs.memoryTokens) * m_rule.memoryShare);
        return total - m_candidates[candidate].load.memoryTokens;
    }

    [[nodiscard]] bool mayHelp(std::size_t candidate) const
    {
        const auto &at = m_candidates[candidate];
        return at.mayHelp && !at.tightOnly && at.load.parts + at.unseen.parts < at.slots;
    }

    [[nodiscard]] static double aheadMs(const Outstanding &load)
    {
        return static_cast<double>(std::max<std::int64_t>(load.readMicros + load.partMicros, 0)) / MicrosPerMs;
    }

    /// Time until an engine has read a part behind what is there.
    [[nodiscard]] double finishMs(std::size_t candidate, double part) const
    {
        const auto &load = m_candidates[candidate].load;
        const auto pass = passMs(m_costs, load);
        return aheadMs(load) + part + pass + pass / 2; // In the mean, half of a pass is under way.
    }

    /// Delay of the streams at an engine when it reads a part more: a pass lasts until its reading is done.
    [[nodiscard]] double harmMs(std::size_t candidate, double part) const
    {
        const auto &load = m_candidates[candidate].load;
        const auto pass = passMs(m_costs, load) + aheadMs(load) + part;
        const auto tight = static_cast<double>(load.tightWriters) * std::max(0.0, pass - m_rule.tightPassMs);
        const auto loose
            = static_cast<double>(load.writers - load.tightWriters) * std::max(0.0, pass - m_rule.loosePassMs);
        return (tight + loose) * m_rule.harmWeight;
    }

    [[nodiscard]] double farMs(std::size_t candidate) const
    {
        return m_candidates[candidate].atHome ? 0 : m_rule.otherDomainCostMs;
    }

    /// Engines that can read a part soonest and with the least harm, best first.
    [[nodiscard]] std::vector<std::size_t> bestReaders(double part, std::size_t most) const
    {
        std::vector<std::pair<double, std::size_t>> order;
        for (std::size_t i = 0; i < m_candidates.size(); ++i) {
            if (mayHelp(i)) {
                order.emplace_back(finishMs(i, part) + harmMs(i, part) + farMs(i) + JitterMs * jitter(m_pick, i), i);
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

    [[nodiscard]] double firstEventMs(std::size_t target, const std::vector<std::size_t> &helpers, double part) const
    {
        auto last = finishMs(target, part);
        for (const auto helper : helpers) {
            last = std::max(last, finishMs(helper, part));
        }
        return last;
    }

    [[nodiscard]] double costOf(std::size_t target, const std::vector<std::size_t> &helpers, double part,
                                double expected) const
    {
        const auto inTime = absl::ToDoubleMilliseconds(m_request.aim) * m_rule.aimShare;
        auto cost = expected * m_rule.expectedWeight + std::max(0.0, expected - inTime) * m_rule.lateWeight;
        cost += harmMs(target, part) + farMs(target) + JitterMs * jitter(m_pick, target);
        for (const auto helper : helpers) {
            cost += harmMs(helper, part) + m_rule.helperCostMs;
        }
        const auto &load = m_candidates[target].load;
        const bool gathersHere = m_candidates[target].tightOnly || load.tightWriters > 0;
        const bool firstTight = m_request.tight && !gathersHere;
        return cost + (firstTight ? m_rule.firstTightCostMs : 0);
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
        const auto expected = firstEventMs(target, helpers, part);
        const auto cost = costOf(target, helpers, part, expected);
        if (cost < m_bestCost) {
            m_bestCost = cost;
            m_best = Placement{target, std::move(helpers), {}, absl::Milliseconds(expected), absl::Milliseconds(part)};
        }
    }

    [[nodiscard]] std::optional<std::size_t> roomiest() const
    {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < m_candidates.size(); ++i) {
            if (mayAnswer(i) && (!best || freeMemory(i) > freeMemory(*best))) {
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
        const auto tokens = m_request.prompt.promptTokens;
        const auto readers = bestReaders(partMs(m_costs, tokens, mostHelpers() + 1), m_candidates.size());
        for (const auto reader : readers) {
            const bool used = reader == placement.target
                || std::find(placement.helpers.begin(), placement.helpers.end(), reader) != placement.helpers.end();
            if (used || placement.helpers.size() >= mostHelpers()) {
                continue;
            }
            auto more = placement.helpers;
            more.push_back(reader);
            const auto now = firstEventMs(placement.target, placement.helpers,
                                          partMs(m_costs, tokens, placement.helpers.size() + 1));
            const auto then = firstEventMs(placement.target, more, partMs(m_costs, tokens, more.size() + 1));
            if (now - then > m_rule.helperCostMs) {
                placement.helpers = std::move(more);
            }
        }
    }

    const config::EngineCosts &m_costs;
    const PromptRequest &m_request;
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

std::optional<Placement> placePrompt(const config::EngineCosts &costs, const PromptRequest &request,
                                     const std::vector<Candidate> &candidates, const PlacementRule &rule,
                                     std::uint64_t pick)
{
    PromptPlacer placer(costs, request, candidates, rule, pick);
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
            best = Placement{i, {}, {}, absl::ZeroDuration(), absl::ZeroDuration()};
        }
    }
    return best;
}

} // namespace spurlug::relay
