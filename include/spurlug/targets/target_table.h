//----------------------------------------------------------------------------------------------------------------------
// spurlug: what this daemon knows of every target
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

/// \brief When a failing target is left out, and for how long.
struct BreakerRule
{
    int failures = 3; ///< Failures in a row that eject a target.
    core::Duration firstEjection = absl::Seconds(2); ///< Doubles with each ejection in a row.
    core::Duration longestEjection = absl::Seconds(30);
};

/// \brief A target as routing sees it.
struct TargetView
{
    std::string id;
    core::Address address;
    std::string failureDomain;
    LoadReport report;
    core::Duration reportAge = absl::InfiniteDuration();
    std::int64_t ownTokens = 0; ///< Prefill tokens this daemon sent since the report that await their first token.
    std::int64_t ownStreams = 0; ///< Requests of this daemon in progress there.
    bool ejected = false; ///< Left out because it fails.
    core::Duration cooldownLeft = absl::ZeroDuration(); ///< Time in which it wants nothing from this daemon.
};

/// \brief Loads, dispatches since the last report, and failures of each target. Safe to use from several threads.
///
/// Lock order: `m_mutex` is a leaf; nothing is called while it is held.
class TargetTable
{
public:
    explicit TargetTable(BreakerRule rule = {});

    /// \name Commands
    /// @{

    /// \brief Takes the set of targets from a configuration; what is known of those that stay is kept.
    void configure(const config::Configuration &configuration) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Takes a report, unless a newer one is known.
    /// \param observedAt When the report was read from the target, by this daemon's clock.
    void report(std::uint32_t targetHash, const LoadReport &report, core::Time observedAt) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Notes that a request goes to a target.
    /// \param tokens Prefill tokens that the target has to work through.
    void dispatched(const std::string &id, const std::string &requestId, std::int64_t tokens, core::Time now)
        ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Notes that a request got its first token: its prefill is no longer waiting.
    void firstToken(const std::string &id, const std::string &requestId) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Notes the end of a request.
    /// \param targetFailed Whether the target, not the request or the caller, was at fault.
    void ended(const std::string &id, const std::string &requestId, bool targetFailed, core::Time now)
        ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Notes that a target turned a request away and wants nothing from this daemon for a while.
    void askedForCooldown(const std::string &id, core::Duration span, core::Time now) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// @}
    /// \name Queries
    /// @{

    /// \brief Views of some targets; those unknown are left out.
    [[nodiscard]] std::vector<TargetView> views(const std::vector<config::TargetSpec> &specs, core::Time now) const
        ABSL_LOCKS_EXCLUDED(m_mutex);

    /// @}

private:
    struct Dispatch
    {
        std::int64_t tokens = 0;
        core::Time at;
        bool prefilling = true;
    };
    struct Entry
    {
        config::TargetSpec spec;
        LoadReport report;
        core::Time observedAt = absl::InfinitePast();
        std::unordered_map<std::string, Dispatch> dispatches;
        int failures = 0;
        int ejections = 0;
        core::Time ejectedUntil = absl::InfinitePast();
        Cooldown cooldown;
    };

    [[nodiscard]] TargetView view(const Entry &entry, core::Time now) const;
    void noteFailure(Entry &entry, core::Time now) const;

    const BreakerRule m_rule;
    mutable absl::Mutex m_mutex;
    std::unordered_map<std::string, Entry> m_entries ABSL_GUARDED_BY(m_mutex);
    std::unordered_map<std::uint32_t, std::string> m_idByHash ABSL_GUARDED_BY(m_mutex);
};

/// \brief Number that stands for a target in heartbeats.
[[nodiscard]] std::uint32_t targetHash(std::string_view id) noexcept;

} // namespace spurlug::targets
