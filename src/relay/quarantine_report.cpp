//----------------------------------------------------------------------------------------------------------------------
// spurlug: logs and counts what is put into quarantine
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/quarantine_report.h"

#include "spurlug/core/log.h"

#include <nlohmann/json.hpp>

namespace spurlug::relay
{

void reportQuarantineChanges(RelayContext &context, std::string_view from)
{
    for (const auto &change : context.crashes.takeQuarantineChanges()) {
        const auto &suspect = change.suspect;
        const bool isPart = suspect.kind == SuspectKind::PromptPart;
        const auto quarantines = isPart ? metrics::Counter::PromptPartsQuarantined : metrics::Counter::WorkQuarantined;
        context.metrics.count(change.quarantined ? quarantines : metrics::Counter::QuarantinesLifted);
        core::log(core::LogLevel::Warning, change.quarantined ? "work_quarantined" : "quarantine_lifted",
                  {{"digest", core::toHex(suspect.digest)},
                   {"kind", core::nameOf(suspect.kind)},
                   {"ends", suspect.crashes.size()},
                   {"from", from}});
    }
}

} // namespace spurlug::relay
