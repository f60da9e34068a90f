//----------------------------------------------------------------------------------------------------------------------
// spurlug: the latest changes of the list of targets, for daemons that follow this one
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/target_log.h"

namespace spurlug::relay
{

void TargetLog::restart(std::int64_t revision)
{
    m_batches.clear();
    m_reachesBackTo = revision;
    m_newest = revision;
}

void TargetLog::add(std::int64_t revision, std::vector<TargetChange> changes)
{
    m_batches.emplace_back(revision, std::move(changes));
    m_newest = revision;
    if (m_batches.size() > MostBatches) {
        m_reachesBackTo = m_batches.front().first;
        m_batches.pop_front();
    }
}

std::optional<std::vector<TargetChange>> TargetLog::since(std::int64_t revision) const
{
    if (revision <= 0 || revision < m_reachesBackTo) {
        return std::nullopt;
    }
    std::vector<TargetChange> changes;
    for (const auto &[upTo, batch] : m_batches) {
        if (upTo > revision) {
            changes.insert(changes.end(), batch.begin(), batch.end());
        }
    }
    return changes;
}

} // namespace spurlug::relay
