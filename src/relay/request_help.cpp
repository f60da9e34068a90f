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
constexpr auto HelperStall = absl::Milliseconds(900);

} // namespace

core::Ref<Target> RequestProgress::helperAt(const core::Address &address) const
{
    const auto &helpers = m_current.helpers;
    const auto found = std::find_if(helpers.begin(), helpers.end(),
                                    [&address](const auto &helper) { return helper->entry.address == address; });
    return found == helpers.end() ? nullptr : *found;
}

void RequestProgress::memoryRefused(const core::Ref<Target> &helper, core::Time now)
{
    helper->helpPause.refused(now);
    core::log(core::LogLevel::Info, "memory_refused", {{"request", m_facts.id}, {"target", helper->entry.id}});
}

void RequestProgress::helpRefused(const core::Ref<Target> &helper, core::Time now)
{
    m_helperAtFault = true;
    m_someHelpRefused = true;
    helper->helpPause.refused(now);
    const auto &asker = *m_current.target;
    const auto &to = helper->entry.failureDomain;
    m_context.links.failed(asker.entry.failureDomain, to, helper->hash, now);
    const bool silent = now - m_sentAt >= HelperStall;
    if (silent) {
        helper->health.failed(TargetFault::Silent, m_context.ejection, now);
    }
    if (m_context.scheduling != nullptr) {
        m_context.scheduling->outcome({helper->hash, silent ? TargetFault::Silent : TargetFault::Busy, asker.hash});
    }
    core::log(core::LogLevel::Info, "help_refused",
              {{"request", m_facts.id},
               {"target", helper->entry.id},
               {"domain", to},
               {"askedBy", asker.entry.id},
               {"askersDomain", asker.entry.failureDomain},
               {"silent", silent},
               {"afterMs", core::toMs(now - m_sentAt)},
               {"domainsParted", m_context.links.parted(asker.entry.failureDomain, to, now)},
               {"targetLeftOut", helper->health.ejected(now)}});
}

void RequestProgress::noteReached()
{
    const auto &target = *m_current.target;
    const auto &home = target.entry.failureDomain;
    m_context.links.reached(m_context.settings.failureDomain, home);
    std::set<std::string> told{home};
    for (const auto &helper : m_current.helpers) {
        const auto &domain = helper->entry.failureDomain;
        helper->helpPause.accepted();
        if (!told.insert(domain).second) {
            continue; // One report for each failure domain is enough.
        }
        m_context.links.reached(home, domain);
        if (m_context.scheduling != nullptr) {
            m_context.scheduling->outcome({helper->hash, std::nullopt, target.hash});
        }
    }
}

} // namespace spurlug::relay
