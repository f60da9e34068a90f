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

constexpr double MaxRatio = 1000;
constexpr double MaxCores = 1024;
constexpr std::int64_t MaxReaders = 1000;
constexpr double MaxMemoryMb = 1 << 20;
constexpr double BytesPerMb = 1 << 20;

void readBounds(core::ObjectReader &reader, RelayBounds &bounds)
{
    bounds.drain = readDuration(reader, "drain", bounds.drain);
    bounds.targetHeartbeat = readDuration(reader, "targetHeartbeat", bounds.targetHeartbeat);
    bounds.grace = readDuration(reader, "grace", bounds.grace);
    bounds.revoke = readDuration(reader, "revoke", bounds.revoke);
    bounds.failClosed = reader.boolean("failClosed", bounds.failClosed);
    bounds.retryRatio = readLimited(reader, "retryRatio", 0, MaxRatio, bounds.retryRatio);
    bounds.retryWindow = readDuration(reader, "retryWindow", bounds.retryWindow);
    bounds.retrySlack = readLimited(reader, "retrySlack", 0, MaxEntries, bounds.retrySlack);
    bounds.longestHold = readDuration(reader, "longestHold", bounds.longestHold);
    bounds.evacuate = readDuration(reader, "evacuate", bounds.evacuate);
    bounds.freeAfter = readDuration(reader, "freeAfter", bounds.freeAfter);
}

/// Numbers and flags may be written as strings, so that a template can leave out those without a value.
void prepareDocument(nlohmann::json &document)
{
    removeEmptyMembers(document);
    if (!document.is_object()) {
        return;
    }
    for (const auto *key : {"processorShare", "memoryMb"}) {
        if (document.contains(key)) {
            parseText(document[key]);
        }
    }
    if (document.contains("bounds")) {
        auto &bounds = document["bounds"];
        removeEmptyMembers(bounds);
        for (auto &value : bounds) {
            parseText(value);
        }
    }
}

void readPlacement(core::ObjectReader &reader, PlacementWeights &weights)
{
    constexpr double MaxCostMs = 1e6;
    constexpr double MaxWeight = 1e6;
    constexpr std::int64_t MaxHelpers = 15; // An engine accepts no more helpers.
    weights.tightGap = readMs(reader, "tightGapMs", weights.tightGap);
    weights.passShare = reader.number("passShare", 0, 1, weights.passShare);
    weights.emptyAheadMs = reader.number("emptyAheadMs", 0, MaxCostMs, weights.emptyAheadMs);
    weights.gatherCostMs = reader.number("gatherCostMs", 0, MaxCostMs, weights.gatherCostMs);
    weights.lateSpan = reader.number("lateSpan", 0, MaxWeight, weights.lateSpan);
    weights.patienceShare = reader.number("patienceShare", 0, 1, weights.patienceShare);
    weights.harmWeight = reader.number("harmWeight", 0, MaxWeight, weights.harmWeight);
    weights.expectedWeight = reader.number("expectedWeight", 0, MaxWeight, weights.expectedWeight);
    weights.lateWeight = reader.number("lateWeight", 0, MaxWeight, weights.lateWeight);
    weights.aimShare = reader.number("aimShare", 0, 1, weights.aimShare);
    weights.helperCostMs = reader.number("helperCostMs", 0, MaxCostMs, weights.helperCostMs);
    weights.notKeptCostMs = reader.number("notKeptCostMs", 0, MaxCostMs, weights.notKeptCostMs);
    weights.fillCostMs = reader.number("fillCostMs", 0, MaxCostMs, weights.fillCostMs);
    weights.otherDomainCostMs = reader.number("otherDomainCostMs", 0, MaxCostMs, weights.otherDomainCostMs);
    weights.mostAheadTightMs = reader.number("mostAheadTightMs", 0, MaxCostMs, weights.mostAheadTightMs);
    weights.mostQueueMs = reader.number("mostQueueMs", 0, MaxCostMs, weights.mostQueueMs);
    weights.queueShare = reader.number("queueShare", 0, MaxWeight, weights.queueShare);
    weights.tightFill = reader.number("tightFill", 0.1, 1, weights.tightFill);
    weights.tightSpare = reader.number("tightSpare", 0, MaxWeight, weights.tightSpare);
    weights.tightOnlyShare = reader.number("tightOnlyShare", 0, 1, weights.tightOnlyShare);
    weights.mostHelpers = static_cast<int>(reader.integer("mostHelpers", 0, MaxHelpers, weights.mostHelpers));
    weights.leastPartTokens = reader.integer("leastPartTokens", 1, MaxEntries, weights.leastPartTokens);
    weights.memoryShare = reader.number("memoryShare", 0, 1, weights.memoryShare);
    weights.plainQueueShare = reader.number("plainQueueShare", 0, MaxWeight, weights.plainQueueShare);
}

