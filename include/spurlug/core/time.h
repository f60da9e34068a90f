//----------------------------------------------------------------------------------------------------------------------
// spurlug: points in time and durations
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <absl/time/time.h>
#include <cstdint>

namespace spurlug::core
{

/// \brief A point in time. Code that makes decisions takes it as an argument and never reads a clock.
using Time = absl::Time;

using Duration = absl::Duration;

/// \brief The current time of this VM, since its boot (CLOCK_BOOTTIME).
///
/// The clock keeps running while the VM is suspended, so that a lease does not seem younger than it is after a pause.
/// It is not comparable between VMs: messages carry ages, never points in time.
[[nodiscard]] Time now() noexcept;

/// \brief Converts a duration to whole milliseconds, rounded towards zero.
[[nodiscard]] inline std::int64_t toMs(Duration span) noexcept
{
    return absl::ToInt64Milliseconds(span);
}

/// \brief A duration of `ms` milliseconds.
[[nodiscard]] inline Duration fromMs(std::int64_t ms) noexcept
{
    return absl::Milliseconds(ms);
}

} // namespace spurlug::core
