//----------------------------------------------------------------------------------------------------------------------
// spurlug: this daemon's part of the fleet's bound on repeated sends
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/retry_ledger.h"

#include <algorithm>

namespace spurlug::relay
{

namespace
{

constexpr double YoungShare = 0.03; ///< Of a domain's slack, of all its daemons that have not lived for a window.
constexpr double YoungLives = 3; ///< A window sees so many of one daemon at most.
constexpr double YoungAloneShare = 0.15; ///< Of a daemon that is the whole fleet.
constexpr auto LearningSpan = absl::Seconds(3); ///< A daemon that started hears all others within it.

void forgetBefore(std::deque<core::Time> &times, core::Time oldest)
{
    while (!times.empty() && times.front() <= oldest) {
        times.pop_front();
    }
}

/// Of a domain's slack, of all its daemons that have lived for a window: what is left of the whole when one domain is
/// parted in two, and each daemon of it restarts as often as it can. 0.41 of one domain, 0.66 of three, 0.74 of five.
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
