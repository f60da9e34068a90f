//----------------------------------------------------------------------------------------------------------------------
// spurlug: tunnels to targets for peers without links to them
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/net/server_connection.h"
#include "spurlug/net/tunnel.h"
#include "spurlug/relay/context.h"
#include "spurlug/relay/target_connector.h"

namespace spurlug::relay
{

/// \brief Opens tunnels from peers to targets. Only addresses of listed targets are connected to, and only over this
/// daemon's own link, so that no tunnel leads through two daemons.
class TunnelServer
{
public:
    TunnelServer(RelayContext &context, TargetConnector &connector);

    /// \brief Answers a CONNECT request and serves the tunnel until it ends.
    [[nodiscard]] net::Task<> serve(net::ServerConnection &client, net::Request request);

private:
    /// The target of a tunnel that this daemon opens now; null if it declines.
    [[nodiscard]] core::Ref<Target> acceptTunnel(const net::RequestedTunnel &requested, core::Time now);

    RelayContext &m_context;
    TargetConnector &m_connector;
};

} // namespace spurlug::relay
