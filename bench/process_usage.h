//----------------------------------------------------------------------------------------------------------------------
// spurlug: CPU time and memory of a process
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

namespace bench
{

/// \brief CPU time and memory of a process as reported by the kernel.
struct ProcessUsage
{
    double cpuSeconds = 0; ///< User and system time.
    double residentBytes = 0;
};

/// \brief Reads CPU time and resident memory of a running process.
[[nodiscard]] ProcessUsage readProcessUsage(int pid);

} // namespace bench
