//----------------------------------------------------------------------------------------------------------------------
// spurlug: how a daemon divides the requests of a plain service among failure domains
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/overload/domain_shares.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace spurlug::overload
{

namespace
{

constexpr auto RampTime = absl::Seconds(2);
/// Changes up to this size start no ramp and are not reported: one daemon of 29 that joins or leaves changes the share
/// of its own domain by up to 0.035.
constexpr double MaxSmallChange = 0.05;
constexpr double MinSurplus = 1e-9; ///< Smaller sums are rounding errors.

double shareOf(const Shares &shares, const std::string &domain)
{
    const auto found = shares.find(domain);
    return found == shares.end() ? 0 : found->second;
}

Shares sharesBySlots(const DomainSizes &domains, double totalSlots)
{
    Shares shares;
    for (const auto &[domain, size] : domains) {
        if (size.slots > 0) {
            shares[domain] = static_cast<double>(size.slots) / totalSlots;
        }
    }
    return shares;
}

/// Removes domains that have no share in the end because their targets are gone, and gives their part to those that are
/// below their final share.
void removeGone(Shares &current, const Shares &target)
{
    double freed = 0;
    std::erase_if(current, [&](const auto &item) {
        const bool isGone = !target.contains(item.first);
        freed += isGone ? item.second : 0;
        return isGone;
    });
    double missing = 0;
    for (const auto &[domain, share] : target) {
        missing += std::max(0.0, share - shareOf(current, domain));
    }
    if (missing > MinSurplus) {
        for (const auto &[domain, share] : target) {
            current[domain] += freed * std::max(0.0, share - shareOf(current, domain)) / missing;
        }
    }
}

std::vector<ShareChange> changesBetween(const Shares &before, const Shares &after)
{
    std::set<std::string> domains;
    for (const auto *shares : {&before, &after}) {
        for (const auto &[domain, share] : *shares) {
            domains.insert(domain);
        }
    }
    std::vector<ShareChange> changes;
    for (const auto &domain : domains) {
        const ShareChange change{domain, shareOf(before, domain), shareOf(after, domain)};
        if (std::abs(change.to - change.from) > MaxSmallChange) {
            changes.push_back(change);
        }
    }
    return changes;
}

} // namespace

Shares steadyShares(const std::string &ownDomain, const DomainSizes &domains)
{
    double totalSlots = 0;
    double totalDaemons = 0;
    for (const auto &[domain, size] : domains) {
        totalSlots += static_cast<double>(size.slots);
        totalDaemons += static_cast<double>(size.daemons);
    }
    if (totalSlots <= 0) {
        return {};
    }
    auto shares = sharesBySlots(domains, totalSlots);
    const bool hasOwnTargets = shares.contains(ownDomain);
    const auto own = domains.find(ownDomain);
    if (totalDaemons <= 1 || own == domains.end() || own->second.daemons == 0) {
        if (hasOwnTargets) {
            for (auto &[domain, share] : shares) {
                share = domain == ownDomain ? 1 : 0;
            }
        }
        return shares;
    }
    // Until here the share of a domain is its part of all slots, which is also its part of all requests at equal load.
    Shares surplus;
    double totalSurplus = 0;
    for (const auto &[domain, capacity] : shares) {
        const auto demand = static_cast<double>(domains.at(domain).daemons) / totalDaemons;
        surplus[domain] = std::max(0.0, capacity - demand);
        totalSurplus += surplus[domain];
    }
    const auto ownDemand = static_cast<double>(own->second.daemons) / totalDaemons;
    const auto kept = totalSurplus > MinSurplus ? std::min(1.0, shareOf(shares, ownDomain) / ownDemand) : 1;
    for (auto &[domain, share] : shares) {
        // If the own domain has a surplus, everything is kept.
        share = domain == ownDomain ? kept : (1 - kept) * surplus[domain] / std::max(totalSurplus, MinSurplus);
    }
    return shares;
}

ShareUpdate DomainShares::update(const std::string &ownDomain, const DomainSizes &domains, core::Time now)
{
    auto target = steadyShares(ownDomain, domains);
    if (target == m_target) {
        return {};
    }
    ShareUpdate result;
    if (m_target.empty() || target.empty()) {
        m_from = target;
        m_target = std::move(target);
        m_startedAt = m_endsAt = now;
        return result;
    }
    result.changes = changesBetween(m_target, target);
    auto current = shares(now);
    removeGone(current, target);
    const bool grows = std::any_of(target.begin(), target.end(), [&current](const auto &item) {
        return item.second - shareOf(current, item.first) > MaxSmallChange;
    });
    result.startsRamp = grows && !result.changes.empty();
    m_from = std::move(current);
    m_target = std::move(target);
    m_startedAt = now;
    m_endsAt = result.startsRamp ? now + RampTime : std::max(m_endsAt, now);
    return result;
}

Shares DomainShares::shares(core::Time now) const
{
    if (now >= m_endsAt) {
        return m_target;
    }
    const auto progress = std::clamp(absl::FDivDuration(now - m_startedAt, m_endsAt - m_startedAt), 0.0, 1.0);
    auto shares = m_target;
    for (auto &[domain, share] : shares) {
        const auto from = shareOf(m_from, domain);
        share = from + (share - from) * progress;
    }
    return shares;
}

} // namespace spurlug::overload
