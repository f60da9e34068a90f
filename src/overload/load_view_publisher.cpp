//----------------------------------------------------------------------------------------------------------------------
// spurlug: load views for the replies of a scheduler
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/overload/load_view_publisher.h"

#include <algorithm>

namespace spurlug::overload
{

LoadViewPublisher::LoadViewPublisher(std::uint64_t schedulerStart) noexcept
    : m_schedulerStart(schedulerStart)
{ }

bool LoadViewPublisher::isDue(const std::string &vm, core::Time now) const
{
    const auto known = m_publishedAt.find(vm);
    return known == m_publishedAt.end() || now - known->second >= MinInterval;
}

std::optional<LoadView> LoadViewPublisher::publish(const std::string &vm, const std::array<KindLoad, KindCount> &kinds,
                                                   std::size_t daemons, std::vector<ShareExcess> excesses,
                                                   core::Time now)
{
    if (!isDue(vm, now)) {
        return std::nullopt;
    }
    if (!m_publishedAt.contains(vm) && m_publishedAt.size() >= MaxDaemons) {
        std::erase_if(m_publishedAt, [now](const auto &item) { return now - item.second >= MinInterval; });
        if (m_publishedAt.size() >= MaxDaemons) {
            return std::nullopt;
        }
    }
    m_publishedAt[vm] = now;
    std::sort(excesses.begin(), excesses.end(),
              [](const ShareExcess &left, const ShareExcess &right) { return left.excess > right.excess; });
    excesses.resize(std::min(excesses.size(), LoadView::MaxExcesses));
    LoadView view;
    view.schedulerStart = m_schedulerStart;
    view.number = ++m_number;
    view.kinds = kinds;
    view.daemons = static_cast<std::uint32_t>(std::clamp<std::size_t>(daemons, 1, UINT32_MAX));
    view.excesses = std::move(excesses);
    return view;
}

} // namespace spurlug::overload
