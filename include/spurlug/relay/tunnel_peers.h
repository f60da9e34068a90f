//----------------------------------------------------------------------------------------------------------------------
// spurlug: choice of the peer through which a target is reached
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/control/roster.h"
#include "spurlug/core/counted.h"
#include "spurlug/core/time.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace spurlug::relay
{

/// \brief What is known about a peer as a proxy.
struct TunnelPeer : core::RefCounted<TunnelPeer>
{
    int openTunnels = 0;
    int consecutiveFailures = 0;
    core::Time avoidedUntil = absl::InfinitePast();
};

/// \brief RAII registration of an open tunnel at its peer.
class TunnelUse : public core::RefCounted<TunnelUse>
{
public:
    explicit TunnelUse(core::Ref<TunnelPeer> peer)
        : m_peer(std::move(peer))
    {
        ++m_peer->openTunnels;
    }

    ~TunnelUse()
    {
        --m_peer->openTunnels;
    }

    TunnelUse(const TunnelUse &) = delete;
    TunnelUse &operator=(const TunnelUse &) = delete;

private:
    const core::Ref<TunnelPeer> m_peer;
};

/// \brief Tracks which peers open tunnels to targets for this daemon. The class does no network I/O.
class TunnelPeers
{
public:
    /// \param roster Live daemons; must outlive this object.
    TunnelPeers(const control::Roster &roster, std::string failureDomain);

    /// \name Commands
    /// @{

    /// \brief Notes that a tunnel to a target was opened through a peer.
    /// \returns The registration of the tunnel, to be kept until it is closed.
    [[nodiscard]] core::Ref<TunnelUse> noteOpened(const std::string &vm);
    /// \brief Notes that a peer opened no tunnel: it was not reached, declined, or did not reach a target that another
    /// peer reached.
    void noteFailed(const std::string &vm, core::Time now);

    /// @}
    /// \name Queries
    /// @{

    /// \brief Chooses a peer, preferably one in the failure domain of this daemon or of the target, so that the bytes
    /// cross domains once at most. Of two such peers, drawn at random, the one with fewer open tunnels is chosen.
    /// \param tried Names of VMs that are not chosen.
    [[nodiscard]] std::optional<control::Member> choose(const std::string &targetDomain,
                                                        const std::vector<std::string> &tried, std::mt19937_64 &random,
                                                        core::Time now) const;
    /// \brief Whether this daemon knows any peer.
    [[nodiscard]] bool hasPeers() const;

    /// @}

private:
    /// Order of preference.
    enum class Preference
    {
        Near, ///< In the failure domain of this daemon or of the target.
        Far,
        Avoided, ///< It failed lately.
    };

    [[nodiscard]] Preference preference(const control::Member &member, const std::string &targetDomain,
                                        core::Time now) const;
    /// What is known about a peer; null if it was never used.
    [[nodiscard]] core::Ref<TunnelPeer> find(const std::string &vm) const;
    [[nodiscard]] core::Ref<TunnelPeer> findOrAdd(const std::string &vm);
    [[nodiscard]] int openTunnels(const std::string &vm) const;

    const control::Roster &m_roster;
    const std::string m_failureDomain;
    std::map<std::string, core::Ref<TunnelPeer>> m_peers; ///< By VM.
};

} // namespace spurlug::relay