FeatureMode readMode(core::ObjectReader &reader, const std::string &key)
{
    const auto mode = core::enumFromName<FeatureMode>(reader.string(key, "auto"));
    if (!mode) {
        reader.addFault(key, "auto, on or off");
    }
    return mode.value_or(FeatureMode::Auto);
}

void readOverload(core::ObjectReader &reader, OverloadSettings &overload)
{
    constexpr double MinOrganisationWeight = 0.01;
    constexpr double MaxOrganisationWeight = 100;
    constexpr double MaxFloorShare = 0.5;
    constexpr std::int64_t MinViewAgeMs = 500;
    constexpr std::int64_t MaxViewAgeMs = 60'000;
    overload.admission = readMode(reader, "admission");
    overload.fairShares = readMode(reader, "fairShares");
    overload.targetFeedback = readMode(reader, "targetFeedback");
    overload.domainShift = readMode(reader, "domainShift");
    overload.floorShare = reader.number("floorShare", 0, MaxFloorShare, overload.floorShare);
    overload.viewMaxAge
        = core::fromMs(reader.integer("viewMaxAgeMs", MinViewAgeMs, MaxViewAgeMs, core::toMs(overload.viewMaxAge)));
    reader.forEachObject("weights", [&](core::ObjectReader &child) {
        const auto organisation = child.string("organisation");
        const auto weight = child.number("weight", MinOrganisationWeight, MaxOrganisationWeight, 1);
        if (!overload.weights.emplace(organisation, weight).second) {
            child.addFault("organisation", "each organisation once");
        }
    });
}

RelaySettings readSettings(core::ObjectReader &reader)
{
    RelaySettings settings;
    settings.vm = reader.string("vm");
    settings.failureDomain = reader.string("failureDomain");
    settings.failureDomains = reader.strings("failureDomains");
    settings.region = reader.string("region", "");
    settings.callerAddress = readAddress(reader, "callerAddress");
    settings.readinessAddress = readAddress(reader, "readinessAddress");
    settings.controlAddress = readAddress(reader, "controlAddress");
    settings.peerAddress = readAddress(reader, "peerAddress");
    settings.metricsAddress = readAddress(reader, "metricsAddress");
    settings.store = readAddress(reader, "store");
    settings.seeds = readAddresses(reader, "seeds");
    settings.processorShare = readLimited(reader, "processorShare", 0, MaxCores, settings.processorShare);
    settings.memory = static_cast<std::int64_t>(readLimited(reader, "memoryMb", 0, MaxMemoryMb, 0) * BytesPerMb);
    settings.readersPerDomain
        = static_cast<int>(reader.integer("readersPerDomain", 1, MaxReaders, settings.readersPerDomain));
    settings.logLevel = readLogLevel(reader);
    reader.visitObject("bounds", [&](core::ObjectReader &child) { readBounds(child, settings.bounds); });
    reader.visitObject("placement", [&](core::ObjectReader &child) { readPlacement(child, settings.placement); });
    reader.visitObject("overload", [&](core::ObjectReader &child) { readOverload(child, settings.overload); });
    reader.rejectUnknownMembers();
    return settings;
}

} // namespace

RelaySettings loadRelaySettings(const std::string &path)
{
    return loadChecked<RelaySettings>(path, readSettings, prepareDocument);
}

} // namespace spurlug::settings
