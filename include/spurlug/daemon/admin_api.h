//----------------------------------------------------------------------------------------------------------------------
// spurlug: what operators and their tools speak to
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

/// \brief What operators' questions act on; outlives the API.
struct AdminApiParts
{
    const Identity &identity;
    config::Store &store;
    membership::Fleet &fleet;
    targets::TargetTable &targets;
    explain::DecisionRing &decisions;
    metrics::Metrics &metrics;
    const DecisionFinder &finder;
    std::function<void()> setGauges; ///< Called before metrics are shown.
    std::function<void()> startDrain; ///< Begins a planned stop.
};

/// \brief `/healthz`, `/ready`, `/metrics`, `/status`, `/explain/ID`, `/decisions` and `/drain`.
class AdminApi
{
public:
    explicit AdminApi(AdminApiParts parts);

    /// \brief Adds the routes to a server.
    void configure(httplib::Server &server);

private:
    [[nodiscard]] nlohmann::ordered_json status() const;

    AdminApiParts m_parts;
};

} // namespace spurlug::daemon
