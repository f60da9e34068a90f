//----------------------------------------------------------------------------------------------------------------------
// spurlug: sends and receives heartbeats
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/periodic.h"
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

/// \brief Who gets a heartbeat.
enum class Audience
{
    OwnDomain,
    OwnDomainWithSummaries, ///< Each eighth round: what other failure domains told is repeated.
    OtherDomains, ///< Contacts in failure domains whose delegate this daemon is.
};

/// \brief What the service asks of the rest of the daemon.
struct HeartbeatHooks
{
    std::function<Heartbeat(Audience)> compose; ///< Own news, the sequence left out, and own loads.
    std::function<void(const Heartbeat &, core::Time)> received; ///< An accepted heartbeat.
};

/// \brief Sends a heartbeat to each peer of the failure domain once an interval, and takes in theirs.
class HeartbeatService
{
public:
    /// \param socket Bound already; shared with nobody else.
    /// \param seeds Addresses that get heartbeats beside the known peers.
    HeartbeatService(Fleet &fleet, metrics::Metrics &metrics, std::unique_ptr<UdpSocket> socket, std::string key,
                     std::vector<core::Address> seeds, core::Duration interval, HeartbeatHooks hooks);
    ~HeartbeatService();

    /// \brief Sends the next heartbeat now: there is news that peers should not wait for.
    void sendNow();

    HeartbeatService(const HeartbeatService &) = delete;
    HeartbeatService &operator=(const HeartbeatService &) = delete;

private:
    core::Duration sendRound();
    void sendToOwnDomain();
    void sendToOtherDomains();
    void send(const std::string &datagram, const std::vector<core::Address> &receivers);
    void receiveAll();
    void notePause(core::Time now);

    Fleet &m_fleet;
    metrics::Metrics &m_metrics;
    std::unique_ptr<UdpSocket> m_socket;
    const std::string m_key;
    const std::vector<core::Address> m_seeds;
    const core::Duration m_interval;
    HeartbeatHooks m_hooks;
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_introduce{true};
    core::Time m_lastRound = absl::InfinitePast();
    std::thread m_receiver;
    std::unique_ptr<core::Periodic> m_sender;
};

} // namespace spurlug::membership
