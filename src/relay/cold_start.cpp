//----------------------------------------------------------------------------------------------------------------------
// spurlug: how much a target gets while it is cold
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/cold_start.h"

#include "spurlug/core/hash.h"

#include <algorithm>
#include <cmath>

namespace spurlug::relay
{

namespace
{

/// Parts of what a cold target bears: three schedulers at once and all daemons that decide alone stay within 1.4 times
/// that, where the operator allows 1.5 times and some more.
constexpr double SchedulerPart = 0.4;
constexpr double AlonePart = 0.2;
constexpr double EverybodyPart = 0.4; ///< A span across two seconds sees two draws: 0.8 of what it bears.

} // namespace

void ColdStart::note(core::Time until) noexcept
{
    m_until = std::max(m_until, until);
}

void ColdStart::given(core::Time now)
{
    while (!m_given.empty() && m_given.front() <= now - Window) {
        m_given.pop_front();
    }
    m_given.push_back(now);
}

bool ColdStart::takesOne(std::int64_t allowance, core::Time now) const
{
    const auto recent = std::count_if(m_given.begin(), m_given.end(),
                                      [now](core::Time at) { return at > now - core::Duration(Window); });
    return recent < allowance;
}

std::int64_t coldAllowance(ColdGiver giver, double perSecond, const FleetKnowledge &fleet, std::string_view vm,
                           std::uint32_t target, core::Time now)
{
    if (giver == ColdGiver::Scheduler) {
        return static_cast<std::int64_t>(std::max(std::floor(perSecond * SchedulerPart), 1.0));
    }
    const auto part = giver == ColdGiver::Alone ? AlonePart : EverybodyPart;
    const auto allowed = perSecond * part * slackShare(fleet, ColdStart::Window);
    const auto whole = std::floor(allowed);
    const auto second = static_cast<std::uint64_t>(absl::ToUnixSeconds(now));
    constexpr std::uint64_t Mix = 0x9E3779B97F4A7C15ULL; // An odd constant with bits all over the word.
    const auto drawn = core::fastHash(vm, (static_cast<std::uint64_t>(target) << 32U) ^ (second * Mix));
    const bool oneMore = std::ldexp(static_cast<double>(drawn), -64) < allowed - whole;
    return static_cast<std::int64_t>(whole) + (oneMore ? 1 : 0);
}

} // namespace spurlug::relay
