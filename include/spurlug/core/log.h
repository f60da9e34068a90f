//----------------------------------------------------------------------------------------------------------------------
// spurlug: structured logs: one JSON object a line on standard output
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/enum_names.h"

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace spurlug::core
{

/// \brief How much a log line matters.
enum class LogLevel
{
    Debug,
    Info,
    Warning,
    Error,
};

template<>
struct EnumNames<LogLevel>
{
    static constexpr std::array table{
        EnumName<LogLevel>{LogLevel::Debug, "debug"},
        EnumName<LogLevel>{LogLevel::Info, "info"},
        EnumName<LogLevel>{LogLevel::Warning, "warning"},
        EnumName<LogLevel>{LogLevel::Error, "error"},
    };
};

/// \brief Sets up the log of this process. Call once, before any other thread starts.
/// \param program Name that each line carries.
/// \param lowest Lines below this level are dropped.
void startLog(std::string_view program, LogLevel lowest);

/// \brief Changes the level below which lines are dropped.
void setLogLevel(LogLevel lowest);

/// \brief Writes what waits, for a moment at most, and ends the log. Call once, after all other threads.
void stopLog();

/// \brief Writes one line. Never waits: a thread of the log writes it. When the reader of standard output stands still,
/// or one kind of line comes too often, lines are left out and counted in a later one.
/// \param event What happened, in snake_case, the same words each time.
/// \param fields A JSON object with what varies; never a secret.
void log(LogLevel level, std::string_view event, const nlohmann::json &fields);

} // namespace spurlug::core
