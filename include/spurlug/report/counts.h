//----------------------------------------------------------------------------------------------------------------------
// spurlug: numbers by name, as reports print them
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace spurlug::report
{

/// \brief How often something happened, by its name.
using Counts = std::map<std::string, std::int64_t>;

/// \brief " NAME COUNT" for each, on one line.
[[nodiscard]] std::string countsText(const Counts &counts);

} // namespace spurlug::report
