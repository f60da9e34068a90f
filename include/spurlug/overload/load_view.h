//----------------------------------------------------------------------------------------------------------------------
// spurlug: the scheduler's view of the load, for daemons that have to decide without it
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <array>
#include <cstdint>
#include <vector>

namespace spurlug::overload
{

/// \brief Kinds of prompts that wait separately: streams that tolerate only short gaps, and all others.
enum class Kind
{
    ShortGaps,
    LongGaps,
};

inline constexpr std::size_t KindCount = 2;

/// \brief Backlog of one kind of prompts at the scheduler.
struct KindLoad
{
    std::uint32_t waiting = 0; ///< Requests without an engine.
    core::Duration expectedWait = absl::ZeroDuration(); ///< Until a request that arrives now gets an engine.
    /// Rate at which the backlog drains: requests/s (short gaps), engine ms of prefill per second (long gaps); 0 if it
    /// is not known.
    double drainPerSecond = 0;
};

/// \brief An organisation that used more engine time than its share.
struct ShareExcess
{
    std::uint32_t organisation = 0; ///< Hash of its name.
    core::Duration excess = absl::ZeroDuration(); ///< Engine time beyond its share.
};

/// \brief What the scheduler knows about the load of the whole fleet.
struct LoadView
{
    static constexpr std::size_t MaxExcesses = 8; ///< Bounds the size of a message.
    static constexpr std::size_t MaxBytes = 96; ///< Maximum size of an encoded view.

    std::uint64_t schedulerStart = 0; ///< Increases with each start of a scheduler; 0: no view.
    std::uint32_t number = 0; ///< Increases with each view of one scheduler.
    std::array<KindLoad, KindCount> kinds; ///< By overload::Kind.
    std::uint32_t daemons = 0; ///< Live daemons, as counted by the scheduler.
    std::vector<ShareExcess> excesses; ///< At most `MaxExcesses`.
    core::Duration age = absl::ZeroDuration(); ///< As of sending.
};

} // namespace spurlug::overload
