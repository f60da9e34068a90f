//----------------------------------------------------------------------------------------------------------------------
// spurlug: rate limiting of a target across all daemons without coordination messages
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/fleet_rate.h"

#include "spurlug/core/hash.h"

#include <algorithm>
#include <cmath>

namespace spurlug::relay
{

namespace
{

/// Fractions of the rate that each kind of sender uses in any span: three concurrent schedulers and all daemons that
/// decide without one stay within 1.35 times the rate, while the operator allows slightly more than 1.5 times.
constexpr double SchedulerShare = 0.4;
constexpr double UnscheduledShare = 0.15;
constexpr double AnyDaemonShare = 0.7; ///< Doubles if each daemon of a domain knows only half of them.
constexpr auto LearningTime = absl::Seconds(3); ///< A daemon hears all others within this time after its start.

/// This daemon's equal share of what all daemons send; 0 if it does not know how many daemons there are.
double equalShare(const FleetView &fleet) noexcept
{
    if (!fleet.hasPeers) {
        return 1;
    }
    if (!fleet.hearsPeers || fleet.uptime < LearningTime) {
        return 0;
    }
    const auto domains = std::max<std::size_t>(fleet.domainCount, 1);
    return 1 / static_cast<double>(domains * std::max<std::size_t>(fleet.domainSize, 1));
}

} // namespace

void RecentSends::add(core::Time now)
{
    while (!m_sends.empty() && m_sends.front() <= now - core::Duration(Retention)) {
        m_sends.pop_front();
    }
    m_sends.push_back(now);
}

std::int64_t RecentSends::countWithin(core::Duration span, core::Time now) const
{
    const auto first = std::upper_bound(m_sends.begin(), m_sends.end(), now - span);
    return std::distance(first, m_sends.end());
}

LocalRateShare::LocalRateShare(SenderRole role, const FleetView &fleet, std::string_view vm, std::uint32_t target)
    : m_role(role)
    , m_daemonShare(equalShare(fleet))
    , m_phase(std::ldexp(static_cast<double>(core::fastHash(vm, target)), -64))
{ }

double LocalRateShare::permitRate(const FleetRate &rate) const
{
    // A span covers the permits issued within it and those issued up to `PermitLifetime` before it.
    const auto roleShare = m_role == SenderRole::Unscheduled ? UnscheduledShare : AnyDaemonShare;
    return rate.perSecond * m_daemonShare * roleShare
        * absl::FDivDuration(rate.span, rate.span + core::Duration(PermitLifetime));
}

double LocalRateShare::permitsUntil(double permitRate, core::Time at) const
{
    return absl::ToDoubleSeconds(at - absl::UnixEpoch()) * permitRate + m_phase;
}

bool LocalRateShare::allowsRequest(const FleetRate &rate, const RecentSends &sends, core::Time now) const
{
    if (m_role == SenderRole::Scheduler) {
        const auto maxSends = std::floor(rate.perSecond * absl::ToDoubleSeconds(rate.span) * SchedulerShare);
        return static_cast<double>(sends.countWithin(rate.span, now)) < std::max(maxSends, 1.0);
    }
    const auto permitsPerSecond = permitRate(rate);
    const auto issued = std::floor(permitsUntil(permitsPerSecond, now))
        - std::floor(permitsUntil(permitsPerSecond, now - core::Duration(PermitLifetime)));
    return static_cast<double>(sends.countWithin(PermitLifetime, now)) < issued;
}

core::Time LocalRateShare::nextPermitAt(const FleetRate &rate, core::Time now) const
{
    const auto permitsPerSecond = permitRate(rate);
    if (permitsPerSecond <= 0) {
        return absl::InfiniteFuture();
    }
    const auto issued = permitsUntil(permitsPerSecond, now);
    return now + absl::Seconds((std::floor(issued) + 1 - issued) / permitsPerSecond);
}

} // namespace spurlug::relay
