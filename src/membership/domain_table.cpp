//----------------------------------------------------------------------------------------------------------------------
// spurlug: summaries of other failure domains
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/membership/domain_table.h"

#include <utility>

namespace spurlug::membership
{

namespace
{

constexpr auto ForwardDuration = absl::Seconds(5); // After the last summary that came directly from the domain.

} // namespace

DomainTable::DomainTable(std::string ownDomain)
    : m_ownDomain(std::move(ownDomain))
{ }

bool DomainTable::update(const DomainSummary &summary, bool isDirect, core::Time now)
{
    if (summary.failureDomain.empty() || summary.failureDomain == m_ownDomain) {
        return false;
    }
    const auto createdAt = now - summary.age;
    auto &entry = m_entries[summary.failureDomain];
    if (!entry.summary.failureDomain.empty() && createdAt <= entry.createdAt) {
        return false;
    }
    entry.summary = summary;
    entry.createdAt = createdAt;
    if (isDirect) {
        entry.directlyReceivedAt = now;
    }
    return true;
}

std::vector<DomainSummary> DomainTable::summaries(core::Time now) const
{
    std::vector<DomainSummary> all;
    all.reserve(m_entries.size());
    for (const auto &[domain, entry] : m_entries) {
        all.push_back(withCurrentAge(entry, now));
    }
    return all;
}

std::vector<DomainSummary> DomainTable::summariesToForward(core::Time now) const
{
    std::vector<DomainSummary> forwarded;
    for (const auto &[domain, entry] : m_entries) {
        if (now - entry.directlyReceivedAt <= ForwardDuration) {
            forwarded.push_back(withCurrentAge(entry, now));
        }
    }
    return forwarded;
}

core::Duration DomainTable::age(const std::string &failureDomain, core::Time now) const
{
    const auto entry = m_entries.find(failureDomain);
    return entry == m_entries.end() ? absl::InfiniteDuration() : now - entry->second.createdAt;
}

DomainSummary DomainTable::withCurrentAge(const Entry &entry, core::Time now)
{
    auto summary = entry.summary;
    const auto elapsed = now - entry.createdAt - summary.age;
    summary.age += elapsed;
    for (auto &pool : summary.pools) {
        for (auto &load : pool.leastLoaded) {
            load.age += elapsed;
        }
    }
    return summary;
}

} // namespace spurlug::membership
