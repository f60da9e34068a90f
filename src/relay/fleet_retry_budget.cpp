//----------------------------------------------------------------------------------------------------------------------
// spurlug: this daemon's share of the fleet-wide retry budget
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/fleet_retry_budget.h"

#include <algorithm>

namespace spurlug::relay
{

namespace
{

/// Fraction of a domain's slack for all of its daemons that have run for less than a window.
constexpr double StartingDaemonShare = 0.03;
constexpr double MaxStartsPerWindow = 3; ///< Maximum number of such incarnations of one daemon in a window.
constexpr double StartingSoleDaemonShare = 0.15; ///< For a daemon that is the whole fleet.
constexpr auto LearningTime = absl::Seconds(3); ///< A daemon hears all others within this time after its start.

void removeUntil(std::deque<core::Time> &times, core::Time oldest)
{
    while (!times.empty() && times.front() <= oldest) {
        times.pop_front();
    }
}

/// Fraction of a domain's slack for all of its daemons that have run for a whole window: what remains of the total when
/// one domain is partitioned in two and each of its daemons restarts as often as possible. 0.41 for one domain, 0.66
/// for three, 0.74 for five.
double settledShare(std::size_t domains) noexcept
{
    const auto count = static_cast<double>(domains);
    return count / (count + 1) - MaxStartsPerWindow * StartingDaemonShare;
}

} // namespace

double slackShare(const FleetView &fleet, core::Duration window) noexcept
{
    const auto domains = std::max<std::size_t>(fleet.domainCount, 1);
    if (!fleet.hasPeers) {
        return fleet.uptime >= window ? settledShare(domains) : StartingSoleDaemonShare;
    }
    if (!fleet.hearsPeers || fleet.uptime < LearningTime) {
        return 0;
    }
    const auto share = fleet.uptime >= window ? settledShare(domains) : StartingDaemonShare;
    const auto daemons = domains * std::max<std::size_t>(fleet.domainSize, 1);
    return share / static_cast<double>(daemons);
}

FleetRetryBudget::FleetRetryBudget(FleetRetryLimit limit)
    : m_limit(limit)
{ }

void FleetRetryBudget::removeExpired(Counts &counts, core::Time now) const
{
    removeUntil(counts.requests, now - m_limit.window);
    removeUntil(counts.retries, now - m_limit.window);
}

void FleetRetryBudget::noteRequest(const std::string &service, core::Time now)
{
    auto &counts = m_services[service];
    removeExpired(counts, now);
    counts.requests.push_back(now);
}

RetryCharge FleetRetryBudget::charge(const std::string &service, double slackShare, core::Time now)
{
    auto &counts = m_services[service];
    removeExpired(counts, now);
    const auto ratioAllowance = m_limit.ownRequestShare * m_limit.ratio * static_cast<double>(counts.requests.size());
    const auto retries = static_cast<double>(counts.retries.size()) + 1;
    if (retries > ratioAllowance + m_limit.slack * slackShare) {
        return RetryCharge::Refused;
    }
    counts.retries.push_back(now);
    return retries <= ratioAllowance ? RetryCharge::Ratio : RetryCharge::Slack;
}

RetryUsage FleetRetryBudget::usage(const std::string &service, core::Time now)
{
    auto &counts = m_services[service];
    removeExpired(counts, now);
    return {counts.requests.size(), counts.retries.size()};
}

} // namespace spurlug::relay
