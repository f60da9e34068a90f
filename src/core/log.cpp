//----------------------------------------------------------------------------------------------------------------------
// spurlug: structured logs: one JSON object a line on standard output
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/log.h"

#include <absl/time/clock.h>
#include <easylogging++.h>
#include <iostream>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

namespace spurlug::core
{

namespace
{

std::string g_program; // NOLINT: set once by startLog before threads start
LogLevel g_lowest = LogLevel::Info; // NOLINT

} // namespace

void startLog(std::string_view program, LogLevel lowest)
{
    g_program = program;
    g_lowest = lowest;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configuration);
    std::cout.setf(std::ios::unitbuf);
}

void log(LogLevel level, std::string_view event, const nlohmann::json &fields)
{
    if (level < g_lowest) {
        return;
    }
    nlohmann::ordered_json line;
    line["time"] = absl::FormatTime(absl::RFC3339_full, absl::Now(), absl::UTCTimeZone());
    line["level"] = nameOf(level);
    line["program"] = g_program;
    line["event"] = event;
    for (const auto &[key, value] : fields.items()) {
        line[key] = value;
    }
    LOG(INFO) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace spurlug::core
