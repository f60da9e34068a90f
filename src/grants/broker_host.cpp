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
    , m_server(std::make_unique<core::Periodic>("broker", [this] { return serveRound(); }))
{ }

BrokerHost::~BrokerHost()
{
    m_server.reset();
    std::list<Waiter> waiters;
    {
        absl::MutexLock lock(&m_mutex);
        waiters.swap(m_waiters);
    }
    for (const auto &waiter : waiters) {
        waiter.onAnswer({});
    }
}

void BrokerHost::ask(const std::string &pool, const Ask &ask, core::Duration wait, OnAnswer onAnswer, core::Time now)
{
    absl::MutexLock lock(&m_mutex);
    const auto firstGrant = core::fastHash(pool, static_cast<std::uint64_t>(absl::ToUnixNanos(now)));
    m_brokers.try_emplace(pool, BrokerRule{}, firstGrant).first->second.ask(ask, now);
    m_waiters.push_back({pool, ask.requestId, now + wait, std::move(onAnswer)});
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

std::size_t BrokerHost::waiting() const
{
    absl::MutexLock lock(&m_mutex);
    std::size_t count = 0;
    for (const auto &[pool, broker] : m_brokers) {
        count += broker.waiting();
    }
    return count;
}

core::Duration BrokerHost::serveRound()
{
    const auto now = core::now();
    const auto configuration = m_configuration();
    std::list<std::pair<Waiter, AskAnswer>> answered;
    {
        absl::MutexLock lock(&m_mutex);
        for (auto &[name, broker] : m_brokers) {
            const auto *pool = configuration ? configuration->poolNamed(name) : nullptr;
            if (pool != nullptr && broker.waiting() > 0) {
                serve(*pool, broker, now);
            }
        }
        answered = takeAnswered(now);
    }
    for (const auto &[waiter, answer] : answered) {
        waiter.onAnswer(answer);
    }
    return RoundInterval;
}

void BrokerHost::serve(const config::Pool &pool, Broker &broker, core::Time now)
{
    broker.serve(m_table.views(localTargets(pool, m_failureDomain), now), pool.longShare, now);
}

std::list<std::pair<BrokerHost::Waiter, AskAnswer>> BrokerHost::takeAnswered(core::Time now)
{
    std::list<std::pair<Waiter, AskAnswer>> answered;
    for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
        const auto &broker = m_brokers[waiter->pool];
        auto grant = broker.grantOf(waiter->requestId);
        if (!grant && now < waiter->until) {
            ++waiter;
            continue;
        }
        const auto place = grant ? 0 : broker.place(waiter->requestId, now);
        answered.emplace_back(std::move(*waiter), AskAnswer{std::move(grant), place});
        waiter = m_waiters.erase(waiter);
    }
    return answered;
}

} // namespace spurlug::grants
