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
    Backoff(core::Duration initialDelay, core::Duration maxDelay)
        : m_initialDelay(initialDelay)
        , m_maxDelay(maxDelay)
        , m_currentDelay(initialDelay)
    { }

    void reset() noexcept
    {
        m_currentDelay = m_initialDelay;
    }

    /// \param jitter A random number from 0 to 1, so that daemons which lost the same dependency do not retry at the
    /// same time.
    /// \returns How long to wait before the next call.
    [[nodiscard]] core::Duration nextDelay(double jitter) noexcept
    {
        constexpr double MinShare = 0.5;
        const auto delay = m_currentDelay * (MinShare + (1 - MinShare) * jitter);
        m_currentDelay = std::min(m_currentDelay * 2, m_maxDelay);
        return delay;
    }

private:
    core::Duration m_initialDelay;
    core::Duration m_maxDelay;
    core::Duration m_currentDelay;
};

} // namespace spurlug::relay
