//----------------------------------------------------------------------------------------------------------------------
// spurlug: a rate of requests to one target that all daemons keep together without asking each other
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/relay/retry_ledger.h"

#include <cstdint>
#include <deque>
#include <string_view>

namespace spurlug::relay
{

/// \brief When this daemon gave a target requests of late.
class RecentSends
{
public:
    static constexpr auto Remembered = absl::Seconds(4);

    void add(core::Time now);
    /// \brief Requests within a span that ends now, `Remembered` at most.
    [[nodiscard]] std::int64_t within(core::Duration span, core::Time now) const;

private:
    std::deque<core::Time> m_sends; ///< Oldest first.
};

/// \brief What a target takes from the whole fleet.
struct FleetRate
{
    double perSecond = 0;
    core::Duration span = absl::Seconds(1); ///< The rate holds for any such span; `RecentSends::Remembered` at most.
};

/// \brief Who gives requests to such a target.
enum class RateGiver
{
    Scheduler, ///< It places the prompts of all daemons. Three may do so for a moment: two of the fleet and one at
               ///< home.
    Alone, ///< One of all daemons, for a service that has schedulers.
    Everybody, ///< One of all daemons, for a service that has none.
};

/// \brief One daemon's part of the rates of targets.
///
/// The parts of all givers add up to about the rate, so that the operator's margin is left for requests that cross on
/// the way. A scheduler counts what it placed. A daemon that decides for itself gets turns, spread over time by its
/// name and the target: their number follows from the rate and the size of the fleet, whoever lives or is heard, and a
/// turn that is not taken within `TurnLife` is lost, so that no burst can use up what was saved.
class RateShare
{
public:
    static constexpr auto TurnLife = absl::Seconds(1);

    /// \param target Hash of its life.
    RateShare(RateGiver giver, const FleetKnowledge &fleet, std::string_view vm, std::uint32_t target);

    /// \brief Whether the target may be given one more request now.
    /// \param sends What this daemon gave it.
    [[nodiscard]] bool takesOne(const FleetRate &rate, const RecentSends &sends, core::Time now) const;

    /// \brief When a daemon that decides for itself has its next turn; in the infinite future: it has none.
    [[nodiscard]] core::Time nextTurn(const FleetRate &rate, core::Time now) const;

private:
    /// Turns a second.
    [[nodiscard]] double turnRate(const FleetRate &rate) const;
    /// Turns that have begun by a moment, with a fraction; counted from any one moment.
    [[nodiscard]] double turnsBy(double turnRate, core::Time at) const;

    RateGiver m_giver;
    double m_share; ///< Of all daemons that decide for themselves.
    double m_phase; ///< 0 to 1.
};

} // namespace spurlug::relay
