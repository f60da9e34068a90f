//----------------------------------------------------------------------------------------------------------------------
// spurlug: routes, services and organisations of the relay's configuration
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/config/route_table.h"

#include "spurlug/core/text.h"

#include <algorithm>

namespace spurlug::config
{

const Route *RouteTable::find(std::string_view host, std::string_view path) const noexcept
{
    const Route *best = nullptr;
    for (const auto &route : routes) {
        const bool matches = core::equalsIgnoreCase(route.host, host) && path.starts_with(route.pathPrefix);
        if (matches && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
}

const Route *RouteTable::routeNamed(std::string_view name) const noexcept
{
    const auto found
        = std::find_if(routes.begin(), routes.end(), [&](const Route &route) { return route.name == name; });
    return found == routes.end() ? nullptr : &*found;
}

const ServiceSpec *RouteTable::serviceNamed(const std::string &name) const noexcept
{
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

bool ServiceSpec::memoryBound() const noexcept
{
    // The rest covers that KV memory is allocated in blocks and that requests differ from the usual one.
    constexpr double FullMemoryShare = 0.9;
    if (!engine || engine->meanPromptTokens <= 0 || engine->meanAnswerTokens <= 0 || engine->kvMemoryTokens <= 0) {
        return false;
    }
    const auto requestTokens = static_cast<double>(engine->meanPromptTokens + engine->meanAnswerTokens);
    return requestTokens * engine->slots >= FullMemoryShare * static_cast<double>(engine->kvMemoryTokens);
}

bool RouteTable::contended() const noexcept
{
    return std::any_of(services.begin(), services.end(), [](const auto &item) { return item.second.memoryBound(); });
}

std::unordered_map<std::string, GapObjectives> RouteTable::gapObjectives(core::Duration shortGapThreshold) const
{
    std::unordered_map<std::string, GapObjectives> byService;
    for (const auto &route : routes) {
        for (const auto &share : route.services) {
            auto &objectives = byService[share.service];
            auto &smallestGap
                = route.gapObjective < shortGapThreshold ? objectives.shortGapStreams : objectives.otherStreams;
            smallestGap = std::min(smallestGap, route.gapObjective);
            if (route.gapObjective != absl::InfiniteDuration()) {
                objectives.longestGap = std::max(objectives.longestGap, route.gapObjective);
            }
        }
    }
    return byService;
}

const OrganisationSpec *RouteTable::organisationForKey(const std::string &key) const noexcept
{
    const auto found = organisationByKey.find(key);
    return found == organisationByKey.end() ? nullptr : &found->second;
}

} // namespace spurlug::config
