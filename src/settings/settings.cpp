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

constexpr std::int64_t MaxConnections = 20'000;
constexpr std::int64_t MaxBytes = 1LL << 36;

void readLimits(core::ObjectReader &reader, Limits &limits)
{
    limits.connections = reader.integer("connections", 1, MaxConnections, limits.connections);
    limits.adminConnections = reader.integer("adminConnections", 1, MaxConnections, limits.adminConnections);
    limits.bodyBytes = reader.integer("bodyBytes", 1, MaxBytes, limits.bodyBytes);
    limits.bodyMemoryBytes = reader.integer("bodyMemoryBytes", 1, MaxBytes, limits.bodyMemoryBytes);
    limits.decisionsKept = reader.integer("decisionsKept", 1, MaxEntries, limits.decisionsKept);
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
    settings.vm = reader.string("vm");
    settings.failureDomain = reader.string("failureDomain");
    settings.failureDomains = reader.strings("failureDomains");
    settings.region = reader.string("region");
    settings.callerAddress = readAddress(reader, "callerAddress");
    settings.adminAddress = readAddress(reader, "adminAddress");
    settings.peerAddress = readAddress(reader, "peerAddress");
    settings.rpcAddress = readAddress(reader, "rpcAddress");
    settings.platform = readAddresses(reader, "platform");
    settings.seeds = readAddresses(reader, "seeds");
    settings.peerKey = reader.string("peerKey", "");
    settings.logLevel = readLogLevel(reader);
    reader.visitObject("limits", [&](core::ObjectReader &child) { readLimits(child, settings.limits); });
    reader.visitObject("timing", [&](core::ObjectReader &child) { readTiming(child, settings.timing); });
    reader.rejectUnknownMembers();
    return settings;
}

} // namespace

DaemonSettings loadSettings(const std::string &path)
{
    return loadChecked<DaemonSettings>(path, readSettings, removeEmptyMembers);
}

} // namespace spurlug::settings
