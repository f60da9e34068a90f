//----------------------------------------------------------------------------------------------------------------------
// spurlug: ejection of failing targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/target_health.h"

#include <algorithm>

namespace spurlug::relay
{

namespace
{

constexpr double SuccessWeight = 0.13; // Equal to EjectionRule::weight, so that successes and failures count alike.
constexpr int MostDoublings = 10;

} // namespace

void TargetHealth::succeeded(core::Time now) noexcept
{
    m_share *= 1 - SuccessWeight;
    m_inARow = 0;
    if (!ejected(now)) {
        m_ejections = 0;
    }
}

void TargetHealth::failed(TargetFault fault, const EjectionRule &rule, core::Time now) noexcept
{
    if (fault == TargetFault::Busy) {
        return; // A full target is not a failing one.
    }
    m_share += (1 - m_share) * rule.weight;
    ++m_inARow;
    const bool unreachable = fault == TargetFault::Unreachable || fault == TargetFault::Silent;
    if (!ejected(now)) {
        m_unreachable = unreachable;
    }
    if (unreachable || m_inARow >= rule.inARow || m_share > rule.errorShare) {
        eject(rule, now);
    }
}

void TargetHealth::eject(const EjectionRule &rule, core::Time now) noexcept
{
    if (ejected(now)) {
        return;
    }
    const auto doublings = std::min(m_ejections, MostDoublings);
    m_ejectedUntil = now + std::min(rule.first * (1 << doublings), rule.longest);
    ++m_ejections;
    m_share = 0;
    m_inARow = rule.inARow - 1; // One more failure after its return ejects it again.
}

} // namespace spurlug::relay
