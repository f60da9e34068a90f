//----------------------------------------------------------------------------------------------------------------------
// spurlug: handles results of the engines that help to process the prompt of a relayed request
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/control/scheduler_client.h"
#include "spurlug/core/log.h"
#include "spurlug/relay/request_progress.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace spurlug::relay
{

namespace
{

/// An engine that refuses a request after this time has waited for a helper in vain; it refuses at once if the helper
/// is only busy or shutting down. Engines wait 1.5 s for a helper on the users' platform.
constexpr auto HelperWaitThreshold = absl::Milliseconds(900);

} // namespace

core::Ref<Target> RequestProgress::helperAt(const core::Address &address) const
{
    const auto &helpers = m_chosen.helpers;
    const auto found = std::find_if(helpers.begin(), helpers.end(),
                                    [&address](const auto &helper) { return helper->entry.address == address; });
    return found == helpers.end() ? nullptr : *found;
}

void RequestProgress::recordReservationRefusal(const core::Ref<Target> &helper, core::Time now)
{
    helper->helpBackoff.noteRefusal(now);
    core::log(core::LogLevel::Info, "memory_refused", {{"request", m_facts.id}, {"target", helper->entry.id}});
}

void RequestProgress::recordHelpFailure(const core::Ref<Target> &helper, core::Time now)
{
    m_helperCausedFailure = true;
    m_anyHelpFailed = true;
    helper->helpBackoff.noteRefusal(now);
    const auto &requester = *m_chosen.target;
    const auto &helperDomain = helper->entry.failureDomain;
    m_context.links.noteFailure(requester.entry.failureDomain, helperDomain, helper->hash, now);
    const bool silent = now - m_sentAt >= HelperWaitThreshold;
    if (silent) {
        helper->health.noteFailure(TargetFault::Timeout, m_context.ejection, now);
    }
    if (m_context.schedulerClient != nullptr) {
        m_context.schedulerClient->queueOutcome(
            {helper->hash, silent ? TargetFault::Timeout : TargetFault::Busy, requester.hash});
    }
    core::log(core::LogLevel::Info, "help_refused",
              {{"request", m_facts.id},
               {"target", helper->entry.id},
               {"domain", helperDomain},
               {"askedBy", requester.entry.id},
               {"askersDomain", requester.entry.failureDomain},
               {"silent", silent},
               {"afterMs", core::toMs(now - m_sentAt)},
               {"domainsParted", m_context.links.isDown(requester.entry.failureDomain, helperDomain, now)},
               {"targetLeftOut", helper->health.isEjected(now)}});
}

void RequestProgress::recordReachability()
{
    const auto &target = *m_chosen.target;
    const auto &targetDomain = target.entry.failureDomain;
    if (m_peer.empty()) {
        m_context.links.noteSuccess(m_context.settings.failureDomain, targetDomain);
    }
    std::set<std::string> reportedDomains{targetDomain};
    for (const auto &helper : m_chosen.helpers) {
        const auto &domain = helper->entry.failureDomain;
        helper->helpBackoff.noteSuccess();
        if (!reportedDomains.insert(domain).second) {
            continue; // One report for each failure domain is enough.
        }
        m_context.links.noteSuccess(targetDomain, domain);
        if (m_context.schedulerClient != nullptr) {
            m_context.schedulerClient->queueOutcome({helper->hash, std::nullopt, target.hash});
        }
    }
}

} // namespace spurlug::relay
