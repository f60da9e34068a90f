//----------------------------------------------------------------------------------------------------------------------
// spurlug: tunnels to targets for peers without links to them
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/tunnel_server.h"

#include <algorithm>
#include <utility>

namespace spurlug::relay
{

namespace
{

/// Each tunnel takes two descriptors and 32 KB of buffers.
constexpr std::int64_t MaxOpenTunnels = 512;
constexpr auto WriteTimeout = absl::Seconds(1);

/// Counts a tunnel while it is open.
class OpenTunnel
{
public:
    explicit OpenTunnel(RelayContext &context)
        : m_context(context)
    {
        ++m_context.openTunnels;
    }

    ~OpenTunnel()
    {
        --m_context.openTunnels;
    }

    OpenTunnel(const OpenTunnel &) = delete;
    OpenTunnel &operator=(const OpenTunnel &) = delete;

private:
    RelayContext &m_context;
};

} // namespace

TunnelServer::TunnelServer(RelayContext &context, TargetConnector &connector)
    : m_context(context)
    , m_connector(connector)
{ }

core::Ref<Target> TunnelServer::acceptTunnel(const net::RequestedTunnel &requested, core::Time now)
{
    if (m_context.shutdown.hasBegun() || m_context.openTunnels >= MaxOpenTunnels) {
        return nullptr;
    }
    const auto &targets = m_context.targets.all();
    const auto found = std::find_if(targets.begin(), targets.end(), [&requested](const auto &item) {
        return item.second->entry.address == requested.target;
    });
    if (found == targets.end()) {
        return nullptr;
    }
    auto &links = m_connector.links();
    const auto &entry = found->second->entry;
    const bool linkDown
        = links.isNothingReachable(entry.service, now) || (links.isDown(entry, now) && !links.startTrial(entry, now));
    return linkDown ? nullptr : found->second;
}

net::Task<> TunnelServer::serve(net::ServerConnection &client, net::Request request)
{
    const auto requested = net::readTunnelRequest(request);
    const auto target = requested ? acceptTunnel(*requested, core::now()) : nullptr;
    const OpenTunnel registration(m_context);
    auto result = net::TunnelResult::ProxyUnavailable;
    TargetConnection connected;
    if (target) {
        connected = co_await m_connector.connectForPeer(target, requested->connectTimeout);
        if (m_context.shutdown.hasBegun()) {
            connected = {}; // The peer should choose a daemon that stays.
        } else if (connected.connection) {
            result = net::TunnelResult::Open;
        } else if (connected.targetAtFault) {
            result = connected.refused ? net::TunnelResult::TargetRefused : net::TunnelResult::TargetUnreachable;
        }
    }
    const bool isOpen = result == net::TunnelResult::Open;
    m_context.metrics.count(isOpen ? metrics::Counter::TunnelsServed : metrics::Counter::TunnelsDeclined);
    const bool written
        = co_await client.writeHeadOnly(net::writeTunnelResponse(result), core::now() + core::Duration(WriteTimeout));
    if (isOpen && written) {
        co_await net::relayTunnel(client.releaseSocket(), connected.connection->releaseSocket(), requested->lifetime);
    }
}

} // namespace spurlug::relay
