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

constexpr double SuccessWeight = 0.13; // Equal to EjectionPolicy::weight, so that successes and failures count alike.
constexpr int MaxDoublings = 10;

} // namespace

void TargetHealth::noteSuccess(core::Time now) noexcept
{
    noteFirstEvent(now);
    m_failureShare *= 1 - SuccessWeight;
    m_consecutiveFailures = 0;
    if (!isEjected(now)) {
        m_consecutiveEjections = 0;
    }
}

void TargetHealth::noteFirstEvent(core::Time now) noexcept
{
    m_lastSuccessAt = std::max(m_lastSuccessAt, now);
    m_failedConnections = 0;
    m_onProbation = m_onProbation && isEjected(now);
}

bool TargetHealth::noteFailure(TargetFault fault, const EjectionPolicy &policy, core::Time now) noexcept
{
    if (fault == TargetFault::Busy) {
        return false; // A full target is not a failing one.
    }
    m_failureShare += (1 - m_failureShare) * policy.newestWeight;
    const bool unreachable = fault == TargetFault::Unreachable || fault == TargetFault::Timeout;
    if (!isEjected(now)) {
        m_unreachable = unreachable;
    }
    m_failedConnections += fault == TargetFault::Unreachable ? 1 : 0;
    const bool isSpared = policy.byEvidence && fault == TargetFault::Unreachable
        && m_failedConnections < policy.maxFailedConnections && answeredRecently(policy, now);
    // After an ejection, one more failure ejects again; a single lost packet must not count as one.
    m_consecutiveFailures += isSpared ? 0 : 1;
    if ((unreachable && !isSpared) || m_consecutiveFailures >= policy.maxConsecutiveFailures
        || m_failureShare > policy.maxFailureShare) {
        eject(policy, now);
        return false;
    }
    return isSpared;
}

void TargetHealth::eject(const EjectionPolicy &policy, core::Time now) noexcept
{
    if (isEjected(now)) {
        return;
    }
    const auto doublings = std::min(m_consecutiveEjections, MaxDoublings);
    m_ejectedUntil = now + std::min(policy.initialDuration * (1 << doublings), policy.maxDuration);
    ++m_consecutiveEjections;
    m_onProbation = true;
    m_failureShare = 0;
    m_consecutiveFailures = policy.maxConsecutiveFailures - 1; // One more failure after its return ejects it again.
}

} // namespace spurlug::relay
