//----------------------------------------------------------------------------------------------------------------------
// spurlug: what every program of the project does alike
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace spurlug::core
{

inline constexpr int ExitOk = 0;
inline constexpr int ExitFailure = 1; ///< The work could not be done.
inline constexpr int ExitUsage = 2; ///< The command line or a document is wrong.

/// \brief Version of the project.
inline constexpr auto Version = "0.1.0";

/// \brief Makes SIGTERM and SIGINT wait for `waitForStopSignal`, and SIGPIPE harmless. Call before any thread starts.
void blockStopSignals();

/// \brief Waits for SIGTERM or SIGINT.
void waitForStopSignal();

/// \brief Writes the addresses a program has bound, so that whoever started it finds them.
///
/// The file appears whole or not at all. An empty path writes nothing.
/// \throws InvalidDocument when the file cannot be written.
void writePortsFile(const std::string &path, const nlohmann::json &addresses);

} // namespace spurlug::core
