//----------------------------------------------------------------------------------------------------------------------
// spurlug: structured log: one JSON object per line on standard output
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/enum_names.h"

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace spurlug::core
{

/// \brief Severity of a log line.
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

/// \brief Initialises the log of this process. Call once, before any other thread starts.
/// \param program Program name in each line.
/// \param minLevel Lines below this level are dropped.
void startLog(std::string_view program, LogLevel minLevel);

/// \brief Changes the level below which lines are dropped.
void setLogLevel(LogLevel minLevel);

/// \brief Writes the queued lines, for a short time at most, and closes the log. Call after all other threads have
/// ended; does nothing without `startLog`.
/// \returns Whether all lines were written. Otherwise a write still blocks, and holds locks that static destructors
/// wait for: end the process with `std::_Exit`.
bool stopLog();

/// \brief Whether `startLog` was called, and `stopLog` was not.
[[nodiscard]] bool isLogStarted() noexcept;

/// \brief Logs one line without waiting for the output: the log's own thread writes it.
///
/// When the reader of standard output blocks, or an event is logged too often, lines are dropped and a later line has
/// their number.
/// \param event Constant name of the event, in snake_case.
/// \param fields A JSON object with the variable data; never a secret.
void log(LogLevel level, std::string_view event, const nlohmann::json &fields);

} // namespace spurlug::core
