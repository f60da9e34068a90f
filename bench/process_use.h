//----------------------------------------------------------------------------------------------------------------------
// spurlug: CPU time and memory of a process
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

namespace bench
{

/// \brief What the kernel says of a process.
struct ProcessUse
{
    double cpuSeconds = 0;
    double residentBytes = 0;
};

/// \brief Reads CPU time and resident memory of a running process.
[[nodiscard]] ProcessUse useOf(int pid);

} // namespace bench
