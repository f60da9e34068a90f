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

int toWholeSeconds(core::Duration wait)
{
    return std::max(1, static_cast<int>(std::ceil(absl::ToDoubleSeconds(wait))));
}

} // namespace

OrganisationLimiter::LongPromptSlot::~LongPromptSlot()
{
    if (m_limiter != nullptr) {
        m_limiter->releaseSlot(m_organisation);
    }
}

void OrganisationLimiter::setDaemonCount(std::size_t daemonCount)
{
    absl::MutexLock lock(&m_mutex);
    m_daemonCount = std::max<std::size_t>(daemonCount, 1);
}

OrganisationLimiter::State &OrganisationLimiter::stateOf(const config::Organisation &organisation, core::Time now)
{
    auto &state = m_states[organisation.name];
    const double tokenRate = organisation.maxPromptTokensPerMinute / SecondsPerMinute;
    const bool changed = state.daemonCount != m_daemonCount || state.requestRate != organisation.maxRequestsPerSecond
        || state.tokenRate != tokenRate;
    if (changed) {
        const auto share = 1.0 / static_cast<double>(m_daemonCount);
        const double requestShare = organisation.maxRequestsPerSecond * share;
        state.requests.setRate(requestShare, std::max(1.0, requestShare * BurstSeconds), now);
        state.tokens.setRate(tokenRate * share, std::max(1.0, tokenRate * share * BurstSeconds), now);
        state.daemonCount = m_daemonCount;
        state.requestRate = organisation.maxRequestsPerSecond;
        state.tokenRate = tokenRate;
    }
    return state;
}

OrganisationLimiter::LongPromptSlot OrganisationLimiter::admit(const config::Organisation &organisation,
                                                               std::int64_t tokens, bool isLong, core::Time now)
{
    absl::MutexLock lock(&m_mutex);
    auto &state = stateOf(organisation, now);
    const auto maxLongPrompts
        = std::max<std::int64_t>(1, organisation.maxConcurrentLongPrompts / static_cast<std::int64_t>(m_daemonCount));
    if (isLong && organisation.maxConcurrentLongPrompts > 0 && state.longPrompts >= maxLongPrompts) {
        throw Refused(Reason::LongPrompts, "too many long prompts of this organisation are in progress", 1);
    }
    if (organisation.maxRequestsPerSecond > 0 && !state.requests.take(1, now)) {
        throw Refused(Reason::RequestRate, "the organisation's request rate is used up",
                      toWholeSeconds(state.requests.waitTime(1)));
    }
    const auto units = static_cast<double>(tokens);
    if (organisation.maxPromptTokensPerMinute > 0 && !state.tokens.take(units, now)) {
        throw Refused(Reason::TokenBudget, "the organisation's prompt tokens are used up",
                      toWholeSeconds(state.tokens.waitTime(units)));
    }
    if (!isLong) {
        return {};
    }
    ++state.longPrompts;
    return {this, organisation.name};
}

void OrganisationLimiter::releaseSlot(const std::string &organisation)
{
    absl::MutexLock lock(&m_mutex);
    --m_states[organisation].longPrompts;
}

} // namespace spurlug::limits
