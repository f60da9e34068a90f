//----------------------------------------------------------------------------------------------------------------------
// spurlug: the time in which a target is slow
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/relay/fleet_rate.h"

#include <algorithm>

namespace spurlug::relay
{

/// \brief The time in which a life of a target is slow, after its start or at any later moment.
class ColdStart
{
public:
    /// \brief Notes that it is cold until a moment. An earlier word that tells a later one stays in force: both end
    /// within seconds.
    void note(core::Time until) noexcept
    {
        m_until = std::max(m_until, until);
    }

    [[nodiscard]] bool lasts(core::Time now) const noexcept
    {
        return now < m_until;
    }

    [[nodiscard]] core::Time until() const noexcept
    {
        return m_until;
    }

    /// \brief What it takes from the fleet meanwhile.
    [[nodiscard]] static FleetRate rate(double perSecond) noexcept
    {
        return {perSecond, absl::Seconds(1)};
    }

private:
    core::Time m_until = absl::InfinitePast();
};

} // namespace spurlug::relay
