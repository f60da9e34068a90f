//----------------------------------------------------------------------------------------------------------------------
// spurlug: polling of the targets assigned to this daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/configuration.h"
#include "spurlug/core/periodic_thread.h"
#include "spurlug/core/worker_pool.h"
#include "spurlug/membership/fleet.h"
#include "spurlug/membership/heartbeat.h"
#include "spurlug/metrics/metrics.h"
#include "spurlug/targets/engine_control.h"
#include "spurlug/targets/target_table.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace spurlug::targets
{

/// \brief Polls the targets of this failure domain that rendezvous hashing assigns to this daemon.
///
/// The reports go into the target table and, through `ownLoads`, into the heartbeats.
class Observer
{
public:
    /// \brief Returns the configuration in force; null if there is none.
    using CurrentConfiguration = std::function<config::ConfigurationRef()>;

    /// \brief Starts polling.
    /// \param interval Time between the starts of two rounds.
    Observer(membership::Fleet &fleet, TargetTable &table, metrics::Metrics &metrics,
             CurrentConfiguration configuration, std::string failureDomain, core::Duration interval);
    ~Observer();
    Observer(const Observer &) = delete;
    Observer &operator=(const Observer &) = delete;

    /// \brief Latest loads of the targets that this daemon observes, with ages as of `now`.
    [[nodiscard]] std::vector<membership::ObservedLoad> ownLoads(core::Time now) const ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    struct ObservedTarget
    {
        LoadReport report;
        core::Time readAt;
    };
    using Readers = std::map<std::string, std::unique_ptr<LoadReader>>;

    core::Duration pollRound();
    void updateReaders(const std::vector<config::TargetSpec> &specs) ABSL_LOCKS_EXCLUDED(m_mutex);
    void poll(const std::string &id, LoadReader &reader) ABSL_LOCKS_EXCLUDED(m_mutex);
    [[nodiscard]] std::vector<config::TargetSpec> assignedTargets() const;

    membership::Fleet &m_fleet;
    TargetTable &m_table;
    metrics::Metrics &m_metrics;
    const CurrentConfiguration m_configuration;
    const std::string m_failureDomain;
    const core::Duration m_interval;
    mutable absl::Mutex m_mutex;
    std::map<std::string, ObservedTarget> m_observed ABSL_GUARDED_BY(m_mutex);
    Readers m_readers; ///< By id, of the targets assigned in the last round; used only by `pollRound`.
    core::WorkerPool m_pool;
    std::unique_ptr<core::PeriodicThread> m_poller;
};

} // namespace spurlug::targets
