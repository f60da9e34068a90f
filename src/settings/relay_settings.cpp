//----------------------------------------------------------------------------------------------------------------------
// spurlug: settings of a relaying daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/settings/relay_settings.h"

#include "settings_reader.h"

namespace spurlug::settings
{

namespace
{

constexpr double MostRatio = 1000;
constexpr double MostCores = 1024;
constexpr std::int64_t MostReaders = 1000;

void readBounds(core::ObjectReader &reader, RelayBounds &bounds)
{
    bounds.drain = readMs(reader, "drainMs", bounds.drain);
    bounds.targetHeartbeat = readMs(reader, "targetHeartbeatMs", bounds.targetHeartbeat);
    bounds.grace = readMs(reader, "graceMs", bounds.grace);
    bounds.revoke = readMs(reader, "revokeMs", bounds.revoke);
    bounds.failClosed = reader.flag("failClosed", bounds.failClosed);
    bounds.retryRatio = reader.number("retryRatio", 0, MostRatio, bounds.retryRatio);
    bounds.retryWindow = readMs(reader, "retryWindowMs", bounds.retryWindow);
    bounds.retrySlack = reader.number("retrySlack", 0, MostEntries, bounds.retrySlack);
    bounds.longestHold = readMs(reader, "longestHoldMs", bounds.longestHold);
    bounds.evacuate = readMs(reader, "evacuateMs", bounds.evacuate);
    bounds.freeAfter = readMs(reader, "freeAfterMs", bounds.freeAfter);
}

void readPlacement(core::ObjectReader &reader, PlacementRule &rule)
{
    constexpr double MostMs = 1e6;
    constexpr double MostWeight = 1e6;
    constexpr std::int64_t MostEngines = 15; // An engine accepts no more helpers.
    rule.tightGap = readMs(reader, "tightGapMs", rule.tightGap);
    rule.passShare = reader.number("passShare", 0, 1, rule.passShare);
    rule.emptyAheadMs = reader.number("emptyAheadMs", 0, MostMs, rule.emptyAheadMs);
    rule.gatherCostMs = reader.number("gatherCostMs", 0, MostMs, rule.gatherCostMs);
    rule.lateSpan = reader.number("lateSpan", 0, MostWeight, rule.lateSpan);
    rule.patienceShare = reader.number("patienceShare", 0, 1, rule.patienceShare);
    rule.harmWeight = reader.number("harmWeight", 0, MostWeight, rule.harmWeight);
    rule.expectedWeight = reader.number("expectedWeight", 0, MostWeight, rule.expectedWeight);
    rule.lateWeight = reader.number("lateWeight", 0, MostWeight, rule.lateWeight);
    rule.aimShare = reader.number("aimShare", 0, 1, rule.aimShare);
    rule.helperCostMs = reader.number("helperCostMs", 0, MostMs, rule.helperCostMs);
    rule.notKeptCostMs = reader.number("notKeptCostMs", 0, MostMs, rule.notKeptCostMs);
    rule.fillCostMs = reader.number("fillCostMs", 0, MostMs, rule.fillCostMs);
    rule.otherDomainCostMs = reader.number("otherDomainCostMs", 0, MostMs, rule.otherDomainCostMs);
    rule.mostAheadTightMs = reader.number("mostAheadTightMs", 0, MostMs, rule.mostAheadTightMs);
    rule.mostQueueMs = reader.number("mostQueueMs", 0, MostMs, rule.mostQueueMs);
    rule.queueShare = reader.number("queueShare", 0, MostWeight, rule.queueShare);
    rule.tightFill = reader.number("tightFill", 0.1, 1, rule.tightFill);
    rule.tightSpare = reader.number("tightSpare", 0, MostWeight, rule.tightSpare);
    rule.tightOnlyShare = reader.number("tightOnlyShare", 0, 1, rule.tightOnlyShare);
    rule.mostHelpers = static_cast<int>(reader.integer("mostHelpers", 0, MostEngines, rule.mostHelpers));
    rule.leastPartTokens = reader.integer("leastPartTokens", 1, MostEntries, rule.leastPartTokens);
    rule.memoryShare = reader.number("memoryShare", 0, 1, rule.memoryShare);
    rule.plainQueueShare = reader.number("plainQueueShare", 0, MostWeight, rule.plainQueueShare);
}

RelaySettings readSettings(core::ObjectReader &reader)
{
    RelaySettings settings;
    settings.vm = reader.text("vm");
    settings.failureDomain = reader.text("failureDomain");
    settings.failureDomains = reader.texts("failureDomains");
    settings.region = reader.text("region", "");
    settings.callerAddress = readAddress(reader, "callerAddress");
    settings.readinessAddress = readAddress(reader, "readinessAddress");
    settings.controlAddress = readAddress(reader, "controlAddress");
    settings.peerAddress = readAddress(reader, "peerAddress");
    settings.metricsAddress = readAddress(reader, "metricsAddress");
    settings.store = readAddress(reader, "store");
    settings.seeds = readAddresses(reader, "seeds");
    settings.processorShare = reader.number("processorShare", 0, MostCores, settings.processorShare);
    settings.readersPerDomain
        = static_cast<int>(reader.integer("readersPerDomain", 1, MostReaders, settings.readersPerDomain));
    settings.logLevel = readLogLevel(reader);
    reader.object("bounds", [&](core::ObjectReader &child) { readBounds(child, settings.bounds); });
    reader.object("placement", [&](core::ObjectReader &child) { readPlacement(child, settings.placement); });
    reader.rejectOthers();
    return settings;
}

} // namespace

RelaySettings loadRelaySettings(const std::string &path)
{
    return loadChecked<RelaySettings>(path, readSettings);
}

} // namespace spurlug::settings
