//----------------------------------------------------------------------------------------------------------------------
// spurlug: table of peer daemons and their liveness
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/membership/peer_table.h"

#include "spurlug/core/rendezvous.h"

#include <algorithm>
#include <set>
#include <utility>

namespace spurlug::membership
{

namespace
{

bool introduces(const PeerNews &news)
{
    return news.peerAddress.port != 0;
}

/// Fills the fields that only an introduction contains, from the last known values.
PeerNews withKnownAddresses(PeerNews news, const PeerNews &known)
{
    if (!introduces(news)) {
        news.failureDomain = known.failureDomain;
        news.peerAddress = known.peerAddress;
        news.rpcAddress = known.rpcAddress;
        news.processorShare = known.processorShare;
    }
    return news;
}

} // namespace

PeerTable::PeerTable(std::string self, std::string failureDomain, core::Duration timeout)
    : m_self(std::move(self))
    , m_failureDomain(std::move(failureDomain))
    , m_timeout(timeout)
{ }

HeardResult PeerTable::hear(const PeerNews &news, core::Time now)
{
    if (news.vm == m_self) {
        return HeardResult::Own;
    }
    const auto known = m_peers.find(news.vm);
    if (known == m_peers.end()) {
        if (!introduces(news)) {
            return HeardResult::Unknown;
        }
        m_peers[news.vm] = Peer{news, now, false};
        return HeardResult::New;
    }
    auto &peer = known->second;
    if (news.incarnation < peer.news.incarnation) {
        return HeardResult::Outdated;
    }
    const bool restarted = news.incarnation > peer.news.incarnation;
    if (restarted && !introduces(news)) {
        return HeardResult::Unknown;
    }
    if (!restarted && news.sequence <= peer.news.sequence) {
        return HeardResult::Repeated;
    }
    peer.news = withKnownAddresses(news, peer.news);
    peer.heardAt = now;
    peer.listedLeaving = peer.listedLeaving && !restarted;
    return restarted ? HeardResult::New : HeardResult::Accepted;
}

void PeerTable::noteVmList(const std::vector<objects::VmEntry> &entries)
{
    for (const auto &entry : entries) {
        if (entry.id == m_self) {
            continue;
        }
        m_listed[entry.id] = entry;
        const auto peer = m_peers.find(entry.id);
        if (peer != m_peers.end()) {
            peer->second.listedLeaving = entry.leaving;
        }
    }
}

void PeerTable::noteOwnPause(core::Duration gap, core::Time now)
{
    for (auto &[vm, peer] : m_peers) {
        peer.heardAt = std::max(peer.heardAt, std::min(peer.heardAt + gap, now));
    }
}

void PeerTable::forgetSilent(core::Time now)
{
    constexpr int TimeoutsUntilForgotten = 10;
    std::erase_if(m_peers,
                  [&](const auto &item) { return now - item.second.heardAt > m_timeout * TimeoutsUntilForgotten; });
}

bool PeerTable::alive(const Peer &peer, core::Time now) const
{
    return now - peer.heardAt <= m_timeout;
}

std::vector<std::string> PeerTable::roleHolders(bool selfHoldsRoles, core::Time now) const
{
    std::vector<std::string> holders;
    for (const auto &[vm, peer] : m_peers) {
        const bool serving = peer.news.state == DaemonState::Serving && !peer.listedLeaving;
        if (peer.news.failureDomain == m_failureDomain && serving && alive(peer, now)) {
            holders.push_back(vm);
        }
    }
    if (selfHoldsRoles) {
        holders.push_back(m_self);
    }
    return holders;
}

std::vector<core::Address> PeerTable::sendTo() const
{
    std::vector<core::Address> addresses;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.news.failureDomain == m_failureDomain) {
            addresses.push_back(peer.news.peerAddress);
        }
    }
    for (const auto &[vm, entry] : m_listed) {
        if (entry.failureDomain == m_failureDomain && !m_peers.contains(vm)) {
            addresses.push_back(entry.peerAddress);
        }
    }
    return addresses;
}

std::vector<std::string> PeerTable::otherDomains() const
{
    std::set<std::string> domains;
    for (const auto &[vm, peer] : m_peers) {
        domains.insert(peer.news.failureDomain);
    }
    for (const auto &[vm, entry] : m_listed) {
        domains.insert(entry.failureDomain);
    }
    domains.erase(m_failureDomain);
    return {domains.begin(), domains.end()};
}

std::vector<core::Address> PeerTable::contactsIn(const std::string &failureDomain, std::size_t most,
                                                 core::Time now) const
{
    std::vector<std::string> heard;
    std::vector<std::string> others;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.news.failureDomain == failureDomain) {
            (alive(peer, now) ? heard : others).push_back(vm);
        }
    }
    for (const auto &[vm, entry] : m_listed) {
        if (entry.failureDomain == failureDomain && !m_peers.contains(vm)) {
            others.push_back(vm);
        }
    }
    auto order = core::rankByRendezvous(m_failureDomain, std::move(heard));
    const auto rest = core::rankByRendezvous(m_failureDomain, std::move(others));
    order.insert(order.end(), rest.begin(), rest.end());
    order.resize(std::min(order.size(), most));
    std::vector<core::Address> addresses;
    for (const auto &vm : order) {
        const auto peer = m_peers.find(vm);
        addresses.push_back(peer != m_peers.end() ? peer->second.news.peerAddress : m_listed.at(vm).peerAddress);
    }
    return addresses;
}

const Peer *PeerTable::find(const std::string &vm) const
{
    const auto found = m_peers.find(vm);
    return found == m_peers.end() ? nullptr : &found->second;
}

const std::map<std::string, Peer> &PeerTable::peers() const noexcept
{
    return m_peers;
}

} // namespace spurlug::membership
