//----------------------------------------------------------------------------------------------------------------------
// spurlug: a daemon's work at a target, and the rate that it takes, on the wire
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/heartbeat.pb.h"
#include "spurlug/targets/outstanding.h"
#include "spurlug/targets/rate_news.h"

#include <cstdint>

namespace spurlug::membership
{

/// \brief A number as 32-bit fields carry it: what does not fit becomes the nearest number that does.
[[nodiscard]] std::uint32_t clamp32(std::int64_t value) noexcept;

void writeWork(const targets::TargetWork &work, wire::TargetWork &out);
[[nodiscard]] targets::TargetWork readWork(const wire::TargetWork &in);

void writeRate(const targets::RateNews &news, wire::RateNews &out);
[[nodiscard]] targets::RateNews readRate(const wire::RateNews &in);

} // namespace spurlug::membership
