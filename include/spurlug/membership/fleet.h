//----------------------------------------------------------------------------------------------------------------------
// spurlug: thread-safe view of the fleet: peers, failure domains and role holders
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/membership/domain_table.h"
#include "spurlug/membership/heartbeat.h"
#include "spurlug/membership/peer_table.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <atomic>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spurlug::membership
{

/// \brief The known peers, the summaries of other failure domains and this daemon's own state. Thread-safe.
class Fleet
{
public:
    /// \param timeout Time without a heartbeat after which a peer counts as gone.
    /// \param allDomains Names of all failure domains of the fleet; if empty, only those that become known count.
    Fleet(const std::string &self, const std::string &failureDomain, core::Duration timeout,
          std::vector<std::string> allDomains = {});

    /// \name Commands
    /// @{
    /// \brief Records a heartbeat; see PeerTable::hear.
    HeartbeatResult recordHeartbeat(const PeerReport &report, core::Time now) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief Applies a VM list; see PeerTable::applyVmList.
    void applyVmList(const std::vector<objects::VmEntry> &entries) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief Extends the timeouts of peers after a pause of this process; see PeerTable::extendTimeouts.
    void extendTimeouts(core::Duration gap, core::Time now) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief Removes peers that have been silent for long; see PeerTable::removeSilentPeers.
    void removeSilentPeers(core::Time now) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief Stores the summaries of a heartbeat.
    /// \returns Those that were new.
    std::vector<DomainSummary> storeSummaries(const Heartbeat &heartbeat, core::Time now) ABSL_LOCKS_EXCLUDED(m_mutex);
    void setState(DaemonState state) noexcept;
    /// @}

    /// \name Queries
    /// @{
    [[nodiscard]] DaemonState state() const noexcept;
    /// \brief Daemons of this failure domain that may hold roles; see PeerTable::roleHolders.
    [[nodiscard]] std::vector<std::string> roleHolders(core::Time now) const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief The daemon of this failure domain that holds a role; empty if there is none.
    [[nodiscard]] std::string roleHolder(std::string_view role, core::Time now) const;
    /// \brief Whether this daemon is among the first `count` daemons in the ranking for a role.
    [[nodiscard]] bool holdsRole(std::string_view role, std::size_t count, core::Time now) const;
    /// \brief Addresses in this failure domain that get heartbeats; see PeerTable::heartbeatRecipients.
    [[nodiscard]] std::vector<core::Address> heartbeatRecipients() const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief A peer by the name of its VM; nothing if it is unknown.
    [[nodiscard]] std::optional<Peer> find(const std::string &vm) const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief Peers that sent a heartbeat within the timeout.
    [[nodiscard]] std::vector<Peer> alivePeers(core::Time now) const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief Addresses in other failure domains that get heartbeats from this daemon as the delegate for these
    /// domains.
    [[nodiscard]] std::vector<core::Address> otherDomainRecipients(core::Time now) const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief Summaries of other failure domains, with ages as of `now`.
    [[nodiscard]] std::vector<DomainSummary> domainSummaries(core::Time now) const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief Summaries that this daemon forwards to its own failure domain.
    [[nodiscard]] std::vector<DomainSummary> summariesToForward(core::Time now) const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief Number of daemons in the fleet. Unreachable domains count with their last known size. A domain that was
    /// never heard from counts with the size of this daemon's own; otherwise each side of a network partition that
    /// exists from the start would take itself for the whole fleet.
    [[nodiscard]] std::size_t daemonCount(core::Time now) const ABSL_LOCKS_EXCLUDED(m_mutex);
    [[nodiscard]] const std::string &failureDomain() const noexcept;
    [[nodiscard]] const std::string &self() const noexcept;
    /// @}

private:
    const std::string m_self;
    const std::string m_failureDomain;
    const std::vector<std::string> m_allDomains;
    std::atomic<DaemonState> m_state{DaemonState::Starting};
    mutable absl::Mutex m_mutex;
    PeerTable m_peers ABSL_GUARDED_BY(m_mutex);
    DomainTable m_domainTable ABSL_GUARDED_BY(m_mutex);
};

} // namespace spurlug::membership
