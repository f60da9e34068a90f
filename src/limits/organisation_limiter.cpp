//----------------------------------------------------------------------------------------------------------------------
// spurlug: this daemon's share of the organisations' limits
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/limits/organisation_limiter.h"

#include "spurlug/core/error.h"

#include <algorithm>
#include <cmath>

namespace spurlug::limits
{

namespace
{

using core::Reason;
using core::Refused;

constexpr double SecondsPerMinute = 60;
constexpr double BurstSeconds = 1;

int secondsUntil(core::Duration wait)
{
    return std::max(1, static_cast<int>(std::ceil(absl::ToDoubleSeconds(wait))));
}

} // namespace

OrganisationLimiter::LongPlace::~LongPlace()
{
    if (m_limiter != nullptr) {
        m_limiter->endLong(m_organisation);
    }
}

void OrganisationLimiter::setDaemons(std::size_t daemons)
{
    absl::MutexLock lock(&m_mutex);
    m_daemons = std::max<std::size_t>(daemons, 1);
}

OrganisationLimiter::State &OrganisationLimiter::stateOf(const config::Organisation &organisation, core::Time now)
{
    auto &state = m_states[organisation.name];
    const double tokenRate = organisation.promptTokensPerMinute / SecondsPerMinute;
    const bool changed = state.daemons != m_daemons || state.requestRate != organisation.requestsPerSecond
        || state.tokenRate != tokenRate;
    if (changed) {
        const auto share = 1.0 / static_cast<double>(m_daemons);
        const double requests = organisation.requestsPerSecond * share;
        state.requests.setRate(requests, std::max(1.0, requests * BurstSeconds), now);
        state.tokens.setRate(tokenRate * share, std::max(1.0, tokenRate * share * BurstSeconds), now);
        state.daemons = m_daemons;
        state.requestRate = organisation.requestsPerSecond;
        state.tokenRate = tokenRate;
    }
    return state;
}

OrganisationLimiter::LongPlace OrganisationLimiter::take(const config::Organisation &organisation, std::int64_t tokens,
                                                         bool isLong, core::Time now)
{
    absl::MutexLock lock(&m_mutex);
    auto &state = stateOf(organisation, now);
    const auto longShare
        = std::max<std::int64_t>(1, organisation.longPromptsAtOnce / static_cast<std::int64_t>(m_daemons));
    if (isLong && organisation.longPromptsAtOnce > 0 && state.longPrompts >= longShare) {
        throw Refused(Reason::LongPrompts, "too many long prompts of this organisation are in progress", 1);
    }
    if (organisation.requestsPerSecond > 0 && !state.requests.take(1, now)) {
        throw Refused(Reason::RequestRate, "the organisation's request rate is used up",
                      secondsUntil(state.requests.wait(1)));
    }
    const auto units = static_cast<double>(tokens);
    if (organisation.promptTokensPerMinute > 0 && !state.tokens.take(units, now)) {
        throw Refused(Reason::TokenBudget, "the organisation's prompt tokens are used up",
                      secondsUntil(state.tokens.wait(units)));
    }
    if (!isLong) {
        return {};
    }
    ++state.longPrompts;
    return {this, organisation.name};
}

void OrganisationLimiter::endLong(const std::string &organisation)
{
    absl::MutexLock lock(&m_mutex);
    --m_states[organisation].longPrompts;
}

} // namespace spurlug::limits
