//----------------------------------------------------------------------------------------------------------------------
// spurlug: the latest changes of the list of targets, for daemons that follow this one
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/relay/directory.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace spurlug::relay
{

/// \brief Changes of the list of targets by the directory's revision up to which they go. A follower that asks for what
/// came since its own revision gets a few entries instead of the whole list.
class TargetLog
{
public:
    /// \brief Forgets all changes: the whole list was read as of a revision.
    void restart(std::int64_t revision);
    /// \brief Adds the changes up to a revision.
    void add(std::int64_t revision, std::vector<TargetChange> changes);

    /// \brief Revision of the newest change or list; 0: none.
    [[nodiscard]] std::int64_t newest() const noexcept
    {
        return m_newest;
    }

    /// \brief All changes after a revision; nothing when the log does not reach back to it.
    [[nodiscard]] std::optional<std::vector<TargetChange>> since(std::int64_t revision) const;

private:
    static constexpr std::size_t MostBatches = 256; ///< Some minutes of a release.

    std::deque<std::pair<std::int64_t, std::vector<TargetChange>>> m_batches; ///< Oldest first.
    std::int64_t m_reachesBackTo = 0;
    std::int64_t m_newest = 0;
};

} // namespace spurlug::relay
