//----------------------------------------------------------------------------------------------------------------------
// spurlug: parses a line of a daemon's structured log
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace spurlug::report
{

/// \brief Parses the JSON object in a line; text before it is ignored.
/// \returns Nothing when there is no object.
[[nodiscard]] std::optional<nlohmann::json> parseLogLine(std::string_view line);

/// \brief Time at which a line was written; the infinite past when the line has no valid time.
[[nodiscard]] core::Time lineTime(const nlohmann::json &line);

/// \brief Time of a line by one clock for the whole fleet.
///
/// This is the time in seconds that a log collector put at the start of the line, because the clocks of daemons may
/// differ by seconds. A line without it has its own time.
[[nodiscard]] core::Time collectionTime(std::string_view line, const nlohmann::json &object);

} // namespace spurlug::report
