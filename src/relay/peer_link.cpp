//----------------------------------------------------------------------------------------------------------------------
// spurlug: heartbeats between relaying daemons, and the socket of the control plane
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/peer_link.h"

#include "spurlug/core/error.h"
#include "spurlug/core/log.h"
#include "spurlug/core/text.h"
#include "spurlug/relay/target_notice.h"

#include <absl/time/clock.h>
#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace spurlug::relay
{

namespace
{

using boost::system::error_code;
using net::asio::ip::udp;

/// Silence after which a peer counts as gone: three heartbeats at the longest interval, and one lost. A holder of a
/// role that does not answer is left aside long before, by those that ask it.
constexpr auto PeerTimeout = absl::Seconds(7);
constexpr auto ShortestInterval = absl::Milliseconds(250);
constexpr auto LongestInterval = absl::Seconds(2);
constexpr double BytesPerSecond = 6'000; // Of the 15 KB/s that control may take in a large fleet.
constexpr std::size_t DatagramOverhead = 28; // Bytes of the headers of IP and UDP.
/// A daemon that just started sends more often until it knows the others; then it may hold roles.
constexpr auto YouthSpan = absl::Seconds(3);
constexpr auto YouthInterval = absl::Milliseconds(300);
constexpr auto CandidateLife = absl::Seconds(20); // An address that never answers is forgotten.
constexpr std::size_t HoldersNamed = 4; // In an introduction, of the role that all daemons need.
constexpr std::size_t PeersNamed = 12; // In an introduction, in all.
constexpr std::uint64_t IntroductionEvery = 5; // Heartbeats; the others carry no addresses.
/// Targets that a heartbeat names as leaving: as many as fit into this part of what a peer is sent, so 48 in a fleet of
/// 20 and four in one of 300 and more, where they add 3 KB/s while there are any; other daemons name other ones.
constexpr double LeavingShare = 0.4;
constexpr double LeavingBytes = 5;
constexpr std::size_t LeastLeavingTold = 4;
constexpr std::size_t MostLeavingTold = 48;
constexpr std::size_t LargestDatagram = 64 << 10;
constexpr auto PauseNoticed = absl::Milliseconds(3000); // A gap between rounds that only a stopped process explains.

core::Address addressOf(const udp::endpoint &endpoint)
{
    return {endpoint.address().to_string(), endpoint.port()};
}

} // namespace

PeerLink::PeerLink(RelayContext &context)
    : m_context(context)
    , m_socket(context.loop)
    , m_peers(context.settings.vm, context.settings.failureDomain, PeerTimeout)
    , m_incarnation(static_cast<std::uint64_t>(absl::ToUnixNanos(absl::Now())))
{
    const auto &address = context.settings.peerAddress;
    try {
        const udp::endpoint endpoint(net::asio::ip::make_address(address.host), address.port);
        m_socket.open(endpoint.protocol());
        m_socket.bind(endpoint);
        m_socket.non_blocking(true);
    } catch (const boost::system::system_error &error) {
        throw core::NetworkError(core::cat(address.text(), ": cannot bind: ", error.code().message()));
    }
}

void PeerLink::onMessage(TakeMessage take)
{
    m_takeMessage = std::move(take);
}

void PeerLink::onNewPeer(std::function<void(const core::Address &)> tell)
{
    m_tellNewPeer = std::move(tell);
}

core::Duration PeerLink::interval(core::Time now) const
{
    if (now - m_context.startedAt < YouthSpan) {
        return YouthInterval;
    }
    const auto perRound = static_cast<double>((m_lastBytes + DatagramOverhead) * m_peers.peers().size());
    const auto span = absl::Seconds(perRound / BytesPerSecond);
    return std::clamp(span, core::Duration(ShortestInterval), core::Duration(LongestInterval));
}

net::Task<> PeerLink::sendHeartbeats()
{
    constexpr double LeastJitter = 0.9;
    constexpr double MostJitter = 1.1;
    for (;;) {
        const auto now = core::now();
        if (m_lastRound != absl::InfinitePast() && now - m_lastRound > PauseNoticed) {
            core::log(core::LogLevel::Warning, "pause_noticed", {{"ms", core::toMs(now - m_lastRound)}});
            m_context.metrics.count(metrics::Counter::PausesNoticed);
            m_peers.noteOwnPause(now - m_lastRound, now);
        }
        m_lastRound = now;
        noteSilence(now);
        sendRound(now);
        const auto jitter = std::uniform_real_distribution<double>(LeastJitter, MostJitter)(m_context.random);
        co_await net::sleepFor(interval(now) * jitter);
    }
}

membership::DaemonState PeerLink::state(core::Time now) const
{
    if (m_context.draining) {
        return membership::DaemonState::Leaving;
    }
    const bool young = now - m_context.startedAt < YouthSpan;
    return young || !m_context.table ? membership::DaemonState::Starting : membership::DaemonState::Serving;
}

std::size_t PeerLink::mostLeavingTold() const
{
    const auto peers = std::max<std::size_t>(m_peers.peers().size(), 1);
    const auto bytes = BytesPerSecond * absl::ToDoubleSeconds(LongestInterval) / static_cast<double>(peers);
    return std::clamp(static_cast<std::size_t>(bytes * LeavingShare / LeavingBytes), LeastLeavingTold, MostLeavingTold);
}

membership::Heartbeat PeerLink::compose(core::Time now)
{
    membership::Heartbeat heartbeat;
    heartbeat.news.vm = m_context.settings.vm;
    heartbeat.news.incarnation = m_incarnation;
    heartbeat.news.sequence = ++m_sequence;
    heartbeat.news.state = state(now);
    heartbeat.news.generation = m_context.table ? m_context.table->version : 0;
    heartbeat.largestDomain = m_context.largestDomain;
    heartbeat.leaving = leavingNews(m_context, mostLeavingTold());
    return heartbeat;
}

std::string PeerLink::introduction(core::Time now)
{
    auto heartbeat = compose(now);
    heartbeat.news.failureDomain = m_context.settings.failureDomain;
    heartbeat.news.peerAddress = m_context.settings.peerAddress;
    heartbeat.news.rpcAddress = m_context.settings.controlAddress;
    heartbeat.news.processorShare = m_context.settings.processorShare;
    for (const auto &holder : m_context.roster.holders(control::Role::Scheduler, HoldersNamed)) {
        heartbeat.knownPeers.push_back(holder.datagrams);
    }
    std::vector<core::Address> others;
    for (const auto &vm : m_alive) {
        others.push_back(m_peers.find(vm)->news.peerAddress);
    }
    std::shuffle(others.begin(), others.end(), m_context.random);
    others.resize(std::min(others.size(), PeersNamed - heartbeat.knownPeers.size()));
    heartbeat.knownPeers.insert(heartbeat.knownPeers.end(), others.begin(), others.end());
    return membership::writeHeartbeat(heartbeat, "");
}

void PeerLink::sendRound(core::Time now)
{
    std::set<std::string> strangers;
    for (const auto &[address, toldAt] : m_candidates) {
        strangers.insert(address);
    }
    for (const auto &seed : m_context.settings.seeds) {
        // Seeds are control addresses; the port for heartbeats is the same on all daemons.
        strangers.insert(core::Address{seed.host, m_context.settings.peerAddress.port}.text());
    }
    strangers.erase(m_context.settings.peerAddress.text());
    for (const auto &[vm, peer] : m_peers.peers()) {
        strangers.erase(peer.news.peerAddress.text());
    }
    const auto hello = introduction(now);
    for (const auto &stranger : strangers) {
        sendTo(core::parseAddress(stranger), hello);
    }
    const bool introduces = m_sequence % IntroductionEvery == 0;
    const auto datagram = introduces ? introduction(now) : membership::writeHeartbeat(compose(now), "");
    m_lastBytes = introduces ? m_lastBytes : datagram.size();
    for (const auto &[vm, peer] : m_peers.peers()) {
        sendTo(peer.news.peerAddress, datagram);
        m_context.metrics.count(metrics::Counter::HeartbeatsSent);
        m_context.metrics.count(metrics::Counter::HeartbeatBytesSent, static_cast<std::int64_t>(datagram.size()));
    }
}

void PeerLink::announce(core::Time now)
{
    sendRound(now);
}

void PeerLink::sendTo(const core::Address &peer, const std::string &datagram)
{
    error_code error; // A datagram may be lost anyway: the next one makes up for it.
    const udp::endpoint endpoint(net::asio::ip::make_address(peer.host, error), peer.port);
    if (!error) {
        m_socket.send_to(net::asio::buffer(datagram), endpoint, 0, error);
    }
}

net::Task<> PeerLink::receive()
{
    std::string buffer(LargestDatagram, '\0');
    for (;;) {
        udp::endpoint sender;
        auto [error, bytes] = co_await m_socket.async_receive_from(net::asio::buffer(buffer), sender, net::Awaited);
        if (error == net::asio::error::operation_aborted) {
            co_return;
        }
        if (!error) { // Else an earlier datagram met a closed port: its receiver is away.
            take(buffer.substr(0, bytes), addressOf(sender), core::now());
        }
    }
}

void PeerLink::take(const std::string &datagram, const core::Address &from, core::Time now)
{
    if (auto message = control::readMessage(datagram)) {
        if (m_takeMessage) {
            m_takeMessage(std::move(*message), from);
        }
        return;
    }
    m_context.metrics.count(metrics::Counter::HeartbeatsReceived);
    m_context.metrics.count(metrics::Counter::HeartbeatBytesReceived, static_cast<std::int64_t>(datagram.size()));
    const auto heartbeat = membership::readHeartbeat(datagram, "");
    if (!heartbeat) {
        m_context.metrics.count(metrics::Counter::HeartbeatsRejected);
        return;
    }
    takeHeartbeat(*heartbeat, now);
}

void PeerLink::takeHeartbeat(const membership::Heartbeat &heartbeat, core::Time now)
{
    const auto &news = heartbeat.news;
    const auto *known = m_peers.find(news.vm);
    const bool changed = known == nullptr || known->news.state != news.state;
    const auto heard = m_peers.hear(news, now);
    if (heard == membership::HeardResult::Unknown) {
        return; // It introduces itself soon.
    }
    if (heard != membership::HeardResult::Accepted && heard != membership::HeardResult::New) {
        return;
    }
    const auto &address = m_peers.find(news.vm)->news.peerAddress;
    const bool isNew = m_alive.insert(news.vm).second || heard == membership::HeardResult::New;
    if (isNew) {
        core::log(core::LogLevel::Info, "peer_heard",
                  {{"vm", news.vm}, {"address", address.text()}, {"incarnation", news.incarnation}});
    }
    if (m_context.settings.countsTogether(m_peers.find(news.vm)->news.failureDomain)) {
        m_context.largestDomain = std::max(m_context.largestDomain, heartbeat.largestDomain);
    }
    takeLeavingNews(m_context, heartbeat.leaving, news.vm);
    for (const auto &candidate : heartbeat.knownPeers) {
        m_candidates.emplace(candidate.text(), now);
    }
    m_candidates.erase(address.text());
    if (isNew || changed) {
        refreshRoster(now);
    }
    if (heard == membership::HeardResult::New) {
        sendTo(address, introduction(now)); // It may not know this daemon either.
    }
    if (isNew) {
        m_tellNewPeer(address);
    }
}

void PeerLink::noteSilence(core::Time now)
{
    std::erase_if(m_alive, [&](const std::string &vm) {
        const auto *peer = m_peers.find(vm);
        if (peer != nullptr && m_peers.alive(*peer, now)) {
            return false;
        }
        core::log(core::LogLevel::Warning, "peer_silent", {{"vm", vm}});
        return true;
    });
    m_peers.forgetSilent(now);
    std::erase_if(m_candidates, [&](const auto &item) { return now - item.second > CandidateLife; });
    refreshRoster(now);
}

void PeerLink::refreshRoster(core::Time now)
{
    const auto &settings = m_context.settings;
    std::vector<control::Member> members{{settings.vm, settings.failureDomain, settings.processorShare, state(now),
                                          settings.peerAddress, settings.controlAddress}};
    for (const auto &vm : m_alive) {
        const auto &news = m_peers.find(vm)->news;
        members.push_back({vm, news.failureDomain, news.processorShare, news.state, news.peerAddress, news.rpcAddress});
    }
    m_context.roster.replace(std::move(members));
    m_context.daemons = std::max(m_context.roster.size(), settings.seeds.size());
    const auto together = m_context.roster.count(
        [&settings](const control::Member &member) { return settings.countsTogether(member.failureDomain); });
    m_context.largestDomain = std::max(m_context.largestDomain, together);
}

} // namespace spurlug::relay
