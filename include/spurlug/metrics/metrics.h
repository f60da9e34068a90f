//----------------------------------------------------------------------------------------------------------------------
// spurlug: counters, gauges and timers of a daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/reason.h"
#include "spurlug/core/time.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace spurlug::metrics
{

/// \brief Counters of the daemon, in addition to those by reason.
enum class Counter
{
    RequestsAdmitted,
    AttemptsStarted,
    RequestsSpilled,
    TokensRelayed,
    EventsDropped,
    StreamsResumed,
    HeartbeatsSent,
    HeartbeatBytesSent,
    HeartbeatsReceived,
    HeartbeatBytesReceived,
    HeartbeatsRejected,
    LoadPolls,
    LoadPollBytes,
    RpcCalls,
    PlatformReads,
    FreshnessQueries,
    PlatformWrites,
    PlatformFailures,
    ConfigurationsApplied,
    ConfigurationsRefused,
    PausesDetected,
    WorkReportsSent,
    WorkReportsReceived,
    PlacementRequestsSent,
    PlacementRequestsQueued, ///< Placement requests that waited at this daemon's scheduler for a free engine.
    PlacementsGranted, ///< Placements granted by this daemon's scheduler.
    PlacementsWithoutScheduler, ///< Prompts placed by this daemon without a scheduler.
    SchedulersSuspected, ///< Schedulers that did not answer.
    RolesAcquired,
    RolesLost,
    RetriesByRatio, ///< Retries charged to the share for this daemon's own requests.
    RetriesBySlack, ///< Retries charged to this daemon's part of the fleet's slack.
    RetriesRefused, ///< Retries not sent because this daemon's part of both was spent.
    TargetsRestarted, ///< New incarnations of targets with a known id.
    TargetCrashesUnderWork, ///< Times that a target crashed while it ran a request of this daemon.
    WorkQuarantined, ///< Kinds of work that this daemon learnt must not be sent any more.
    QuarantinesLifted, ///< Quarantines that ended because the work succeeded after all.
    PromptPartsQuarantined, ///< Prompt parts that this daemon began to refuse, as they crash targets.
    QuarantineTrials, ///< Quarantined requests that were sent to test whether they still crash their target.
    RequestsCut, ///< Requests that ended without an answer because the daemon had to exit.
    ConnectionsTurnedAway, ///< Connections of callers that were closed unread while the event loop was overloaded.
    CrashReportsSent, ///< Datagrams to other daemons about work that crashes targets.
    TargetEntriesInvalid, ///< Times that a new fault was found in a target's entry.
    LeavingAnnounced, ///< Answers in which a target announced that it is leaving.
    CooldownsRequested, ///< Answers in which a target asked this daemon for a cooldown.
    RetryAfterMalformed, ///< Answers with a malformed retry time.
    DirectoryRestored, ///< Times that the directory was restored from an older copy, for each list read from it.
    RateLimitsReported, ///< Answers in which a target reported its rate limit for the whole fleet.
    RateLimitMalformed, ///< Answers with a malformed rate limit.
    WarmUpTimeMalformed, ///< Answers with a malformed warm-up time.
    ColdStarts, ///< Times that this daemon learnt that a target warms up.
    EvacuationChanges, ///< Evacuations of failure domains that this daemon learnt to have started or ended.
    IncarnationsEnded, ///< Target incarnations known to have ended before their entries said so.
    AdmissionRefused, ///< Requests that this daemon's scheduler refused because they could not be served in time.
    AdmissionLate, ///< Requests that waited behind others because their first event would be late.
    ReturnsOnTime, ///< Refused callers that returned when they were told to.
    ReturnsEarly, ///< Refused callers that returned before.
    LoadViewsSent,
    LoadViewsAccepted, ///< Load views from other daemons that were newer than the known one.
    LoadViewsDropped, ///< Load views that were outdated or had impossible values.
    FairGrantsFloor, ///< Grants to less urgent requests while more urgent ones waited.
    EjectionsSpared, ///< Failures that did not eject a target because it answered others at that time.
    SpeedSamplesDropped, ///< Impossible ratios of observed to expected times.
    DomainRamps, ///< Times that the load of a failure domain began to move gradually.
    EjectionsByReport, ///< Targets that this daemon's scheduler ejected because of another daemon's report.
    TunnelsOpened, ///< Connections to targets through a peer.
    TunnelsServed, ///< Tunnels to targets that this daemon opened for peers.
    TunnelsDeclined, ///< Tunnels that this daemon did not open: its link to the target fails too, or it is full.
    ConnectionsUnproven, ///< Failed connections that leave open whether the target or the link is at fault.
    LinkOutages, ///< Times that this daemon's links to all targets were found to be down.
    GrantsExpired, ///< Grants of this daemon's scheduler that no report mentioned in time.
};

/// \brief Timers of the daemon; exported in seconds.
enum class Timer
{
    FirstToken1k, ///< Time to first token of prompts below 4,000 tokens.
    FirstToken4k, ///< From 4,000 tokens up to 16,000.
    FirstToken16k, ///< From 16,000 tokens up to 100,000.
    FirstToken100k, ///< From 100,000 tokens.
    RouteDecision,
    GrantWait,
    TokenGap,
    QueueWait, ///< Time that a prompt waited at this daemon's scheduler for its grant.
    PredictionError, ///< Absolute difference of real and predicted time to the first event.
};

} // namespace spurlug::metrics

