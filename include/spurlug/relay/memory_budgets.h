//----------------------------------------------------------------------------------------------------------------------
// spurlug: limits for the memory of requests and answers
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/byte_budget.h"

#include <cstdint>
#include <optional>

namespace spurlug::relay
{

/// \brief Limits for what a daemon holds for its callers and targets.
struct MemoryBudgets
{
    /// \param memory Memory that the process may use, bytes; 0: not limited.
    explicit MemoryBudgets(std::int64_t memory) noexcept;

    core::ByteBudget requestBodies; ///< Bodies of requests in progress.
    core::ByteBudget answers; ///< Parts of answers that have arrived and are not passed on yet.
};

/// \brief Resident size of this process in bytes; nothing if the system does not tell it.
[[nodiscard]] std::optional<std::int64_t> residentBytes();

} // namespace spurlug::relay
