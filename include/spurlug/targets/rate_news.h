//----------------------------------------------------------------------------------------------------------------------
// spurlug: what daemons tell each other of the rates that targets take
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <cstdint>
#include <optional>

namespace spurlug::targets
{

/// \brief What a target said last of the rate that it takes from the whole fleet.
struct RateNews
{
    std::uint32_t target = 0; ///< relay::lifeHash of its life.
    std::optional<double> perSecond; ///< Nothing: it has no limit any more.
    core::Duration age = absl::ZeroDuration(); ///< Since it said so.
};

} // namespace spurlug::targets
