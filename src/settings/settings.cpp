//----------------------------------------------------------------------------------------------------------------------
// spurlug: settings of one daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/settings/settings.h"

#include "spurlug/core/error.h"
#include "spurlug/core/json_reader.h"
#include "spurlug/core/text.h"

#include <fstream>

namespace spurlug::settings
{

namespace
{

constexpr std::int64_t LongestMs = 3'600'000;
constexpr std::int64_t MostConnections = 20'000;
constexpr std::int64_t MostBytes = 1LL << 36;
constexpr std::int64_t MostEntries = 1'000'000;

core::Address readAddress(core::ObjectReader &reader, const std::string &key)
{
    const auto text = reader.text(key);
    if (text.empty()) {
        return {};
    }
    try {
        return core::parseAddress(text);
    } catch (const core::InvalidDocument &) {
        reader.fault(key, "HOST:PORT");
        return {};
    }
}

std::vector<core::Address> readAddresses(core::ObjectReader &reader, const std::string &key)
{
    std::vector<core::Address> all;
    for (const auto &text : reader.texts(key)) {
        try {
            all.push_back(core::parseAddress(text));
        } catch (const core::InvalidDocument &) {
            reader.fault(key, "an array of HOST:PORT");
        }
    }
    return all;
}

core::Duration readMs(core::ObjectReader &reader, const std::string &key, core::Duration fallback)
{
    return core::fromMs(reader.integer(key, 1, LongestMs, core::toMs(fallback)));
}

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

core::LogLevel readLogLevel(core::ObjectReader &reader)
{
    const auto level = core::valueNamed<core::LogLevel>(reader.text("logLevel", "info"));
    if (!level) {
        reader.fault("logLevel", "debug, info, warning or error");
    }
    return level.value_or(core::LogLevel::Info);
}

DaemonSettings readSettings(core::ObjectReader &reader)
{
    DaemonSettings settings;
    settings.vm = reader.text("vm");
    settings.failureDomain = reader.text("failureDomain");
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
    std::ifstream file(path);
    if (!file) {
        throw core::InvalidDocument(core::cat(path, ": : expected a readable file"));
    }
    const auto document = nlohmann::json::parse(file, nullptr, false);
    if (document.is_discarded()) {
        throw core::InvalidDocument(core::cat(path, ": : expected a JSON document"));
    }
    std::vector<core::Fault> faults;
    core::ObjectReader reader(document, "", faults);
    auto settings = readSettings(reader);
    if (!faults.empty()) {
        throw core::InvalidDocument(
            core::cat(path, ": ", faults.front().pointer, ": expected ", faults.front().expected));
    }
    return settings;
}

} // namespace spurlug::settings
