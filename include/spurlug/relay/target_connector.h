//----------------------------------------------------------------------------------------------------------------------
// spurlug: connections to targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/counted.h"
#include "spurlug/net/client_connection.h"
#include "spurlug/relay/target_links.h"
#include "spurlug/relay/target_set.h"
#include "spurlug/relay/tunnel_peers.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace spurlug::relay
{

struct RelayContext;

/// \brief A connection to a target, or why there is none.
struct TargetConnection
{
    core::Ref<net::ClientConnection> connection; ///< Null if the target could not be connected to.
    std::string peer; ///< VM of the daemon through which the target is reached; empty: over the own link.
    core::Ref<TunnelUse> use; ///< Registration of the tunnel; null if there is none.
    /// Whether the target is at fault: a path that leads to other targets does not lead to this one.
    bool targetAtFault = false;
    bool refused = false; ///< The target is at fault: its host is up, but nothing listens at its address.
    std::string error; ///< Description of the failure, for logs.
};

/// \brief Establishes connections to targets, over this daemon's own link or through a peer.
///
/// If the own link does not lead to a target in time, or is known to be down, peers are asked for a tunnel to it. The
/// first connection is used. If there is none, the target is at fault only if the path leads to other targets.
class TargetConnector
{
public:
    /// \brief Connects to an address.
    /// \returns Empty on success, otherwise the error.
    using Dial = std::function<net::Task<std::string>(net::ClientConnection &, core::Address, core::Duration timeout)>;

    explicit TargetConnector(RelayContext &context);

    /// \brief Replaces the function that connects to a target's address.
    void setDial(Dial dial);

    /// \brief Connects to a target. Nothing has been sent to it when this returns.
    /// \param deadline When the connection is not needed any more; peers close their tunnels then.
    [[nodiscard]] net::Task<TargetConnection> connect(core::Ref<Target> target, core::Duration timeout,
                                                      core::Time deadline);
    /// \brief Connects to a target over the own link only, and finds out whether the link is at fault if that fails.
    [[nodiscard]] net::Task<TargetConnection> connectForPeer(core::Ref<Target> target, core::Duration timeout);
    /// \brief Connects to a target through one peer only.
    [[nodiscard]] net::Task<TargetConnection> connectThrough(std::string peer, core::Ref<Target> target,
                                                             core::Duration timeout);

    /// \brief Sends a request to a target over a new connection and awaits the whole response.
    /// \param deadline Deadline of the whole exchange.
    /// \param error Set to the error if there is no response; empty otherwise.
    /// \returns Nothing if the response did not arrive completely.
    [[nodiscard]] net::Task<std::optional<net::Response>> exchange(core::Ref<Target> target, net::Request request,
                                                                   core::Time deadline, std::string &error);

    /// \brief Notes that a tunnel broke because of its peer.
    void notePeerLost(const std::string &peer, core::Time now);

    /// \brief State of this daemon's own links.
    [[nodiscard]] TargetLinks &links() noexcept
    {
        return m_links;
    }

private:
    struct Race;
    /// Connects to a target over the own link.
    [[nodiscard]] net::Task<TargetConnection> connectDirectly(core::Ref<Target> target, core::Duration timeout);
    /// Starts to connect over the own link; the result is posted to the race.
    void startDirect(core::Ref<Race> race);
    /// Asks the next peer for a tunnel; the result is posted to the race.
    /// \returns Whether there is a peer that has not been asked.
    bool startTunnel(core::Ref<Race> race);
    /// Connects to other targets of the service over the own link, until one accepts, to find out whether it works.
    void startControl(core::Ref<Race> race);
    [[nodiscard]] net::Task<TargetConnection> awaitFirst(core::Ref<Race> race);
    /// Records which paths led to the target and which didn't.
    void recordSuccess(const Race &race, const TargetConnection &connected, core::Time now);
    [[nodiscard]] TargetConnection recordFailure(const Race &race, core::Time now);
    /// Whether a path that leads to other targets does not lead to the target of the race.
    [[nodiscard]] bool isTargetAtFault(const Race &race) const;
    void logLinkChange(const std::string &service, core::Time now);

    RelayContext &m_context;
    Dial m_dial;
    TargetLinks m_links;
    TunnelPeers m_peers;
    std::set<std::string> m_loggedDown; ///< Services to whose targets all links are down by the log.
};

} // namespace spurlug::relay
