//----------------------------------------------------------------------------------------------------------------------
// spurlug: heartbeats between relaying daemons: who lives, and what each has at the targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/peer_link.h"

#include "spurlug/core/error.h"
#include "spurlug/core/log.h"
#include "spurlug/core/text.h"

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

constexpr std::string_view Fleet = "fleet"; // All relaying daemons are one group, whatever their failure domain.
constexpr auto PeerTimeout = absl::Milliseconds(1500); // Work of a peer that is silent this long is not counted.
constexpr auto ShortestInterval = absl::Milliseconds(50); // Between a burst's requests at one daemon.
constexpr auto LongestInterval = absl::Milliseconds(500); // So that PeerTimeout spans three heartbeats.
constexpr double MostBytesPerSecond = 12'000; // Of the 15 KB/s that control may take in a large fleet.
/// Bytes a second of all daemons together that a fleet may take instead, up to some hundred machines: nothing else is
/// near its limit there, and choices are as good as the loads they go by are new (docs/ROUTING.md).
constexpr double SmallFleetBytesPerSecond = 5'000'000;
constexpr auto HeartbeatDelay = absl::Milliseconds(20); // On the way, and until both ends have come to it.
constexpr auto CandidateLife = absl::Seconds(20); // An address that never answers is forgotten.
constexpr std::size_t PeersNamed = 6; // In each heartbeat that introduces its sender.
constexpr std::uint64_t IntroductionEvery = 10; // Heartbeats; the others carry no addresses.
constexpr std::size_t LargestDatagram = 64 << 10;
constexpr auto PauseNoticed = absl::Milliseconds(700); // A gap between rounds that only a stopped process explains.

} // namespace

PeerLink::PeerLink(RelayContext &context)
    : m_context(context)
    , m_socket(context.loop)
    , m_peers(context.settings.vm, std::string(Fleet), PeerTimeout)
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

core::Duration PeerLink::interval(std::size_t bytes) const
{
    const auto perRound = static_cast<double>(bytes * m_peers.peers().size());
    const auto budget = std::max(MostBytesPerSecond, SmallFleetBytesPerSecond / static_cast<double>(m_context.daemons));
    const auto span = absl::Seconds(perRound / budget);
    return std::clamp(span, core::Duration(ShortestInterval), core::Duration(LongestInterval));
}

net::Task<> PeerLink::send()
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
        const auto pause = interval(m_lastBytes);
        m_context.peerWorkAge = pause + HeartbeatDelay;
        co_await net::sleepFor(pause * jitter);
    }
}

membership::Heartbeat PeerLink::compose(core::Time now)
{
    membership::Heartbeat heartbeat;
    heartbeat.news.vm = m_context.settings.vm;
    heartbeat.news.incarnation = m_incarnation;
    heartbeat.news.sequence = ++m_sequence;
    heartbeat.news.state = m_context.draining ? membership::DaemonState::Leaving : membership::DaemonState::Serving;
    heartbeat.news.generation = m_context.table ? m_context.table->version : 0;
    heartbeat.work = m_context.targets.ownWork(now);
    heartbeat.unreachable = m_context.targets.unreachable(now);
    if (m_sequence % IntroductionEvery != 1 && !m_introduce) {
        return heartbeat;
    }
    m_introduce = false;
    heartbeat.news.failureDomain = Fleet;
    heartbeat.news.peerAddress = m_context.settings.peerAddress;
    heartbeat.news.rpcAddress = m_context.settings.controlAddress;
    std::vector<core::Address> known;
    for (const auto &vm : m_alive) {
        known.push_back(m_peers.find(vm)->news.peerAddress);
    }
    std::shuffle(known.begin(), known.end(), m_context.random);
    known.resize(std::min(known.size(), PeersNamed));
    heartbeat.knownPeers = std::move(known);
    return heartbeat;
}

