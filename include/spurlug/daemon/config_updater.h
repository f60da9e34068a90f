//----------------------------------------------------------------------------------------------------------------------
// spurlug: keeps this daemon's configuration up to date
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/store.h"
#include "spurlug/core/periodic_thread.h"
#include "spurlug/daemon/peer_client.h"
#include "spurlug/membership/fleet.h"
#include "spurlug/metrics/metrics.h"
#include "spurlug/objects/object_api.h"
#include "spurlug/settings/settings.h"

#include <atomic>
#include <memory>
#include <random>

namespace spurlug::daemon
{

/// \brief Updates the configuration: from the platform if this daemon is a watcher, otherwise from peers.
///
/// Two watchers in each failure domain wait for changes of the root object. All other daemons learn of a new generation
/// from heartbeats and fetch it from a peer that has it. A daemon without a configuration reads the platform itself.
class ConfigUpdater
{
public:
    ConfigUpdater(config::Store &store, membership::Fleet &fleet, PeerClient &peers,
                  const objects::HttpObjectApi &platform, metrics::Metrics &metrics, settings::Timing timing);
    ~ConfigUpdater();
    ConfigUpdater(const ConfigUpdater &) = delete;
    ConfigUpdater &operator=(const ConfigUpdater &) = delete;

private:
    core::Duration watchPlatform();
    core::Duration pullFromPeers();
    core::Duration updateVmList();
    [[nodiscard]] bool shouldWatch() const;
    [[nodiscard]] bool needsFrequentVmList(core::Time now) const;
    void offer(const std::string &root, config::PartTexts texts);
    void loadFromPlatform(const objects::Object &root);
    void loadFromPeer(const core::Address &peer);
    [[nodiscard]] core::Duration startDelay();
    [[nodiscard]] core::Duration backoff();

    config::Store &m_store;
    membership::Fleet &m_fleet;
    PeerClient &m_peers;
    const objects::HttpObjectApi &m_platform;
    metrics::Metrics &m_metrics;
    const settings::Timing m_timing;
    bool m_started = false;
    std::int64_t m_rootVersion = 0;
    config::PartTexts m_loadedParts; ///< Parts read so far of a configuration that could not be read completely yet.
    core::Time m_vmListReadAt = absl::InfinitePast();
    int m_failures = 0;
    std::mt19937_64 m_random;
    std::unique_ptr<core::PeriodicThread> m_watcher;
    std::unique_ptr<core::PeriodicThread> m_puller;
    std::unique_ptr<core::PeriodicThread> m_vmListUpdater;
};

} // namespace spurlug::daemon
