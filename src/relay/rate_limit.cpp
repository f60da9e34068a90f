//----------------------------------------------------------------------------------------------------------------------
// spurlug: request rate that a target accepts from the whole fleet
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/rate_limit.h"

#include <algorithm>
#include <utility>

namespace spurlug::relay
{

namespace
{

constexpr auto LimitSpan = absl::Seconds(4); ///< Defined by the operator: the limit holds in any span of this length.
constexpr double MinPerSecond = 0.25;

} // namespace

FleetRate RateLimit::rate() const noexcept
{
    return {std::max(m_perSecond.value_or(0), MinPerSecond), LimitSpan};
}

bool RateLimit::update(std::optional<double> perSecond, core::Time announcedAt) noexcept
{
    if (announcedAt < m_announcedAt) {
        return false;
    }
    m_announcedAt = announcedAt;
    return std::exchange(m_perSecond, perSecond) != perSecond;
}

} // namespace spurlug::relay
