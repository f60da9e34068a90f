//----------------------------------------------------------------------------------------------------------------------
// spurlug: CPU time and memory of a process
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "process_usage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace bench
{

ProcessUsage readProcessUsage(int pid)
{
    constexpr std::size_t UserTicksIndex = 11; // Indexes of the fields of /proc/PID/stat that follow the name.
    constexpr std::size_t SystemTicksIndex = 12;
    constexpr std::size_t ResidentPagesIndex = 21;
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(stat, line);
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::vector<std::string> values;
    for (std::string field; fields >> field;) {
        values.push_back(field);
    }
    const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
    return {(std::stod(values[UserTicksIndex]) + std::stod(values[SystemTicksIndex])) / ticks,
            std::stod(values[ResidentPagesIndex]) * static_cast<double>(sysconf(_SC_PAGESIZE))};
}

} // namespace bench
