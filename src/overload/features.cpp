//----------------------------------------------------------------------------------------------------------------------
// spurlug: which features of overload control are active
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/overload/features.h"

namespace spurlug::overload
{

Features resolveFeatures(const settings::OverloadSettings &settings, const config::RouteTable *table)
{
    if (table == nullptr) {
        return {};
    }
    const bool contended = table->contended();
    const auto isActive = [contended](settings::FeatureMode mode) {
        return mode == settings::FeatureMode::On || (mode == settings::FeatureMode::Auto && contended);
    };
    return {isActive(settings.admission), isActive(settings.fairShares), isActive(settings.targetFeedback),
            isActive(settings.domainShift)};
}

} // namespace spurlug::overload
