//----------------------------------------------------------------------------------------------------------------------
// spurlug: points in time and durations
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/time.h"

#include <ctime>

namespace spurlug::core
{

Time now() noexcept
{
    timespec spec{};
    clock_gettime(CLOCK_BOOTTIME, &spec);
    return absl::TimeFromTimespec(spec);
}

} // namespace spurlug::core
