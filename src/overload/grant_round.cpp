//----------------------------------------------------------------------------------------------------------------------
// spurlug: sequence of attempts to place the waiting requests
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/overload/grant_round.h"

namespace spurlug::overload
{

GrantRound::GrantRound(const std::vector<QueueItem> &items, FloorCredits *floors)
    : m_items(items)
    , m_floors(floors)
    , m_tried(items.size())
{
    if (m_floors != nullptr) {
        m_floors->beginRound(items);
    }
}

std::optional<std::size_t> GrantRound::nextOf(FloorGroup group)
{
    auto &position = m_groupPositions[static_cast<std::size_t>(group)];
    while (position < m_items.size() && (m_tried[position] || !m_floors->contains(group, m_items[position]))) {
        ++position;
    }
    return position < m_items.size() ? std::optional(position) : std::nullopt;
}

std::optional<std::size_t> GrantRound::next()
{
    if (m_floorGroup && !m_granted) {
        ++m_failedAttempts[static_cast<std::size_t>(*m_floorGroup)];
    }
    while (m_head < m_items.size() && m_tried[m_head]) {
        ++m_head;
    }
    if (m_head == m_items.size()) {
        return std::nullopt;
    }
    m_current = m_head;
    m_floorGroup.reset();
    m_granted = false;
    if (m_floors != nullptr) {
        for (const auto group : FloorCredits::Groups) {
            const auto failed = m_failedAttempts[static_cast<std::size_t>(group)];
            const auto best = m_floors->isDue(group) && failed < MaxFailedFloorAttempts ? nextOf(group) : std::nullopt;
            if (best) {
                m_current = *best;
                m_floorGroup = group;
                break;
            }
        }
    }
    m_tried[m_current] = true;
    return m_current;
}

bool GrantRound::isFloorAttempt() const noexcept
{
    return m_floorGroup.has_value();
}

void GrantRound::noteGrant() noexcept
{
    m_granted = true;
    if (m_floors != nullptr) {
        m_floors->noteGrant(m_items[m_current]);
    }
}

} // namespace spurlug::overload
