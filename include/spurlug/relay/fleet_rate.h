//----------------------------------------------------------------------------------------------------------------------
// spurlug: rate limiting of a target across all daemons without coordination messages
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/relay/fleet_retry_budget.h"

#include <cstdint>
#include <deque>
#include <string_view>

namespace spurlug::relay
{

/// \brief Times at which this daemon recently sent requests to a target.
class RecentSends
{
public:
    static constexpr auto Retention = absl::Seconds(4);

    void add(core::Time now);
    /// \brief Number of requests in a span of at most `Retention` that ends now.
    [[nodiscard]] std::int64_t countWithin(core::Duration span, core::Time now) const;

private:
    std::deque<core::Time> m_sends; ///< Oldest first.
};

/// \brief Request rate that a target accepts from the whole fleet.
struct FleetRate
{
    double perSecond = 0;
    /// The rate holds in any span of this length, at most `RecentSends::Retention`.
    core::Duration span = absl::Seconds(1);
};

/// \brief Role in which a daemon sends requests to a rate-limited target.
enum class SenderRole
{
    /// Places the prompts of all daemons. Three schedulers may be active for a moment: two of the fleet and one of the
    /// local domain.
    Scheduler,
    Unscheduled, ///< A daemon that decides without a scheduler, for a service that has schedulers.
    AnyDaemon, ///< A daemon that decides for itself, for a service without schedulers.
};

/// \brief This daemon's share of the rate limits of targets.
///
/// The shares of all senders add up to about the rate, which leaves the operator's margin to requests that cross in
/// transit. A scheduler counts its own placements. A daemon that decides for itself gets permits, spread over
/// time by a hash of its VM name and the target. Their number depends only on the rate and the size of the fleet, not
/// on which daemons are alive or heard. A permit that is not used within `PermitLifetime` expires, so that unused
/// permits cannot accumulate into a burst.
class LocalRateShare
{
public:
    static constexpr auto PermitLifetime = absl::Seconds(1);

    /// \param target Hash of the target incarnation.
    LocalRateShare(SenderRole role, const FleetView &fleet, std::string_view vm, std::uint32_t target);

    /// \brief Whether the target may get one more request now.
    /// \param sends Requests that this daemon sent to the target.
    [[nodiscard]] bool allowsRequest(const FleetRate &rate, const RecentSends &sends, core::Time now) const;

    /// \brief When a daemon that decides for itself gets its next permit; InfiniteFuture if it gets none.
    [[nodiscard]] core::Time nextPermitAt(const FleetRate &rate, core::Time now) const;

private:
    /// Permits per second.
    [[nodiscard]] double permitRate(const FleetRate &rate) const;
    /// Number of permits issued until a time, including a fraction, counted from a fixed epoch.
    [[nodiscard]] double permitsUntil(double permitRate, core::Time at) const;

    SenderRole m_role;
    double m_daemonShare; ///< Share of this daemon among all daemons that decide for themselves.
    double m_phase; ///< Phase offset of the permits, 0 to 1.
};

} // namespace spurlug::relay
