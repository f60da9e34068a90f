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

/// \brief Changes of the list of targets by the directory's position up to which they go. A follower that asks for what
/// came since its own position gets a few entries instead of the whole list.
class TargetLog
{
public:
    /// \brief Forgets all changes: the whole list was read as of a position.
    void restart(const DirectoryPosition &position);
    /// \brief Adds the changes up to a position.
    void add(const DirectoryPosition &position, std::vector<TargetChange> changes);

    /// \brief Position of the newest change or list.
    [[nodiscard]] const DirectoryPosition &newest() const noexcept
    {
        return m_newest;
    }

    /// \brief All changes after a position; nothing when the log does not reach back to it.
    [[nodiscard]] std::optional<std::vector<TargetChange>> since(const DirectoryPosition &position) const;

private:
    static constexpr std::size_t MostBatches = 256; ///< Some minutes of a release.

    std::deque<std::pair<DirectoryPosition, std::vector<TargetChange>>> m_batches; ///< Oldest first.
    DirectoryPosition m_reachesBackTo;
    DirectoryPosition m_newest;
};

} // namespace spurlug::relay
