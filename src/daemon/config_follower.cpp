//----------------------------------------------------------------------------------------------------------------------
// spurlug: keeps this daemon's configuration up to date
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/daemon/config_follower.h"

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

constexpr auto NotWatching = absl::Seconds(1);
constexpr auto PullInterval = absl::Milliseconds(200);
constexpr auto VmListTick = absl::Seconds(1);
constexpr auto OftenInterval = absl::Seconds(5);
constexpr auto SeldomInterval = absl::Seconds(60);
constexpr auto LongestBackoff = absl::Seconds(10);
constexpr int MostDoublings = 6;

} // namespace

ConfigFollower::ConfigFollower(config::Store &store, membership::Fleet &fleet, PeerCalls &peers,
                               const objects::HttpObjectApi &platform, metrics::Metrics &metrics,
                               settings::Timing timing)
    : m_store(store)
    , m_fleet(fleet)
    , m_peers(peers)
    , m_platform(platform)
    , m_metrics(metrics)
    , m_timing(timing)
    , m_random(core::fastHash(fleet.self(), static_cast<std::uint64_t>(absl::ToUnixNanos(core::now()))))
    , m_watcher(std::make_unique<core::Periodic>("configuration watch", [this] { return watchRound(); }))
    , m_puller(std::make_unique<core::Periodic>("configuration pull", [this] { return pullRound(); }))
    , m_vmList(std::make_unique<core::Periodic>("VM list", [this] { return vmListRound(); }))
{ }

ConfigFollower::~ConfigFollower() = default;

bool ConfigFollower::shouldWatch() const
{
    return m_store.generation() == 0 || m_fleet.holds(WatcherRole, Watchers, core::now());
}

core::Duration ConfigFollower::watchRound()
{
    if (!std::exchange(m_started, true)) {
        return startDelay();
    }
    if (!shouldWatch()) {
        m_rootVersion = 0;
        return NotWatching;
    }
    try {
        m_metrics.count(metrics::Counter::PlatformReads);
        const auto root = m_platform.waitForChange(std::string(config::RootObject), m_rootVersion, m_timing.watch);
        if (root) {
            takeFromPlatform(*root);
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
core::Duration ConfigFollower::startDelay()
{
    std::uniform_real_distribution<double> share(0, 1);
    return m_timing.startSpread * share(m_random);
}

core::Duration ConfigFollower::backoff()
{
    const auto full
        = std::min(m_timing.platformRetry * (1 << std::min(m_failures, MostDoublings)), core::Duration(LongestBackoff));
    ++m_failures;
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    return full * jitter(m_random);
}

/// Keeps the parts already read if a later one cannot be read, so that the next attempt reads only the rest.
void ConfigFollower::takeFromPlatform(const objects::Object &root)
{
    for (const auto &hash : m_store.missingParts(config::readRoot(root.value))) {
        if (m_partsRead.contains(hash)) {
            continue;
        }
        m_metrics.count(metrics::Counter::PlatformReads);
        if (auto part = m_platform.read(config::partObject(hash))) {
            m_partsRead[hash] = std::move(part->value);
        }
    }
    offer(root.value, std::exchange(m_partsRead, {}));
}

void ConfigFollower::offer(const std::string &root, config::PartTexts texts)
{
    if (m_store.offer(root, std::move(texts)) == config::OfferResult::Refused) {
        m_metrics.count(metrics::Counter::ConfigurationsRefused);
        core::log(core::LogLevel::Error, "configuration_refused",
                  {{"generation", m_store.refusedGeneration()}, {"problem", m_store.refusal()}});
    }
}

core::Duration ConfigFollower::pullRound()
{
    const auto now = core::now();
    std::optional<membership::Peer> newest;
    for (auto &peer : m_fleet.alive(now)) {
        if (peer.news.generation > (newest ? newest->news.generation : m_store.generation())) {
            newest = std::move(peer);
        }
    }
    if (newest && newest->news.generation > m_store.refusedGeneration()) {
        try {
            takeFromPeer(newest->news.rpcAddress);
        } catch (const core::Error &error) {
            core::log(core::LogLevel::Warning, "configuration_pull_failed",
                      {{"peer", newest->news.vm}, {"problem", error.what()}});
        }
    }
    return PullInterval;
}

void ConfigFollower::takeFromPeer(const core::Address &peer)
{
    const auto root = m_peers.fetchRoot(peer);
    const auto missing = m_store.missingParts(config::readRoot(root));
    auto texts = missing.empty() ? config::PartTexts() : m_peers.fetchParts(peer, missing);
    offer(root, std::move(texts));
}

core::Duration ConfigFollower::vmListRound()
{
    const auto now = core::now();
    if (now - m_vmListReadAt < (readsVmListOften(now) ? OftenInterval : SeldomInterval)) {
        return VmListTick;
    }
    m_vmListReadAt = now;
    try {
        m_metrics.count(metrics::Counter::PlatformReads);
        m_fleet.noteVmList(m_platform.vms());
    } catch (const core::PlatformUnavailable &) {
        m_metrics.count(metrics::Counter::PlatformFailures);
    }
    return VmListTick;
}

/// Watchers and delegates are the first to contact a new VM; the other daemons wait to be contacted.
bool ConfigFollower::readsVmListOften(core::Time now) const
{
    return m_fleet.holds(WatcherRole, Watchers, now) || !m_fleet.sendToOtherDomains(now).empty();
}

} // namespace spurlug::daemon
