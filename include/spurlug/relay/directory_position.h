//----------------------------------------------------------------------------------------------------------------------
// spurlug: a moment in the history of a directory that may lose a part of it
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <tuple>

namespace spurlug::relay
{

/// \brief What a list or a change is as of. Revisions rise within an era; a directory that comes back from an older
/// copy of itself begins a new era, in which revisions are given out again. A later era is newer, whatever its
/// revisions.
struct DirectoryPosition
{
    std::int64_t era = 0;
    std::int64_t revision = 0; ///< 0: nothing was read yet.

    [[nodiscard]] bool known() const noexcept
    {
        return revision > 0;
    }

    friend bool operator==(const DirectoryPosition &left, const DirectoryPosition &right) = default;

    friend bool operator<(const DirectoryPosition &left, const DirectoryPosition &right) noexcept
    {
        return std::tie(left.era, left.revision) < std::tie(right.era, right.revision);
    }

    friend bool operator>(const DirectoryPosition &left, const DirectoryPosition &right) noexcept
    {
        return right < left;
    }

    friend bool operator<=(const DirectoryPosition &left, const DirectoryPosition &right) noexcept
    {
        return !(right < left);
    }

    friend bool operator>=(const DirectoryPosition &left, const DirectoryPosition &right) noexcept
    {
        return !(left < right);
    }
};

} // namespace spurlug::relay
