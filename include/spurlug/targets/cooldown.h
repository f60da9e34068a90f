//----------------------------------------------------------------------------------------------------------------------
// spurlug: the time in which a target wants no requests of this daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <algorithm>

namespace spurlug::targets
{

/// A target that asks for a longer one than this gets a request all the same: the time must be a mistake, and one
/// spoilt answer must not cost a target for good.
inline constexpr auto LongestCooldown = absl::Minutes(5);

/// \brief What one target asked of this daemon. Other daemons may send: it asked this one.
class Cooldown
{
public:
    /// \brief Takes what an answer asks for. A shorter time does not end one that was asked for before: each counts
    /// from its own answer.
    void ask(core::Duration span, core::Time now) noexcept
    {
        m_until = std::max(m_until, now + std::min(span, core::Duration(LongestCooldown)));
    }

    [[nodiscard]] bool lasts(core::Time now) const noexcept
    {
        return now < m_until;
    }

    /// \brief When it ends; in the infinite past: none was asked for.
    [[nodiscard]] core::Time until() const noexcept
    {
        return m_until;
    }

private:
    core::Time m_until = absl::InfinitePast();
};

} // namespace spurlug::targets
