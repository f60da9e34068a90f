//----------------------------------------------------------------------------------------------------------------------
// spurlug: heartbeats between relaying daemons: who lives, and what each has at the targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/membership/heartbeat.h"
#include "spurlug/membership/peer_table.h"
#include "spurlug/net/io.h"
#include "spurlug/relay/context.h"

#include <boost/asio/ip/udp.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace spurlug::relay
{

/// \brief Sends this daemon's work to its peers and takes in theirs.
///
/// Every daemon tells every other one. The interval grows with their number, so that a daemon's bytes stay within
/// `MostBytesPerSecond`. Daemons find each other from the seeds: each heartbeat names some daemons that its sender
/// hears.
class PeerLink
{
public:
    /// \throws NetworkError when the address cannot be bound.
    explicit PeerLink(RelayContext &context);

    /// \brief Sends heartbeats.
    [[nodiscard]] net::Task<> send();
    /// \brief Takes heartbeats in.
    [[nodiscard]] net::Task<> receive();

    /// \brief Control addresses of daemons to ask: those that live, or the seeds when none is heard.
    [[nodiscard]] std::vector<core::Address> toAsk(core::Time now) const;

private:
    void sendRound(core::Time now);
    void sendTo(const core::Address &peer, const std::string &datagram);
    void take(const std::string &datagram, core::Time now);
    void noteSilence(core::Time now);
    [[nodiscard]] membership::Heartbeat compose(core::Time now);
    [[nodiscard]] core::Duration interval(std::size_t bytes) const;

    RelayContext &m_context;
    net::asio::ip::udp::socket m_socket;
    membership::PeerTable m_peers;
    std::set<std::string> m_alive; ///< Peers that were heard of late.
    std::map<std::string, core::Time> m_candidates; ///< Addresses that others told of, and when.
    const std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    bool m_introduce = true; ///< Whether the next heartbeat says who its sender is.
    core::Time m_lastRound = absl::InfinitePast();
    std::size_t m_lastBytes = 0;
};

} // namespace spurlug::relay
