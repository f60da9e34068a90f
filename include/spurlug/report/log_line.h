//----------------------------------------------------------------------------------------------------------------------
// spurlug: one line of a daemon's structured log
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace spurlug::report
{

/// \brief The JSON object in a line; whatever stands before it is passed over.
/// \returns Nothing when there is none.
[[nodiscard]] std::optional<nlohmann::json> objectIn(std::string_view line);

/// \brief When a line was written; the infinite past when it does not say so.
[[nodiscard]] core::Time timeOf(const nlohmann::json &line);

/// \brief When a line was written by one clock for the whole fleet: the seconds that a collector of logs put at the
/// begin of the line. Without them, what the line says itself: clocks of daemons may differ by seconds.
[[nodiscard]] core::Time collectedAt(std::string_view line, const nlohmann::json &object);

} // namespace spurlug::report
