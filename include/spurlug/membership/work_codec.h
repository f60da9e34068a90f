//----------------------------------------------------------------------------------------------------------------------
// spurlug: encoding of a daemon's work at a target and of rate limits
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/heartbeat.pb.h"
#include "spurlug/targets/outstanding.h"
#include "spurlug/targets/rate_report.h"

#include <cstdint>

namespace spurlug::membership
{

/// \brief Clamps a number to the range of an unsigned 32-bit field.
[[nodiscard]] std::uint32_t clampToUint32(std::int64_t value) noexcept;

void writeWork(const targets::TargetWork &work, wire::TargetWork &out);
[[nodiscard]] targets::TargetWork readWork(const wire::TargetWork &in);

void writeRate(const targets::RateReport &report, wire::RateNews &out);
[[nodiscard]] targets::RateReport readRate(const wire::RateNews &in);

} // namespace spurlug::membership
