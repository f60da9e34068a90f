//----------------------------------------------------------------------------------------------------------------------
// spurlug: identity of one incarnation of a target
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <string>

namespace spurlug::relay
{

/// \brief One incarnation of a target, from the start of its process to its end. A target may restart under the same id
/// and then has no earlier state, so all knowledge about a target refers to one incarnation.
struct TargetIncarnation
{
    std::string id;
    /// Unix time of the start by the target's own clock, ms; 0 if the directory does not report it.
    std::int64_t startMs = 0;

    [[nodiscard]] bool operator==(const TargetIncarnation &) const = default;
};

/// \brief Identifies an incarnation in messages between daemons, so that a statement about an earlier incarnation is
/// not applied to a later one. Without a start time it equals targets::targetHash of the id.
[[nodiscard]] std::uint32_t incarnationHash(const TargetIncarnation &incarnation) noexcept;

} // namespace spurlug::relay
