//----------------------------------------------------------------------------------------------------------------------
// spurlug: strategies for choosing a target
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/enum_names.h"

namespace spurlug::config
{

/// \brief How a pool's requests are distributed over its targets; all but the first are baselines for comparison.
enum class RoutingStrategy
{
    ExpectedTtft, ///< Shortest expected time to first token.
    Random,
    RoundRobin,
    LeastOutstanding, ///< The target with the fewest requests of this daemon in progress.
    PowerOfTwo, ///< Of two random targets, the one with fewer requests of this daemon in progress.
};

} // namespace spurlug::config

namespace spurlug::core
{

template<>
struct EnumNames<config::RoutingStrategy>
{
    using Strategy = config::RoutingStrategy;
    static constexpr std::array table{
        EnumName<Strategy>{Strategy::ExpectedTtft, "expected_ttft"},
        EnumName<Strategy>{Strategy::Random, "random"},
        EnumName<Strategy>{Strategy::RoundRobin, "round_robin"},
        EnumName<Strategy>{Strategy::LeastOutstanding, "least_outstanding"},
        EnumName<Strategy>{Strategy::PowerOfTwo, "power_of_two"},
    };
};

} // namespace spurlug::core
