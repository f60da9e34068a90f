//----------------------------------------------------------------------------------------------------------------------
// spurlug: rate limit for log lines of one kind
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

/// \brief Limits the lines of each kind per second and counts those over the limit.
class LogRateLimiter
{
public:
    explicit LogRateLimiter(std::int64_t maxPerSecond)
        : m_maxPerSecond(maxPerSecond)
    { }

    /// \brief Counts one line of `kind` against the limit.
    /// \param suppressed Set, when the line is allowed, to the lines of that kind suppressed since the last allowed
    /// one. \returns Whether the line may be written.
    [[nodiscard]] bool tryLog(std::string_view kind, Time now, std::int64_t &suppressed);

private:
    struct Kind
    {
        Time windowStart = absl::InfinitePast(); ///< Start of the current one-second window.
        std::int64_t lines = 0;
        std::int64_t suppressed = 0;
    };

    const std::int64_t m_maxPerSecond;
    std::map<std::string, Kind, std::less<>> m_kinds;
};

} // namespace spurlug::core
