//----------------------------------------------------------------------------------------------------------------------
// spurlug: sends and receives heartbeats
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/periodic_thread.h"
#include "spurlug/membership/fleet.h"
#include "spurlug/membership/heartbeat.h"
#include "spurlug/membership/udp_socket.h"
#include "spurlug/metrics/metrics.h"

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace spurlug::membership
{

/// \brief Recipients of a heartbeat.
enum class HeartbeatScope
{
    OwnDomain,
    OwnDomainWithSummaries, ///< In every eighth round: includes the summaries of other failure domains.
    OtherDomains, ///< Contacts in the failure domains that this daemon is the delegate for.
};

/// \brief Callbacks of the service into the daemon.
struct HeartbeatCallbacks
{
    std::function<Heartbeat(HeartbeatScope)> makeHeartbeat; ///< Builds a heartbeat without its sequence number.
    std::function<void(const Heartbeat &, core::Time)> onReceived; ///< Called for each accepted heartbeat.
};

/// \brief Sends a heartbeat to each peer of the failure domain once per interval, and receives theirs.
class HeartbeatService
{
public:
    /// \param socket Bound socket, used exclusively by this service.
    /// \param key Shared secret that signs heartbeats.
    /// \param seeds Addresses that get heartbeats in addition to the known peers.
    /// \param interval Time between heartbeats.
    HeartbeatService(Fleet &fleet, metrics::Metrics &metrics, std::unique_ptr<UdpSocket> socket, std::string key,
                     std::vector<core::Address> seeds, core::Duration interval, HeartbeatCallbacks callbacks);
    ~HeartbeatService();

    /// \brief Sends the next heartbeat at once, for urgent changes.
    void sendNow();

    HeartbeatService(const HeartbeatService &) = delete;
    HeartbeatService &operator=(const HeartbeatService &) = delete;

private:
    core::Duration sendRound();
    void sendToOwnDomain();
    void sendToOtherDomains();
    void send(const std::string &datagram, const std::vector<core::Address> &recipients);
    void receiveHeartbeats();
    void detectPause(core::Time now);

    Fleet &m_fleet;
    metrics::Metrics &m_metrics;
    std::unique_ptr<UdpSocket> m_socket;
    const std::string m_key;
    const std::vector<core::Address> m_seeds;
    const core::Duration m_interval;
    HeartbeatCallbacks m_callbacks;
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_introductionDue{true};
    core::Time m_lastRoundAt = absl::InfinitePast();
    std::thread m_receiver;
    std::unique_ptr<core::PeriodicThread> m_sender;
};

} // namespace spurlug::membership
