//----------------------------------------------------------------------------------------------------------------------
// spurlug: warm-up period of a target
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/relay/fleet_rate.h"

#include <algorithm>

namespace spurlug::relay
{

/// \brief Period in which an incarnation of a target is slow, after its start or at any later time.
class WarmUp
{
public:
    /// \brief Notes that the target is warming up until a given time. An earlier notice with a later end stays in
    /// force; both ends are within seconds of each other.
    void extend(core::Time end) noexcept
    {
        m_until = std::max(m_until, end);
    }

    [[nodiscard]] bool isActive(core::Time now) const noexcept
    {
        return now < m_until;
    }

    [[nodiscard]] core::Time endsAt() const noexcept
    {
        return m_until;
    }

    /// \brief Rate that the target accepts from the whole fleet while it is warming up.
    [[nodiscard]] static FleetRate rate(double perSecond) noexcept
    {
        return {perSecond, absl::Seconds(1)};
    }

private:
    core::Time m_until = absl::InfinitePast();
};

} // namespace spurlug::relay
