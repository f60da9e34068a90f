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

constexpr auto Span = absl::Seconds(4); ///< Defined by the operator: the limit holds in any span of this length.
constexpr double LeastPerSecond = 0.25;

} // namespace

FleetRate RateLimit::rate() const noexcept
{
    return {std::max(m_perSecond.value_or(0), LeastPerSecond), Span};
}

bool RateLimit::take(std::optional<double> perSecond, core::Time saidAt) noexcept
{
    if (saidAt < m_saidAt) {
        return false;
    }
    m_saidAt = saidAt;
    return std::exchange(m_perSecond, perSecond) != perSecond;
}

} // namespace spurlug::relay
