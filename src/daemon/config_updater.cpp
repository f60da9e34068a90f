//----------------------------------------------------------------------------------------------------------------------
// spurlug: keeps this daemon's configuration up to date
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/daemon/config_updater.h"

#include "spurlug/core/error.h"
#include "spurlug/core/hash.h"
#include "spurlug/core/log.h"
#include "spurlug/daemon/roles.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace spurlug::daemon
{

namespace
{

constexpr auto RoleCheckInterval = absl::Seconds(1);
constexpr auto PullInterval = absl::Milliseconds(200);
constexpr auto VmListCheckInterval = absl::Seconds(1);
constexpr auto FrequentVmListInterval = absl::Seconds(5);
constexpr auto RegularVmListInterval = absl::Seconds(60);
constexpr auto MaxBackoff = absl::Seconds(10);
constexpr int MaxBackoffDoublings = 6;

} // namespace

ConfigUpdater::ConfigUpdater(config::Store &store, membership::Fleet &fleet, PeerClient &peers,
                             const objects::HttpObjectApi &platform, metrics::Metrics &metrics, settings::Timing timing)
    : m_store(store)
    , m_fleet(fleet)
    , m_peers(peers)
    , m_platform(platform)
    , m_metrics(metrics)
    , m_timing(timing)
    , m_random(core::fastHash(fleet.self(), static_cast<std::uint64_t>(absl::ToUnixNanos(core::now()))))
    , m_watcher(std::make_unique<core::PeriodicThread>("configuration watch", [this] { return watchPlatform(); }))
    , m_puller(std::make_unique<core::PeriodicThread>("configuration pull", [this] { return pullFromPeers(); }))
    , m_vmListUpdater(std::make_unique<core::PeriodicThread>("VM list", [this] { return updateVmList(); }))
{ }

ConfigUpdater::~ConfigUpdater() = default;

bool ConfigUpdater::shouldWatch() const
{
    return m_store.generation() == 0 || m_fleet.holdsRole(WatcherRole, WatcherCount, core::now());
}

core::Duration ConfigUpdater::watchPlatform()
{
    if (!std::exchange(m_started, true)) {
        return startDelay();
    }
    if (!shouldWatch()) {
        m_rootVersion = 0;
        return RoleCheckInterval;
    }
    try {
        m_metrics.count(metrics::Counter::PlatformReads);
        const auto root = m_platform.waitForChange(std::string(config::RootObjectName), m_rootVersion, m_timing.watch);
        if (root) {
            loadFromPlatform(*root);
            m_rootVersion = root->version;
        }
        m_failures = 0;
        return absl::ZeroDuration();
    } catch (const core::PlatformUnavailable &) {
        m_metrics.count(metrics::Counter::PlatformFailures);
        return backoff();
    }
}

/// Spreads the first reads of daemons that start together, so that most of them get the configuration from the first
/// one that has it and not from the platform.
core::Duration ConfigUpdater::startDelay()
{
    std::uniform_real_distribution<double> fraction(0, 1);
    return m_timing.startSpread * fraction(m_random);
}

core::Duration ConfigUpdater::backoff()
{
    const auto maxDelay = std::min(m_timing.platformRetry * (1 << std::min(m_failures, MaxBackoffDoublings)),
                                   core::Duration(MaxBackoff));
    ++m_failures;
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    return maxDelay * jitter(m_random);
}

/// Keeps the parts already read if a later one cannot be read, so that the next attempt reads only the rest.
void ConfigUpdater::loadFromPlatform(const objects::Object &root)
{
    for (const auto &hash : m_store.missingParts(config::parseRoot(root.value))) {
        if (m_loadedParts.contains(hash)) {
            continue;
        }
        m_metrics.count(metrics::Counter::PlatformReads);
        if (auto part = m_platform.read(config::partObjectName(hash))) {
            m_loadedParts[hash] = std::move(part->value);
        }
    }
    offer(root.value, std::exchange(m_loadedParts, {}));
}

void ConfigUpdater::offer(const std::string &root, config::PartTexts texts)
{
    if (m_store.offer(root, std::move(texts)) == config::OfferResult::Refused) {
        m_metrics.count(metrics::Counter::ConfigurationsRefused);
        core::log(core::LogLevel::Error, "configuration_refused",
                  {{"generation", m_store.refusedGeneration()}, {"problem", m_store.refusal()}});
    }
}

core::Duration ConfigUpdater::pullFromPeers()
{
    const auto now = core::now();
    std::optional<membership::Peer> newest;
    for (auto &peer : m_fleet.alivePeers(now)) {
        if (peer.report.generation > (newest ? newest->report.generation : m_store.generation())) {
            newest = std::move(peer);
        }
    }
    if (newest && newest->report.generation > m_store.refusedGeneration()) {
        try {
            loadFromPeer(newest->report.rpcAddress);
        } catch (const core::Error &error) {
            core::log(core::LogLevel::Warning, "configuration_pull_failed",
                      {{"peer", newest->report.vm}, {"problem", error.what()}});
        }
    }
    return PullInterval;
}

void ConfigUpdater::loadFromPeer(const core::Address &peer)
{
    const auto root = m_peers.fetchRoot(peer);
    const auto missing = m_store.missingParts(config::parseRoot(root));
    auto texts = missing.empty() ? config::PartTexts() : m_peers.fetchParts(peer, missing);
    offer(root, std::move(texts));
}

core::Duration ConfigUpdater::updateVmList()
{
    const auto now = core::now();
    if (now - m_vmListReadAt < (needsFrequentVmList(now) ? FrequentVmListInterval : RegularVmListInterval)) {
        return VmListCheckInterval;
    }
    m_vmListReadAt = now;
    try {
        m_metrics.count(metrics::Counter::PlatformReads);
        m_fleet.applyVmList(m_platform.vms());
    } catch (const core::PlatformUnavailable &) {
        m_metrics.count(metrics::Counter::PlatformFailures);
    }
    return VmListCheckInterval;
}

/// Watchers and delegates are the first to contact a new VM; the other daemons wait to be contacted.
bool ConfigUpdater::needsFrequentVmList(core::Time now) const
{
    return m_fleet.holdsRole(WatcherRole, WatcherCount, now) || !m_fleet.otherDomainRecipients(now).empty();
}

} // namespace spurlug::daemon
