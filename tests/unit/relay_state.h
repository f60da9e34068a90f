//----------------------------------------------------------------------------------------------------------------------
// spurlug: a relaying daemon without sockets, as a fixture for tests of its decisions
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "relay_fixtures.h"

#include "spurlug/relay/context.h"
#include "spurlug/relay/directory_watcher.h"
#include "spurlug/relay/request_info.h"

namespace spurlug::test
{

/// \brief A daemon without a configuration and without targets.
struct RelayState
{
    net::Loop loop;
    settings::RelaySettings settings;
    metrics::Metrics metrics;
    RelayContext context{loop, settings, metrics};
    DirectoryAvailability directoryAvailability{context, "targets"};
    TargetListUpdater targetListUpdater{context, directoryAvailability};
};

/// \brief Returns a configuration with one public route to engines.
inline config::RouteTableRef chatTable(core::Duration latencyObjective = absl::Milliseconds(2500),
                                       core::Duration gapObjective = absl::InfiniteDuration())
{
    auto table = core::makeRef<config::RouteTable>();
    table->version = 1;
    config::Route route;
    route.name = "chat";
    route.host = "a.example";
    route.pathPrefix = "/";
    route.kind = config::RouteKind::Stream;
    route.services = {{"model", 1}};
    route.timeout = absl::Seconds(10);
    route.latencyObjective = latencyObjective;
    route.gapObjective = gapObjective;
    route.isPublic = true;
    route.resumable = true;
    route.maxTargets = 2;
    table->routes.push_back(route);
    config::ServiceSpec service;
    service.name = "model";
    service.engine = engineCosts();
    table->services.emplace("model", service);
    return table;
}

/// \brief Returns a request with a prompt of 40,000 tokens for the route of chatTable().
inline RequestInfo longPrompt()
{
    RequestInfo info;
    info.id = "r";
    info.host = "a.example";
    info.path = "/";
    info.prompt = PromptInfo{40'000, 500};
    return info;
}

/// \brief Returns a request with a prompt of 4,000 tokens for the route of chatTable().
inline RequestInfo shortPrompt()
{
    auto info = longPrompt();
    info.prompt = PromptInfo{4'000, 500};
    return info;
}

} // namespace spurlug::test
