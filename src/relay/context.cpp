//----------------------------------------------------------------------------------------------------------------------
// spurlug: state shared by the coroutines of a relay daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/context.h"

#include "spurlug/core/hash.h"
#include "spurlug/core/log.h"
#include "spurlug/core/text.h"

#include <nlohmann/json.hpp>

namespace spurlug::relay
{

namespace
{

/// Maximum age of the configuration's last confirmation, as a share of the time within which a revoked key must stop
/// working. The rest covers a directory whose answer is slightly out of date, and the transit of a request to its
/// target.
constexpr double OldestProofShare = 0.75;

/// Confirmations are requested every 0.3 s, or by waits of 1.2 s at most. If no attempt has ended for longer than this,
/// the process was paused; if one has, its result is the latest information available.
constexpr auto ProofTriesApart = absl::Milliseconds(1500);
/// A daemon receives its first configuration 14 to 62 ms after its start when 295 daemons start at once, and 20 to
/// 160 ms when 72 do. One that has none by then can't reach the directory, in most cases for seconds.
constexpr auto FirstReadSpan = absl::Milliseconds(200);

/// How much longer the waits for targets are than the shortest wait for the configuration.
constexpr auto TargetsSlack = absl::Milliseconds(3400);

RetryBound retryBound(const settings::RelayBounds &bounds)
{
    RetryBound bound;
    bound.ratio = bounds.retryRatio;
    bound.window = bounds.retryWindow;
    bound.slack = bounds.retrySlack;
    return bound;
}

} // namespace

RelayContext::RelayContext(net::Loop &loop, const settings::RelaySettings &settings, metrics::Metrics &metrics,
                           core::Time startedAt)
    : loop(loop)
    , settings(settings)
    , metrics(metrics)
    , retries(retryBound(settings.bounds))
    , random(core::fastHash(core::cat(settings.vm, absl::ToUnixNanos(core::now()))))
    , roster(settings.vm)
    , startedAt(startedAt)
{ }

FleetKnowledge RelayContext::fleetKnowledge(core::Time now) const
{
    FleetKnowledge fleet;
    fleet.largest = largestDomain;
    fleet.hearsOthers = roster.size() > 1;
    fleet.hasOthers = !settings.seeds.empty();
    fleet.life = now - startedAt;
    fleet.domains = std::max<std::size_t>(settings.failureDomains.size(), 1);
    return fleet;
}

bool RelayContext::keysAreFresh(core::Time now) const
{
    if (!settings.bounds.failClosed) {
        return true;
    }
    return table && configurationProof.age(table->version, now) <= settings.bounds.revoke * OldestProofShare;
}

bool RelayContext::knowledgeMayComeSoon(core::Reason lacking, core::Time now) const
{
    if (lacking == core::Reason::NotReady) {
        return now - startedAt < FirstReadSpan;
    }
    return lacking == core::Reason::StaleConfiguration && proofMayComeSoon(now);
}

bool RelayContext::proofMayComeSoon(core::Time now) const
{
    return table && !isolated && now - proofTriedAt > ProofTriesApart;
}

core::Time RelayContext::directoryHeardAt() const
{
    if (!table) {
        return configurationHeardAt; // Targets are not requested before there is a configuration.
    }
    const bool evacuates = settings.bounds.evacuate > absl::ZeroDuration();
    const auto waitsHeardAt = evacuates ? std::min(targetsHeardAt, evacuationsHeardAt) : targetsHeardAt;
    return std::min(configurationHeardAt, waitsHeardAt + TargetsSlack);
}

void RelayContext::adopt(config::RouteTableRef newer, std::string source, std::string_view from, core::Time now)
{
    if (table && newer->version <= table->version) {
        return;
    }
    core::log(core::LogLevel::Info, "configuration_in_force",
              {{"version", newer->version},
               {"before", table ? table->version : 0},
               {"from", from},
               {"routes", newer->routes.size()},
               {"keys", newer->organisationByKey.size()},
               {"proofAgeMs", core::toMs(configurationProof.age(newer->version, now))}});
    metrics.count(metrics::Counter::ConfigurationsApplied);
    table = std::move(newer);
    pauses = table->shortestPauses(settings.placement.tightGap);
    document = std::move(source);
}

} // namespace spurlug::relay
