//----------------------------------------------------------------------------------------------------------------------
// spurlug: the cooldown that a target requested from this daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <algorithm>

namespace spurlug::targets
{

/// Longer requested cooldowns are cut to this: such a time must be a mistake, and one corrupt answer must not exclude a
/// target permanently.
inline constexpr auto MaxCooldown = absl::Minutes(5);

/// \brief Cooldown that one target requested from this daemon. Other daemons may still send requests to it.
class Cooldown
{
public:
    /// \brief Applies a cooldown requested in an answer. Each counts from its own answer, and a shorter one does not
    /// end an earlier one.
    /// \param duration Limited to MaxCooldown.
    void request(core::Duration duration, core::Time now) noexcept
    {
        m_endsAt = std::max(m_endsAt, now + std::min(duration, core::Duration(MaxCooldown)));
    }

    /// \brief Whether the cooldown is in effect.
    [[nodiscard]] bool isActive(core::Time now) const noexcept
    {
        return now < m_endsAt;
    }

    /// \brief End of the cooldown; infinite past if none was requested.
    [[nodiscard]] core::Time endsAt() const noexcept
    {
        return m_endsAt;
    }

private:
    core::Time m_endsAt = absl::InfinitePast();
};

} // namespace spurlug::targets
