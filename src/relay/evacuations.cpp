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

void note(RelayContext &context, const std::string &domain, bool evacuated, const Evacuations &told,
          std::string_view from)
{
    context.metrics.count(metrics::Counter::EvacuationsHeard);
    core::log(core::LogLevel::Info, evacuated ? "domain_evacuated" : "domain_taken_back",
              {{"domain", domain}, {"era", told.position.era}, {"revision", told.position.revision}, {"from", from}});
}

/// Treats the targets of a failure domain as warming up when its evacuation ends: they may have become slow shortly
/// before, and their entries may report that only later.
void takeForCold(RelayContext &context, const std::string &domain, core::Time now)
{
    for (const auto &[id, target] : context.targets.all()) {
        const auto *service = context.table ? context.table->service(target->entry.service) : nullptr;
        if (target->entry.failureDomain == domain && service != nullptr) {
            noteCold(context, *target, service->coldStart, "evacuation ended", now);
        }
    }
}

} // namespace

void takeEvacuations(RelayContext &context, const Evacuations &told, std::string_view from, core::Time now)
{
    auto &known = context.evacuations;
    if (told.position <= known.position) {
        return;
    }
    for (const auto &domain : told.domains) {
        if (!known.domains.contains(domain)) {
            note(context, domain, true, told, from);
        }
    }
    for (const auto &domain : known.domains) {
        if (!told.domains.contains(domain)) {
            note(context, domain, false, told, from);
            takeForCold(context, domain, now);
        }
    }
    if (known.domains != told.domains) {
        context.targets.evacuate(told.domains);
    }
    known = told;
}

void takeRestoredEvacuations(RelayContext &context, Evacuations told, core::Time now)
{
    told.domains.insert(context.evacuations.domains.begin(), context.evacuations.domains.end());
    --told.position.revision;
    takeEvacuations(context, told, "directory", now);
}

bool evacuationsKnown(const RelayContext &context) noexcept
{
    const bool asked = context.settings.bounds.evacuate > absl::ZeroDuration();
    return !asked || context.evacuations.position.known();
}

} // namespace spurlug::relay
