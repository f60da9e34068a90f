//----------------------------------------------------------------------------------------------------------------------
// spurlug: sends attempts to targets over HTTP
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

/// \brief A protocol client for targets: runs one attempt and pushes its events, with an `AttemptResult` as the last
/// one.
template<typename Client>
concept TargetClient = requires(const Client client, const AttemptRequest &request, EventChannel &events)
{
    {
        client.run(request, events)
        } -> std::same_as<void>;
};

/// \brief Client for model engines, which answer with server-sent events that carry token offsets.
struct EngineClient
{
    /// \brief Sends the request on a new connection and reads the answer until it ends.
    void run(const AttemptRequest &request, EventChannel &events) const;
};

/// \brief Client for plain services, whose responses are passed through without connection headers.
struct ServiceClient
{
    /// \brief Sends the request on a new connection and reads the answer until it ends.
    void run(const AttemptRequest &request, EventChannel &events) const;
};

static_assert(TargetClient<EngineClient>);
static_assert(TargetClient<ServiceClient>);

} // namespace spurlug::dispatch
