//----------------------------------------------------------------------------------------------------------------------
// spurlug: estimates of how an engine would process a prompt, or a part of one, beside its current work
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/engine_estimate.h"

#include <algorithm>

namespace spurlug::relay
{

namespace
{

constexpr double JitterMs = 4; // Makes daemons that see the same loads choose differently.
/// Load age up to which this jitter suffices; the older the loads, the more daemons choose by the same ones.
constexpr auto FreshLoads = absl::Milliseconds(70);

double readingMs(const Outstanding &load) noexcept
{
    constexpr double MicrosPerMs = 1000;
    return static_cast<double>(std::max<std::int64_t>(load.readMicros + load.partMicros, 0)) / MicrosPerMs;
}

} // namespace

EngineEstimate::EngineEstimate(const config::EngineCosts &costs, const PromptRequest &request,
                               const std::vector<Candidate> &candidates, const PlacementRule &rule, std::uint64_t pick)
    : m_costs(costs)
    , m_request(request)
    , m_candidates(candidates)
    , m_rule(rule)
    , m_pick(pick)
{ }

std::size_t EngineEstimate::size() const noexcept
{
    return m_candidates.size();
}

const Candidate &EngineEstimate::at(std::size_t candidate) const noexcept
{
    return m_candidates[candidate];
}

bool EngineEstimate::servesTight(std::size_t candidate) const noexcept
{
    return at(candidate).tightOnly || at(candidate).load.tightRequests > 0;
}

bool EngineEstimate::hasSlot(std::size_t candidate) const noexcept
{
    const auto &engine = at(candidate);
    return engine.mayAnswer && engine.load.requests < engine.slots;
}

bool EngineEstimate::takesPart(std::size_t candidate) const noexcept
{
    const auto &engine = at(candidate);
    return engine.mayHelp && engine.load.parts < engine.slots;
}

std::int64_t EngineEstimate::freeMemory(std::size_t candidate) const noexcept
{
    const auto total = static_cast<std::int64_t>(static_cast<double>(m_costs.memoryTokens) * m_rule.memoryShare);
    return total - at(candidate).load.memoryTokens;
}

bool EngineEstimate::holdsPrompt(std::size_t candidate) const noexcept
{
    return freeMemory(candidate) >= m_request.prompt.memoryTokens();
}

double EngineEstimate::aheadMs(std::size_t candidate) const noexcept
{
    return readingMs(at(candidate).load);
}

double EngineEstimate::finishMs(std::size_t candidate, double part) const noexcept
{
    const auto &load = at(candidate).load;
    const auto pass = passMs(m_costs, load);
    return readingMs(load) + part + pass + pass / 2; // On average, half of a batch pass is still in progress.
}

double EngineEstimate::finishMs(std::size_t target, const std::vector<std::size_t> &helpers, double part) const noexcept
{
    auto last = finishMs(target, part);
    for (const auto helper : helpers) {
        last = std::max(last, finishMs(helper, part));
    }
    return last;
}

double EngineEstimate::slotWaitMs(std::size_t candidate) const noexcept
{
    const auto &engine = at(candidate);
    const auto beyond = engine.load.requests + 1 - engine.slots;
    if (beyond <= 0) {
        return 0;
    }
    const auto stepMs = passMs(m_costs, engine.load) / m_costs.stepsPerPass;
    const auto answerMs = stepMs * static_cast<double>(m_costs.usualAnswer);
    return answerMs * static_cast<double>(beyond) / engine.slots;
}

double EngineEstimate::harmMs(std::size_t candidate, double part) const noexcept
{
    const auto &load = at(candidate).load;
    const auto pass = passMs(m_costs, load) + readingMs(load) + part;
    const auto loose = std::max<std::int64_t>(load.writers - load.tightRequests, 0);
    const auto tightHarm
        = static_cast<double>(load.tightRequests) * std::max(0.0, pass - longestPassMs(m_request.pauses.tight));
    const auto looseHarm = static_cast<double>(loose) * std::max(0.0, pass - longestPassMs(m_request.pauses.loose));
    return (tightHarm + looseHarm) * m_rule.harmWeight;
}

double EngineEstimate::longestPassMs(core::Duration pause) const noexcept
{
    return absl::ToDoubleMilliseconds(pause) * m_rule.passShare;
}

bool EngineEstimate::staysCalm(std::size_t candidate, double part) const noexcept
{
    const auto &load = at(candidate).load;
    const auto ahead = aheadMs(candidate);
    if (!servesTight(candidate) && load.requests == 0) {
        return ahead <= m_rule.emptyAheadMs; // No stream waits for its passes.
    }
    const auto &pauses = m_request.pauses;
    return passMs(m_costs, load) + ahead + part <= longestPassMs(servesTight(candidate) ? pauses.tight : pauses.loose);
}

double EngineEstimate::wayMs(std::size_t candidate) const noexcept
{
    const auto staleness = std::max(1.0, absl::FDivDuration(m_request.loadAge, FreshLoads));
    const auto jitter = JitterMs * staleness * choiceJitter(m_pick, candidate);
    return (at(candidate).atHome ? 0 : m_rule.otherDomainCostMs) + jitter;
}

bool EngineEstimate::considered(std::size_t candidate) const noexcept
{
    constexpr std::uint64_t Salt = 0x94D049BB133111EBULL; // Makes the draws independent of the jitter.
    return choiceJitter(m_pick ^ Salt, candidate) * absl::FDivDuration(m_request.loadAge, FreshLoads) <= 1;
}

double EngineEstimate::readingCost(std::size_t candidate, double part) const noexcept
{
    return finishMs(candidate, part) + harmMs(candidate, part) + wayMs(candidate);
}

} // namespace spurlug::relay
