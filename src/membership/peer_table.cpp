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

bool hasIntroduction(const PeerReport &report)
{
    return report.peerAddress.port != 0;
}

/// Fills the fields that only an introduction contains, from the last known values.
PeerReport withKnownAddresses(PeerReport report, const PeerReport &known)
{
    if (!hasIntroduction(report)) {
        report.failureDomain = known.failureDomain;
        report.peerAddress = known.peerAddress;
        report.rpcAddress = known.rpcAddress;
        report.processorShare = known.processorShare;
    }
    return report;
}

} // namespace

PeerTable::PeerTable(std::string self, std::string failureDomain, core::Duration timeout)
    : m_self(std::move(self))
    , m_failureDomain(std::move(failureDomain))
    , m_timeout(timeout)
{ }

HeartbeatResult PeerTable::recordHeartbeat(const PeerReport &report, core::Time now)
{
    if (report.vm == m_self) {
        return HeartbeatResult::Own;
    }
    const auto known = m_peers.find(report.vm);
    if (known == m_peers.end()) {
        if (!hasIntroduction(report)) {
            return HeartbeatResult::Unknown;
        }
        auto &peer = m_peers[report.vm];
        peer = Peer{report, now, false, {}};
        peer.order.record(report.incarnation, report.sequence, now);
        return HeartbeatResult::New;
    }
    auto &peer = known->second;
    const auto age = peer.order.ageOf(report.incarnation, report.sequence, now);
    if (age == MessageAge::Outdated) {
        return HeartbeatResult::Outdated;
    }
    if (age == MessageAge::Repeated) {
        return HeartbeatResult::Duplicate;
    }
    const bool restarted = age == MessageAge::Restarted;
    if (restarted && !hasIntroduction(report)) {
        return HeartbeatResult::Unknown;
    }
    peer.order.record(report.incarnation, report.sequence, now);
    peer.report = withKnownAddresses(report, peer.report);
    peer.lastHeartbeatAt = now;
    peer.listedAsDraining = peer.listedAsDraining && !restarted;
    return restarted ? HeartbeatResult::New : HeartbeatResult::Accepted;
}

void PeerTable::applyVmList(const std::vector<objects::VmEntry> &entries)
{
    for (const auto &entry : entries) {
        if (entry.id == m_self) {
            continue;
        }
        m_listedVms[entry.id] = entry;
        const auto peer = m_peers.find(entry.id);
        if (peer != m_peers.end()) {
            peer->second.listedAsDraining = entry.leaving;
        }
    }
}

void PeerTable::extendTimeouts(core::Duration gap, core::Time now)
{
    for (auto &[vm, peer] : m_peers) {
        peer.lastHeartbeatAt = std::max(peer.lastHeartbeatAt, std::min(peer.lastHeartbeatAt + gap, now));
    }
}

void PeerTable::removeSilentPeers(core::Time now)
{
    constexpr int TimeoutsUntilRemoved = 10;
    std::erase_if(m_peers, [&](const auto &item) {
        return now - item.second.lastHeartbeatAt > m_timeout * TimeoutsUntilRemoved;
    });
}

bool PeerTable::isAlive(const Peer &peer, core::Time now) const
{
    return now - peer.lastHeartbeatAt <= m_timeout;
}

std::vector<std::string> PeerTable::roleHolders(bool selfHoldsRoles, core::Time now) const
{
    std::vector<std::string> holders;
    for (const auto &[vm, peer] : m_peers) {
        const bool isServing = peer.report.state == DaemonState::Serving && !peer.listedAsDraining;
        if (peer.report.failureDomain == m_failureDomain && isServing && isAlive(peer, now)) {
            holders.push_back(vm);
        }
    }
    if (selfHoldsRoles) {
        holders.push_back(m_self);
    }
    return holders;
}

std::vector<core::Address> PeerTable::heartbeatRecipients() const
{
    std::vector<core::Address> addresses;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.report.failureDomain == m_failureDomain) {
            addresses.push_back(peer.report.peerAddress);
        }
    }
    for (const auto &[vm, entry] : m_listedVms) {
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
        domains.insert(peer.report.failureDomain);
    }
    for (const auto &[vm, entry] : m_listedVms) {
        domains.insert(entry.failureDomain);
    }
    domains.erase(m_failureDomain);
    return {domains.begin(), domains.end()};
}

std::vector<core::Address> PeerTable::contactAddresses(const std::string &failureDomain, std::size_t maxCount,
                                                       core::Time now) const
{
    std::vector<std::string> liveVms;
    std::vector<std::string> otherVms;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.report.failureDomain == failureDomain) {
            (isAlive(peer, now) ? liveVms : otherVms).push_back(vm);
        }
    }
    for (const auto &[vm, entry] : m_listedVms) {
        if (entry.failureDomain == failureDomain && !m_peers.contains(vm)) {
            otherVms.push_back(vm);
        }
    }
    auto rankedVms = core::rankByRendezvous(m_failureDomain, std::move(liveVms));
    const auto rankedOthers = core::rankByRendezvous(m_failureDomain, std::move(otherVms));
    rankedVms.insert(rankedVms.end(), rankedOthers.begin(), rankedOthers.end());
    rankedVms.resize(std::min(rankedVms.size(), maxCount));
    std::vector<core::Address> addresses;
    for (const auto &vm : rankedVms) {
        const auto peer = m_peers.find(vm);
        addresses.push_back(peer != m_peers.end() ? peer->second.report.peerAddress : m_listedVms.at(vm).peerAddress);
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
