//----------------------------------------------------------------------------------------------------------------------
// spurlug: what the coroutines of a relaying daemon share
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/route_table.h"
#include "spurlug/control/roster.h"
#include "spurlug/core/reason.h"
#include "spurlug/metrics/metrics.h"
#include "spurlug/net/io.h"
#include "spurlug/relay/crash_ledger.h"
#include "spurlug/relay/domain_links.h"
#include "spurlug/relay/evacuations.h"
#include "spurlug/relay/freshness.h"
#include "spurlug/relay/placement.h"
#include "spurlug/relay/retry_ledger.h"
#include "spurlug/relay/target_log.h"
#include "spurlug/relay/target_set.h"
#include "spurlug/settings/relay_settings.h"

#include <cstdint>
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

/// \brief State of the daemon. Used on the loop's thread only, so it needs no lock; nothing keeps a reference into its
/// tables across a suspension, but counted ones.
struct RelayContext
{
    RelayContext(net::Loop &loop, const settings::RelaySettings &settings, metrics::Metrics &metrics,
                 core::Time startedAt = core::now());

    net::Loop &loop;
    const settings::RelaySettings &settings;
    metrics::Metrics &metrics;
    config::RouteTableRef table; ///< Null until the first configuration was read.
    std::string document; ///< The table's source, for peers.
    std::unordered_map<std::string, config::ShortestPauses> pauses; ///< By service, of the table in force.
    Freshness configurationProof;
    core::Time proofTriedAt = absl::InfinitePast(); ///< When an attempt to renew the proof ended last, however it did.
    core::Time configurationHeardAt = absl::InfinitePast(); ///< When the directory last answered for the configuration.
    core::Time targetsKnownAt = absl::InfinitePast(); ///< When the list of targets was known to be the newest.
    core::Time targetsHeardAt = absl::InfinitePast(); ///< When the directory last answered for the targets.
    DirectoryPosition targetsPosition; ///< What the list of targets is as of.
    TargetLog targetLog; ///< How the list came to be what it is.
    TargetSet targets;
    Evacuations evacuations;
    core::Time evacuationsHeardAt = absl::InfinitePast(); ///< When the directory last answered for them.
    DomainLinks links;
    RetryLedger retries;
    CrashLedger crashes;
    EjectionRule ejection;
    std::mt19937_64 random;
    control::Roster roster; ///< Daemons that live.
    control::SchedulerClient *scheduling = nullptr; ///< Null: this daemon decides alone.
    control::CrashExchange *crashExchange = nullptr; ///< Null: nobody is told of `crashes`.
    bool isolated = false; ///< No daemon answers this one's questions.
    std::size_t daemons = 1; ///< Daemons that live, this one included.
    /// Most daemons of this one's failure domain that it, or any of them that it heard, ever knew of at once.
    std::size_t largestDomain = 1;
    const core::Time startedAt;
    bool draining = false;
    core::Time drainingSince = absl::InfiniteFuture();
    std::int64_t inProgress = 0; ///< Requests that were read and are not answered.
    std::uint64_t reservations = 0; ///< Numbers the reservations of this life.
    std::size_t directoryCallers = 1; ///< Daemons that call the directory as this one does.

    /// \brief What this daemon knows of its fleet: its part of the slack of repeated sends follows from it.
    [[nodiscard]] FleetKnowledge fleetKnowledge(core::Time now) const;

    /// \brief Whether keys can be checked: the configuration was known to be the newest not long ago.
    [[nodiscard]] bool keysAreFresh(core::Time now) const;

    /// \brief Whether what a request was refused for want of may come within moments, so that it is worth waiting for.
    /// \param lacking NotReady: the first configuration; StaleConfiguration: a newer proof; of others nothing comes.
    [[nodiscard]] bool knowledgeMayComeSoon(core::Reason lacking, core::Time now) const;

    /// \brief Whether a newer proof may come within moments: nothing is known against it, only this process did not
    /// run.
    [[nodiscard]] bool proofMayComeSoon(core::Time now) const;

    /// \brief When the directory last answered this daemon for all that it is asked for: waits for targets are longer
    /// than those for the configuration.
    [[nodiscard]] core::Time directoryHeardAt() const;

    /// \brief Takes a configuration that is newer than the one in force.
    /// \param from Where it came from, for logs.
    void adopt(config::RouteTableRef newer, std::string source, std::string_view from, core::Time now);
};

} // namespace spurlug::relay
