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
    PeerQuestions,
    PlatformWrites,
    PlatformFailures,
    ConfigurationsApplied,
    ConfigurationsRefused,
    PausesNoticed,
    WorkReportsSent,
    WorkReportsTaken,
    AsksSent,
    AsksQueued, ///< Placement requests that waited at this daemon's scheduler for a free engine.
    PlacementsGranted, ///< Placements granted by this daemon's scheduler.
    DecidedAlone, ///< Prompts placed by this daemon without a scheduler.
    SchedulersSuspected, ///< Schedulers that did not answer.
    RolesTaken,
    RolesLost,
    RepeatsByRatio, ///< Retries charged to the share for this daemon's own requests.
    RepeatsBySlack, ///< Retries charged to this daemon's part of the fleet's slack.
    RepeatsRefused, ///< Retries not sent because this daemon's part of both was spent.
    TargetsRestarted, ///< New incarnations of targets with a known id.
    TargetsEndedUnderWork, ///< Times that a target crashed while it ran a request of this daemon.
    WorkQuarantined, ///< Kinds of work that this daemon learnt must not be sent any more.
    QuarantinesLifted, ///< Quarantines that ended because the work succeeded after all.
    QuarantineTrials, ///< Quarantined requests that were sent to test whether they still crash their target.
    CrashNewsSent, ///< Datagrams to other daemons about work that crashes targets.
    TargetEntriesUnusable, ///< Times that a new fault was found in a target's entry.
    LeavingTold, ///< Answers in which a target announced that it is leaving.
    CooldownsAsked, ///< Answers in which a target asked this daemon for a cooldown.
    RetryAfterUnreadable, ///< Answers with a malformed retry time.
    DirectoryRestored, ///< Times that the directory was restored from an older copy, for each list read from it.
    RateLimitsTold, ///< Answers in which a target reported its rate limit for the whole fleet.
    RateLimitUnreadable, ///< Answers with a malformed rate limit.
    ColdUnreadable, ///< Answers with a malformed warm-up time.
    ColdStarts, ///< Times that this daemon learnt that a target warms up.
    EvacuationsHeard, ///< Evacuations of failure domains that this daemon learnt to have started or ended.
    LivesOver, ///< Target incarnations known to have ended before their entries said so.
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
    BetweenTokens,
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
        EnumName<Counter>{Counter::PeerQuestions, "peer_questions"},
        EnumName<Counter>{Counter::PlatformWrites, "platform_writes"},
        EnumName<Counter>{Counter::PlatformFailures, "platform_failures"},
        EnumName<Counter>{Counter::ConfigurationsApplied, "configurations_applied"},
        EnumName<Counter>{Counter::ConfigurationsRefused, "configurations_refused"},
        EnumName<Counter>{Counter::PausesNoticed, "pauses_noticed"},
        EnumName<Counter>{Counter::WorkReportsSent, "work_reports_sent"},
        EnumName<Counter>{Counter::WorkReportsTaken, "work_reports_taken"},
        EnumName<Counter>{Counter::AsksSent, "asks_sent"},
        EnumName<Counter>{Counter::AsksQueued, "asks_queued"},
        EnumName<Counter>{Counter::PlacementsGranted, "placements_granted"},
        EnumName<Counter>{Counter::DecidedAlone, "decided_alone"},
        EnumName<Counter>{Counter::SchedulersSuspected, "schedulers_suspected"},
        EnumName<Counter>{Counter::RolesTaken, "roles_taken"},
        EnumName<Counter>{Counter::RolesLost, "roles_lost"},
        EnumName<Counter>{Counter::RepeatsByRatio, "repeats_by_ratio"},
        EnumName<Counter>{Counter::RepeatsBySlack, "repeats_by_slack"},
        EnumName<Counter>{Counter::RepeatsRefused, "repeats_refused"},
        EnumName<Counter>{Counter::TargetsRestarted, "targets_restarted"},
        EnumName<Counter>{Counter::TargetsEndedUnderWork, "targets_ended_under_work"},
        EnumName<Counter>{Counter::WorkQuarantined, "work_quarantined"},
        EnumName<Counter>{Counter::QuarantinesLifted, "quarantines_lifted"},
        EnumName<Counter>{Counter::QuarantineTrials, "quarantine_trials"},
        EnumName<Counter>{Counter::CrashNewsSent, "crash_news_sent"},
        EnumName<Counter>{Counter::TargetEntriesUnusable, "target_entries_unusable"},
        EnumName<Counter>{Counter::LeavingTold, "leaving_told"},
        EnumName<Counter>{Counter::CooldownsAsked, "cooldowns_asked"},
        EnumName<Counter>{Counter::RetryAfterUnreadable, "retry_after_unreadable"},
        EnumName<Counter>{Counter::DirectoryRestored, "directory_restored"},
        EnumName<Counter>{Counter::RateLimitsTold, "rate_limits_told"},
        EnumName<Counter>{Counter::RateLimitUnreadable, "rate_limit_unreadable"},
        EnumName<Counter>{Counter::ColdUnreadable, "cold_unreadable"},
        EnumName<Counter>{Counter::ColdStarts, "cold_starts"},
        EnumName<Counter>{Counter::EvacuationsHeard, "evacuations_heard"},
        EnumName<Counter>{Counter::LivesOver, "lives_over"},
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
        EnumName<Timer>{Timer::BetweenTokens, "between_tokens_seconds"},
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
    void time(Timer timer, core::Duration span) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief Sets a gauge; `name` is in snake_case.
    void gauge(const std::string &name, double value) ABSL_LOCKS_EXCLUDED(m_mutex);
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
    static constexpr std::size_t Counters = core::EnumNames<Counter>::table.size();
    static constexpr std::size_t Reasons = core::EnumNames<core::Reason>::table.size();
    static constexpr std::size_t Outcomes = core::EnumNames<core::Outcome>::table.size();

    std::array<std::atomic<std::int64_t>, Counters> m_counters{};
    std::array<std::atomic<std::int64_t>, Reasons> m_refusals{};
    std::array<std::atomic<std::int64_t>, Reasons> m_retries{};
    std::array<std::atomic<std::int64_t>, Outcomes> m_outcomes{};
    std::array<std::atomic<std::int64_t>, Reasons> m_failures{};
    mutable absl::Mutex m_mutex;
    std::map<Timer, std::unique_ptr<Quantiles>> m_timers ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, double> m_gauges ABSL_GUARDED_BY(m_mutex);
};

} // namespace spurlug::metrics