namespace spurlug::core
{

template<>
struct EnumNames<metrics::Counter>
{
    using Counter = metrics::Counter;
    static constexpr std::array table{
        EnumName<Counter>{Counter::RequestsAdmitted, "requests_admitted"},
        EnumName<Counter>{Counter::AttemptsStarted, "attempts_started"},
        EnumName<Counter>{Counter::RequestsSpilled, "requests_spilled"},
        EnumName<Counter>{Counter::TokensRelayed, "tokens_relayed"},
        EnumName<Counter>{Counter::EventsDropped, "events_dropped"},
        EnumName<Counter>{Counter::StreamsResumed, "streams_resumed"},
        EnumName<Counter>{Counter::HeartbeatsSent, "heartbeats_sent"},
        EnumName<Counter>{Counter::HeartbeatBytesSent, "heartbeat_bytes_sent"},
        EnumName<Counter>{Counter::HeartbeatsReceived, "heartbeats_received"},
        EnumName<Counter>{Counter::HeartbeatBytesReceived, "heartbeat_bytes_received"},
        EnumName<Counter>{Counter::HeartbeatsRejected, "heartbeats_rejected"},
        EnumName<Counter>{Counter::LoadPolls, "load_polls"},
        EnumName<Counter>{Counter::LoadPollBytes, "load_poll_bytes"},
        EnumName<Counter>{Counter::RpcCalls, "rpc_calls"},
        EnumName<Counter>{Counter::PlatformReads, "platform_reads"},
        EnumName<Counter>{Counter::FreshnessQueries, "peer_questions"},
        EnumName<Counter>{Counter::PlatformWrites, "platform_writes"},
        EnumName<Counter>{Counter::PlatformFailures, "platform_failures"},
        EnumName<Counter>{Counter::ConfigurationsApplied, "configurations_applied"},
        EnumName<Counter>{Counter::ConfigurationsRefused, "configurations_refused"},
        EnumName<Counter>{Counter::PausesDetected, "pauses_noticed"},
        EnumName<Counter>{Counter::WorkReportsSent, "work_reports_sent"},
        EnumName<Counter>{Counter::WorkReportsReceived, "work_reports_taken"},
        EnumName<Counter>{Counter::PlacementRequestsSent, "asks_sent"},
        EnumName<Counter>{Counter::PlacementRequestsQueued, "asks_queued"},
        EnumName<Counter>{Counter::PlacementsGranted, "placements_granted"},
        EnumName<Counter>{Counter::PlacementsWithoutScheduler, "decided_alone"},
        EnumName<Counter>{Counter::SchedulersSuspected, "schedulers_suspected"},
        EnumName<Counter>{Counter::RolesAcquired, "roles_taken"},
        EnumName<Counter>{Counter::RolesLost, "roles_lost"},
        EnumName<Counter>{Counter::RetriesByRatio, "repeats_by_ratio"},
        EnumName<Counter>{Counter::RetriesBySlack, "repeats_by_slack"},
        EnumName<Counter>{Counter::RetriesRefused, "repeats_refused"},
        EnumName<Counter>{Counter::TargetsRestarted, "targets_restarted"},
        EnumName<Counter>{Counter::TargetCrashesUnderWork, "targets_ended_under_work"},
        EnumName<Counter>{Counter::WorkQuarantined, "work_quarantined"},
        EnumName<Counter>{Counter::QuarantinesLifted, "quarantines_lifted"},
        EnumName<Counter>{Counter::QuarantineTrials, "quarantine_trials"},
        EnumName<Counter>{Counter::PromptPartsQuarantined, "prompt_parts_quarantined"},
        EnumName<Counter>{Counter::RequestsCut, "requests_cut"},
        EnumName<Counter>{Counter::ConnectionsTurnedAway, "connections_turned_away"},
        EnumName<Counter>{Counter::CrashReportsSent, "crash_news_sent"},
        EnumName<Counter>{Counter::TargetEntriesInvalid, "target_entries_unusable"},
        EnumName<Counter>{Counter::LeavingAnnounced, "leaving_told"},
        EnumName<Counter>{Counter::CooldownsRequested, "cooldowns_asked"},
        EnumName<Counter>{Counter::RetryAfterMalformed, "retry_after_unreadable"},
        EnumName<Counter>{Counter::DirectoryRestored, "directory_restored"},
        EnumName<Counter>{Counter::RateLimitsReported, "rate_limits_told"},
        EnumName<Counter>{Counter::RateLimitMalformed, "rate_limit_unreadable"},
        EnumName<Counter>{Counter::WarmUpTimeMalformed, "cold_unreadable"},
        EnumName<Counter>{Counter::ColdStarts, "cold_starts"},
        EnumName<Counter>{Counter::EvacuationChanges, "evacuations_heard"},
        EnumName<Counter>{Counter::IncarnationsEnded, "lives_over"},
        EnumName<Counter>{Counter::AdmissionRefused, "admission_refused"},
        EnumName<Counter>{Counter::AdmissionLate, "admission_late"},
        EnumName<Counter>{Counter::ReturnsOnTime, "returns_on_time"},
        EnumName<Counter>{Counter::ReturnsEarly, "returns_early"},
        EnumName<Counter>{Counter::LoadViewsSent, "views_sent"},
        EnumName<Counter>{Counter::LoadViewsAccepted, "views_taken"},
        EnumName<Counter>{Counter::LoadViewsDropped, "views_dropped"},
        EnumName<Counter>{Counter::FairGrantsFloor, "fair_grants_floor"},
        EnumName<Counter>{Counter::EjectionsSpared, "ejections_spared"},
        EnumName<Counter>{Counter::SpeedSamplesDropped, "speed_samples_dropped"},
        EnumName<Counter>{Counter::DomainRamps, "domain_ramps"},
        EnumName<Counter>{Counter::EjectionsByReport, "ejections_by_report"},
        EnumName<Counter>{Counter::TunnelsOpened, "tunnels_opened"},
        EnumName<Counter>{Counter::TunnelsServed, "tunnels_served"},
        EnumName<Counter>{Counter::TunnelsDeclined, "tunnels_declined"},
        EnumName<Counter>{Counter::ConnectionsUnproven, "connections_unproven"},
        EnumName<Counter>{Counter::LinkOutages, "link_outages"},
        EnumName<Counter>{Counter::GrantsExpired, "grants_expired"},
    };
};

template<>
struct EnumNames<metrics::Timer>
{
    using Timer = metrics::Timer;
    static constexpr std::array table{
        EnumName<Timer>{Timer::FirstToken1k, "first_token_1k_seconds"},
        EnumName<Timer>{Timer::FirstToken4k, "first_token_4k_seconds"},
        EnumName<Timer>{Timer::FirstToken16k, "first_token_16k_seconds"},
        EnumName<Timer>{Timer::FirstToken100k, "first_token_100k_seconds"},
        EnumName<Timer>{Timer::RouteDecision, "route_decision_seconds"},
        EnumName<Timer>{Timer::GrantWait, "grant_wait_seconds"},
        EnumName<Timer>{Timer::TokenGap, "between_tokens_seconds"},
        EnumName<Timer>{Timer::QueueWait, "queue_wait_seconds"},
        EnumName<Timer>{Timer::PredictionError, "predicted_error_seconds"},
    };
};

} // namespace spurlug::core

