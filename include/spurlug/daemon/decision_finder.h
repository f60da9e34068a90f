//----------------------------------------------------------------------------------------------------------------------
// spurlug: finds a recorded decision at the daemon that has it
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/daemon/peer_client.h"
#include "spurlug/explain/decision_ring.h"
#include "spurlug/membership/fleet.h"

#include <optional>
#include <string>

namespace spurlug::daemon
{

/// \brief Which daemons a search may query.
enum class SearchScope
{
    Fleet, ///< This daemon, its peers, and one daemon of each other failure domain.
    LocalDomain, ///< This daemon and its peers; for queries from another failure domain.
    ThisDaemon, ///< This daemon only; for queries from a peer.
};

/// \brief Finds the decision on a request; the request's id names the VM that received it.
class DecisionFinder
{
public:
    DecisionFinder(const explain::DecisionRing &decisions, const membership::Fleet &fleet, PeerClient &peers);

    /// \brief Searches the daemons that `scope` allows.
    /// \returns The decision as JSON; nullopt if no daemon that answers has it.
    [[nodiscard]] std::optional<std::string> find(const std::string &requestId, SearchScope scope,
                                                  core::Time now) const;

private:
    [[nodiscard]] std::optional<std::string> query(const core::Address &peer, const std::string &requestId,
                                                   bool forwarded) const;

    const explain::DecisionRing &m_decisions;
    const membership::Fleet &m_fleet;
    PeerClient &m_peers;
};

} // namespace spurlug::daemon
