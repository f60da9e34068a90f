//----------------------------------------------------------------------------------------------------------------------
// spurlug: the shared view of the fleet: peers and who holds which role
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

/// \brief A PeerTable behind a lock, and this daemon's own state. Safe to use from several threads.
class Fleet
{
public:
    /// \param allDomains Names of all failure domains of the fleet; empty: those that are heard of.
    Fleet(const std::string &self, const std::string &failureDomain, core::Duration timeout,
          std::vector<std::string> allDomains = {});

    /// \name Commands
    /// @{
    HeardResult hear(const PeerNews &news, core::Time now) ABSL_LOCKS_EXCLUDED(m_mutex);
    void noteVmList(const std::vector<objects::VmEntry> &entries) ABSL_LOCKS_EXCLUDED(m_mutex);
    void noteOwnPause(core::Duration gap, core::Time now) ABSL_LOCKS_EXCLUDED(m_mutex);
    void forgetSilent(core::Time now) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief Takes the summaries of a heartbeat.
    /// \returns Those that were news.
    std::vector<DomainSummary> hearSummaries(const Heartbeat &heartbeat, core::Time now) ABSL_LOCKS_EXCLUDED(m_mutex);
    void setState(DaemonState state) noexcept;
    /// @}

    /// \name Queries
    /// @{
    [[nodiscard]] DaemonState state() const noexcept;
    [[nodiscard]] std::vector<std::string> roleHolders(core::Time now) const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief The daemon of this failure domain that holds a role now; empty when none does.
    [[nodiscard]] std::string holder(std::string_view role, core::Time now) const;
    /// \brief Whether this daemon is among the first `count` for a role.
    [[nodiscard]] bool holds(std::string_view role, std::size_t count, core::Time now) const;
    [[nodiscard]] std::vector<core::Address> sendTo() const ABSL_LOCKS_EXCLUDED(m_mutex);
    [[nodiscard]] std::optional<Peer> find(const std::string &vm) const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief Peers whose heartbeats are heard.
    [[nodiscard]] std::vector<Peer> alive(core::Time now) const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief Addresses in other failure domains that this daemon, as their delegate, sends to.
    [[nodiscard]] std::vector<core::Address> sendToOtherDomains(core::Time now) const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief Summaries of other failure domains, ages as of `now`.
    [[nodiscard]] std::vector<DomainSummary> domains(core::Time now) const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief Summaries that this daemon repeats to its own failure domain.
    [[nodiscard]] std::vector<DomainSummary> summariesToRepeat(core::Time now) const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief Daemons of the whole fleet, those of domains that cannot be heard as they were last known. One that was
    /// never heard counts as large as this daemon's own: sides that are cut from their start do not each take
    /// themselves for the fleet.
    [[nodiscard]] std::size_t daemons(core::Time now) const ABSL_LOCKS_EXCLUDED(m_mutex);
    [[nodiscard]] const std::string &failureDomain() const noexcept;
    [[nodiscard]] const std::string &self() const noexcept;
    /// @}

private:
    const std::string m_self;
    const std::string m_failureDomain;
    const std::vector<std::string> m_allDomains;
    std::atomic<DaemonState> m_state{DaemonState::Starting};
    mutable absl::Mutex m_mutex;
    PeerTable m_table ABSL_GUARDED_BY(m_mutex);
    DomainTable m_domains ABSL_GUARDED_BY(m_mutex);
};

} // namespace spurlug::membership
