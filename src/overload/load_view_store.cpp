//----------------------------------------------------------------------------------------------------------------------
// spurlug: the newest load view that this daemon knows
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/overload/load_view_store.h"

#include <algorithm>
#include <cmath>

namespace spurlug::overload
{

namespace
{

/// Wall clocks of VMs may differ by seconds; a later start than this would outrank all schedulers to come.
constexpr auto MaxClockDifference = absl::Minutes(1);

bool isPossibleDuration(core::Duration duration) noexcept
{
    return duration >= absl::ZeroDuration() && duration < absl::InfiniteDuration();
}

bool isPossibleLoad(const KindLoad &load) noexcept
{
    return std::isfinite(load.drainPerSecond) && load.drainPerSecond >= 0 && isPossibleDuration(load.expectedWait);
}

} // namespace

LoadViewStore::LoadViewStore(core::Duration maxAge) noexcept
    : m_maxAge(maxAge)
{ }

bool LoadViewStore::isPossible(const LoadView &view, core::Time wallTime) const
{
    const auto latestStart = static_cast<std::uint64_t>(absl::ToUnixNanos(wallTime + MaxClockDifference));
    return view.schedulerStart > 0 && view.schedulerStart <= latestStart && view.number > 0 && view.daemons > 0
        && view.age >= absl::ZeroDuration() && view.age < m_maxAge && view.excesses.size() <= LoadView::MaxExcesses
        && std::all_of(view.kinds.begin(), view.kinds.end(), isPossibleLoad)
        && std::all_of(view.excesses.begin(), view.excesses.end(),
                       [](const ShareExcess &excess) { return isPossibleDuration(excess.excess); });
}

ViewVerdict LoadViewStore::accept(const LoadView &view, core::Time now, core::Time wallTime)
{
    if (!isPossible(view, wallTime)) {
        return ViewVerdict::Impossible;
    }
    const bool hasCurrent = m_view && now - m_publishedAt < m_maxAge;
    if (hasCurrent && view.schedulerStart < m_view->schedulerStart) {
        return ViewVerdict::Outdated;
    }
    if (hasCurrent && view.schedulerStart == m_view->schedulerStart && view.number <= m_view->number) {
        return ViewVerdict::Known;
    }
    m_view = view;
    m_publishedAt = now - view.age;
    return ViewVerdict::Accepted;
}

std::optional<LoadView> LoadViewStore::newest(core::Time now) const
{
    if (!m_view || now - m_publishedAt >= m_maxAge) {
        return std::nullopt;
    }
    auto view = *m_view;
    view.age = std::max(now - m_publishedAt, absl::ZeroDuration());
    return view;
}

} // namespace spurlug::overload
