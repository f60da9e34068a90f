//----------------------------------------------------------------------------------------------------------------------
// spurlug: order of waiting requests, with engine time shared fairly between organisations
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/overload/fair_queue.h"

#include "spurlug/core/hash.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <unordered_set>

namespace spurlug::overload
{

namespace
{

using Urgency = std::tuple<int, bool, bool, bool>;

Urgency urgencyOf(const QueueItem &item)
{
    const bool ahead = !item.late && item.returnsOnTime;
    return {item.priority, item.late, !ahead, !item.shortGaps};
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

void FairQueue::track(std::uint32_t organisation)
{
    const bool hasRoom = m_startMs.size() + (m_startMs.contains(0) ? 0 : 1) < MaxOrganisations;
    if (organisation == 0 || hasRoom) {
        m_startMs.try_emplace(organisation, m_virtualMs);
    } else if (!m_startMs.contains(organisation)) {
        m_startMs.try_emplace(0, m_virtualMs);
    }
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
        track(item.organisation);
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
    struct Entry
    {
        std::size_t index;
        Urgency urgency;
        core::Duration slack;
        double startMs;
    };
    std::vector<Entry> entries;
    entries.reserve(items.size());
    for (std::size_t i = 0; i < items.size(); ++i) {
        entries.push_back({i, urgencyOf(items[i]), items[i].slack, 0});
    }
    std::stable_sort(entries.begin(), entries.end(), [](const Entry &left, const Entry &right) {
        return std::tie(left.urgency, left.slack) < std::tie(right.urgency, right.slack);
    });
    // Requests of an organisation that are ahead and equally urgent count as granted, so that one round of grants
    // alternates between organisations.
    std::unordered_map<std::uint32_t, double> nextStartMs;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        if (i > 0 && entries[i].urgency != entries[i - 1].urgency) {
            nextStartMs.clear();
        }
        const auto &item = items[entries[i].index];
        const auto organisation = entryOf(item);
        auto &nextMs = nextStartMs.try_emplace(organisation, m_startMs.at(organisation)).first->second;
        entries[i].startMs = nextMs;
        nextMs += virtualCostMs(item);
    }
    std::stable_sort(entries.begin(), entries.end(), [](const Entry &left, const Entry &right) {
        return std::tie(left.urgency, left.startMs) < std::tie(right.urgency, right.startMs);
    });
    std::vector<std::size_t> indices;
    indices.reserve(entries.size());
    for (const auto &entry : entries) {
        indices.push_back(entry.index);
    }
    return indices;
}

void FairQueue::noteGrant(const QueueItem &item)
{
    track(item.organisation);
    m_startMs.at(entryOf(item)) += virtualCostMs(item);
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
