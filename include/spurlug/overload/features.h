//----------------------------------------------------------------------------------------------------------------------
// spurlug: which features of overload control are active
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/route_table.h"
#include "spurlug/settings/overload_settings.h"

namespace spurlug::overload
{

/// \brief Active features of overload control; all are off until the first configuration is known.
struct Features
{
    bool admission = false;
    bool fairShares = false;
    bool targetFeedback = false;
    bool domainShift = false;
};

/// \brief Resolves the modes of the settings with the configuration in force.
/// \param table Null if no configuration is known yet; then all features are off.
[[nodiscard]] Features resolveFeatures(const settings::OverloadSettings &settings, const config::RouteTable *table);

} // namespace spurlug::overload
