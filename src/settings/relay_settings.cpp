//----------------------------------------------------------------------------------------------------------------------
// spurlug: settings of a daemon that relays
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/settings/relay_settings.h"

#include "settings_reader.h"

namespace spurlug::settings
{

namespace
{

constexpr double MostRatio = 1000;

void readBounds(core::ObjectReader &reader, RelayBounds &bounds)
{
    bounds.drain = readMs(reader, "drainMs", bounds.drain);
    bounds.grace = readMs(reader, "graceMs", bounds.grace);
    bounds.revoke = readMs(reader, "revokeMs", bounds.revoke);
    bounds.failClosed = reader.flag("failClosed", bounds.failClosed);
    bounds.retryRatio = reader.number("retryRatio", 0, MostRatio, bounds.retryRatio);
    bounds.retryWindow = readMs(reader, "retryWindowMs", bounds.retryWindow);
    bounds.retrySlack = reader.number("retrySlack", 0, MostEntries, bounds.retrySlack);
    bounds.longestHold = readMs(reader, "longestHoldMs", bounds.longestHold);
    bounds.freeAfter = readMs(reader, "freeAfterMs", bounds.freeAfter);
}

RelaySettings readSettings(core::ObjectReader &reader)
{
    RelaySettings settings;
    settings.vm = reader.text("vm");
    settings.failureDomain = reader.text("failureDomain");
    settings.region = reader.text("region", "");
    settings.callerAddress = readAddress(reader, "callerAddress");
    settings.readinessAddress = readAddress(reader, "readinessAddress");
    settings.controlAddress = readAddress(reader, "controlAddress");
    settings.peerAddress = readAddress(reader, "peerAddress");
    settings.metricsAddress = readAddress(reader, "metricsAddress");
    settings.store = readAddress(reader, "store");
    settings.seeds = readAddresses(reader, "seeds");
    settings.logLevel = readLogLevel(reader);
    reader.object("bounds", [&](core::ObjectReader &child) { readBounds(child, settings.bounds); });
    reader.rejectOthers();
    return settings;
}

} // namespace

RelaySettings loadRelaySettings(const std::string &path)
{
    return loadChecked<RelaySettings>(path, readSettings);
}

} // namespace spurlug::settings
