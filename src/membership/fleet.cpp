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
    , m_table(self, failureDomain, timeout)
    , m_domains(failureDomain)
{ }

HeardResult Fleet::hear(const PeerNews &news, core::Time now)
{
    absl::MutexLock lock(&m_mutex);
    return m_table.hear(news, now);
}

void Fleet::noteVmList(const std::vector<objects::VmEntry> &entries)
{
    absl::MutexLock lock(&m_mutex);
    m_table.noteVmList(entries);
}

void Fleet::noteOwnPause(core::Duration gap, core::Time now)
{
    absl::MutexLock lock(&m_mutex);
    m_table.noteOwnPause(gap, now);
}

void Fleet::forgetSilent(core::Time now)
{
    absl::MutexLock lock(&m_mutex);
    m_table.forgetSilent(now);
}

std::vector<DomainSummary> Fleet::hearSummaries(const Heartbeat &heartbeat, core::Time now)
{
    std::vector<DomainSummary> news;
    absl::MutexLock lock(&m_mutex);
    for (const auto &summary : heartbeat.summaries) {
        const bool direct = heartbeat.news.failureDomain == summary.failureDomain;
        if (m_domains.hear(summary, direct, now)) {
            news.push_back(summary);
        }
    }
    return news;
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
    return m_table.roleHolders(m_state == DaemonState::Serving, now);
}

std::string Fleet::holder(std::string_view role, core::Time now) const
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

bool Fleet::holds(std::string_view role, std::size_t count, core::Time now) const
{
    const auto ranked = core::rankByRendezvous(role, roleHolders(now));
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    return std::find(ranked.begin(), end, m_self) != end;
}

std::vector<core::Address> Fleet::sendTo() const
{
    absl::MutexLock lock(&m_mutex);
    return m_table.sendTo();
}

std::optional<Peer> Fleet::find(const std::string &vm) const
{
    absl::MutexLock lock(&m_mutex);
    const auto *peer = m_table.find(vm);
    return peer == nullptr ? std::nullopt : std::optional(*peer);
}

std::vector<Peer> Fleet::alive(core::Time now) const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<Peer> all;
    for (const auto &[vm, peer] : m_table.peers()) {
        if (m_table.alive(peer, now)) {
            all.push_back(peer);
        }
    }
    return all;
}

std::vector<core::Address> Fleet::sendToOtherDomains(core::Time now) const
{
    constexpr auto SilentAfter = absl::Seconds(5);
    constexpr std::size_t ContactsOfSilent = 3;
    std::vector<std::string> others;
    {
        absl::MutexLock lock(&m_mutex);
        others = m_table.otherDomains();
    }
    std::vector<core::Address> addresses;
    for (const auto &domain : others) {
        if (holder(core::cat("delegate:", domain), now) != m_self) {
            continue;
        }
        absl::MutexLock lock(&m_mutex);
        const std::size_t most = m_domains.age(domain, now) > SilentAfter ? ContactsOfSilent : 1;
        const auto contacts = m_table.contactsIn(domain, most, now);
        addresses.insert(addresses.end(), contacts.begin(), contacts.end());
    }
    return addresses;
}

std::vector<DomainSummary> Fleet::domains(core::Time now) const
{
    absl::MutexLock lock(&m_mutex);
    return m_domains.known(now);
}

std::vector<DomainSummary> Fleet::summariesToRepeat(core::Time now) const
{
    absl::MutexLock lock(&m_mutex);
    return m_domains.toRepeat(now);
}

std::size_t Fleet::daemons(core::Time now) const
{
    const auto own = std::max<std::size_t>(roleHolders(now).size(), 1);
    const auto known = domains(now);
    auto count = own;
    for (const auto &domain : known) {
        count += static_cast<std::size_t>(domain.daemons);
    }
    const auto heardOf = known.size() + 1;
    const auto never = m_allDomains.size() > heardOf ? m_allDomains.size() - heardOf : 0;
    return count + never * own;
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
