//----------------------------------------------------------------------------------------------------------------------
// spurlug: simple routing strategies for comparison
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/routing/baselines.h"

#include <algorithm>

namespace spurlug::routing
{

namespace
{

std::size_t lessLoaded(const std::vector<targets::TargetView> &targets, std::size_t left, std::size_t right)
{
    return targets[right].ownStreams < targets[left].ownStreams ? right : left;
}

std::size_t leastOutstanding(const std::vector<targets::TargetView> &targets, const std::vector<std::size_t> &usable,
                             std::uint64_t randomValue)
{
    auto best = usable[randomValue % usable.size()]; // The start varies, so that ties are spread.
    for (const auto index : usable) {
        best = lessLoaded(targets, best, index);
    }
    return best;
}

std::size_t powerOfTwo(const std::vector<targets::TargetView> &targets, const std::vector<std::size_t> &usable,
                       std::uint64_t randomValue)
{
    const auto first = usable[randomValue % usable.size()];
    const auto second = usable[(randomValue / usable.size()) % usable.size()];
    return lessLoaded(targets, first, second);
}

} // namespace

std::optional<std::size_t> chooseByBaseline(config::RoutingStrategy strategy,
                                            const std::vector<targets::TargetView> &targets,
                                            const std::vector<std::size_t> &usable, std::uint64_t randomValue)
{
    if (usable.empty()) {
        return std::nullopt;
    }
    switch (strategy) {
    case config::RoutingStrategy::LeastOutstanding:
        return leastOutstanding(targets, usable, randomValue);
    case config::RoutingStrategy::PowerOfTwo:
        return powerOfTwo(targets, usable, randomValue);
    case config::RoutingStrategy::ExpectedTtft:
    case config::RoutingStrategy::Random:
    case config::RoutingStrategy::RoundRobin:
        break;
    }
    return usable[randomValue % usable.size()];
}

} // namespace spurlug::routing
