//----------------------------------------------------------------------------------------------------------------------
// spurlug: settings of a daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/settings/settings.h"

#include "settings_reader.h"

namespace spurlug::settings
{

namespace
{

constexpr std::int64_t MostConnections = 20'000;
constexpr std::int64_t MostBytes = 1LL << 36;

void readLimits(core::ObjectReader &reader, Limits &limits)
{
    limits.connections = reader.integer("connections", 1, MostConnections, limits.connections);
    limits.adminConnections = reader.integer("adminConnections", 1, MostConnections, limits.adminConnections);
    limits.bodyBytes = reader.integer("bodyBytes", 1, MostBytes, limits.bodyBytes);
    limits.bodyMemoryBytes = reader.integer("bodyMemoryBytes", 1, MostBytes, limits.bodyMemoryBytes);
    limits.decisionsKept = reader.integer("decisionsKept", 1, MostEntries, limits.decisionsKept);
}

void readTiming(core::ObjectReader &reader, Timing &timing)
{
    timing.heartbeat = readMs(reader, "heartbeatMs", timing.heartbeat);
    timing.peerTimeout = readMs(reader, "peerTimeoutMs", timing.peerTimeout);
    timing.loadPoll = readMs(reader, "loadPollMs", timing.loadPoll);
    timing.watch = readMs(reader, "watchMs", timing.watch);
    timing.startSpread = readMs(reader, "startSpreadMs", timing.startSpread);
    timing.platformRetry = readMs(reader, "platformRetryMs", timing.platformRetry);
}

DaemonSettings readSettings(core::ObjectReader &reader)
{
    DaemonSettings settings;
    settings.vm = reader.text("vm");
    settings.failureDomain = reader.text("failureDomain");
    settings.failureDomains = reader.texts("failureDomains");
    settings.region = reader.text("region");
    settings.callerAddress = readAddress(reader, "callerAddress");
    settings.adminAddress = readAddress(reader, "adminAddress");
    settings.peerAddress = readAddress(reader, "peerAddress");
    settings.rpcAddress = readAddress(reader, "rpcAddress");
    settings.platform = readAddresses(reader, "platform");
    settings.seeds = readAddresses(reader, "seeds");
    settings.peerKey = reader.text("peerKey", "");
    settings.logLevel = readLogLevel(reader);
    reader.object("limits", [&](core::ObjectReader &child) { readLimits(child, settings.limits); });
    reader.object("timing", [&](core::ObjectReader &child) { readTiming(child, settings.timing); });
    reader.rejectOthers();
    return settings;
}

} // namespace

DaemonSettings loadSettings(const std::string &path)
{
    return loadChecked<DaemonSettings>(path, readSettings);
}

} // namespace spurlug::settings
