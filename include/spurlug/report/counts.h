//----------------------------------------------------------------------------------------------------------------------
// spurlug: named counts and their text form in reports
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace spurlug::report
{

/// \brief Number of occurrences by name.
using Counts = std::map<std::string, std::int64_t>;

/// \brief Formats all counts on one line, each as " NAME COUNT".
[[nodiscard]] std::string formatCounts(const Counts &counts);

} // namespace spurlug::report
