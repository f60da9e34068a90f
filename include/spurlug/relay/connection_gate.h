//----------------------------------------------------------------------------------------------------------------------
// spurlug: whether a daemon takes new connections of callers
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

namespace spurlug::relay
{

/// \brief Turns new connections away while the event loop cannot keep up.
///
/// A load balancer may direct most new connections of a region to one daemon. Beyond its share of a processor, each
/// request that it reads makes all others late, and those that it has read cannot go elsewhere. A connection that is
/// closed unread can: its caller tries again at once, most likely at another daemon. Open connections are not affected.
///
/// The delay of a timer shows how long ready work waits for the loop. A single delay is no sign of overload: a process
/// that was suspended has one as well.
class ConnectionGate
{
public:
    static constexpr auto TickInterval = absl::Milliseconds(50); ///< Interval between two measurements.

    /// \brief Records a measurement.
    /// \param delay How much later than planned a timer fired.
    /// \returns Whether the gate opened or closed.
    bool noteTick(core::Duration delay) noexcept;

    [[nodiscard]] bool isOpen() const noexcept
    {
        return m_isOpen;
    }

private:
    bool m_isOpen = true;
    int m_lateTicks = 0; ///< Consecutive measurements above the limit.
};

} // namespace spurlug::relay
