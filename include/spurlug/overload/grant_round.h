//----------------------------------------------------------------------------------------------------------------------
// spurlug: sequence of attempts to place the waiting requests
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/overload/floor_credits.h"
#include "spurlug/overload/queue_item.h"

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

namespace spurlug::overload
{

/// \brief One attempt for each waiting request, in their order except for requests of groups whose floor is due.
///
/// After `MaxFailedFloorAttempts` requests that were tried first and not granted, a group has no precedence for the
/// rest of the round.
class GrantRound
{
public:
    /// More than one, because a group's best request may fit nowhere; few, because each attempt costs some tens of us.
    static constexpr int MaxFailedFloorAttempts = 4;

    /// \param items Waiting requests in their order; must outlive the round.
    /// \param floors Null: the order is not changed.
    GrantRound(const std::vector<QueueItem> &items, FloorCredits *floors);

    /// \brief Index of the request to try next; std::nullopt at the end of the round.
    [[nodiscard]] std::optional<std::size_t> next();

    /// \brief Whether the current request precedes more urgent ones because of a floor.
    [[nodiscard]] bool isFloorAttempt() const noexcept;

    /// \brief Notes that the current request was granted.
    void noteGrant() noexcept;

private:
    [[nodiscard]] std::optional<std::size_t> nextOf(FloorGroup group);

    const std::vector<QueueItem> &m_items;
    FloorCredits *m_floors;
    std::vector<bool> m_tried;
    std::size_t m_head = 0; ///< First request that has not been tried.
    std::size_t m_current = 0;
    std::optional<FloorGroup> m_floorGroup; ///< Group whose floor made the current request precede others.
    bool m_granted = false; ///< Whether the current request was granted.
    std::array<int, FloorCredits::Groups.size()> m_failedAttempts{}; ///< By group.
    std::array<std::size_t, FloorCredits::Groups.size()>
        m_groupPositions{}; ///< Where the search of each group goes on.
};

} // namespace spurlug::overload
