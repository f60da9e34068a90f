//----------------------------------------------------------------------------------------------------------------------
// spurlug: the request rate that a target says it takes from the whole fleet
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/rate_limit.h"

#include <utility>

namespace spurlug::relay
{

bool RateLimit::take(std::optional<double> perSecond, core::Time saidAt) noexcept
{
    if (saidAt < m_saidAt) {
        return false;
    }
    m_saidAt = saidAt;
    return std::exchange(m_perSecond, perSecond) != perSecond;
}

} // namespace spurlug::relay
