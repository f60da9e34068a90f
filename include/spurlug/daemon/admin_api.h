//----------------------------------------------------------------------------------------------------------------------
// spurlug: HTTP API for operators and their tools
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/store.h"
#include "spurlug/daemon/decision_finder.h"
#include "spurlug/daemon/identity.h"
#include "spurlug/explain/decision_ring.h"
#include "spurlug/fwd.h"
#include "spurlug/membership/fleet.h"
#include "spurlug/metrics/metrics.h"
#include "spurlug/targets/target_table.h"

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace spurlug::daemon
{

/// \brief Components that the admin API uses; all must outlive it.
struct AdminApiComponents
{
    const Identity &identity;
    config::Store &store;
    membership::Fleet &fleet;
    targets::TargetTable &targets;
    explain::DecisionRing &decisions;
    metrics::Metrics &metrics;
    const DecisionFinder &finder;
    std::function<void()> updateGauges; ///< Updates the gauges before metrics are returned.
    std::function<void()> startDrain; ///< Starts a planned shutdown.
};

/// \brief Serves `/healthz`, `/ready`, `/metrics`, `/status`, `/explain/ID`, `/decisions` and `/drain`.
class AdminApi
{
public:
    explicit AdminApi(AdminApiComponents components);

    /// \brief Adds the routes to `server`.
    void configure(httplib::Server &server);

private:
    [[nodiscard]] nlohmann::ordered_json status() const;

    AdminApiComponents m_components;
};

} // namespace spurlug::daemon
