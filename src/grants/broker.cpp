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
    return engine.report.condition == targets::TargetCondition::Serving && engine.reportAge <= rule.reportStale
        && !engine.ejected;
}

} // namespace

Broker::Broker(BrokerRule rule, std::uint64_t firstGrant)
    : m_rule(rule)
    , m_nextGrant(firstGrant)
{ }

void Broker::ask(const Ask &ask, core::Time now)
{
    if (!grantOf(ask.requestId)) {
        m_waiting[ask.requestId] = Waiting{ask, now};
    }
}

void Broker::withdraw(const std::string &requestId)
{
    m_waiting.erase(requestId);
}

void Broker::serve(const std::vector<targets::TargetView> &engines, double longShare, core::Time now)
{
    expire(now);
    const auto total = static_cast<std::size_t>(
        std::count_if(engines.begin(), engines.end(), [this](const auto &engine) { return usable(engine, m_rule); }));
    const auto share = static_cast<std::size_t>(std::floor(longShare * static_cast<double>(total)));
    std::vector<Ask> order;
    for (const auto *waiting : inOrder(now)) {
        order.push_back(waiting->ask);
    }
    for (const auto &ask : order) {
        auto free = freeEngines(engines);
        const auto wanted = static_cast<std::size_t>(ask.engines);
        const bool withinShare = occupied() + wanted <= std::max<std::size_t>(share, 1);
        const bool alone = occupied() == 0;
        if (free.size() < wanted || !(withinShare || alone)) {
            return;
        }
        free.resize(wanted);
        grant(ask, std::move(free), now);
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

std::size_t Broker::place(const std::string &requestId, core::Time now) const
{
    const auto order = inOrder(now);
    const auto found = std::find_if(order.begin(), order.end(),
                                    [&](const Waiting *waiting) { return waiting->ask.requestId == requestId; });
    return static_cast<std::size_t>(found - order.begin());
}

std::size_t Broker::waiting() const noexcept
{
    return m_waiting.size();
}

std::size_t Broker::occupied() const noexcept
{
    std::size_t count = 0;
    for (const auto &[id, grant] : m_grants) {
        count += grant.targets.size();
    }
    return count;
}

void Broker::expire(core::Time now)
{
    std::erase_if(m_waiting, [&](const auto &item) { return now - item.second.refreshedAt > m_rule.askTtl; });
    std::erase_if(m_grants, [&](const auto &item) { return item.second.expiresAt < now; });
}

double Broker::rank(const Ask &ask, core::Time now) const
{
    const auto served = m_served.find(ask.organisation);
    const double tokens = served == m_served.end() ? 0 : served->second;
    return tokens - absl::ToDoubleSeconds(now - ask.askedAt) * m_rule.agingTokensPerSecond;
}

std::vector<const Broker::Waiting *> Broker::inOrder(core::Time now) const
{
    std::vector<const Waiting *> order;
    order.reserve(m_waiting.size());
    for (const auto &[id, waiting] : m_waiting) {
        order.push_back(&waiting);
    }
    std::stable_sort(order.begin(), order.end(), [&](const Waiting *left, const Waiting *right) {
        return rank(left->ask, now) < rank(right->ask, now);
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

void Broker::grant(const Ask &ask, std::vector<std::string> targets, core::Time now)
{
    const auto id = m_nextGrant++;
    m_grants[id] = Grant{id, ask.requestId, std::move(targets), now + m_rule.grantTtl};
    m_served[ask.organisation] += static_cast<double>(ask.tokens) / ask.weight;
    m_waiting.erase(ask.requestId);
}

} // namespace spurlug::grants
