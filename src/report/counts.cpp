//----------------------------------------------------------------------------------------------------------------------
// spurlug: named counts and their text form in reports
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/report/counts.h"

#include "spurlug/core/text.h"

namespace spurlug::report
{

std::string formatCounts(const Counts &counts)
{
    std::string text;
    for (const auto &[name, count] : counts) {
        core::append(text, " ", name, " ", count);
    }
    return text;
}

} // namespace spurlug::report
