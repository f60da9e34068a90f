//----------------------------------------------------------------------------------------------------------------------
// spurlug: which life of a target is meant
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <string>

namespace spurlug::relay
{

/// \brief One life of a target, from a start of its process to its end. A target may start again under its id; it then
/// holds nothing of before, so whatever is believed of a target is believed of one life.
struct TargetLife
{
    std::string id;
    std::int64_t startMs = 0; ///< Unix time of the start by the target's own clock, ms; 0: the directory does not tell.

    [[nodiscard]] bool operator==(const TargetLife &) const = default;
};

/// \brief Number of a life in messages between daemons: no daemon applies to one life what another one said of an
/// earlier one. Of a life without a start it is targets::targetHash of the id.
[[nodiscard]] std::uint32_t lifeHash(const TargetLife &life) noexcept;

} // namespace spurlug::relay
