//----------------------------------------------------------------------------------------------------------------------
// spurlug: failure domains that the operator evacuates
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/evacuations.h"

#include "spurlug/core/log.h"
#include "spurlug/relay/context.h"
#include "spurlug/relay/target_notice.h"

#include <nlohmann/json.hpp>

namespace spurlug::relay
{

namespace
{

void logChange(RelayContext &context, const std::string &domain, bool evacuated, const Evacuations &reported,
               std::string_view from)
{
    context.metrics.count(metrics::Counter::EvacuationChanges);
    core::log(
        core::LogLevel::Info, evacuated ? "domain_evacuated" : "domain_taken_back",
        {{"domain", domain}, {"era", reported.position.era}, {"revision", reported.position.revision}, {"from", from}});
}

/// Treats the targets of a failure domain as warming up when its evacuation ends: they may have become slow shortly
/// before, and their entries may report that only later.
void markWarmingUp(RelayContext &context, const std::string &domain, core::Time now)
{
    for (const auto &[id, target] : context.targets.all()) {
        const auto *service = context.table ? context.table->serviceNamed(target->entry.service) : nullptr;
        if (target->entry.failureDomain == domain && service != nullptr) {
            noteWarmUp(context, *target, service->warmUpTime, "evacuation ended", now);
        }
    }
}

} // namespace

void applyEvacuations(RelayContext &context, const Evacuations &reported, std::string_view from, core::Time now)
{
    auto &known = context.evacuations;
    if (reported.position <= known.position) {
        return;
    }
    for (const auto &domain : reported.domains) {
        if (!known.domains.contains(domain)) {
            logChange(context, domain, true, reported, from);
        }
    }
    for (const auto &domain : known.domains) {
        if (!reported.domains.contains(domain)) {
            logChange(context, domain, false, reported, from);
            markWarmingUp(context, domain, now);
        }
    }
    if (known.domains != reported.domains) {
        context.targets.setEvacuatedDomains(reported.domains);
    }
    known = reported;
}

void applyRestoredEvacuations(RelayContext &context, Evacuations restored, core::Time now)
{
    restored.domains.insert(context.evacuations.domains.begin(), context.evacuations.domains.end());
    --restored.position.revision;
    applyEvacuations(context, restored, "directory", now);
}

bool evacuationsKnown(const RelayContext &context) noexcept
{
    const bool enabled = context.settings.bounds.evacuate > absl::ZeroDuration();
    return !enabled || context.evacuations.position.isKnown();
}

} // namespace spurlug::relay
