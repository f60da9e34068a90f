//----------------------------------------------------------------------------------------------------------------------
// spurlug: token bucket rate limiter
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <algorithm>

namespace spurlug::limits
{

/// \brief Token bucket: admits a steady rate plus a burst of accumulated units.
class TokenBucket
{
public:
    /// \brief Changes rate and burst; the first call fills the bucket.
    /// \param rate Units per second.
    /// \param burst Capacity of the bucket, in units.
    void setRate(double rate, double burst, core::Time now)
    {
        refill(now);
        m_level = m_rate == 0 ? burst : std::min(m_level, burst);
        m_rate = rate;
        m_burst = burst;
    }

    /// \brief Takes units. More units than the burst are granted when the bucket is full; its level then becomes
    /// negative and must be refilled first.
    /// \returns False, without taking any, if there are not enough units.
    [[nodiscard]] bool take(double units, core::Time now)
    {
        refill(now);
        if (m_level < std::min(units, m_burst)) {
            return false;
        }
        m_level -= units;
        return true;
    }

    /// \brief Time until `take` of this many units would succeed, as of the last refill.
    [[nodiscard]] core::Duration waitTime(double units) const
    {
        const double missing = std::min(units, m_burst) - m_level;
        return missing <= 0 ? absl::ZeroDuration() : absl::Seconds(missing / m_rate);
    }

private:
    void refill(core::Time now)
    {
        if (now > m_refilledAt && m_rate > 0) {
            m_level = std::min(m_burst, m_level + m_rate * absl::ToDoubleSeconds(now - m_refilledAt));
        }
        m_refilledAt = std::max(m_refilledAt, now);
    }

    double m_rate = 0;
    double m_burst = 0;
    double m_level = 0;
    core::Time m_refilledAt = absl::UnixEpoch();
};

} // namespace spurlug::limits
