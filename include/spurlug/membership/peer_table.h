//----------------------------------------------------------------------------------------------------------------------
// spurlug: which daemons are alive
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/enum_names.h"
#include "spurlug/core/time.h"
#include "spurlug/objects/object_api.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace spurlug::membership
{

/// \brief What a daemon says it is doing.
enum class DaemonState
{
    Starting, ///< It has no configuration yet.
    Serving,
    Leaving, ///< It finishes what it has; roles move away from it.
};

/// \brief What a heartbeat says of its sender.
struct PeerNews
{
    std::string vm;
    std::string failureDomain; ///< Empty unless the heartbeat introduces its sender.
    core::Address peerAddress; ///< Port 0 unless the heartbeat introduces its sender.
    core::Address rpcAddress; ///< Port 0 unless the heartbeat introduces its sender.
    double processorShare = 0; ///< Of a core; 0 unless the heartbeat introduces its sender.
    std::uint64_t incarnation = 0; ///< Higher after each start of the daemon.
    std::uint64_t sequence = 0; ///< Higher with each heartbeat of one incarnation.
    DaemonState state = DaemonState::Starting;
    std::int64_t generation = 0;
    std::int64_t refusedGeneration = 0;
};

/// \brief A peer as this daemon knows it.
struct Peer
{
    PeerNews news;
    core::Time heardAt = absl::InfinitePast();
    bool listedLeaving = false; ///< The VM list says it is leaving.
};

/// \brief What became of a heartbeat.
enum class HeardResult
{
    Accepted,
    New, ///< Accepted; the peer, or this incarnation of it, was not known.
    Repeated, ///< Its sequence number is not higher than the last one: dropped.
    Outdated, ///< It is from an earlier incarnation: dropped.
    Unknown, ///< It does not introduce its sender, who is not known: dropped.
    Own, ///< It carries this daemon's own name: dropped.
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
        EnumName<State>{State::Leaving, "leaving"},
    };
};

template<>
struct EnumNames<membership::HeardResult>
{
    using Result = membership::HeardResult;
    static constexpr std::array table{
        EnumName<Result>{Result::Accepted, "accepted"}, EnumName<Result>{Result::New, "new"},
        EnumName<Result>{Result::Repeated, "repeated"}, EnumName<Result>{Result::Outdated, "outdated"},
        EnumName<Result>{Result::Unknown, "unknown"},   EnumName<Result>{Result::Own, "own"},
    };
};

} // namespace spurlug::core

namespace spurlug::membership
{

/// \brief The table of peers: a pure state machine, driven by heartbeats, the VM list and the time.
///
/// A peer is alive while its heartbeats are heard. The VM list only adds addresses to speak to and marks peers that
/// are leaving: an empty, stale or missing list removes nobody.
class PeerTable
{
public:
    /// \param self Name of this daemon's VM.
    /// \param failureDomain Failure domain of this daemon.
    /// \param timeout Silence after which a peer counts as gone.
    PeerTable(std::string self, std::string failureDomain, core::Duration timeout);

    /// \name Commands
    /// @{

    HeardResult hear(const PeerNews &news, core::Time now);

    /// \brief Takes a VM list. Entries that have never been heard stay unknown until they are.
    void noteVmList(const std::vector<objects::VmEntry> &entries);

    /// \brief Notes that this daemon itself stood still for `gap`: peers get that much longer.
    void noteOwnPause(core::Duration gap, core::Time now);

    /// \brief Forgets peers that have been silent ten times as long as it takes to count as gone.
    void forgetSilent(core::Time now);

    /// @}
    /// \name Queries
    /// @{

    /// \brief Whether a peer's heartbeats are heard.
    [[nodiscard]] bool alive(const Peer &peer, core::Time now) const;

    /// \brief Names of the daemons of this failure domain that hold roles, this one included while it may.
    /// \param selfHoldsRoles False while this daemon is leaving.
    [[nodiscard]] std::vector<std::string> roleHolders(bool selfHoldsRoles, core::Time now) const;

    /// \brief Where heartbeats go: each known peer, alive or not, and listed VMs not heard yet.
    [[nodiscard]] std::vector<core::Address> sendTo() const;

    /// \brief Other failure domains that are known of.
    [[nodiscard]] std::vector<std::string> otherDomains() const;

    /// \brief Addresses of daemons of another failure domain, those that are heard first.
    /// \param most Most addresses.
    [[nodiscard]] std::vector<core::Address> contactsIn(const std::string &failureDomain, std::size_t most,
                                                        core::Time now) const;

    [[nodiscard]] const Peer *find(const std::string &vm) const;

    [[nodiscard]] const std::map<std::string, Peer> &peers() const noexcept;

    /// @}

private:
    std::string m_self;
    std::string m_failureDomain;
    core::Duration m_timeout;
    std::map<std::string, Peer> m_peers;
    std::map<std::string, objects::VmEntry> m_listed;
};

} // namespace spurlug::membership
