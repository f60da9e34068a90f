//----------------------------------------------------------------------------------------------------------------------
// spurlug: state shared by the coroutines of a relay daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/route_table.h"
#include "spurlug/control/roster.h"
#include "spurlug/core/log_rate_limiter.h"
#include "spurlug/core/reason.h"
#include "spurlug/metrics/metrics.h"
#include "spurlug/net/io.h"
#include "spurlug/overload/domain_shares.h"
#include "spurlug/overload/engine_ramps.h"
#include "spurlug/overload/features.h"
#include "spurlug/overload/load_view_store.h"
#include "spurlug/overload/local_admission.h"
#include "spurlug/relay/active_request.h"
#include "spurlug/relay/crash_tracker.h"
#include "spurlug/relay/domain_links.h"
#include "spurlug/relay/evacuations.h"
#include "spurlug/relay/fleet_retry_budget.h"
#include "spurlug/relay/freshness.h"
#include "spurlug/relay/memory_budgets.h"
#include "spurlug/relay/placement.h"
#include "spurlug/relay/shutdown.h"
#include "spurlug/relay/target_change_log.h"
#include "spurlug/relay/target_set.h"
#include "spurlug/relay/target_speed.h"
#include "spurlug/settings/relay_settings.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <unordered_map>

namespace spurlug::control
{
class CrashExchange;
class SchedulerClient;
} // namespace spurlug::control

namespace spurlug::relay
{

class TargetConnector;

/// \brief State of the daemon. Used on the loop's thread only, so it needs no lock. Coroutines must not hold references
/// into its tables across a suspension point, except reference-counted ones.
struct RelayContext
{
    RelayContext(net::Loop &loop, const settings::RelaySettings &settings, metrics::Metrics &metrics,
                 core::Time startedAt = core::now());

    net::Loop &loop;
    const settings::RelaySettings &settings;
    metrics::Metrics &metrics;
    MemoryBudgets memory;
    config::RouteTableRef table; ///< Null until the first configuration has been read.
    std::string document; ///< Source text of the table, for peers.
    std::unordered_map<std::string, config::GapObjectives> pauses; ///< By service, from the current table.
    Freshness configurationFreshness;
    /// When the last attempt to confirm the configuration ended, whether it succeeded or not.
    core::Time confirmationTriedAt = absl::InfinitePast();
    /// When the directory last answered a configuration request.
    core::Time configurationAnsweredAt = absl::InfinitePast();
    /// Last time at which the list of targets was known to be the newest.
    core::Time targetsConfirmedAt = absl::InfinitePast();
    core::Time targetsAnsweredAt = absl::InfinitePast(); ///< When the directory last answered a targets request.
    DirectoryPosition targetsPosition; ///< Directory position of the list of targets.
    TargetChangeLog targetLog; ///< Recent changes of the list of targets.
    TargetSet targets;
    std::unordered_map<std::string, ServiceSpeed> speeds; ///< By service.
    std::unordered_map<std::string, AnswerTimeMean> answerTimes; ///< By plain service.
    Evacuations evacuations;
    core::Time evacuationsAnsweredAt
        = absl::InfinitePast(); ///< When the directory last answered an evacuations request.
    DomainLinks links;
    FleetRetryBudget retries;
    CrashTracker crashes;
    EjectionPolicy ejection; ///< Updated with each configuration.
    std::mt19937_64 random;
    control::Roster roster; ///< Live daemons.
    control::SchedulerClient *schedulerClient = nullptr; ///< Null: this daemon places requests without a scheduler.
    TargetConnector *connector = nullptr; ///< Set by the daemon before it serves requests.
    control::CrashExchange *crashExchange = nullptr; ///< Null: `crashes` is not shared with other daemons.
    bool isolated = false; ///< Whether no daemon answers this one's questions.
    std::size_t daemonCount = 1; ///< Live daemons, including this one; at least the number of seeds.
    /// Largest number of daemons of this one's failure domain that this daemon, or one whose heartbeats it received,
    /// ever knew at the same time.
    std::size_t largestDomainSize = 1;
    /// Live daemons of each failure domain, including this one; counts of other domains are up to 7 s old.
    std::map<std::string, std::size_t> domainSizes;
    std::map<std::string, overload::DomainShares> domainShares; ///< By plain service; used with `domainShift`.
    std::map<std::string, overload::EngineRamps> engineRamps; ///< By service; used with `domainShift`.
    core::LogRateLimiter shareChangeLog{1}; ///< Limits `domain_share_changed`, by failure domain.
    overload::LoadViewStore loadViews;
    overload::LocalAdmission localAdmission;
    const core::Time startedAt;
    Shutdown shutdown;
    std::int64_t requestsInProgress = 0; ///< Requests that have been read and not yet answered.
    ActiveRequests activeRequests; ///< The same requests.
    std::int64_t openTunnels = 0; ///< Tunnels to targets that this daemon serves for peers.
    std::uint64_t reservationCounter = 0; ///< Counter for reservation ids, from the start of this process.
    std::size_t directoryReaders = 1; ///< Estimated number of daemons that read the directory, including this one.

    /// \brief What this daemon knows about its fleet. Its share of the fleet-wide retry budget is computed from this.
    [[nodiscard]] FleetView fleetView(core::Time now) const;

    /// \brief Features of overload control that settings and configuration activate.
    [[nodiscard]] const overload::Features &features() const noexcept
    {
        return m_features;
    }

    /// \brief Stores a load view that another daemon sent, and counts it; ignores it while admission is not active.
    void takeLoadView(const overload::LoadView &view, core::Time now);

    /// \brief Whether keys can be checked: the configuration was recently known to be the newest, or checks fail open.
    [[nodiscard]] bool canCheckKeys(core::Time now) const;

    /// \brief Whether the information whose absence caused the rejection of a request may arrive shortly, so that the
    /// request is worth holding.
    /// \param rejectionReason Reason for the rejection. NotReady waits for the first configuration, StaleConfiguration
    /// for a newer confirmation; the result is false for all others.
    [[nodiscard]] bool missingDataExpectedSoon(core::Reason rejectionReason, core::Time now) const;

    /// \brief Whether a newer confirmation of the configuration may arrive shortly: this daemon isn't isolated, and the
    /// last one is old only because this process didn't run.
    [[nodiscard]] bool confirmationExpectedSoon(core::Time now) const;

    /// \brief When the directory last answered for everything that this daemon reads from it. Allows for the longer
    /// waits for targets and evacuations.
    [[nodiscard]] core::Time directoryAnsweredAt() const;

    /// \brief Activates a configuration; ignores it unless it is newer than the current one.
    /// \param from Source of the configuration, for logs.
    void activateConfiguration(config::RouteTableRef newer, std::string sourceText, std::string_view from,
                               core::Time now);

private:
    overload::Features m_features; ///< Updated with each configuration.
};

} // namespace spurlug::relay
