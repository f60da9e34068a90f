//----------------------------------------------------------------------------------------------------------------------
// spurlug: CPU time and memory of a process
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "process_use.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace bench
{

ProcessUse useOf(int pid)
{
    constexpr std::size_t UserTicks = 11; // Indexes of the fields of /proc/PID/stat that follow the name.
    constexpr std::size_t SystemTicks = 12;
    constexpr std::size_t ResidentPages = 21;
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(stat, line);
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::vector<std::string> all;
    for (std::string field; fields >> field;) {
        all.push_back(field);
    }
    const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
    return {(std::stod(all[UserTicks]) + std::stod(all[SystemTicks])) / ticks,
            std::stod(all[ResidentPages]) * static_cast<double>(sysconf(_SC_PAGESIZE))};
}

} // namespace bench
