//----------------------------------------------------------------------------------------------------------------------
// spurlug: queue and engine grants for the long prompts of one pool and failure domain
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/grants/broker.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace spurlug::grants
{

namespace
{

bool usable(const targets::TargetView &engine, const BrokerRule &rule)
{
    return engine.report.condition == targets::TargetCondition::Serving && engine.reportAge <= rule.maxReportAge
        && !engine.ejected;
}

} // namespace

Broker::Broker(BrokerRule rule, std::uint64_t firstGrant)
    : m_rule(rule)
    , m_nextGrant(firstGrant)
{ }

void Broker::enqueue(const GrantRequest &ask, core::Time now)
{
    if (!grantOf(ask.requestId)) {
        m_queue[ask.requestId] = QueuedRequest{ask, now};
    }
}

void Broker::dequeue(const std::string &requestId)
{
    m_queue.erase(requestId);
}

void Broker::grantEngines(const std::vector<targets::TargetView> &engines, double maxLongFraction, core::Time now)
{
    expire(now);
    const auto total = static_cast<std::size_t>(
        std::count_if(engines.begin(), engines.end(), [this](const auto &engine) { return usable(engine, m_rule); }));
    const auto maxOccupied = static_cast<std::size_t>(std::floor(maxLongFraction * static_cast<double>(total)));
    std::vector<GrantRequest> order;
    for (const auto *waiting : rankedQueue(now)) {
        order.push_back(waiting->request);
    }
    for (const auto &request : order) {
        auto free = freeEngines(engines);
        const auto needed = static_cast<std::size_t>(request.engines);
        const bool withinLimit = occupiedEngines() + needed <= std::max<std::size_t>(maxOccupied, 1);
        const bool alone = occupiedEngines() == 0;
        if (free.size() < needed || !(withinLimit || alone)) {
            return;
        }
        free.resize(needed);
        issueGrant(request, std::move(free), now);
    }
}

bool Broker::renew(std::uint64_t grantId, core::Time now)
{
    const auto found = m_grants.find(grantId);
    if (found == m_grants.end()) {
        return false;
    }
    found->second.expiresAt = now + m_rule.grantTtl;
    return true;
}

void Broker::release(std::uint64_t grantId)
{
    m_grants.erase(grantId);
}

std::optional<Grant> Broker::grantOf(const std::string &requestId) const
{
    for (const auto &[id, grant] : m_grants) {
        if (grant.requestId == requestId) {
            return grant;
        }
    }
    return std::nullopt;
}

std::size_t Broker::queuePosition(const std::string &requestId, core::Time now) const
{
    const auto order = rankedQueue(now);
    const auto found = std::find_if(order.begin(), order.end(), [&](const QueuedRequest *waiting) {
        return waiting->request.requestId == requestId;
    });
    return static_cast<std::size_t>(found - order.begin());
}

std::size_t Broker::queuedCount() const noexcept
{
    return m_queue.size();
}

std::size_t Broker::occupiedEngines() const noexcept
{
    std::size_t count = 0;
    for (const auto &[id, grant] : m_grants) {
        count += grant.targets.size();
    }
    return count;
}

void Broker::expire(core::Time now)
{
    std::erase_if(m_queue, [&](const auto &item) { return now - item.second.refreshedAt > m_rule.requestTtl; });
    std::erase_if(m_grants, [&](const auto &item) { return item.second.expiresAt < now; });
}

double Broker::rank(const GrantRequest &request, core::Time now) const
{
    const auto served = m_servedTokens.find(request.organisation);
    const double tokens = served == m_servedTokens.end() ? 0 : served->second;
    return tokens - absl::ToDoubleSeconds(now - request.waitingSince) * m_rule.agingTokensPerSecond;
}

std::vector<const Broker::QueuedRequest *> Broker::rankedQueue(core::Time now) const
{
    std::vector<const QueuedRequest *> order;
    order.reserve(m_queue.size());
    for (const auto &[id, waiting] : m_queue) {
        order.push_back(&waiting);
    }
    std::stable_sort(order.begin(), order.end(), [&](const QueuedRequest *left, const QueuedRequest *right) {
        return rank(left->request, now) < rank(right->request, now);
    });
    return order;
}

std::vector<std::string> Broker::freeEngines(const std::vector<targets::TargetView> &engines) const
{
    std::set<std::string> taken;
    for (const auto &[id, grant] : m_grants) {
        taken.insert(grant.targets.begin(), grant.targets.end());
    }
    std::vector<const targets::TargetView *> free;
    for (const auto &engine : engines) {
        if (usable(engine, m_rule) && !taken.contains(engine.id) && !engine.report.reserved) {
            free.push_back(&engine);
        }
    }
    std::stable_sort(free.begin(), free.end(), [](const auto *left, const auto *right) {
        return left->report.queuedTokens < right->report.queuedTokens;
    });
    std::vector<std::string> ids;
    for (const auto *engine : free) {
        ids.push_back(engine->id);
    }
    return ids;
}

void Broker::issueGrant(const GrantRequest &request, std::vector<std::string> targets, core::Time now)
{
    const auto id = m_nextGrant++;
    m_grants[id] = Grant{id, request.requestId, std::move(targets), now + m_rule.grantTtl};
    m_servedTokens[request.organisation] += static_cast<double>(request.tokens) / request.weight;
    m_queue.erase(request.requestId);
}

} // namespace spurlug::grants
