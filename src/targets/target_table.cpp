//----------------------------------------------------------------------------------------------------------------------
// spurlug: load reports, dispatched requests and failures of the targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/targets/target_table.h"

#include "spurlug/core/hash.h"

#include <algorithm>
#include <utility>

namespace spurlug::targets
{

TargetTable::TargetTable(CircuitBreakerRule rule)
    : m_rule(rule)
{ }

void TargetTable::configure(const config::Configuration &configuration)
{
    std::unordered_map<std::string, Entry> entries;
    std::unordered_map<std::uint32_t, std::string> idByHash;
    absl::MutexLock lock(&m_mutex);
    const auto addTarget = [&](const config::TargetSpec &spec) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        const auto known = m_entries.find(spec.id);
        auto &entry = entries[spec.id];
        if (known != m_entries.end()) {
            entry = std::move(known->second);
        }
        entry.spec = spec;
        idByHash[targetHash(spec.id)] = spec.id;
    };
    for (const auto &pool : configuration.pools) {
        std::for_each(pool.targets.begin(), pool.targets.end(), addTarget);
    }
    for (const auto &service : configuration.services) {
        std::for_each(service.targets.begin(), service.targets.end(), addTarget);
    }
    m_entries = std::move(entries);
    m_idByHash = std::move(idByHash);
}

void TargetTable::recordReport(std::uint32_t targetHash, const LoadReport &report, core::Time observedAt)
{
    absl::MutexLock lock(&m_mutex);
    const auto id = m_idByHash.find(targetHash);
    if (id == m_idByHash.end()) {
        return;
    }
    auto &entry = m_entries.at(id->second);
    if (observedAt <= entry.observedAt) {
        return;
    }
    const auto rate = report.prefillRate > 0 ? report.prefillRate : entry.report.prefillRate;
    entry.report = report;
    entry.report.prefillRate = rate;
    entry.observedAt = observedAt;
}

void TargetTable::recordDispatch(const std::string &id, const std::string &requestId, std::int64_t tokens,
                                 core::Time now)
{
    absl::MutexLock lock(&m_mutex);
    const auto entry = m_entries.find(id);
    if (entry != m_entries.end()) {
        entry->second.dispatches[requestId] = Dispatch{tokens, now, true};
    }
}

void TargetTable::recordFirstToken(const std::string &id, const std::string &requestId)
{
    absl::MutexLock lock(&m_mutex);
    const auto entry = m_entries.find(id);
    if (entry == m_entries.end()) {
        return;
    }
    const auto dispatch = entry->second.dispatches.find(requestId);
    if (dispatch != entry->second.dispatches.end()) {
        dispatch->second.prefilling = false;
    }
}

void TargetTable::recordEnd(const std::string &id, const std::string &requestId, bool targetFailed, core::Time now)
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return;
    }
    auto &entry = found->second;
    entry.dispatches.erase(requestId);
    if (targetFailed) {
        recordFailure(entry, now);
    } else {
        entry.consecutiveFailures = 0;
        entry.consecutiveEjections = 0;
    }
}

void TargetTable::recordFailure(Entry &entry, core::Time now) const
{
    ++entry.consecutiveFailures;
    if (entry.consecutiveFailures < m_rule.failuresToEject) {
        return;
    }
    constexpr int MaxDoublings = 10;
    const auto duration = m_rule.firstEjection * (1 << std::min(entry.consecutiveEjections, MaxDoublings));
    entry.ejectedUntil = now + std::min(duration, m_rule.maxEjection);
    ++entry.consecutiveEjections;
    entry.consecutiveFailures = m_rule.failuresToEject - 1;
}

void TargetTable::recordCooldown(const std::string &id, core::Duration duration, core::Time now)
{
    absl::MutexLock lock(&m_mutex);
    const auto entry = m_entries.find(id);
    if (entry != m_entries.end()) {
        entry->second.cooldown.request(duration, now);
    }
}

std::vector<TargetView> TargetTable::views(const std::vector<config::TargetSpec> &specs, core::Time now) const
{
    std::vector<TargetView> all;
    all.reserve(specs.size());
    absl::MutexLock lock(&m_mutex);
    for (const auto &spec : specs) {
        const auto entry = m_entries.find(spec.id);
        if (entry != m_entries.end()) {
            all.push_back(viewOf(entry->second, now));
        }
    }
    return all;
}

TargetView TargetTable::viewOf(const Entry &entry, core::Time now) const
{
    TargetView view;
    view.id = entry.spec.id;
    view.address = entry.spec.address;
    view.failureDomain = entry.spec.failureDomain;
    view.report = entry.report;
    view.reportAge = now - entry.observedAt;
    view.ejected = now < entry.ejectedUntil;
    view.cooldownLeft = entry.cooldown.isActive(now) ? entry.cooldown.endsAt() - now : absl::ZeroDuration();
    view.ownStreams = static_cast<std::int64_t>(entry.dispatches.size());
    for (const auto &[id, dispatch] : entry.dispatches) {
        if (dispatch.prefilling && dispatch.sentAt > entry.observedAt) {
            view.ownPrefillTokens += dispatch.tokens;
        }
    }
    return view;
}

std::uint32_t targetHash(std::string_view id) noexcept
{
    return static_cast<std::uint32_t>(core::fastHash(id));
}

} // namespace spurlug::targets
