//----------------------------------------------------------------------------------------------------------------------
// spurlug: how much a target gets while it is cold
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

/// \brief The time in which a life of a target is slow, after its start or at any later moment, and what it was given
/// then by this daemon.
class ColdStart
{
public:
    static constexpr auto Window = absl::Seconds(1); ///< The rate that a cold target bears holds for any such span.

    /// \brief Notes that it is cold until a moment. An earlier word that tells a later one stays in force: both end
    /// within seconds.
    void note(core::Time until) noexcept;

    /// \brief Notes that it is given a request.
    void given(core::Time now);

    [[nodiscard]] bool lasts(core::Time now) const noexcept
    {
        return now < m_until;
    }

    [[nodiscard]] core::Time until() const noexcept
    {
        return m_until;
    }

    /// \brief Whether it may be given one more.
    /// \param allowance Requests that this daemon may give it within the window.
    [[nodiscard]] bool takesOne(std::int64_t allowance, core::Time now) const;

private:
    core::Time m_until = absl::InfinitePast();
    std::deque<core::Time> m_given; ///< Within the last window.
};

/// \brief Who gives requests to cold targets.
enum class ColdGiver
{
    Scheduler, ///< It places the prompts of all daemons. Three may do so for a moment: two of the fleet and one at
               ///< home.
    Alone, ///< One of all daemons, for a service that has schedulers.
    Everybody, ///< One of all daemons, for a service that has none.
};

/// \brief Requests that one daemon may give a cold target within a window.
///
/// The parts of all givers add up to what the target bears, so that the operator's margin is left for requests that
/// cross on the way. A daemon's part of the fleet's is less than one mostly: it is then one for some daemons and none
/// for the others, drawn anew each second by the daemon and the target, and no daemon needs to hear of another.
/// \param perSecond What a cold target bears.
/// \param target Hash of its life.
[[nodiscard]] std::int64_t coldAllowance(ColdGiver giver, double perSecond, const FleetKnowledge &fleet,
                                         std::string_view vm, std::uint32_t target, core::Time now);

} // namespace spurlug::relay
