//----------------------------------------------------------------------------------------------------------------------
// spurlug: simple routing strategies for comparison
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/routing_strategy.h"
#include "spurlug/targets/target_table.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace spurlug::routing
{

/// \brief Chooses among usable targets without using their load reports.
/// \param usable Indices of the targets that may be chosen.
/// \param randomValue Random number; for round robin, the number of the turn.
/// \returns Index of the chosen target; nothing if none is usable.
[[nodiscard]] std::optional<std::size_t> chooseByBaseline(config::RoutingStrategy strategy,
                                                          const std::vector<targets::TargetView> &targets,
                                                          const std::vector<std::size_t> &usable,
                                                          std::uint64_t randomValue);

} // namespace spurlug::routing
