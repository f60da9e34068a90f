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
inline constexpr auto LongestCooldown = absl::Minutes(5);

/// \brief Cooldown that one target requested from this daemon. Other daemons may still send requests to it.
class Cooldown
{
public:
    /// \brief Applies a cooldown requested in an answer. Each counts from its own answer, and a shorter one does not
    /// end an earlier one.
    /// \param span Limited to LongestCooldown.
    void ask(core::Duration span, core::Time now) noexcept
    {
        m_until = std::max(m_until, now + std::min(span, core::Duration(LongestCooldown)));
    }

    /// \brief Whether the cooldown is in effect.
    [[nodiscard]] bool lasts(core::Time now) const noexcept
    {
        return now < m_until;
    }

    /// \brief End of the cooldown; infinite past if none was requested.
    [[nodiscard]] core::Time until() const noexcept
    {
        return m_until;
    }

private:
    core::Time m_until = absl::InfinitePast();
};

} // namespace spurlug::targets
