//----------------------------------------------------------------------------------------------------------------------
// spurlug: quarantine of requests that crash their targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/control/crash_exchange.h"
#include "spurlug/core/http_status.h"
#include "spurlug/core/log.h"
#include "spurlug/relay/request_progress.h"

#include <nlohmann/json.hpp>

namespace spurlug::relay
{

namespace
{

/// Only few trials are allowed in the whole fleet, so one daemon makes them: the first holder of the scheduler role. If
/// two daemons briefly disagree about who that is, one more target may crash.
bool sendsTrials(const RelayContext &context)
{
    const auto holders = context.roster.holders(control::Role::Scheduler, 1);
    return !holders.empty() && holders.front().vm == context.settings.vm;
}

} // namespace

std::optional<Refusal> RequestProgress::refuseQuarantined(core::Time now)
{
    auto &crashes = m_context.crashes;
    if (m_isTrial || !crashes.isQuarantined(m_digest)) {
        return std::nullopt;
    }
    m_isTrial = m_attempts == 0 && sendsTrials(m_context) && crashes.tryStartTrial(m_digest, now);
    if (!m_isTrial) {
        return refuse(core::Reason::CrashesTargets, now);
    }
    m_context.metrics.count(metrics::Counter::QuarantineTrials);
    core::log(core::LogLevel::Warning, "quarantine_trial",
              {{"request", m_facts.id}, {"digest", core::toHex(m_digest)}, {"ends", crashes.crashCount(m_digest)}});
    return std::nullopt;
}

void RequestProgress::recordTargetCrash(const core::Ref<Target> &target, core::Time now)
{
    auto &crashes = m_context.crashes;
    const bool wasQuarantined = crashes.isQuarantined(m_digest);
    const bool counts = crashes.noteCrash(m_digest, target->hash, now);
    m_context.metrics.count(metrics::Counter::TargetCrashesUnderWork);
    core::log(
        core::LogLevel::Info, "target_ended_under_work",
        {{"request", m_facts.id},
         {"digest", core::toHex(m_digest)},
         {"target", target->entry.id},
         {"parts", partsForLog()},
         {"afterMs", core::toMs(now - m_sentAt)},
         {"firstEventMs", m_attemptAnsweredAt == absl::InfinitePast() ? -1 : core::toMs(now - m_attemptAnsweredAt)},
         {"counts", counts},
         {"ends", crashes.crashCount(m_digest)}});
    if (!wasQuarantined && crashes.isQuarantined(m_digest)) {
        m_context.metrics.count(metrics::Counter::WorkQuarantined);
        core::log(core::LogLevel::Warning, "work_quarantined",
                  {{"digest", core::toHex(m_digest)}, {"ends", crashes.crashCount(m_digest)}, {"from", "own request"}});
    }
    if (m_context.crashExchange != nullptr) {
        m_context.crashExchange->publishChanges(now);
    }
}

void RequestProgress::recordSuccess(core::Time now)
{
    auto &crashes = m_context.crashes;
    const bool wasQuarantined = crashes.isQuarantined(m_digest);
    if (!crashes.noteSuccess(m_digest, now)) {
        return;
    }
    if (wasQuarantined) {
        m_context.metrics.count(metrics::Counter::QuarantinesLifted);
        core::log(core::LogLevel::Warning, "quarantine_lifted",
                  {{"digest", core::toHex(m_digest)}, {"ends", crashes.crashCount(m_digest)}, {"from", "own request"}});
    }
    if (m_context.crashExchange != nullptr) {
        m_context.crashExchange->publishChanges(now);
    }
}

} // namespace spurlug::relay
