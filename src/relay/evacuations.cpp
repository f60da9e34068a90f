//----------------------------------------------------------------------------------------------------------------------
// spurlug: failure domains that the operator asks to be left alone
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/evacuations.h"

#include "spurlug/core/log.h"
#include "spurlug/relay/context.h"

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
              {{"domain", domain}, {"revision", told.revision}, {"from", from}});
}

} // namespace

void takeEvacuations(RelayContext &context, const Evacuations &told, std::string_view from, core::Time)
{
    auto &known = context.evacuations;
    if (told.revision <= known.revision) {
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
        }
    }
    if (known.domains != told.domains) {
        context.targets.evacuate(told.domains);
    }
    known = told;
}

bool evacuationsKnown(const RelayContext &context) noexcept
{
    const bool asked = context.settings.bounds.evacuate > absl::ZeroDuration();
    return !asked || context.evacuations.revision > 0;
}

} // namespace spurlug::relay
