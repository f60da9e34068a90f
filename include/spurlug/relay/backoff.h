//----------------------------------------------------------------------------------------------------------------------
// spurlug: waits between calls to a dependency that fails
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <algorithm>

namespace spurlug::relay
{

/// \brief Doubles the wait with each failure in a row, with jitter.
class Backoff
{
public:
    Backoff(core::Duration first, core::Duration longest)
        : m_first(first)
        , m_longest(longest)
        , m_next(first)
    { }

    void succeeded() noexcept
    {
        m_next = m_first;
    }

    /// \param jitter A random number from 0 to 1: daemons that lost the same dependency must not come back as one.
    /// \returns How long to wait before the next call.
    [[nodiscard]] core::Duration failed(double jitter) noexcept
    {
        constexpr double LeastShare = 0.5;
        const auto wait = m_next * (LeastShare + (1 - LeastShare) * jitter);
        m_next = std::min(m_next * 2, m_longest);
        return wait;
    }

private:
    core::Duration m_first;
    core::Duration m_longest;
    core::Duration m_next;
};

} // namespace spurlug::relay
