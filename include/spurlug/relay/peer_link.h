//----------------------------------------------------------------------------------------------------------------------
// spurlug: heartbeats between relaying daemons, and the socket of the control plane
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/control/messages.h"
#include "spurlug/membership/heartbeat.h"
#include "spurlug/membership/peer_table.h"
#include "spurlug/net/io.h"
#include "spurlug/relay/context.h"

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace spurlug::relay
{

/// \brief Keeps the roster of daemons that live, by heartbeats, and carries datagrams between them.
///
/// Every daemon tells every other one that it lives; heartbeats carry nothing else, so that their interval can grow
/// with the fleet. Daemons find each other from the seeds: whoever hears a daemon for the first time introduces itself
/// to it and names others, holders of roles first.
class PeerLink
{
public:
    /// \brief Takes a message of the control plane, with the address that it came from.
    using TakeMessage = std::function<void(control::Message, const core::Address &)>;

    /// \throws NetworkError when the address cannot be bound.
    explicit PeerLink(RelayContext &context);

    /// \brief Sets who takes messages of the control plane.
    void onMessage(TakeMessage take);

    /// \brief Sets who is told of peers that were not heard before, or that started again.
    void onNewPeer(std::function<void(const core::Address &)> tell);

    /// \brief Sends heartbeats.
    [[nodiscard]] net::Task<> sendHeartbeats();
    /// \brief Takes datagrams in.
    [[nodiscard]] net::Task<> receive();

    /// \brief Tells all peers at once what this daemon does: it begins to stop.
    void announce(core::Time now);

    /// \brief Sends one datagram.
    void sendTo(const core::Address &peer, const std::string &datagram);

private:
    void sendRound(core::Time now);
    void take(const std::string &datagram, const core::Address &from, core::Time now);
    void takeHeartbeat(const membership::Heartbeat &heartbeat, core::Time now);
    void noteSilence(core::Time now);
    void refreshRoster(core::Time now);
    [[nodiscard]] membership::DaemonState state(core::Time now) const;
    [[nodiscard]] membership::Heartbeat compose(core::Time now);
    [[nodiscard]] std::size_t mostLeavingTold() const;
    [[nodiscard]] std::string introduction(core::Time now);
    [[nodiscard]] core::Duration interval(core::Time now) const;

    RelayContext &m_context;
    net::asio::ip::udp::socket m_socket;
    TakeMessage m_takeMessage;
    std::function<void(const core::Address &)> m_tellNewPeer = [](const core::Address &) {};
    membership::PeerTable m_peers;
    std::set<std::string> m_alive; ///< Peers that were heard of late.
    std::map<std::string, core::Time> m_candidates; ///< Addresses that others told of, and when.
    const std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    core::Time m_lastRound = absl::InfinitePast();
    std::size_t m_lastBytes = 0; ///< Of a heartbeat.
};

} // namespace spurlug::relay
