//----------------------------------------------------------------------------------------------------------------------
// spurlug: limits for the memory of requests and answers
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/memory_budgets.h"

#include <fstream>
#include <limits>
#include <unistd.h>

namespace spurlug::relay
{

namespace
{

/// Share of the process's memory for bodies of requests. The rest is for state, answers and buffers of sockets.
constexpr double BodyMemoryShare = 0.4;
constexpr double AnswerMemoryShare = 0.2;

std::int64_t shareOf(std::int64_t memory, double share) noexcept
{
    return memory > 0 ? static_cast<std::int64_t>(static_cast<double>(memory) * share)
                      : std::numeric_limits<std::int64_t>::max();
}

} // namespace

MemoryBudgets::MemoryBudgets(std::int64_t memory) noexcept
    : requestBodies(shareOf(memory, BodyMemoryShare))
    , answers(shareOf(memory, AnswerMemoryShare))
{ }

std::optional<std::int64_t> residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::int64_t totalPages = 0;
    std::int64_t residentPages = 0;
    if (!(file >> totalPages >> residentPages)) {
        return std::nullopt;
    }
    return residentPages * sysconf(_SC_PAGESIZE);
}

} // namespace spurlug::relay
