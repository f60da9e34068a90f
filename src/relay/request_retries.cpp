//----------------------------------------------------------------------------------------------------------------------
// spurlug: whether a relayed request is retried
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/log.h"
#include "spurlug/relay/request_progress.h"

#include <nlohmann/json.hpp>

namespace spurlug::relay
{

namespace
{

using core::Reason;

metrics::Counter retryCounter(RetryCharge charge)
{
    switch (charge) {
    case RetryCharge::Ratio:
        return metrics::Counter::RetriesByRatio;
    case RetryCharge::Slack:
        return metrics::Counter::RetriesBySlack;
    case RetryCharge::Refused:
        break;
    }
    return metrics::Counter::RetriesRefused;
}

} // namespace

bool RequestProgress::allowRetry(bool isRepeatable, Reason cause, core::Time now)
{
    if (isQuarantined()) {
        return false; // The next target would crash as well.
    }
    RetryConditions state;
    state.repeatable = isRepeatable;
    state.mayHaveRun = m_mayHaveRun;
    state.targetCount
        = static_cast<int>(m_sentTo.size()) + (m_localWork.empty() ? 0 : 1); // An attempt in progress counts.
    state.anyRefused = !m_refusingTargets.empty();
    state.attempts = m_attempts;
    state.maxTargets = m_route->maxTargets;
    state.deadline = std::min(m_deadline, latestStart());
    if (!mayRetry(state, now)) {
        return false;
    }
    // Attempts without a connection never reached a target, so the next attempt is not a retry.
    const bool allowed = state.targetCount == 0 || chargeRetryBudget(cause, now);
    if (allowed) {
        m_context.metrics.countRetry(cause);
    }
    return allowed;
}

bool RequestProgress::chargeRetryBudget(Reason cause, core::Time now)
{
    const auto fleet = m_context.fleetView(now);
    const auto share = slackShare(fleet, m_context.retries.limit().window);
    const auto charge = m_context.retries.charge(m_service, share, now);
    m_context.metrics.count(retryCounter(charge));
    const auto use = m_context.retries.usage(m_service, now);
    core::log(core::LogLevel::Info, "repeat_decided",
              {{"request", m_facts.id},
               {"attempt", m_attempts},
               {"service", m_service},
               {"cause", core::nameOf(cause)},
               {"charge", core::nameOf(charge)},
               {"requests", use.requests},
               {"repeats", use.retries},
               {"slackShare", share},
               {"largestDomain", fleet.domainSize},
               {"domains", fleet.domainCount},
               {"hearsOthers", fleet.hearsPeers},
               {"lifeMs", core::toMs(fleet.uptime)}});
    if (charge == RetryCharge::Refused) {
        return false;
    }
    m_retryCause = cause;
    return true;
}

} // namespace spurlug::relay
