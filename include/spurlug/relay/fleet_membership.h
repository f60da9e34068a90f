//----------------------------------------------------------------------------------------------------------------------
// spurlug: fleet membership of one daemon by heartbeats
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/control/roster.h"
#include "spurlug/core/address.h"
#include "spurlug/core/time.h"
#include "spurlug/membership/heartbeat.h"
#include "spurlug/membership/peer_table.h"
#include "spurlug/relay/context.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace spurlug::relay
{

/// \brief Maintains the roster of live daemons.
///
/// The first few daemons of a failure domain (`control::RegistrarsPerDomain`) are its registrars and maintain its
/// member list. Every daemon sends its heartbeats to the registrars of its own domain, and registrars send theirs to
/// some of every other domain. Each heartbeat is answered by one that contains the number of live daemons in each
/// domain, and the holders of roles with the next candidates. So the traffic of an ordinary daemon doesn't grow with
/// the fleet; that of a registrar grows with its failure domain. Lists are forwarded with their age and expire, so that
/// two daemons can't keep a dead one alive by reporting it to each other.
///
/// A daemon that knows no others asks the seeds. This class uses no socket and no clock.
class FleetMembership
{
public:
    using Send = std::function<void(const core::Address &, const std::string &datagram)>;

    FleetMembership(RelayContext &context, Send send);
    FleetMembership(const FleetMembership &) = delete;
    FleetMembership &operator=(const FleetMembership &) = delete;

    /// \brief Sets the callback for peers that are new or have restarted.
    void onNewPeer(std::function<void(const core::Address &)> callback);

    /// \name Commands
    /// @{

    /// \brief Sends one round of heartbeats and removes peers that timed out.
    void sendRound(core::Time now);
    /// \brief Sends this daemon's state to all members at once, as when it begins to stop.
    void announceState(core::Time now);
    /// \brief Handles a received heartbeat; answers it if the sender asks for that.
    void handleHeartbeat(const membership::Heartbeat &heartbeat, core::Time now);

    /// @}
    /// \name Queries
    /// @{

    /// \brief Time until the next round.
    [[nodiscard]] core::Duration interval(core::Time now) const;
    /// @}

private:
    /// Reported state of a failure domain.
    struct DomainReport
    {
        std::vector<control::Member> members;
        std::size_t daemonCount = 0;
        core::Time reportedAt = absl::InfinitePast(); ///< When one of its registrars reported it.
    };

    [[nodiscard]] core::Duration steadyInterval(core::Time now) const;
    [[nodiscard]] membership::DaemonState state(core::Time now) const;
    [[nodiscard]] membership::Heartbeat makeHeartbeat(core::Time now);
    void sendReply(const core::Address &to, std::uint32_t peerDigest, bool wantsLoad, core::Time now);
    /// The newest load view, if it is recent enough for other daemons.
    [[nodiscard]] std::optional<overload::LoadView> recentLoadView(core::Time now) const;
    void removeSilentPeers(core::Time now);
    void detectPause(core::Time now);
    /// \returns Whether it lists members or changes the number of daemons.
    bool applyReportedRoster(const membership::DomainRoster &reported, core::Time now);
    void refreshRoster(core::Time now);
    /// Whether this daemon receives the heartbeats of its whole failure domain by now.
    [[nodiscard]] bool hasFullMemberList(core::Time now) const;
    [[nodiscard]] bool tracksDomain(const std::string &domain, core::Time now) const;
    /// Members of a domain that hold roles, and the next candidates.
    [[nodiscard]] std::vector<control::Member> roleCandidatesIn(const std::string &domain, core::Time now) const;
    /// Members whose heartbeats this daemon receives, and those reported by others.
    [[nodiscard]] std::vector<control::Member> mergeReported(const std::vector<control::Member> &directMembers) const;
    [[nodiscard]] std::size_t daemonCountIn(const std::string &domain, core::Time now) const;
    [[nodiscard]] const std::vector<membership::DomainRoster> &currentRosters(core::Time now);
    [[nodiscard]] std::vector<core::Address> recipients(core::Time now);
    void addRegistrars(const std::string &domain, std::size_t maxCount, std::set<std::string> &addressTexts) const;
    [[nodiscard]] bool needsDiscovery(core::Time now) const;
    [[nodiscard]] core::Address nextSeed();

    RelayContext &m_context;
    Send m_send;
    std::function<void(const core::Address &)> m_onNewPeer = [](const core::Address &) {};
    membership::PeerTable m_peers; ///< Daemons whose heartbeats this daemon receives itself.
    std::set<std::string> m_alivePeers; ///< VMs of those in `m_peers` that were heard from recently.
    /// This daemon and those of `m_alivePeers`. As a registrar it reports these only: if reports were forwarded as its
    /// own, a dead daemon would count as live for as long as two daemons report it to each other.
    control::Roster m_directMembers;
    std::map<std::string, DomainReport> m_domainReports; ///< By failure domain.
    /// Addresses by failure domain, including unreachable domains.
    std::map<std::string, std::set<std::string>> m_lastRegistrars;
    std::vector<membership::DomainRoster> m_rosters; ///< As sent to others; rebuilt after a while.
    std::uint32_t m_rostersDigest = 0; ///< Of `m_rosters`.
    core::Time m_rostersBuiltAt = absl::InfinitePast();
    core::Time m_rosterRefreshedAt = absl::InfinitePast(); ///< When the roster was last rebuilt.
    core::Time m_registrarSince = absl::InfiniteFuture();
    core::Time m_registrarAnsweredAt = absl::InfinitePast(); ///< When a registrar of this domain last answered.
    bool m_awaitsFirstAnswer = true; ///< Whether no answer has come since the start.
    core::Time m_lastRoundAt = absl::InfinitePast();
    const std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    core::Duration m_steadyInterval; ///< Between rounds after the startup period.
    std::size_t m_nextSeedIndex = 0; ///< Index of the next seed to ask, modulo their number.
};

} // namespace spurlug::relay
