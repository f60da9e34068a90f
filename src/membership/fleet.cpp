//----------------------------------------------------------------------------------------------------------------------
// spurlug: thread-safe view of the fleet: peers, failure domains and role holders
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/membership/fleet.h"

#include "spurlug/core/rendezvous.h"
#include "spurlug/core/text.h"

#include <algorithm>

namespace spurlug::membership
{

Fleet::Fleet(const std::string &self, const std::string &failureDomain, core::Duration timeout,
             std::vector<std::string> allDomains)
    : m_self(self)
    , m_failureDomain(failureDomain)
    , m_allDomains(std::move(allDomains))
    , m_peers(self, failureDomain, timeout)
    , m_domainTable(failureDomain)
{ }

HeartbeatResult Fleet::recordHeartbeat(const PeerReport &report, core::Time now)
{
    absl::MutexLock lock(&m_mutex);
    return m_peers.recordHeartbeat(report, now);
}

void Fleet::applyVmList(const std::vector<objects::VmEntry> &entries)
{
    absl::MutexLock lock(&m_mutex);
    m_peers.applyVmList(entries);
}

void Fleet::extendTimeouts(core::Duration gap, core::Time now)
{
    absl::MutexLock lock(&m_mutex);
    m_peers.extendTimeouts(gap, now);
}

void Fleet::removeSilentPeers(core::Time now)
{
    absl::MutexLock lock(&m_mutex);
    m_peers.removeSilentPeers(now);
}

std::vector<DomainSummary> Fleet::storeSummaries(const Heartbeat &heartbeat, core::Time now)
{
    std::vector<DomainSummary> newSummaries;
    absl::MutexLock lock(&m_mutex);
    for (const auto &summary : heartbeat.summaries) {
        const bool isDirect = heartbeat.sender.failureDomain == summary.failureDomain;
        if (m_domainTable.update(summary, isDirect, now)) {
            newSummaries.push_back(summary);
        }
    }
    return newSummaries;
}

void Fleet::setState(DaemonState state) noexcept
{
    m_state = state;
}

DaemonState Fleet::state() const noexcept
{
    return m_state;
}

std::vector<std::string> Fleet::roleHolders(core::Time now) const
{
    absl::MutexLock lock(&m_mutex);
    return m_peers.roleHolders(m_state == DaemonState::Serving, now);
}

std::string Fleet::roleHolder(std::string_view role, core::Time now) const
{
    std::string best;
    std::uint64_t bestWeight = 0;
    for (const auto &vm : roleHolders(now)) {
        const auto weight = core::rendezvousWeight(role, vm);
        if (best.empty() || weight > bestWeight) {
            best = vm;
            bestWeight = weight;
        }
    }
    return best;
}

bool Fleet::holdsRole(std::string_view role, std::size_t count, core::Time now) const
{
    const auto ranked = core::rankByRendezvous(role, roleHolders(now));
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    return std::find(ranked.begin(), end, m_self) != end;
}

std::vector<core::Address> Fleet::heartbeatRecipients() const
{
    absl::MutexLock lock(&m_mutex);
    return m_peers.heartbeatRecipients();
}

std::optional<Peer> Fleet::find(const std::string &vm) const
{
    absl::MutexLock lock(&m_mutex);
    const auto *peer = m_peers.find(vm);
    return peer == nullptr ? std::nullopt : std::optional(*peer);
}

std::vector<Peer> Fleet::alivePeers(core::Time now) const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<Peer> all;
    for (const auto &[vm, peer] : m_peers.peers()) {
        if (m_peers.isAlive(peer, now)) {
            all.push_back(peer);
        }
    }
    return all;
}

std::vector<core::Address> Fleet::otherDomainRecipients(core::Time now) const
{
    constexpr auto MaxSilence = absl::Seconds(5);
    constexpr std::size_t ContactsPerSilentDomain = 3;
    std::vector<std::string> others;
    {
        absl::MutexLock lock(&m_mutex);
        others = m_peers.otherDomains();
    }
    std::vector<core::Address> addresses;
    for (const auto &domain : others) {
        if (roleHolder(core::cat("delegate:", domain), now) != m_self) {
            continue;
        }
        absl::MutexLock lock(&m_mutex);
        const std::size_t maxContacts = m_domainTable.age(domain, now) > MaxSilence ? ContactsPerSilentDomain : 1;
        const auto contacts = m_peers.contactAddresses(domain, maxContacts, now);
        addresses.insert(addresses.end(), contacts.begin(), contacts.end());
    }
    return addresses;
}

std::vector<DomainSummary> Fleet::domainSummaries(core::Time now) const
{
    absl::MutexLock lock(&m_mutex);
    return m_domainTable.summaries(now);
}

std::vector<DomainSummary> Fleet::summariesToForward(core::Time now) const
{
    absl::MutexLock lock(&m_mutex);
    return m_domainTable.summariesToForward(now);
}

std::size_t Fleet::daemonCount(core::Time now) const
{
    const auto ownDaemons = std::max<std::size_t>(roleHolders(now).size(), 1);
    const auto summaries = domainSummaries(now);
    auto count = ownDaemons;
    for (const auto &domain : summaries) {
        count += static_cast<std::size_t>(domain.daemonCount);
    }
    const auto knownDomains = summaries.size() + 1;
    const auto unknownDomains = m_allDomains.size() > knownDomains ? m_allDomains.size() - knownDomains : 0;
    return count + unknownDomains * ownDaemons;
}

const std::string &Fleet::failureDomain() const noexcept
{
    return m_failureDomain;
}

const std::string &Fleet::self() const noexcept
{
    return m_self;
}

} // namespace spurlug::membership
