//----------------------------------------------------------------------------------------------------------------------
// spurlug: work in progress at a target
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>

namespace spurlug::targets
{

/// \brief Work in progress at a target: of one request, of one daemon, or of all.
struct Outstanding
{
    std::int64_t readMicros = 0; ///< Time to read the prompts of its own requests that are not read yet, us.
    std::int64_t partMicros = 0; ///< The same, of parts of prompts for other targets; read ahead of its own, us.
    std::int64_t requests = 0; ///< Requests that the target answers, read or generating.
    std::int64_t writers = 0; ///< Of these, requests that generate.
    std::int64_t tightRequests = 0; ///< Of `requests`, those that bear short pauses only.
    std::int64_t parts = 0; ///< Parts of prompts being read for other targets.
    std::int64_t memoryTokens = 0; ///< KV memory that the work can come to need.
    std::int64_t contextTokens = 0; ///< Of the requests that generate.

    Outstanding &operator+=(const Outstanding &other) noexcept;
    Outstanding &operator-=(const Outstanding &other) noexcept;
    Outstanding &operator*=(double factor) noexcept;
    [[nodiscard]] bool operator==(const Outstanding &) const = default;
};

/// \brief One daemon's work at one target, as it tells others.
struct TargetWork
{
    std::uint32_t target = 0; ///< relay::lifeHash of its life.
    Outstanding work;
    std::int64_t dueMicros = 0; ///< From the moment it is told until all of its reading should be done, us.
};

} // namespace spurlug::targets
