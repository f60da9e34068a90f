//----------------------------------------------------------------------------------------------------------------------
// spurlug: least share of the grants for less urgent requests
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/overload/floor_credits.h"

#include <algorithm>
#include <limits>

namespace spurlug::overload
{

namespace
{

/// Sums of shares such as 0.1 are slightly below the exact value.
constexpr double DueCredit = 1 - 1e-9;

} // namespace

FloorCredits::FloorCredits(double share)
    : m_share(share)
{ }

void FloorCredits::beginRound(const std::vector<QueueItem> &items)
{
    m_mostUrgent = std::numeric_limits<int>::max();
    for (const auto &item : items) {
        m_mostUrgent = std::min(m_mostUrgent, item.priority);
    }
    for (const auto group : Groups) {
        auto &credit = m_credits[static_cast<std::size_t>(group)];
        credit.waiting = std::any_of(items.begin(), items.end(),
                                     [this, group](const QueueItem &item) { return contains(group, item); });
        credit.grants = credit.waiting ? credit.grants : 0;
    }
}

bool FloorCredits::isDue(FloorGroup group) const noexcept
{
    const auto &credit = m_credits[static_cast<std::size_t>(group)];
    return credit.waiting && credit.grants >= DueCredit;
}

bool FloorCredits::contains(FloorGroup group, const QueueItem &item) const noexcept
{
    switch (group) {
    case FloorGroup::LessUrgent:
        return item.priority > m_mostUrgent && !(item.late && item.shortGaps);
    case FloorGroup::LongGaps:
        return !item.shortGaps;
    case FloorGroup::LateLongGaps:
        return !item.shortGaps && item.late;
    }
    return false;
}

bool FloorCredits::precedes(const QueueItem &item, FloorGroup group) const noexcept
{
    switch (group) {
    case FloorGroup::LessUrgent:
        return item.priority == m_mostUrgent;
    case FloorGroup::LongGaps:
        return item.shortGaps;
    case FloorGroup::LateLongGaps:
        return !item.late && !item.shortGaps;
    }
    return false;
}

void FloorCredits::noteGrant(const QueueItem &item) noexcept
{
    for (const auto group : Groups) {
        auto &credit = m_credits[static_cast<std::size_t>(group)];
        if (contains(group, item)) {
            credit.grants = std::max(credit.grants - 1, 0.0);
        } else if (credit.waiting && precedes(item, group)) {
            credit.grants = std::min(credit.grants + m_share, 1.0);
        }
    }
}

} // namespace spurlug::overload
