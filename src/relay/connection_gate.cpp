//----------------------------------------------------------------------------------------------------------------------
// spurlug: whether a daemon takes new connections of callers
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/connection_gate.h"

namespace spurlug::relay
{

namespace
{

/// Several such waits on the way of a request use up the latency objective of interactive requests.
constexpr auto MaxDelay = absl::Milliseconds(100);
constexpr auto ReopenDelay = absl::Milliseconds(40);
constexpr int LateTicksToClose = 3;

} // namespace

bool ConnectionGate::noteTick(core::Duration delay) noexcept
{
    m_lateTicks = delay > core::Duration(MaxDelay) ? m_lateTicks + 1 : 0;
    const bool wasOpen = m_isOpen;
    if (m_lateTicks >= LateTicksToClose) {
        m_isOpen = false;
    } else if (delay <= core::Duration(ReopenDelay)) {
        m_isOpen = true;
    }
    return wasOpen != m_isOpen;
}

} // namespace spurlug::relay
