//----------------------------------------------------------------------------------------------------------------------
// spurlug: queries on this daemon's own failure domain
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/daemon/local_domain.h"

#include "spurlug/daemon/roles.h"

#include <algorithm>
#include <utility>

namespace spurlug::daemon
{

LocalDomain::LocalDomain(const Identity &identity, const config::Store &store, const membership::Fleet &fleet,
                         const targets::TargetTable &targets)
    : m_identity(identity)
    , m_store(store)
    , m_fleet(fleet)
    , m_targets(targets)
{ }

std::vector<targets::TargetView> LocalDomain::servingTargets(const std::string &pool, core::Time now) const
{
    const auto configuration = m_store.current();
    const auto *spec = configuration ? configuration->poolNamed(pool) : nullptr;
    if (spec == nullptr) {
        return {};
    }
    auto views = m_targets.views(spec->targets, now);
    std::erase_if(views, [this](const auto &view) {
        return view.failureDomain != m_identity.failureDomain || view.ejected
            || view.report.condition != targets::TargetCondition::Serving;
    });
    std::sort(views.begin(), views.end(),
              [](const auto &left, const auto &right) { return left.report.queuedTokens < right.report.queuedTokens; });
    return views;
}

core::Address LocalDomain::brokerFor(const std::string &pool, int engines, core::Time now) const
{
    if (static_cast<std::int64_t>(servingTargets(pool, now).size()) < engines) {
        constexpr auto MaxSummaryAge = absl::Seconds(20);
        const auto poolHash = targets::targetHash(pool);
        for (const auto &domain : m_fleet.domainSummaries(now)) {
            for (const auto &summary : domain.pools) {
                if (domain.age < MaxSummaryAge && summary.pool == poolHash && summary.usableTargets >= engines
                    && summary.broker.port != 0) {
                    return summary.broker;
                }
            }
        }
    }
    const auto holder = m_fleet.roleHolder(brokerRole(pool), now);
    if (holder == m_identity.vm) {
        return m_identity.rpcAddress;
    }
    const auto peer = m_fleet.find(holder);
    return peer ? peer->report.rpcAddress : core::Address{};
}

membership::DomainSummary LocalDomain::summary(core::Time now) const
{
    constexpr std::size_t MaxBestTargets = 2;
    membership::DomainSummary summary;
    summary.failureDomain = m_identity.failureDomain;
    summary.rpcAddress = m_identity.rpcAddress;
    summary.daemonCount = static_cast<std::int64_t>(m_fleet.roleHolders(now).size());
    summary.lowestGeneration = m_store.generation();
    for (const auto &peer : m_fleet.alivePeers(now)) {
        if (peer.report.failureDomain == m_identity.failureDomain) {
            summary.lowestGeneration = std::min(summary.lowestGeneration, peer.report.generation);
        }
    }
    const auto configuration = m_store.current();
    if (!configuration) {
        return summary;
    }
    for (const auto &pool : configuration->pools) {
        const auto usable = servingTargets(pool.name, now);
        membership::PoolSummary poolSummary;
        poolSummary.pool = targets::targetHash(pool.name);
        poolSummary.usableTargets = static_cast<std::int64_t>(usable.size());
        for (std::size_t i = 0; i < std::min(usable.size(), MaxBestTargets); ++i) {
            poolSummary.leastLoaded.push_back(
                {targets::targetHash(usable[i].id), usable[i].report, usable[i].reportAge});
        }
        if (!usable.empty()) {
            poolSummary.broker = brokerFor(pool.name, 0, now);
        }
        summary.pools.push_back(std::move(poolSummary));
    }
    return summary;
}

} // namespace spurlug::daemon
