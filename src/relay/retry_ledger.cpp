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

/// A daemon that was killed and starts again may spend a second part within one window.
constexpr double LivesInAWindow = 2;

void forgetBefore(std::deque<core::Time> &times, core::Time oldest)
{
    while (!times.empty() && times.front() <= oldest) {
        times.pop_front();
    }
}

} // namespace

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

bool RetryLedger::take(const std::string &service, std::size_t daemons, core::Time now)
{
    auto &counts = m_services[service];
    forget(counts, now);
    const auto parts = static_cast<double>(std::max<std::size_t>(daemons, 1)) * LivesInAWindow;
    const auto allowed
        = m_bound.margin * (m_bound.ratio * static_cast<double>(counts.requests.size()) + m_bound.slack / parts);
    if (static_cast<double>(counts.repeats.size()) + 1 > allowed) {
        return false;
    }
    counts.repeats.push_back(now);
    return true;
}

} // namespace spurlug::relay
