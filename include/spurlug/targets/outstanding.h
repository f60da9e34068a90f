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
    std::int64_t readTokens = 0; ///< Prompt tokens of its own requests that are not read yet.
    std::int64_t requests = 0; ///< Requests that the target answers, read or generating.
    std::int64_t writers = 0; ///< Of these, requests that generate.
    std::int64_t parts = 0; ///< Parts of prompts read for other targets.
    std::int64_t partTokens = 0; ///< Prompt tokens of such parts that are not read yet; read ahead of `readTokens`.
    std::int64_t memoryTokens = 0; ///< KV memory that the work can come to need.
    std::int64_t contextTokens = 0; ///< Of the requests that generate.

    Outstanding &operator+=(const Outstanding &other) noexcept;
    Outstanding &operator-=(const Outstanding &other) noexcept;
    [[nodiscard]] bool operator==(const Outstanding &) const = default;
};

/// \brief One daemon's work at one target, as its heartbeats tell it.
struct TargetWork
{
    std::uint32_t target = 0; ///< targets::targetHash of its id.
    Outstanding work;
};

} // namespace spurlug::targets