void PeerLink::sendRound(core::Time now)
{
    const auto datagram = membership::writeHeartbeat(compose(now), "");
    m_lastBytes = datagram.size();
    std::set<std::string> receivers;
    for (const auto &[vm, peer] : m_peers.peers()) {
        receivers.insert(peer.news.peerAddress.text());
    }
    for (const auto &[address, toldAt] : m_candidates) {
        receivers.insert(address);
    }
    for (const auto &seed : m_context.settings.seeds) {
        // Seeds are control addresses; the port for heartbeats is the same on all daemons.
        receivers.insert(core::Address{seed.host, m_context.settings.peerAddress.port}.text());
    }
    receivers.erase(m_context.settings.peerAddress.text());
    for (const auto &receiver : receivers) {
        sendTo(core::parseAddress(receiver), datagram);
    }
}

void PeerLink::sendTo(const core::Address &peer, const std::string &datagram)
{
    error_code error; // A datagram may be lost anyway: the next one makes up for it.
    const udp::endpoint endpoint(net::asio::ip::make_address(peer.host, error), peer.port);
    if (!error) {
        m_socket.send_to(net::asio::buffer(datagram), endpoint, 0, error);
        m_context.metrics.count(metrics::Counter::HeartbeatsSent);
        m_context.metrics.count(metrics::Counter::HeartbeatBytesSent, static_cast<std::int64_t>(datagram.size()));
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
            take(buffer.substr(0, bytes), core::now());
        }
    }
}

void PeerLink::take(const std::string &datagram, core::Time now)
{
    m_context.metrics.count(metrics::Counter::HeartbeatsReceived);
    m_context.metrics.count(metrics::Counter::HeartbeatBytesReceived, static_cast<std::int64_t>(datagram.size()));
    const auto heartbeat = membership::readHeartbeat(datagram, "");
    if (!heartbeat) {
        m_context.metrics.count(metrics::Counter::HeartbeatsRejected);
        return;
    }
    const auto &news = heartbeat->news;
    const auto heard = m_peers.hear(news, now);
    if (heard != membership::HeardResult::Accepted && heard != membership::HeardResult::New) {
        return;
    }
    if (m_alive.insert(news.vm).second || heard == membership::HeardResult::New) {
        m_introduce = true; // It may not know this daemon either.
        core::log(core::LogLevel::Info, "peer_heard",
                  {{"vm", news.vm}, {"address", news.peerAddress.text()}, {"incarnation", news.incarnation}});
    }
    m_context.targets.peerWork(news.vm, heartbeat->work);
    for (const auto &target : m_context.targets.peerReport(heartbeat->unreachable, now)) {
        core::log(core::LogLevel::Info, "target_reported",
                  {{"target", target->entry.id}, {"by", news.vm}, {"reported", heartbeat->unreachable.size()}});
    }
    for (const auto &address : heartbeat->knownPeers) {
        m_candidates.emplace(address.text(), now);
    }
    m_candidates.erase(news.peerAddress.text());
}

void PeerLink::noteSilence(core::Time now)
{
    std::erase_if(m_alive, [&](const std::string &vm) {
        const auto *peer = m_peers.find(vm);
        if (peer != nullptr && m_peers.alive(*peer, now)) {
            return false;
        }
        core::log(core::LogLevel::Warning, "peer_silent", {{"vm", vm}});
        m_context.targets.forgetPeer(vm);
        return true;
    });
    m_peers.forgetSilent(now);
    std::erase_if(m_candidates, [&](const auto &item) { return now - item.second > CandidateLife; });
    m_context.daemons = std::max(m_alive.size() + 1, m_context.settings.seeds.size());
}

std::vector<core::Address> PeerLink::toAsk(core::Time now) const
{
    std::vector<core::Address> addresses;
    for (const auto &[vm, peer] : m_peers.peers()) {
        if (m_peers.alive(peer, now)) {
            addresses.push_back(peer.news.rpcAddress);
        }
    }
    return addresses.empty() ? m_context.settings.seeds : addresses;
}

} // namespace spurlug::relay
