//----------------------------------------------------------------------------------------------------------------------
// spurlug: order of waiting requests, with engine time shared fairly between organisations
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/overload/fair_queue.h"

#include "spurlug/core/hash.h"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
#include <tuple>
#include <unordered_set>

namespace spurlug::overload
{

namespace
{

/// Requests of one class are equally urgent.
auto classOf(const QueueItem &item)
{
    const bool ahead = !item.late && item.returnsOnTime;
    return std::make_tuple(item.priority, item.late, !ahead, !item.shortGaps);
}

} // namespace

FairQueue::FairQueue(const settings::OverloadSettings &settings)
{
    for (const auto &[organisation, weight] : settings.weights) {
        m_weights[static_cast<std::uint32_t>(core::fastHash(organisation))] = weight;
    }
}

std::uint32_t FairQueue::entryOf(const QueueItem &item) const
{
    return m_startMs.contains(item.organisation) ? item.organisation : 0;
}

double FairQueue::virtualCostMs(const QueueItem &item) const
{
    const auto weight = m_weights.find(entryOf(item));
    return item.costMs / (weight == m_weights.end() ? 1 : weight->second);
}

void FairQueue::updateStartTimes(const std::vector<QueueItem> &items)
{
    std::unordered_set<std::uint32_t> waiting;
    for (const auto &item : items) {
        waiting.insert(item.organisation);
    }
    std::erase_if(m_startMs,
                  [&](const auto &known) { return !waiting.contains(known.first) && known.second <= m_virtualMs; });
    for (const auto &item : items) {
        const bool hasRoom = m_startMs.size() + (m_startMs.contains(0) ? 0 : 1) < MaxOrganisations;
        if (item.organisation == 0 || hasRoom) {
            m_startMs.try_emplace(item.organisation, m_virtualMs);
        } else if (!m_startMs.contains(item.organisation)) {
            m_startMs.try_emplace(0, m_virtualMs);
        }
    }
    auto leastMs = std::numeric_limits<double>::infinity();
    for (const auto &item : items) {
        leastMs = std::min(leastMs, m_startMs.at(entryOf(item)));
    }
    m_virtualMs = items.empty() ? m_virtualMs : std::max(m_virtualMs, leastMs);
}

std::vector<std::size_t> FairQueue::order(const std::vector<QueueItem> &items)
{
    updateStartTimes(items);
    std::vector<std::size_t> indices(items.size());
    std::iota(indices.begin(), indices.end(), 0);
    std::stable_sort(indices.begin(), indices.end(),
                     [&items](std::size_t left, std::size_t right) { return items[left].slack < items[right].slack; });
    // Requests of an organisation that are ahead in the same class count as granted, so that one round of grants
    // alternates between organisations.
    std::map<std::pair<decltype(classOf(items.front())), std::uint32_t>, double> nextStartMs;
    std::vector<double> startMs(items.size());
    for (const auto i : indices) {
        const auto organisation = entryOf(items[i]);
        auto &nextMs
            = nextStartMs.try_emplace({classOf(items[i]), organisation}, m_startMs.at(organisation)).first->second;
        startMs[i] = nextMs;
        nextMs += virtualCostMs(items[i]);
    }
    std::stable_sort(indices.begin(), indices.end(), [&](std::size_t left, std::size_t right) {
        return std::make_tuple(classOf(items[left]), startMs[left])
            < std::make_tuple(classOf(items[right]), startMs[right]);
    });
    return indices;
}

void FairQueue::noteGrant(const QueueItem &item)
{
    const auto known = m_startMs.find(entryOf(item));
    if (known != m_startMs.end()) {
        known->second += virtualCostMs(item);
    }
}

void FairQueue::reset() noexcept
{
    m_startMs.clear();
    m_virtualMs = 0;
}

std::vector<ShareExcess> FairQueue::excesses() const
{
    std::vector<ShareExcess> found;
    for (const auto &[organisation, startMs] : m_startMs) {
        if (startMs > m_virtualMs) {
            found.push_back({organisation, absl::Milliseconds(startMs - m_virtualMs)});
        }
    }
    std::sort(found.begin(), found.end(),
              [](const auto &left, const auto &right) { return left.excess > right.excess; });
    found.resize(std::min(found.size(), LoadView::MaxExcesses));
    return found;
}

} // namespace spurlug::overload
