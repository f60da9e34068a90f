//----------------------------------------------------------------------------------------------------------------------
// spurlug: ring buffer of the latest routing decisions
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/explain/decision_ring.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace spurlug::explain
{

namespace
{

nlohmann::ordered_json msOrNull(core::Duration duration)
{
    if (duration == absl::InfiniteDuration()) {
        return nullptr;
    }
    return absl::ToDoubleMilliseconds(duration);
}

nlohmann::ordered_json toJson(const routing::Candidate &candidate)
{
    nlohmann::ordered_json out{{"target", candidate.id}, {"expectedTtftMs", msOrNull(candidate.estimatedTtft)}};
    if (!candidate.usable) {
        out["notUsed"] = candidate.unusableReason;
    }
    return out;
}

nlohmann::ordered_json toJson(const AttemptRecord &attempt)
{
    nlohmann::ordered_json out{{"atMs", msOrNull(attempt.startedAfter)},
                               {"chosen", attempt.chosen},
                               {"outcome", core::nameOf(attempt.outcome)},
                               {"reason", core::nameOf(attempt.reason)}};
    if (!attempt.detail.empty()) {
        out["detail"] = attempt.detail;
    }
    out["candidates"] = nlohmann::ordered_json::array();
    for (const auto &candidate : attempt.candidates) {
        out["candidates"].push_back(toJson(candidate));
    }
    return out;
}

} // namespace

nlohmann::ordered_json toJson(const Decision &decision)
{
    nlohmann::ordered_json out{{"requestId", decision.requestId},
                               {"organisation", decision.organisation},
                               {"class", decision.requestClass},
                               {"route", decision.route},
                               {"generation", decision.generation},
                               {"promptTokens", decision.promptTokens},
                               {"engines", decision.engines},
                               {"deadlineMs", msOrNull(decision.deadline)},
                               {"waitedForGrantMs", msOrNull(decision.waitedForGrant)},
                               {"firstTokenMs", msOrNull(decision.timeToFirstToken)},
                               {"totalMs", msOrNull(decision.total)},
                               {"outcome", core::nameOf(decision.outcome)},
                               {"reason", core::nameOf(decision.reason)}};
    out["attempts"] = nlohmann::ordered_json::array();
    for (const auto &attempt : decision.attempts) {
        out["attempts"].push_back(toJson(attempt));
    }
    return out;
}

DecisionRing::DecisionRing(std::size_t capacity)
    : m_capacity(capacity)
{ }

void DecisionRing::add(Decision decision)
{
    absl::MutexLock lock(&m_mutex);
    m_numberByRequest[decision.requestId] = m_firstNumber + m_decisions.size();
    m_decisions.push_back(std::move(decision));
    if (m_decisions.size() > m_capacity) {
        m_numberByRequest.erase(m_decisions.front().requestId);
        m_decisions.pop_front();
        ++m_firstNumber;
    }
}

std::optional<Decision> DecisionRing::find(const std::string &requestId) const
{
    absl::MutexLock lock(&m_mutex);
    const auto number = m_numberByRequest.find(requestId);
    if (number == m_numberByRequest.end()) {
        return std::nullopt;
    }
    return m_decisions[number->second - m_firstNumber];
}

std::pair<std::vector<Decision>, std::uint64_t> DecisionRing::decisionsAfter(std::uint64_t after, std::size_t max) const
{
    std::vector<Decision> found;
    absl::MutexLock lock(&m_mutex);
    const auto start = std::max(after + 1, m_firstNumber);
    for (auto number = start; number < m_firstNumber + m_decisions.size() && found.size() < max; ++number) {
        found.push_back(m_decisions[number - m_firstNumber]);
    }
    return {std::move(found), start + found.size() - 1};
}

} // namespace spurlug::explain
