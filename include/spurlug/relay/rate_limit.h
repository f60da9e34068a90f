//----------------------------------------------------------------------------------------------------------------------
// spurlug: the request rate that a target says it takes from the whole fleet
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/relay/fleet_rate.h"

#include <optional>

namespace spurlug::relay
{

/// \brief What a life of a target said last of the requests a second that it takes from all daemons together.
class RateLimit
{
public:
    /// \brief Takes what was said at a moment; what was said earlier than the known word changes nothing.
    /// \param perSecond Nothing: there is no limit.
    /// \returns Whether the limit changed.
    bool take(std::optional<double> perSecond, core::Time saidAt) noexcept;

    /// \brief Requests a second; nothing: there is no limit.
    [[nodiscard]] std::optional<double> perSecond() const noexcept
    {
        return m_perSecond;
    }

    /// \brief What it takes from the fleet, where there is a limit: one request in four seconds at the least, as only
    /// an answer tells that a limit has ended.
    [[nodiscard]] FleetRate rate() const noexcept;

    /// \brief When it was said; in the infinite past when nothing ever was.
    [[nodiscard]] core::Time saidAt() const noexcept
    {
        return m_saidAt;
    }

private:
    std::optional<double> m_perSecond;
    core::Time m_saidAt = absl::InfinitePast();
};

} // namespace spurlug::relay
