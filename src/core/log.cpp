//----------------------------------------------------------------------------------------------------------------------
// spurlug: structured log: one JSON object per line on standard output
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/log.h"

#include "spurlug/core/line_queue.h"
#include "spurlug/core/log_rate_limiter.h"

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <atomic>
#include <easylogging++.h>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

namespace spurlug::core
{

namespace
{

constexpr std::size_t MaxQueuedBytes = 1 << 20; // About 4,000 lines: seconds of a busy daemon's output.
constexpr std::int64_t MaxLinesPerSecond
    = 300; // For each event; a daemon's share of the peak load is some tens of requests/s.

/// State of the log, created by startLog. Lock order: no other lock is taken under `mutex`.
struct Logger
{
    Logger(std::string_view program, LogLevel minLevel)
        : program(program)
        , minLevel(minLevel)
        , rateLimiter(MaxLinesPerSecond)
        , queue([](const std::string &line) { LOG(INFO) << line; }, MaxQueuedBytes)
    { }

    const std::string program;
    std::atomic<LogLevel> minLevel;
    absl::Mutex mutex;
    LogRateLimiter rateLimiter ABSL_GUARDED_BY(mutex);
    LineQueue queue;
};

std::unique_ptr<Logger> g_logger; // NOLINT: set once by startLog before threads start

std::string formatLine(const Logger &logger, LogLevel level, std::string_view event, const nlohmann::json &fields,
                       std::int64_t suppressed)
{
    nlohmann::ordered_json line;
    line["time"] = absl::FormatTime(absl::RFC3339_full, absl::Now(), absl::UTCTimeZone());
    line["level"] = nameOf(level);
    line["program"] = logger.program;
    line["event"] = event;
    for (const auto &[key, value] : fields.items()) {
        line[key] = value;
    }
    if (suppressed > 0) {
        line["linesLeftOut"] = suppressed;
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void startLog(std::string_view program, LogLevel minLevel)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configuration);
    std::cout.setf(std::ios::unitbuf);
    g_logger = std::make_unique<Logger>(program, minLevel);
}

void setLogLevel(LogLevel minLevel)
{
    if (g_logger) {
        g_logger->minLevel = minLevel;
    }
}

bool stopLog()
{
    if (!g_logger) {
        return true;
    }
    const bool isComplete = g_logger->queue.close();
    g_logger = nullptr;
    return isComplete;
}

bool isLogStarted() noexcept
{
    return g_logger != nullptr;
}

void log(LogLevel level, std::string_view event, const nlohmann::json &fields)
{
    if (!g_logger || level < g_logger->minLevel) {
        return;
    }
    std::int64_t suppressed = 0;
    {
        absl::MutexLock lock(&g_logger->mutex);
        if (!g_logger->rateLimiter.tryLog(event, now(), suppressed)) {
            return;
        }
    }
    if (const auto dropped = g_logger->queue.takeDropped(); dropped > 0) {
        g_logger->queue.add(formatLine(*g_logger, LogLevel::Warning, "log_lines_dropped", {{"lines", dropped}}, 0));
    }
    g_logger->queue.add(formatLine(*g_logger, level, event, fields, suppressed));
}

} // namespace spurlug::core
