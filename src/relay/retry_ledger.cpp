//----------------------------------------------------------------------------------------------------------------------
// spurlug: this daemon's share of the fleet-wide retry budget
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/retry_ledger.h"

#include <algorithm>

namespace spurlug::relay
{

namespace
{

/// Fraction of a domain's slack for all of its daemons that have run for less than a window.
constexpr double YoungShare = 0.03;
constexpr double YoungLives = 3; ///< Maximum number of such incarnations of one daemon in a window.
constexpr double YoungAloneShare = 0.15; ///< For a daemon that is the whole fleet.
constexpr auto LearningSpan = absl::Seconds(3); ///< A daemon hears all others within this time after its start.

void forgetBefore(std::deque<core::Time> &times, core::Time oldest)
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
    return count / (count + 1) - YoungLives * YoungShare;
}

} // namespace

double slackShare(const FleetKnowledge &fleet, core::Duration window) noexcept
{
    const auto domains = std::max<std::size_t>(fleet.domains, 1);
    if (!fleet.hasOthers) {
        return fleet.life >= window ? settledShare(domains) : YoungAloneShare;
    }
    if (!fleet.hearsOthers || fleet.life < LearningSpan) {
        return 0;
    }
    const auto share = fleet.life >= window ? settledShare(domains) : YoungShare;
    const auto daemons = domains * std::max<std::size_t>(fleet.largest, 1);
    return share / static_cast<double>(daemons);
}

RetryLedger::RetryLedger(RetryBound bound)
    : m_bound(bound)
{ }

void RetryLedger::forget(Counts &counts, core::Time now) const
{
    forgetBefore(counts.requests, now - m_bound.window);
    forgetBefore(counts.repeats, now - m_bound.window);
}

void RetryLedger::request(const std::string &service, core::Time now)
{
    auto &counts = m_services[service];
    forget(counts, now);
    counts.requests.push_back(now);
}

RepeatCharge RetryLedger::take(const std::string &service, double slackShare, core::Time now)
{
    auto &counts = m_services[service];
    forget(counts, now);
    const auto ofRequests = m_bound.margin * m_bound.ratio * static_cast<double>(counts.requests.size());
    const auto repeats = static_cast<double>(counts.repeats.size()) + 1;
    if (repeats > ofRequests + m_bound.slack * slackShare) {
        return RepeatCharge::Refused;
    }
    counts.repeats.push_back(now);
    return repeats <= ofRequests ? RepeatCharge::Ratio : RepeatCharge::Slack;
}

RepeatUse RetryLedger::use(const std::string &service, core::Time now)
{
    auto &counts = m_services[service];
    forget(counts, now);
    return {counts.requests.size(), counts.repeats.size()};
}

} // namespace spurlug::relay
