//----------------------------------------------------------------------------------------------------------------------
// spurlug: runs the brokers of the pools that this daemon is responsible for
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/grants/broker_host.h"

#include "spurlug/core/hash.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace spurlug::grants
{

namespace
{

constexpr auto RoundInterval = absl::Milliseconds(20);

std::vector<config::TargetSpec> localTargets(const config::Pool &pool, const std::string &failureDomain)
{
    std::vector<config::TargetSpec> local;
    std::copy_if(pool.targets.begin(), pool.targets.end(), std::back_inserter(local),
                 [&](const auto &target) { return target.failureDomain == failureDomain; });
    return local;
}

} // namespace

BrokerHost::BrokerHost(const targets::TargetTable &table, CurrentConfiguration configuration, std::string failureDomain)
    : m_table(table)
    , m_configuration(std::move(configuration))
    , m_failureDomain(std::move(failureDomain))
    , m_serveTimer(std::make_unique<core::PeriodicThread>("broker", [this] { return serveRound(); }))
{ }

BrokerHost::~BrokerHost()
{
    m_serveTimer.reset();
    std::list<Waiter> waiters;
    {
        absl::MutexLock lock(&m_mutex);
        waiters.swap(m_waiters);
    }
    for (const auto &waiter : waiters) {
        waiter.onReply({});
    }
}

void BrokerHost::enqueue(const std::string &pool, const GrantRequest &ask, core::Duration wait, ReplyCallback onReply,
                         core::Time now)
{
    absl::MutexLock lock(&m_mutex);
    const auto firstGrant = core::fastHash(pool, static_cast<std::uint64_t>(absl::ToUnixNanos(now)));
    m_brokers.try_emplace(pool, BrokerRule{}, firstGrant).first->second.enqueue(ask, now);
    m_waiters.push_back({pool, ask.requestId, now + wait, std::move(onReply)});
}

bool BrokerHost::renew(std::uint64_t grantId, core::Time now)
{
    absl::MutexLock lock(&m_mutex);
    return std::any_of(m_brokers.begin(), m_brokers.end(), [&](auto &item) { return item.second.renew(grantId, now); });
}

void BrokerHost::release(std::uint64_t grantId)
{
    absl::MutexLock lock(&m_mutex);
    for (auto &[pool, broker] : m_brokers) {
        broker.release(grantId);
    }
}

std::size_t BrokerHost::queuedCount() const
{
    absl::MutexLock lock(&m_mutex);
    std::size_t count = 0;
    for (const auto &[pool, broker] : m_brokers) {
        count += broker.queuedCount();
    }
    return count;
}

core::Duration BrokerHost::serveRound()
{
    const auto now = core::now();
    const auto configuration = m_configuration();
    std::list<std::pair<Waiter, GrantReply>> completed;
    {
        absl::MutexLock lock(&m_mutex);
        for (auto &[name, broker] : m_brokers) {
            const auto *pool = configuration ? configuration->poolNamed(name) : nullptr;
            if (pool != nullptr && broker.queuedCount() > 0) {
                serve(*pool, broker, now);
            }
        }
        completed = takeCompleted(now);
    }
    for (const auto &[waiter, answer] : completed) {
        waiter.onReply(answer);
    }
    return RoundInterval;
}

void BrokerHost::serve(const config::Pool &pool, Broker &broker, core::Time now)
{
    broker.grantEngines(m_table.views(localTargets(pool, m_failureDomain), now), pool.maxLongPromptShare, now);
}

std::list<std::pair<BrokerHost::Waiter, GrantReply>> BrokerHost::takeCompleted(core::Time now)
{
    std::list<std::pair<Waiter, GrantReply>> completed;
    for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
        const auto &broker = m_brokers[waiter->pool];
        auto grant = broker.grantOf(waiter->requestId);
        if (!grant && now < waiter->deadline) {
            ++waiter;
            continue;
        }
        const auto queuePosition = grant ? 0 : broker.queuePosition(waiter->requestId, now);
        completed.emplace_back(std::move(*waiter), GrantReply{std::move(grant), queuePosition});
        waiter = m_waiters.erase(waiter);
    }
    return completed;
}

} // namespace spurlug::grants
