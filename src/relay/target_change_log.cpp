//----------------------------------------------------------------------------------------------------------------------
// spurlug: log of recent changes to the target list for daemons that follow this one
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/target_change_log.h"

namespace spurlug::relay
{

void TargetChangeLog::reset(const DirectoryPosition &position)
{
    m_batches.clear();
    m_startPosition = position;
    m_newest = position;
}

void TargetChangeLog::add(const DirectoryPosition &position, std::vector<TargetChange> changes)
{
    m_batches.emplace_back(position, std::move(changes));
    m_newest = position;
    if (m_batches.size() > MaxBatches) {
        m_startPosition = m_batches.front().first;
        m_batches.pop_front();
    }
}

std::optional<std::vector<TargetChange>> TargetChangeLog::since(const DirectoryPosition &position) const
{
    if (!position.isKnown() || position < m_startPosition) { // The log covers one directory era only.
        return std::nullopt;
    }
    std::vector<TargetChange> changes;
    for (const auto &[upTo, batch] : m_batches) {
        if (upTo > position) {
            changes.insert(changes.end(), batch.begin(), batch.end());
        }
    }
    return changes;
}

} // namespace spurlug::relay
