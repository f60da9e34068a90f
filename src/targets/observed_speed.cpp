//----------------------------------------------------------------------------------------------------------------------
// spurlug: observed speed of a target relative to its published costs
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/targets/observed_speed.h"

#include <algorithm>
#include <cmath>

namespace spurlug::targets
{

namespace
{

constexpr double MinRatio = 0.25;
constexpr double MaxRatio = 16;
constexpr double MaxPossibleRatio = 1000; ///< No request waits a thousand times its expected time for an answer.
/// One slow answer changes the estimate by a quarter at most; 8 bring it to within a fifth of a ratio of 5.
constexpr double MaxStepRatio = 1.25;
/// Share of the difference by which a sample moves the estimate. Answers differ by some tens of percent on the same
/// target.
constexpr double SampleWeight = 0.5;
constexpr auto HalfLife = absl::Seconds(10); ///< Of the logarithm of the ratio, without samples.
/// An estimate without a sample for two half-lives says little; the other one counts alone.
constexpr auto EstimateLifetime = absl::Seconds(20);
constexpr auto StaleAge = absl::Seconds(5);

} // namespace

bool RatioEstimate::addSample(double ratio, core::Time now) noexcept
{
    if (!std::isfinite(ratio) || ratio <= 0 || ratio > MaxPossibleRatio || now < m_lastSampleAt) {
        return false;
    }
    const auto known = logRatio(now);
    const auto sample = std::log(std::clamp(ratio, MinRatio, MaxRatio));
    const auto maxStep = std::log(MaxStepRatio);
    m_logRatio = known + std::clamp((sample - known) * SampleWeight, -maxStep, maxStep);
    m_lastSampleAt = now;
    return true;
}

double RatioEstimate::logRatio(core::Time now) const noexcept
{
    if (m_logRatio == 0) {
        return 0;
    }
    return m_logRatio * std::exp2(-absl::FDivDuration(now - m_lastSampleAt, HalfLife));
}

bool ObservedSpeed::addFirst(double ratio, core::Time now) noexcept
{
    return add(m_first, ratio, now);
}

bool ObservedSpeed::addGap(double ratio, core::Time now) noexcept
{
    return add(m_gap, ratio, now);
}

bool ObservedSpeed::add(RatioEstimate &estimate, double ratio, core::Time now) noexcept
{
    const bool added = estimate.addSample(ratio, now);
    m_samples += added ? 1 : 0;
    return added;
}

double ObservedSpeed::ratio(core::Time now) const noexcept
{
    double sum = 0;
    int count = 0;
    for (const auto *estimate : {&m_first, &m_gap}) {
        if (now - estimate->lastSampleAt() <= EstimateLifetime) {
            sum += estimate->logRatio(now);
            ++count;
        }
    }
    return count == 0 ? 1 : std::exp(sum / count);
}

bool ObservedSpeed::isKnown(core::Time now) const noexcept
{
    return now - std::max(m_first.lastSampleAt(), m_gap.lastSampleAt()) <= EstimateLifetime;
}

bool ObservedSpeed::isStale(core::Time now) const noexcept
{
    return now - std::max(m_first.lastSampleAt(), m_gap.lastSampleAt()) > StaleAge;
}

} // namespace spurlug::targets
