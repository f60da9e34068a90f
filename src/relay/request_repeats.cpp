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

metrics::Counter counterOf(RepeatCharge charge)
{
    switch (charge) {
    case RepeatCharge::Ratio:
        return metrics::Counter::RepeatsByRatio;
    case RepeatCharge::Slack:
        return metrics::Counter::RepeatsBySlack;
    case RepeatCharge::Refused:
        break;
    }
    return metrics::Counter::RepeatsRefused;
}

} // namespace

bool RequestProgress::takeResend(bool mayRepeat, Reason cause, core::Time now)
{
    if (m_context.crashes.quarantined(m_digest)) {
        return false; // The next target would crash as well.
    }
    ResendState state;
    state.repeatable = mayRepeat;
    state.ranSomewhere = m_ranSomewhere;
    state.targets = static_cast<int>(m_sentTo.size()) + (m_shares.empty() ? 0 : 1); // An attempt in progress counts.
    state.someRefused = !m_refusedBy.empty();
    state.attempts = m_attempts;
    state.mostTargets = m_route->mostTargets;
    state.deadline = m_deadline;
    if (!mayResend(state, now)) {
        return false;
    }
    // Attempts without a connection never reached a target, so the next attempt is not a retry.
    const bool taken = state.targets == 0 || takeRepeat(cause, now);
    if (taken) {
        m_context.metrics.countRetry(cause);
    }
    return taken;
}

bool RequestProgress::takeRepeat(Reason cause, core::Time now)
{
    const auto fleet = m_context.fleetKnowledge(now);
    const auto share = slackShare(fleet, m_context.retries.bound().window);
    const auto charge = m_context.retries.take(m_service, share, now);
    m_context.metrics.count(counterOf(charge));
    const auto use = m_context.retries.use(m_service, now);
    core::log(core::LogLevel::Info, "repeat_decided",
              {{"request", m_facts.id},
               {"attempt", m_attempts},
               {"service", m_service},
               {"cause", core::nameOf(cause)},
               {"charge", core::nameOf(charge)},
               {"requests", use.requests},
               {"repeats", use.repeats},
               {"slackShare", share},
               {"largestDomain", fleet.largest},
               {"domains", fleet.domains},
               {"hearsOthers", fleet.hearsOthers},
               {"lifeMs", core::toMs(fleet.life)}});
    if (charge == RepeatCharge::Refused) {
        return false;
    }
    m_repeatCause = cause;
    return true;
}

} // namespace spurlug::relay
