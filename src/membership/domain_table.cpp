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

constexpr auto RepeatFor = absl::Seconds(5); // After the last summary that came directly from the domain.

} // namespace

DomainTable::DomainTable(std::string own)
    : m_own(std::move(own))
{ }

bool DomainTable::hear(const DomainSummary &summary, bool direct, core::Time now)
{
    if (summary.failureDomain.empty() || summary.failureDomain == m_own) {
        return false;
    }
    const auto madeAt = now - summary.age;
    auto &entry = m_entries[summary.failureDomain];
    if (!entry.summary.failureDomain.empty() && madeAt <= entry.madeAt) {
        return false;
    }
    entry.summary = summary;
    entry.madeAt = madeAt;
    if (direct) {
        entry.heardDirectlyAt = now;
    }
    return true;
}

std::vector<DomainSummary> DomainTable::known(core::Time now) const
{
    std::vector<DomainSummary> all;
    all.reserve(m_entries.size());
    for (const auto &[domain, entry] : m_entries) {
        all.push_back(aged(entry, now));
    }
    return all;
}

std::vector<DomainSummary> DomainTable::toRepeat(core::Time now) const
{
    std::vector<DomainSummary> repeated;
    for (const auto &[domain, entry] : m_entries) {
        if (now - entry.heardDirectlyAt <= RepeatFor) {
            repeated.push_back(aged(entry, now));
        }
    }
    return repeated;
}

core::Duration DomainTable::age(const std::string &failureDomain, core::Time now) const
{
    const auto entry = m_entries.find(failureDomain);
    return entry == m_entries.end() ? absl::InfiniteDuration() : now - entry->second.madeAt;
}

DomainSummary DomainTable::aged(const Entry &entry, core::Time now)
{
    auto summary = entry.summary;
    const auto since = now - entry.madeAt - summary.age;
    summary.age += since;
    for (auto &pool : summary.pools) {
        for (auto &load : pool.best) {
            load.age += since;
        }
    }
    return summary;
}

} // namespace spurlug::membership
