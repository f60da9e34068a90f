//----------------------------------------------------------------------------------------------------------------------
// spurlug: exit codes, signals and ports file of all programs
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace spurlug::core
{

inline constexpr int ExitOk = 0;
inline constexpr int ExitFailure = 1; ///< The program could not complete its work.
inline constexpr int ExitUsage = 2; ///< The command line or a document is invalid.

/// \brief Version of the project.
inline constexpr auto Version = "0.1.0";

/// \brief Blocks SIGTERM and SIGINT, for `waitForStopSignal`, and ignores SIGPIPE. Call before any thread starts.
void blockStopSignals();

/// \brief Blocks SIGTERM, SIGINT and SIGHUP, which stay pending until `unblockDaemonSignals`, and ignores SIGPIPE.
///
/// Call before all else: none of them may end a daemon by its default action, whether it starts or is cleaned up.
/// Threads inherit the mask, so that a signal interrupts no write of theirs.
void blockDaemonSignals();

/// \brief Lets the calling thread receive SIGTERM, SIGINT and SIGHUP. Call when their handlers are installed.
void unblockDaemonSignals();

/// \brief Blocks until SIGTERM or SIGINT arrives.
void waitForStopSignal();

/// \brief Writes the addresses that a program has bound, for the process that started it.
///
/// The file is replaced atomically. An empty path writes nothing.
/// \throws InvalidDocument when the file cannot be written.
void writePortsFile(const std::string &path, const nlohmann::json &addresses);

} // namespace spurlug::core
