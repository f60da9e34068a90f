//----------------------------------------------------------------------------------------------------------------------
// spurlug: settings of overload control
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/enum_names.h"
#include "spurlug/core/time.h"

#include <map>
#include <string>

namespace spurlug::settings
{

/// \brief When a feature is active.
enum class FeatureMode
{
    Auto, ///< If the configuration shows that the engines have no reserve, see config::RouteTable::contended.
    On,
    Off,
};

/// \brief Features that decide under contention, and what an operator may change about them.
struct OverloadSettings
{
    FeatureMode admission = FeatureMode::Auto; ///< Admission by predicted time, and `Retry-After` from the backlog.
    FeatureMode fairShares = FeatureMode::Auto; ///< Engine time shared fairly between organisations.
    FeatureMode targetFeedback = FeatureMode::Auto; ///< Observed speed of targets, ejection by all daemons' evidence.
    FeatureMode domainShift = FeatureMode::Auto; ///< Plain targets of other failure domains, gradual moves.
    std::map<std::string, double> weights; ///< By organisation; those that are not named have weight 1.
    /// Share of the grants that go to less urgent requests while more urgent ones wait.
    double floorShare = 0.1;
    core::Duration viewMaxAge = absl::Seconds(3); ///< Age from which a load view is not used.
};

} // namespace spurlug::settings

namespace spurlug::core
{

template<>
struct EnumNames<settings::FeatureMode>
{
    using Mode = settings::FeatureMode;
    static constexpr std::array table{
        EnumName<Mode>{Mode::Auto, "auto"},
        EnumName<Mode>{Mode::On, "on"},
        EnumName<Mode>{Mode::Off, "off"},
    };
};

} // namespace spurlug::core
