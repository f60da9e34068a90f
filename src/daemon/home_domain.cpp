//----------------------------------------------------------------------------------------------------------------------
// spurlug: queries on this daemon's own failure domain
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/daemon/home_domain.h"

#include "spurlug/daemon/roles.h"

#include <algorithm>
#include <utility>

namespace spurlug::daemon
{

HomeDomain::HomeDomain(const Identity &identity, const config::Store &store, const membership::Fleet &fleet,
                       const targets::TargetTable &targets)
    : m_identity(identity)
    , m_store(store)
    , m_fleet(fleet)
    , m_targets(targets)
{ }

std::vector<targets::TargetView> HomeDomain::serving(const std::string &pool, core::Time now) const
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

core::Address HomeDomain::brokerFor(const std::string &pool, int engines, core::Time now) const
{
    if (static_cast<std::int64_t>(serving(pool, now).size()) < engines) {
        constexpr auto Fresh = absl::Seconds(20);
        const auto poolHash = targets::targetHash(pool);
        for (const auto &domain : m_fleet.domains(now)) {
            for (const auto &summary : domain.pools) {
                if (domain.age < Fresh && summary.pool == poolHash && summary.usable >= engines
                    && summary.broker.port != 0) {
                    return summary.broker;
                }
            }
        }
    }
    const auto holder = m_fleet.holder(brokerRole(pool), now);
    if (holder == m_identity.vm) {
        return m_identity.rpcAddress;
    }
    const auto peer = m_fleet.find(holder);
    return peer ? peer->news.rpcAddress : core::Address{};
}

membership::DomainSummary HomeDomain::summary(core::Time now) const
{
    constexpr std::size_t BestTargets = 2;
    membership::DomainSummary summary;
    summary.failureDomain = m_identity.failureDomain;
    summary.rpcAddress = m_identity.rpcAddress;
    summary.daemons = static_cast<std::int64_t>(m_fleet.roleHolders(now).size());
    summary.lowestGeneration = m_store.generation();
    for (const auto &peer : m_fleet.alive(now)) {
        if (peer.news.failureDomain == m_identity.failureDomain) {
            summary.lowestGeneration = std::min(summary.lowestGeneration, peer.news.generation);
        }
    }
    const auto configuration = m_store.current();
    if (!configuration) {
        return summary;
    }
    for (const auto &pool : configuration->pools) {
        const auto best = serving(pool.name, now);
        membership::PoolSummary out;
        out.pool = targets::targetHash(pool.name);
        out.usable = static_cast<std::int64_t>(best.size());
        for (std::size_t i = 0; i < std::min(best.size(), BestTargets); ++i) {
            out.best.push_back({targets::targetHash(best[i].id), best[i].report, best[i].reportAge});
        }
        if (!best.empty()) {
            out.broker = brokerFor(pool.name, 0, now);
        }
        summary.pools.push_back(std::move(out));
    }
    return summary;
}

} // namespace spurlug::daemon
