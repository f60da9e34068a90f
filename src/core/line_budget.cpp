//----------------------------------------------------------------------------------------------------------------------
// spurlug: rate limit for log lines of one kind
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/line_budget.h"

#include <utility>

namespace spurlug::core
{

bool LineBudget::take(std::string_view kind, Time now, std::int64_t &suppressed)
{
    auto found = m_kinds.find(kind);
    if (found == m_kinds.end()) {
        found = m_kinds.emplace(std::string(kind), Kind{}).first;
    }
    auto &counts = found->second;
    if (now - counts.second >= absl::Seconds(1)) {
        counts.second = now;
        counts.lines = 0;
    }
    if (counts.lines >= m_mostPerSecond) {
        ++counts.suppressed;
        return false;
    }
    ++counts.lines;
    suppressed = std::exchange(counts.suppressed, 0);
    return true;
}

} // namespace spurlug::core
