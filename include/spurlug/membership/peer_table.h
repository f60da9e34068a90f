//----------------------------------------------------------------------------------------------------------------------
// spurlug: table of peer daemons and their liveness
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/enum_names.h"
#include "spurlug/core/time.h"
#include "spurlug/membership/message_order.h"
#include "spurlug/objects/object_api.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace spurlug::membership
{

/// \brief State that a daemon reports for itself.
enum class DaemonState
{
    Starting, ///< It has no configuration yet.
    Serving,
    Draining, ///< It finishes its requests; other daemons take over its roles.
};

/// \brief What a heartbeat reports about its sender.
struct PeerReport
{
    std::string vm;
    std::string failureDomain; ///< Empty unless the heartbeat contains an introduction.
    core::Address peerAddress; ///< Port 0 unless the heartbeat contains an introduction.
    core::Address rpcAddress; ///< Port 0 unless the heartbeat contains an introduction.
    double processorShare = 0; ///< In cores; 0 unless the heartbeat contains an introduction.
    std::uint64_t incarnation = 0; ///< Differs between starts of the daemon.
    std::uint64_t sequence = 0; ///< Increases with each heartbeat of an incarnation.
    DaemonState state = DaemonState::Starting;
    std::int64_t generation = 0;
    std::int64_t refusedGeneration = 0;
};

/// \brief Last known state of a peer.
struct Peer
{
    PeerReport report;
    core::Time lastHeartbeatAt = absl::InfinitePast();
    bool listedAsDraining = false; ///< Whether the VM list marks it as draining.
    MessageOrder order; ///< Of its heartbeats.
};

/// \brief Result of recording a heartbeat.
enum class HeartbeatResult
{
    Accepted,
    New, ///< Accepted; the peer or its incarnation was unknown before.
    Duplicate, ///< Dropped: its sequence number is not higher than the last one.
    Outdated, ///< Dropped: it is from an incarnation that has ended.
    Unknown, ///< Dropped: its sender or incarnation is unknown, and it has no introduction.
    Own, ///< Dropped: it has this daemon's own VM name.
};

} // namespace spurlug::membership

namespace spurlug::core
{

template<>
struct EnumNames<membership::DaemonState>
{
    using State = membership::DaemonState;
    static constexpr std::array table{
        EnumName<State>{State::Starting, "starting"},
        EnumName<State>{State::Serving, "serving"},
        EnumName<State>{State::Draining, "leaving"},
    };
};

template<>
struct EnumNames<membership::HeartbeatResult>
{
    using Result = membership::HeartbeatResult;
    static constexpr std::array table{
        EnumName<Result>{Result::Accepted, "accepted"},  EnumName<Result>{Result::New, "new"},
        EnumName<Result>{Result::Duplicate, "repeated"}, EnumName<Result>{Result::Outdated, "outdated"},
        EnumName<Result>{Result::Unknown, "unknown"},    EnumName<Result>{Result::Own, "own"},
    };
};

} // namespace spurlug::core

namespace spurlug::membership
{

/// \brief Table of peers, updated by heartbeats, the VM list and the time. Has no I/O and no clock.
///
/// A peer is alive while its heartbeats arrive. The VM list only adds addresses to contact and marks peers that are
/// draining: an empty, outdated or missing list removes no peer.
class PeerTable
{
public:
    /// \param self Name of this daemon's VM.
    /// \param failureDomain Failure domain of this daemon.
    /// \param timeout Time without a heartbeat after which a peer counts as gone.
    PeerTable(std::string self, std::string failureDomain, core::Duration timeout);

    /// \name Commands
    /// @{

    /// \brief Records a heartbeat, unless it is outdated, repeated, from an unknown sender or from this daemon.
    HeartbeatResult recordHeartbeat(const PeerReport &report, core::Time now);

    /// \brief Applies a VM list. A listed VM becomes a peer with its first heartbeat.
    void applyVmList(const std::vector<objects::VmEntry> &entries);

    /// \brief Records that this daemon itself was paused for `gap`, and extends the timeouts of all peers by that.
    void extendTimeouts(core::Duration gap, core::Time now);

    /// \brief Removes peers that have been silent for ten times the timeout.
    void removeSilentPeers(core::Time now);

    /// @}
    /// \name Queries
    /// @{

    /// \brief Whether a peer's last heartbeat is within the timeout.
    [[nodiscard]] bool isAlive(const Peer &peer, core::Time now) const;

    /// \brief VM names of the daemons of this failure domain that may hold roles.
    /// \param selfHoldsRoles Whether to include this daemon; true only while it is serving.
    [[nodiscard]] std::vector<std::string> roleHolders(bool selfHoldsRoles, core::Time now) const;

    /// \brief Addresses in this failure domain that get heartbeats: each known peer, alive or not, and listed VMs not
    /// heard from yet.
    [[nodiscard]] std::vector<core::Address> heartbeatRecipients() const;

    /// \brief Other known failure domains.
    [[nodiscard]] std::vector<std::string> otherDomains() const;

    /// \brief Addresses of daemons of another failure domain, live ones first.
    /// \param maxCount Maximum number of addresses.
    [[nodiscard]] std::vector<core::Address> contactAddresses(const std::string &failureDomain, std::size_t maxCount,
                                                              core::Time now) const;

    /// \brief A peer by the name of its VM; null if it is unknown.
    [[nodiscard]] const Peer *find(const std::string &vm) const;

    /// \brief All peers by the name of their VM, alive or not.
    [[nodiscard]] const std::map<std::string, Peer> &peers() const noexcept;

    /// @}

private:
    std::string m_self;
    std::string m_failureDomain;
    core::Duration m_timeout;
    std::map<std::string, Peer> m_peers;
    std::map<std::string, objects::VmEntry> m_listedVms;
};

} // namespace spurlug::membership
