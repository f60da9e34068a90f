//----------------------------------------------------------------------------------------------------------------------
// spurlug: load reports, dispatched requests and failures of the targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/configuration.h"
#include "spurlug/core/time.h"
#include "spurlug/targets/cooldown.h"
#include "spurlug/targets/load_report.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace spurlug::targets
{

/// \brief When a failing target is ejected, and for how long.
struct CircuitBreakerRule
{
    int failuresToEject = 3; ///< Consecutive failures that eject a target.
    core::Duration firstEjection = absl::Seconds(2); ///< Doubles with each consecutive ejection.
    core::Duration maxEjection = absl::Seconds(30); ///< Limit of the doubling.
};

/// \brief A target as routing sees it.
struct TargetView
{
    std::string id;
    core::Address address;
    std::string failureDomain;
    LoadReport report; ///< The latest one.
    core::Duration reportAge = absl::InfiniteDuration(); ///< Infinite if there is no report.
    /// Prefill tokens of requests that this daemon sent since the report and that await their first token.
    std::int64_t ownPrefillTokens = 0;
    std::int64_t ownStreams = 0; ///< Requests of this daemon in progress at the target.
    bool ejected = false; ///< Excluded because of failures.
    core::Duration cooldownLeft = absl::ZeroDuration(); ///< Remaining cooldown that it requested from this daemon.
};

/// \brief Load report, dispatched requests and failures of each target. Thread-safe.
///
/// Lock order: `m_mutex` is a leaf; no other lock is taken while it is held.
class TargetTable
{
public:
    explicit TargetTable(CircuitBreakerRule rule = {});

    /// \name Commands
    /// @{

    /// \brief Replaces the set of targets by that of a configuration; the state of remaining targets is kept.
    void configure(const config::Configuration &configuration) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Stores a load report, unless one as new or newer is known. Keeps the previous prefill rate if the report
    /// has none.
    /// \param observedAt When the report was read from the target, by this daemon's clock.
    void recordReport(std::uint32_t targetHash, const LoadReport &report, core::Time observedAt)
        ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Records that a request is sent to a target.
    /// \param tokens Prefill tokens that the target has to process.
    void recordDispatch(const std::string &id, const std::string &requestId, std::int64_t tokens, core::Time now)
        ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Records a request's first token: its prefill is complete.
    void recordFirstToken(const std::string &id, const std::string &requestId) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Records the end of a request.
    /// \param targetFailed Whether the target, not the request or the caller, was at fault.
    void recordEnd(const std::string &id, const std::string &requestId, bool targetFailed, core::Time now)
        ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Records that a target rejected a request and requested a cooldown from this daemon.
    void recordCooldown(const std::string &id, core::Duration duration, core::Time now) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// @}
    /// \name Queries
    /// @{

    /// \brief Views of the given targets; unknown ones are omitted.
    [[nodiscard]] std::vector<TargetView> views(const std::vector<config::TargetSpec> &specs, core::Time now) const
        ABSL_LOCKS_EXCLUDED(m_mutex);

    /// @}

private:
    struct Dispatch
    {
        std::int64_t tokens = 0;
        core::Time sentAt;
        bool prefilling = true;
    };
    struct Entry
    {
        config::TargetSpec spec;
        LoadReport report;
        core::Time observedAt = absl::InfinitePast();
        std::unordered_map<std::string, Dispatch> dispatches;
        int consecutiveFailures = 0;
        int consecutiveEjections = 0;
        core::Time ejectedUntil = absl::InfinitePast();
        Cooldown cooldown;
    };

    [[nodiscard]] TargetView viewOf(const Entry &entry, core::Time now) const;
    void recordFailure(Entry &entry, core::Time now) const;

    const CircuitBreakerRule m_rule;
    mutable absl::Mutex m_mutex;
    std::unordered_map<std::string, Entry> m_entries ABSL_GUARDED_BY(m_mutex);
    std::unordered_map<std::uint32_t, std::string> m_idByHash ABSL_GUARDED_BY(m_mutex);
};

/// \brief Hash that identifies a target in heartbeats.
[[nodiscard]] std::uint32_t targetHash(std::string_view id) noexcept;

} // namespace spurlug::targets
