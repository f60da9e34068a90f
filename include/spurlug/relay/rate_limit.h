//----------------------------------------------------------------------------------------------------------------------
// spurlug: request rate that a target accepts from the whole fleet
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/relay/fleet_rate.h"

#include <optional>

namespace spurlug::relay
{

/// \brief Latest limit that an incarnation of a target announced for the requests of all daemons together.
class RateLimit
{
public:
    /// \brief Applies a notice. Notices older than the latest one are ignored.
    /// \param perSecond std::nullopt if there is no limit.
    /// \returns Whether the limit changed.
    bool update(std::optional<double> perSecond, core::Time announcedAt) noexcept;

    /// \brief Requests per second; std::nullopt if there is no limit.
    [[nodiscard]] std::optional<double> perSecond() const noexcept
    {
        return m_perSecond;
    }

    /// \brief The limit as a fleet rate, at least one request in four seconds, because only a response can tell that
    /// the limit was lifted.
    [[nodiscard]] FleetRate rate() const noexcept;

    /// \brief Time of the latest notice; InfinitePast if there was none.
    [[nodiscard]] core::Time announcedAt() const noexcept
    {
        return m_announcedAt;
    }

private:
    std::optional<double> m_perSecond;
    core::Time m_announcedAt = absl::InfinitePast();
};

} // namespace spurlug::relay
