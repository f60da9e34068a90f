//----------------------------------------------------------------------------------------------------------------------
// spurlug: a rate limit with a burst
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <algorithm>

namespace spurlug::limits
{

/// \brief Lets a rate through, and a burst that was saved up.
class TokenBucket
{
public:
    /// \param rate Units a second.
    /// \param burst Most units saved up.
    void setRate(double rate, double burst, core::Time now)
    {
        refill(now);
        m_saved = m_rate == 0 ? burst : std::min(m_saved, burst);
        m_rate = rate;
        m_burst = burst;
    }

    /// \brief Takes units. A single taking above the burst passes when the bucket is full, and is paid off afterwards.
    /// \returns False, without taking any, when there are not enough.
    [[nodiscard]] bool take(double units, core::Time now)
    {
        refill(now);
        if (m_saved < std::min(units, m_burst)) {
            return false;
        }
        m_saved -= units;
        return true;
    }

    /// \brief Time until `take` of as many units would pass.
    [[nodiscard]] core::Duration wait(double units) const
    {
        const double missing = std::min(units, m_burst) - m_saved;
        return missing <= 0 ? absl::ZeroDuration() : absl::Seconds(missing / m_rate);
    }

private:
    void refill(core::Time now)
    {
        if (now > m_filledAt && m_rate > 0) {
            m_saved = std::min(m_burst, m_saved + m_rate * absl::ToDoubleSeconds(now - m_filledAt));
        }
        m_filledAt = std::max(m_filledAt, now);
    }

    double m_rate = 0;
    double m_burst = 0;
    double m_saved = 0;
    core::Time m_filledAt = absl::UnixEpoch();
};

} // namespace spurlug::limits
