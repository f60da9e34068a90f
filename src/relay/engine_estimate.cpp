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
constexpr auto FreshLoadAge = absl::Milliseconds(70);

double prefillMs(const Outstanding &load) noexcept
{
    constexpr double MicrosPerMs = 1000;
    return static_cast<double>(std::max<std::int64_t>(load.prefillMicros + load.partPrefillMicros, 0)) / MicrosPerMs;
}

} // namespace

EngineEstimate::EngineEstimate(const config::EngineCosts &costs, const PromptRequest &request,
                               const std::vector<Candidate> &candidates, const PlacementWeights &weights,
                               std::uint64_t randomValue)
    : m_costs(costs)
    , m_request(request)
    , m_candidates(candidates)
    , m_weights(weights)
    , m_randomValue(randomValue)
{ }

std::size_t EngineEstimate::size() const noexcept
{
    return m_candidates.size();
}

const Candidate &EngineEstimate::at(std::size_t candidate) const noexcept
{
    return m_candidates[candidate];
}

bool EngineEstimate::servesShortGaps(std::size_t candidate) const noexcept
{
    return at(candidate).reservedForShortGaps || at(candidate).load.shortGapRequests > 0;
}

bool EngineEstimate::hasSlot(std::size_t candidate) const noexcept
{
    const auto &engine = at(candidate);
    return engine.mayAnswer && engine.load.requests < engine.slots;
}

bool EngineEstimate::acceptsPart(std::size_t candidate) const noexcept
{
    const auto &engine = at(candidate);
    return engine.mayHelp && engine.load.prefillParts < engine.slots;
}

std::int64_t EngineEstimate::freeMemory(std::size_t candidate) const noexcept
{
    const auto total = static_cast<std::int64_t>(static_cast<double>(m_costs.kvMemoryTokens) * m_weights.memoryShare);
    return total - at(candidate).load.memoryTokens;
}

bool EngineEstimate::fitsPrompt(std::size_t candidate) const noexcept
{
    return freeMemory(candidate) >= m_request.prompt.maxMemoryTokens();
}

double EngineEstimate::passMs(std::size_t candidate) const noexcept
{
    return decodePassMs(m_costs, at(candidate).load) * at(candidate).speed;
}

double EngineEstimate::partMs(std::size_t candidate, double part) const noexcept
{
    return part * at(candidate).speed;
}

double EngineEstimate::queuedPrefillMs(std::size_t candidate) const noexcept
{
    return prefillMs(at(candidate).load) * at(candidate).speed;
}

double EngineEstimate::finishMs(std::size_t candidate, double part) const noexcept
{
    const auto pass = passMs(candidate);
    return queuedPrefillMs(candidate) + partMs(candidate, part) + pass
        + pass / 2; // On average, half of a batch pass is still in progress.
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
    const auto queuedRequests = engine.load.requests + 1 - engine.slots;
    if (queuedRequests <= 0) {
        return 0;
    }
    const auto stepMs = passMs(candidate) / m_costs.stepsPerPass;
    const auto answerMs = stepMs * static_cast<double>(m_costs.meanAnswerTokens);
    return answerMs * static_cast<double>(queuedRequests) / engine.slots;
}

double EngineEstimate::streamDelayCost(std::size_t candidate, double part) const noexcept
{
    const auto &load = at(candidate).load;
    const auto pass = passMs(candidate) + queuedPrefillMs(candidate) + partMs(candidate, part);
    const auto longGapStreams = std::max<std::int64_t>(load.decodingRequests - load.shortGapRequests, 0);
    const auto shortGapDelayMs = static_cast<double>(load.shortGapRequests)
        * std::max(0.0, pass - maxPassMs(m_request.toleratedGaps.shortGapStreams));
    const auto longGapDelayMs
        = static_cast<double>(longGapStreams) * std::max(0.0, pass - maxPassMs(otherStreamsGap(candidate)));
    return (shortGapDelayMs + longGapDelayMs) * m_weights.harmWeight;
}

double EngineEstimate::maxPassMs(core::Duration gap) const noexcept
{
    return absl::ToDoubleMilliseconds(gap) * m_weights.passShare;
}

std::int64_t EngineEstimate::middleStreams(std::size_t candidate) const noexcept
{
    const auto &load = at(candidate).load;
    return std::max<std::int64_t>(load.requests - load.shortGapRequests - load.longGapRequests, 0);
}

core::Duration EngineEstimate::otherStreamsGap(std::size_t candidate) const noexcept
{
    const auto &gaps = m_request.toleratedGaps;
    const bool onlyLongestGaps
        = m_request.gapsByEngine && at(candidate).load.longGapRequests > 0 && middleStreams(candidate) == 0;
    return onlyLongestGaps ? std::max(gaps.otherStreams, gaps.longestGap) : gaps.otherStreams;
}

bool EngineEstimate::staysInTime(std::size_t candidate, double part) const noexcept
{
    const auto &load = at(candidate).load;
    const auto queuedMs = queuedPrefillMs(candidate);
    if (!servesShortGaps(candidate) && load.requests == 0) {
        return queuedMs <= m_weights.emptyAheadMs; // No stream waits for its passes.
    }
    const auto gap = servesShortGaps(candidate) ? m_request.toleratedGaps.shortGapStreams : otherStreamsGap(candidate);
    return passMs(candidate) + queuedMs + partMs(candidate, part) <= maxPassMs(gap);
}

double EngineEstimate::networkCostMs(std::size_t candidate) const noexcept
{
    const auto staleness = std::max(1.0, absl::FDivDuration(m_request.loadAge, FreshLoadAge));
    const auto jitter = JitterMs * staleness * choiceJitter(m_randomValue, candidate);
    return (at(candidate).isLocalDomain ? 0 : m_weights.otherDomainCostMs) + jitter;
}

bool EngineEstimate::isConsidered(std::size_t candidate) const noexcept
{
    constexpr std::uint64_t Salt = 0x94D049BB133111EBULL; // Makes the draws independent of the jitter.
    return choiceJitter(m_randomValue ^ Salt, candidate) * absl::FDivDuration(m_request.loadAge, FreshLoadAge) <= 1;
}

double EngineEstimate::prefillCost(std::size_t candidate, double part) const noexcept
{
    return finishMs(candidate, part) + streamDelayCost(candidate, part) + networkCostMs(candidate);
}

} // namespace spurlug::relay
