//----------------------------------------------------------------------------------------------------------------------
// spurlug: state shared by the coroutines of a relay daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/context.h"

#include "spurlug/core/hash.h"
#include "spurlug/core/log.h"
#include "spurlug/core/text.h"

#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

namespace spurlug::relay
{

namespace
{

/// Maximum age of the configuration's last confirmation, as a share of the time within which a revoked key must stop
/// working. The rest covers a directory whose answer is slightly out of date, and the transit of a request to its
/// target.
constexpr double MaxConfirmationAgeShare = 0.75;

/// Confirmations are requested every 0.3 s, or by waits of 1.2 s at most. If no attempt has ended for longer than this,
/// the process was paused; if one has, its result is the latest information available.
constexpr auto MaxConfirmationGap = absl::Milliseconds(1500);
/// A daemon receives its first configuration 14 to 62 ms after its start when 295 daemons start at once, and 20 to
/// 160 ms when 72 do. One that has none by then can't reach the directory, in most cases for seconds.
constexpr auto FirstReadTimeout = absl::Milliseconds(200);

/// How much longer the waits for targets are than the shortest wait for the configuration.
constexpr auto TargetsExtraWait = absl::Milliseconds(3400);

/// Fraction of a period by which this daemon is ahead of others; it differs between VMs.
double phaseOf(const std::string &vm)
{
    return static_cast<double>(core::fastHash(vm)) / static_cast<double>(UINT64_MAX);
}

FleetRetryLimit toRetryLimit(const settings::RelayBounds &bounds)
{
    FleetRetryLimit limit;
    limit.ratio = bounds.retryRatio;
    limit.window = bounds.retryWindow;
    limit.slack = bounds.retrySlack;
    return limit;
}

} // namespace

RelayContext::RelayContext(net::Loop &loop, const settings::RelaySettings &settings, metrics::Metrics &metrics,
                           core::Time startedAt)
    : loop(loop)
    , settings(settings)
    , metrics(metrics)
    , memory(settings.memory)
    , retries(toRetryLimit(settings.bounds))
    , random(core::fastHash(core::cat(settings.vm, absl::ToUnixNanos(core::now()))))
    , roster(settings.vm)
    , loadViews(settings.overload.viewMaxAge)
    , localAdmission(phaseOf(settings.vm))
    , startedAt(startedAt)
    , shutdown(settings.bounds.grace)
{ }

FleetView RelayContext::fleetView(core::Time now) const
{
    FleetView fleet;
    fleet.domainSize = largestDomainSize;
    fleet.hearsPeers = roster.size() > 1;
    fleet.hasPeers = !settings.seeds.empty();
    fleet.uptime = now - startedAt;
    fleet.domainCount = std::max<std::size_t>(settings.failureDomains.size(), 1);
    return fleet;
}

void RelayContext::takeLoadView(const overload::LoadView &view, core::Time now)
{
    if (!m_features.admission) {
        return;
    }
    switch (loadViews.accept(view, now, absl::Now())) {
    case overload::ViewVerdict::Accepted:
        metrics.count(metrics::Counter::LoadViewsAccepted);
        break;
    case overload::ViewVerdict::Known:
        break; // Several registrars send the same view.
    case overload::ViewVerdict::Outdated:
    case overload::ViewVerdict::Impossible:
        metrics.count(metrics::Counter::LoadViewsDropped);
        break;
    }
}

bool RelayContext::canCheckKeys(core::Time now) const
{
    if (!settings.bounds.failClosed) {
        return true;
    }
    return table && configurationFreshness.age(table->version, now) <= settings.bounds.revoke * MaxConfirmationAgeShare;
}

bool RelayContext::missingDataExpectedSoon(core::Reason rejectionReason, core::Time now) const
{
    if (rejectionReason == core::Reason::NotReady) {
        return now - startedAt < FirstReadTimeout;
    }
    return rejectionReason == core::Reason::StaleConfiguration && confirmationExpectedSoon(now);
}

bool RelayContext::confirmationExpectedSoon(core::Time now) const
{
    return table && !isolated && now - confirmationTriedAt > MaxConfirmationGap;
}

core::Time RelayContext::directoryAnsweredAt() const
{
    if (!table) {
        return configurationAnsweredAt; // Targets are not requested before there is a configuration.
    }
    const bool usesEvacuations = settings.bounds.evacuate > absl::ZeroDuration();
    const auto watchesAnsweredAt
        = usesEvacuations ? std::min(targetsAnsweredAt, evacuationsAnsweredAt) : targetsAnsweredAt;
    return std::min(configurationAnsweredAt, watchesAnsweredAt + TargetsExtraWait);
}

void RelayContext::activateConfiguration(config::RouteTableRef newer, std::string sourceText, std::string_view from,
                                         core::Time now)
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
               {"proofAgeMs", core::toMs(configurationFreshness.age(newer->version, now))}});
    metrics.count(metrics::Counter::ConfigurationsApplied);
    table = std::move(newer);
    m_features = overload::resolveFeatures(settings.overload, table.get());
    ejection.byEvidence = m_features.targetFeedback;
    pauses = table->gapObjectives(settings.placement.tightGap);
    document = std::move(sourceText);
}

} // namespace spurlug::relay
