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

constexpr std::uint64_t RoundsPerIntroduction = 10;
constexpr std::uint64_t RoundsPerSummaries = 8;
/// A gap of more than this many intervals between rounds means that the daemon was paused.
constexpr int PauseThresholdIntervals = 3;

} // namespace

HeartbeatService::HeartbeatService(Fleet &fleet, metrics::Metrics &metrics, std::unique_ptr<UdpSocket> socket,
                                   std::string key, std::vector<core::Address> seeds, core::Duration interval,
                                   HeartbeatCallbacks callbacks)
    : m_fleet(fleet)
    , m_metrics(metrics)
    , m_socket(std::move(socket))
    , m_key(std::move(key))
    , m_seeds(std::move(seeds))
    , m_interval(interval)
    , m_callbacks(std::move(callbacks))
    , m_receiver([this] { receiveHeartbeats(); })
    , m_sender(std::make_unique<core::PeriodicThread>("heartbeats", [this] { return sendRound(); }))
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
    detectPause(core::now());
    ++m_sequence;
    sendToOwnDomain();
    sendToOtherDomains();
    m_fleet.removeSilentPeers(core::now());
    return m_interval;
}

void HeartbeatService::sendToOwnDomain()
{
    const bool withSummaries = m_sequence % RoundsPerSummaries == 0;
    auto heartbeat
        = m_callbacks.makeHeartbeat(withSummaries ? HeartbeatScope::OwnDomainWithSummaries : HeartbeatScope::OwnDomain);
    heartbeat.sender.sequence = m_sequence;
    const bool introduce = m_introductionDue.exchange(false) || m_sequence % RoundsPerIntroduction == 0;
    if (!introduce) {
        heartbeat.sender.peerAddress.port = 0;
    }
    auto recipients = m_fleet.heartbeatRecipients();
    for (const auto &seed : m_seeds) {
        if (std::find(recipients.begin(), recipients.end(), seed) == recipients.end()) {
            recipients.push_back(seed);
        }
    }
    send(writeHeartbeat(heartbeat, m_key), recipients);
}

void HeartbeatService::sendToOtherDomains()
{
    const auto recipients = m_fleet.otherDomainRecipients(core::now());
    if (recipients.empty()) {
        return;
    }
    auto heartbeat = m_callbacks.makeHeartbeat(HeartbeatScope::OtherDomains);
    heartbeat.sender.sequence = m_sequence;
    send(writeHeartbeat(heartbeat, m_key), recipients);
}

void HeartbeatService::send(const std::string &datagram, const std::vector<core::Address> &recipients)
{
    for (const auto &recipient : recipients) {
        m_socket->send(datagram, recipient);
        m_metrics.count(metrics::Counter::HeartbeatsSent);
        m_metrics.count(metrics::Counter::HeartbeatBytesSent, static_cast<std::int64_t>(datagram.size()));
    }
}

void HeartbeatService::detectPause(core::Time now)
{
    const auto gap = now - m_lastRoundAt;
    const bool paused = m_lastRoundAt != absl::InfinitePast() && gap > m_interval * PauseThresholdIntervals;
    m_lastRoundAt = now;
    if (paused) {
        m_fleet.extendTimeouts(gap, now);
        m_metrics.count(metrics::Counter::PausesDetected);
        core::log(core::LogLevel::Warning, "own_pause_noticed", {{"gapMs", core::toMs(gap)}});
    }
}

void HeartbeatService::receiveHeartbeats()
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
        const auto result = m_fleet.recordHeartbeat(heartbeat->sender, now);
        if (result == HeartbeatResult::New) {
            m_introductionDue = true;
            core::log(core::LogLevel::Info, "peer_heard", {{"vm", heartbeat->sender.vm}});
        }
        if (result == HeartbeatResult::New || result == HeartbeatResult::Accepted) {
            m_callbacks.onReceived(*heartbeat, now);
        }
    }
}

} // namespace spurlug::membership
