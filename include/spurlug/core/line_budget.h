//----------------------------------------------------------------------------------------------------------------------
// spurlug: bounds how many lines of one kind are logged
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace spurlug::core
{

/// \brief At most so many lines of each kind in each second; the others are counted.
class LineBudget
{
public:
    explicit LineBudget(std::int64_t mostPerSecond)
        : m_mostPerSecond(mostPerSecond)
    { }

    /// \brief Takes one line of `kind`.
    /// \param suppressed Lines of that kind left out since the last one that was let through.
    /// \returns Whether it may be written.
    [[nodiscard]] bool take(std::string_view kind, Time now, std::int64_t &suppressed);

private:
    struct Kind
    {
        Time second = absl::InfinitePast(); ///< Begin of the second that is counted.
        std::int64_t lines = 0;
        std::int64_t suppressed = 0;
    };

    const std::int64_t m_mostPerSecond;
    std::map<std::string, Kind, std::less<>> m_kinds;
};

} // namespace spurlug::core
