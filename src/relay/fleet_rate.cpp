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
constexpr double SchedulerPart = 0.4;
constexpr double AlonePart = 0.15;
constexpr double EverybodyPart = 0.7; ///< Doubles if each daemon of a domain knows only half of them.
constexpr auto LearningSpan = absl::Seconds(3); ///< A daemon hears all others within this time after its start.

/// This daemon's equal share of what all daemons send; 0 if it does not know how many daemons there are.
double equalShare(const FleetKnowledge &fleet) noexcept
{
    if (!fleet.hasOthers) {
        return 1;
    }
    if (!fleet.hearsOthers || fleet.life < LearningSpan) {
        return 0;
    }
    const auto domains = std::max<std::size_t>(fleet.domains, 1);
    return 1 / static_cast<double>(domains * std::max<std::size_t>(fleet.largest, 1));
}

} // namespace

void RecentSends::add(core::Time now)
{
    while (!m_sends.empty() && m_sends.front() <= now - core::Duration(Remembered)) {
        m_sends.pop_front();
    }
    m_sends.push_back(now);
}

std::int64_t RecentSends::within(core::Duration span, core::Time now) const
{
    const auto first = std::upper_bound(m_sends.begin(), m_sends.end(), now - span);
    return std::distance(first, m_sends.end());
}

RateShare::RateShare(RateGiver giver, const FleetKnowledge &fleet, std::string_view vm, std::uint32_t target)
    : m_giver(giver)
    , m_share(equalShare(fleet))
    , m_phase(std::ldexp(static_cast<double>(core::fastHash(vm, target)), -64))
{ }

double RateShare::turnRate(const FleetRate &rate) const
{
    // A span covers the permits issued within it and those issued up to `TurnLife` before it.
    const auto seen = m_giver == RateGiver::Alone ? AlonePart : EverybodyPart;
    return rate.perSecond * m_share * seen * absl::FDivDuration(rate.span, rate.span + core::Duration(TurnLife));
}

double RateShare::turnsBy(double turnRate, core::Time at) const
{
    return absl::ToDoubleSeconds(at - absl::UnixEpoch()) * turnRate + m_phase;
}

bool RateShare::takesOne(const FleetRate &rate, const RecentSends &sends, core::Time now) const
{
    if (m_giver == RateGiver::Scheduler) {
        const auto most = std::floor(rate.perSecond * absl::ToDoubleSeconds(rate.span) * SchedulerPart);
        return static_cast<double>(sends.within(rate.span, now)) < std::max(most, 1.0);
    }
    const auto turns = turnRate(rate);
    const auto begun = std::floor(turnsBy(turns, now)) - std::floor(turnsBy(turns, now - core::Duration(TurnLife)));
    return static_cast<double>(sends.within(TurnLife, now)) < begun;
}

core::Time RateShare::nextTurn(const FleetRate &rate, core::Time now) const
{
    const auto turns = turnRate(rate);
    if (turns <= 0) {
        return absl::InfiniteFuture();
    }
    const auto by = turnsBy(turns, now);
    return now + absl::Seconds((std::floor(by) + 1 - by) / turns);
}

} // namespace spurlug::relay
