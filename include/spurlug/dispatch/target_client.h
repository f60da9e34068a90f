//----------------------------------------------------------------------------------------------------------------------
// spurlug: sends an attempt to a target over HTTP
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/counted.h"
#include "spurlug/dispatch/attempt.h"
#include "spurlug/dispatch/event_channel.h"

#include <concepts>

namespace spurlug::dispatch
{

/// \brief A wire protocol towards targets: runs one attempt and pushes its events, an AttemptEnd last.
template<typename Client>
concept TargetClient = requires(const Client client, const AttemptRequest &request, EventChannel &events)
{
    {
        client.run(request, events)
        } -> std::same_as<void>;
};

/// \brief Model engines: server-sent events with a token offset each.
struct EngineClient
{
    /// \brief Sends the request on a fresh connection and reads the answer to its end.
    void run(const AttemptRequest &request, EventChannel &events) const;
};

/// \brief Plain services: the response passes through as it is.
struct ServiceClient
{
    /// \brief Sends the request on a fresh connection and reads the answer to its end.
    void run(const AttemptRequest &request, EventChannel &events) const;
};

static_assert(TargetClient<EngineClient>);
static_assert(TargetClient<ServiceClient>);

} // namespace spurlug::dispatch
