//----------------------------------------------------------------------------------------------------------------------
// spurlug: exponential backoff for calls to a failing dependency
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <algorithm>

namespace spurlug::relay
{

/// \brief Exponential backoff with jitter that doubles with each consecutive failure.
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

    /// \param jitter A random number from 0 to 1, so that daemons which lost the same dependency do not retry at the
    /// same time.
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
