//----------------------------------------------------------------------------------------------------------------------
// spurlug: least share of the grants for less urgent requests
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/overload/queue_item.h"

#include <array>
#include <optional>
#include <vector>

namespace spurlug::overload
{

/// \brief Groups of requests that wait behind more urgent ones. A request may belong to several.
enum class FloorGroup
{
    LessUrgent, ///< A lower priority than the most urgent one that waits.
    LongGaps, ///< Behind short gaps.
    LateLongGaps, ///< Behind longer gaps that can be in time.
};

/// \brief Gives each group of less urgent requests a share of the grants while it waits.
///
/// Each grant to a more urgent request adds the share to the credit of the group; at 1 its best request is next. A
/// group saves up no more than one grant, and nothing while none of its requests waits. Late requests with short gaps
/// are in no group: they would only make others late.
class FloorCredits
{
public:
    /// \param share Share of the grants for each group, 0 to 0.5; 0 turns the floors off.
    explicit FloorCredits(double share);

    /// \brief Updates which groups wait. Groups without waiting requests lose their credit.
    void beginRound(const std::vector<QueueItem> &items);

    /// \brief Whether the next grant should go to the group.
    [[nodiscard]] bool isDue(FloorGroup group) const noexcept;

    /// \brief Whether a request belongs to a group.
    [[nodiscard]] bool contains(FloorGroup group, const QueueItem &item) const noexcept;

    /// \brief Updates the credits after a grant.
    void noteGrant(const QueueItem &item) noexcept;

    static constexpr std::array Groups{FloorGroup::LessUrgent, FloorGroup::LongGaps, FloorGroup::LateLongGaps};

private:
    struct Credit
    {
        double grants = 0;
        bool waiting = false; ///< Whether any request of the group waits.
    };

    /// Whether a request precedes those of the group in the order.
    [[nodiscard]] bool precedes(const QueueItem &item, FloorGroup group) const noexcept;

    double m_share;
    int m_mostUrgent = 0; ///< Priority of the most urgent waiting request.
    std::array<Credit, Groups.size()> m_credits; ///< By group.
};

} // namespace spurlug::overload