namespace spurlug::metrics
{

/// \brief Timer for the time to first token of a prompt of `tokens` tokens.
[[nodiscard]] Timer firstTokenTimer(std::int64_t tokens) noexcept;

/// \brief All metrics of one daemon. Thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// \name Commands
    /// @{
    /// \brief Adds `by` to a counter.
    void count(Counter counter, std::int64_t by = 1) noexcept;
    /// \brief Counts a request that was refused before any target started it.
    void countRefusal(core::Reason reason) noexcept;
    /// \brief Counts a retry by the reason why the previous attempt failed.
    void countRetry(core::Reason reason) noexcept;
    /// \brief Counts the end of an admitted request.
    void countEnd(core::Outcome outcome, core::Reason reason) noexcept;
    /// \brief Adds a sample to a timer.
    void addSample(Timer timer, core::Duration span) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief Sets a gauge; `name` is in snake_case.
    void setGauge(const std::string &name, double value) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// @}

    /// \name Queries
    /// @{
    [[nodiscard]] std::int64_t value(Counter counter) const noexcept;
    [[nodiscard]] std::int64_t refusals(core::Reason reason) const noexcept;
    [[nodiscard]] std::int64_t retries(core::Reason reason) const noexcept;
    /// \brief All metrics in the Prometheus text format.
    [[nodiscard]] std::string prometheusText() const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// @}

private:
    struct Quantiles;
    static constexpr std::size_t CounterCount = core::EnumNames<Counter>::table.size();
    static constexpr std::size_t ReasonCount = core::EnumNames<core::Reason>::table.size();
    static constexpr std::size_t OutcomeCount = core::EnumNames<core::Outcome>::table.size();

    std::array<std::atomic<std::int64_t>, CounterCount> m_counters{};
    std::array<std::atomic<std::int64_t>, ReasonCount> m_refusals{};
    std::array<std::atomic<std::int64_t>, ReasonCount> m_retries{};
    std::array<std::atomic<std::int64_t>, OutcomeCount> m_outcomes{};
    std::array<std::atomic<std::int64_t>, ReasonCount> m_failures{};
    mutable absl::Mutex m_mutex;
    std::map<Timer, std::unique_ptr<Quantiles>> m_timers ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, double> m_gauges ABSL_GUARDED_BY(m_mutex);
};

} // namespace spurlug::metrics
