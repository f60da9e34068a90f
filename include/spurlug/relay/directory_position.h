//----------------------------------------------------------------------------------------------------------------------
// spurlug: position in the history of the directory
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <tuple>

namespace spurlug::relay
{

/// \brief Position in the directory's history that a list or a change belongs to. Revisions increase within an era; a
/// directory that is restored from an older copy of itself starts a new era, in which revision numbers are reused. A
/// later era is newer, whatever its revisions.
struct DirectoryPosition
{
    std::int64_t era = 0;
    std::int64_t revision = 0; ///< 0: nothing has been read yet.

    [[nodiscard]] bool isKnown() const noexcept
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
