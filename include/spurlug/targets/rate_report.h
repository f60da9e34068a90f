//----------------------------------------------------------------------------------------------------------------------
// spurlug: request rate limits of targets, as exchanged between daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <cstdint>
#include <optional>

namespace spurlug::targets
{

/// \brief Request rate limit that a target last announced for the whole fleet.
struct RateReport
{
    std::uint32_t target = 0; ///< relay::incarnationHash of the target.
    std::optional<double> perSecond; ///< Requests per second; empty if the limit was lifted.
    core::Duration age = absl::ZeroDuration(); ///< Time since the announcement.
};

} // namespace spurlug::targets
