//----------------------------------------------------------------------------------------------------------------------
// spurlug: observed speed of a target relative to its published costs
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <cstdint>

namespace spurlug::targets
{

/// \brief Robust moving estimate of the ratio of observed to expected times. Decays towards 1 without samples.
class RatioEstimate
{
public:
    /// \returns False if the sample is impossible (not finite, not positive, above 1,000, or older than the last one);
    /// it then changes nothing.
    bool addSample(double ratio, core::Time now) noexcept;

    /// \brief Natural logarithm of the ratio.
    [[nodiscard]] double logRatio(core::Time now) const noexcept;

    /// \brief When the last sample was added; InfinitePast if none was.
    [[nodiscard]] core::Time lastSampleAt() const noexcept
    {
        return m_lastSampleAt;
    }

private:
    double m_logRatio = 0; ///< As of `m_lastSampleAt`.
    core::Time m_lastSampleAt = absl::InfinitePast();
};

/// \brief Observed speed of one incarnation of a target: 1 is as published, 2 is twice as slow.
class ObservedSpeed
{
public:
    /// \brief Adds the ratio of observed to expected time to the first event of an answer.
    /// \returns False if the sample is impossible and was dropped.
    bool addFirst(double ratio, core::Time now) noexcept;
    /// \brief Adds the ratio for the time between events, or for the whole answer of a plain target.
    /// \returns False if the sample is impossible and was dropped.
    bool addGap(double ratio, core::Time now) noexcept;

    /// \brief Ratio of observed to expected times, 0.25 to 16: the geometric mean of the estimates that have had a
    /// sample lately.
    [[nodiscard]] double ratio(core::Time now) const noexcept;
    /// \brief Whether any estimate has had a sample lately. Otherwise the ratio is 1 for lack of samples.
    [[nodiscard]] bool isKnown(core::Time now) const noexcept;
    /// \brief Whether the last sample is so old that a request should be sent in order to get a new one.
    [[nodiscard]] bool isStale(core::Time now) const noexcept;

    /// \brief Number of samples so far.
    [[nodiscard]] std::int64_t samples() const noexcept
    {
        return m_samples;
    }

private:
    bool add(RatioEstimate &estimate, double ratio, core::Time now) noexcept;

    RatioEstimate m_first;
    RatioEstimate m_gap;
    std::int64_t m_samples = 0;
};

} // namespace spurlug::targets
