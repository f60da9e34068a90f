//----------------------------------------------------------------------------------------------------------------------
// spurlug: a relaying daemon without sockets, as a fixture for tests of its decisions
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "relay_fixtures.h"

#include "spurlug/relay/context.h"
#include "spurlug/relay/follower.h"
#include "spurlug/relay/request_facts.h"

namespace spurlug::test
{

/// \brief A daemon without a configuration and without targets.
struct RelayState
{
    net::Loop loop;
    settings::RelaySettings settings;
    metrics::Metrics metrics;
    RelayContext context{loop, settings, metrics};
    DirectoryLink link{context, "targets"};
    TargetIntake intake{context, link};
};

/// \brief Returns a configuration with one public route to engines.
inline config::RouteTableRef chatTable(core::Duration aim = absl::Milliseconds(2500),
                                       core::Duration gapAim = absl::InfiniteDuration())
{
    auto table = core::makeCounted<config::RouteTable>();
    table->version = 1;
    config::Route route;
    route.name = "chat";
    route.host = "a.example";
    route.pathPrefix = "/";
    route.kind = config::RouteKind::Stream;
    route.services = {{"model", 1}};
    route.timeout = absl::Seconds(10);
    route.aim = aim;
    route.gapAim = gapAim;
    route.isPublic = true;
    route.resumable = true;
    route.mostTargets = 2;
    table->routes.push_back(route);
    config::ServiceSpec service;
    service.name = "model";
    service.engine = engine();
    table->services.emplace("model", service);
    return table;
}

/// \brief Returns a request with a prompt of 40,000 tokens for the route of chatTable().
inline RequestFacts longPrompt()
{
    RequestFacts facts;
    facts.id = "r";
    facts.host = "a.example";
    facts.path = "/";
    facts.prompt = PromptFacts{40'000, 500};
    return facts;
}

/// \brief Returns a request with a prompt of 4,000 tokens for the route of chatTable().
inline RequestFacts shortPrompt()
{
    auto facts = longPrompt();
    facts.prompt = PromptFacts{4'000, 500};
    return facts;
}

} // namespace spurlug::test
