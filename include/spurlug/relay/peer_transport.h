//----------------------------------------------------------------------------------------------------------------------
// spurlug: UDP transport for heartbeats and control-plane messages between relay daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/control/messages.h"
#include "spurlug/net/io.h"
#include "spurlug/relay/context.h"
#include "spurlug/relay/fleet_membership.h"

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>

namespace spurlug::relay
{

/// \brief Sends and receives datagrams between daemons: heartbeats and control-plane messages.
class PeerTransport
{
public:
    /// \brief Handles a control-plane message from an address.
    using MessageHandler = std::function<void(control::Message, const core::Address &)>;

    /// If the address is in use, `receiveDatagrams` binds it when it is free.
    /// \throws NetworkError if the address cannot be bound for another reason.
    explicit PeerTransport(RelayContext &context);

    /// \brief Sets the handler for control-plane messages.
    void onMessage(MessageHandler handler);

    /// \brief Sets the callback for peers that are new or have restarted.
    void onNewPeer(std::function<void(const core::Address &)> callback);

    /// \brief Sends heartbeats periodically.
    [[nodiscard]] net::Task<> sendHeartbeats();
    /// \brief Receives and dispatches datagrams.
    [[nodiscard]] net::Task<> receiveDatagrams();

    /// \brief Sends this daemon's state to the other daemons at once, as when it begins to stop.
    void announceState(core::Time now);

    /// \brief Whether the address is bound.
    [[nodiscard]] bool isBound() const noexcept;

    /// \brief Sends a datagram. It may be lost; errors are ignored.
    void sendTo(const core::Address &peer, const std::string &datagram);

private:
    void bind();
    void sendHeartbeat(const core::Address &to, const std::string &datagram);
    void handleDatagram(const std::string &datagram, const core::Address &from, core::Time now);

    RelayContext &m_context;
    net::asio::ip::udp::socket m_socket;
    bool m_awaitsAddress = false; ///< Whether the address was not available.
    MessageHandler m_messageHandler;
    FleetMembership m_membership;
};

} // namespace spurlug::relay
