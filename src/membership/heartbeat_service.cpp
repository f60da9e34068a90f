//----------------------------------------------------------------------------------------------------------------------
// spurlug: sends and receives heartbeats
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/membership/heartbeat_service.h"

#include "spurlug/core/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace spurlug::membership
{

namespace
{

constexpr std::uint64_t IntroduceEvery = 10;
constexpr std::uint64_t SummariesEvery = 8;
/// A gap of more than this many intervals between rounds means that the daemon was paused.
constexpr int PauseIntervals = 3;

} // namespace

HeartbeatService::HeartbeatService(Fleet &fleet, metrics::Metrics &metrics, std::unique_ptr<UdpSocket> socket,
                                   std::string key, std::vector<core::Address> seeds, core::Duration interval,
                                   HeartbeatHooks hooks)
    : m_fleet(fleet)
    , m_metrics(metrics)
    , m_socket(std::move(socket))
    , m_key(std::move(key))
    , m_seeds(std::move(seeds))
    , m_interval(interval)
    , m_hooks(std::move(hooks))
    , m_receiver([this] { receiveAll(); })
    , m_sender(std::make_unique<core::Periodic>("heartbeats", [this] { return sendRound(); }))
{ }

HeartbeatService::~HeartbeatService()
{
    m_sender.reset();
    sendRound(); // Sends the final state to the peers at once.
    m_socket->shutDown();
    m_receiver.join();
}

void HeartbeatService::sendNow()
{
    m_sender->runNow();
}

core::Duration HeartbeatService::sendRound()
{
    notePause(core::now());
    ++m_sequence;
    sendToOwnDomain();
    sendToOtherDomains();
    m_fleet.forgetSilent(core::now());
    return m_interval;
}

void HeartbeatService::sendToOwnDomain()
{
    const bool withSummaries = m_sequence % SummariesEvery == 0;
    auto heartbeat = m_hooks.compose(withSummaries ? Audience::OwnDomainWithSummaries : Audience::OwnDomain);
    heartbeat.news.sequence = m_sequence;
    const bool introduce = m_introduce.exchange(false) || m_sequence % IntroduceEvery == 0;
    if (!introduce) {
        heartbeat.news.peerAddress.port = 0;
    }
    auto receivers = m_fleet.sendTo();
    for (const auto &seed : m_seeds) {
        if (std::find(receivers.begin(), receivers.end(), seed) == receivers.end()) {
            receivers.push_back(seed);
        }
    }
    send(writeHeartbeat(heartbeat, m_key), receivers);
}

void HeartbeatService::sendToOtherDomains()
{
    const auto receivers = m_fleet.sendToOtherDomains(core::now());
    if (receivers.empty()) {
        return;
    }
    auto heartbeat = m_hooks.compose(Audience::OtherDomains);
    heartbeat.news.sequence = m_sequence;
    send(writeHeartbeat(heartbeat, m_key), receivers);
}

void HeartbeatService::send(const std::string &datagram, const std::vector<core::Address> &receivers)
{
    for (const auto &receiver : receivers) {
        m_socket->send(datagram, receiver);
        m_metrics.count(metrics::Counter::HeartbeatsSent);
        m_metrics.count(metrics::Counter::HeartbeatBytesSent, static_cast<std::int64_t>(datagram.size()));
    }
}

void HeartbeatService::notePause(core::Time now)
{
    const auto gap = now - m_lastRound;
    const bool paused = m_lastRound != absl::InfinitePast() && gap > m_interval * PauseIntervals;
    m_lastRound = now;
    if (paused) {
        m_fleet.noteOwnPause(gap, now);
        m_metrics.count(metrics::Counter::PausesNoticed);
        core::log(core::LogLevel::Warning, "own_pause_noticed", {{"gapMs", core::toMs(gap)}});
    }
}

void HeartbeatService::receiveAll()
{
    while (const auto datagram = m_socket->receive()) {
        m_metrics.count(metrics::Counter::HeartbeatsReceived);
        m_metrics.count(metrics::Counter::HeartbeatBytesReceived, static_cast<std::int64_t>(datagram->size()));
        const auto heartbeat = readHeartbeat(*datagram, m_key);
        if (!heartbeat) {
            m_metrics.count(metrics::Counter::HeartbeatsRejected);
            continue;
        }
        const auto now = core::now();
        const auto result = m_fleet.hear(heartbeat->news, now);
        if (result == HeardResult::New) {
            m_introduce = true;
            core::log(core::LogLevel::Info, "peer_heard", {{"vm", heartbeat->news.vm}});
        }
        if (result == HeardResult::New || result == HeardResult::Accepted) {
            m_hooks.received(*heartbeat, now);
        }
    }
}

} // namespace spurlug::membership
