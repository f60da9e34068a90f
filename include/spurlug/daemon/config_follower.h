//----------------------------------------------------------------------------------------------------------------------
// spurlug: keeps this daemon's configuration the newest that can be reached
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/store.h"
#include "spurlug/core/periodic.h"
#include "spurlug/daemon/peer_calls.h"
#include "spurlug/membership/fleet.h"
#include "spurlug/metrics/metrics.h"
#include "spurlug/objects/object_api.h"
#include "spurlug/settings/settings.h"

#include <atomic>
#include <memory>
#include <random>

namespace spurlug::daemon
{

/// \brief Follows the configuration: from the platform where this daemon is a watcher, else from peers.
///
/// Two watchers of a failure domain wait on the root object; every other daemon learns of a new generation from
/// heartbeats and pulls it from the peer that has it. A daemon without any configuration reads the platform itself.
class ConfigFollower
{
public:
    ConfigFollower(config::Store &store, membership::Fleet &fleet, PeerCalls &peers,
                   const objects::HttpObjectApi &platform, metrics::Metrics &metrics, settings::Timing timing);
    ~ConfigFollower();
    ConfigFollower(const ConfigFollower &) = delete;
    ConfigFollower &operator=(const ConfigFollower &) = delete;

private:
    core::Duration watchRound();
    core::Duration pullRound();
    core::Duration vmListRound();
    [[nodiscard]] bool shouldWatch() const;
    [[nodiscard]] bool readsVmListOften(core::Time now) const;
    void offer(const std::string &root, config::PartTexts texts);
    void takeFromPlatform(const objects::Object &root);
    void takeFromPeer(const core::Address &peer);
    [[nodiscard]] core::Duration startDelay();
    [[nodiscard]] core::Duration backoff();

    config::Store &m_store;
    membership::Fleet &m_fleet;
    PeerCalls &m_peers;
    const objects::HttpObjectApi &m_platform;
    metrics::Metrics &m_metrics;
    const settings::Timing m_timing;
    bool m_started = false;
    std::int64_t m_rootVersion = 0;
    config::PartTexts m_partsRead; ///< Of a root that could not be read whole yet.
    core::Time m_vmListReadAt = absl::InfinitePast();
    int m_failures = 0;
    std::mt19937_64 m_random;
    std::unique_ptr<core::Periodic> m_watcher;
    std::unique_ptr<core::Periodic> m_puller;
    std::unique_ptr<core::Periodic> m_vmList;
};

} // namespace spurlug::daemon
