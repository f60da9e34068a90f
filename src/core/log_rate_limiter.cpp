//----------------------------------------------------------------------------------------------------------------------
// spurlug: rate limit for log lines of one kind
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/log_rate_limiter.h"

#include <utility>

namespace spurlug::core
{

bool LogRateLimiter::tryLog(std::string_view kind, Time now, std::int64_t &suppressed)
{
    auto found = m_kinds.find(kind);
    if (found == m_kinds.end()) {
        found = m_kinds.emplace(std::string(kind), Kind{}).first;
    }
    auto &counts = found->second;
    if (now - counts.windowStart >= absl::Seconds(1)) {
        counts.windowStart = now;
        counts.lines = 0;
    }
    if (counts.lines >= m_maxPerSecond) {
        ++counts.suppressed;
        return false;
    }
    ++counts.lines;
    suppressed = std::exchange(counts.suppressed, 0);
    return true;
}

} // namespace spurlug::core
