//----------------------------------------------------------------------------------------------------------------------
// spurlug: log of recent changes to the target list for daemons that follow this one
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

/// \brief Changes to the target list, each batch with the directory position that it leads to. A follower asks for the
/// changes since its own position and gets a few entries instead of the whole list.
class TargetChangeLog
{
public:
    /// \brief Clears the log after the whole list was read at a position.
    void reset(const DirectoryPosition &position);
    /// \brief Appends the changes up to a position.
    void add(const DirectoryPosition &position, std::vector<TargetChange> changes);

    /// \brief Position of the newest change or full list.
    [[nodiscard]] const DirectoryPosition &newest() const noexcept
    {
        return m_newest;
    }

    /// \brief All changes after a position; std::nullopt if the log does not reach back to it.
    [[nodiscard]] std::optional<std::vector<TargetChange>> since(const DirectoryPosition &position) const;

private:
    static constexpr std::size_t MaxBatches = 256; ///< Covers some minutes of a release.

    std::deque<std::pair<DirectoryPosition, std::vector<TargetChange>>> m_batches; ///< Oldest first.
    DirectoryPosition m_startPosition;
    DirectoryPosition m_newest;
};

} // namespace spurlug::relay
