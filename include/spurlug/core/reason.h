//----------------------------------------------------------------------------------------------------------------------
// spurlug: reasons for refusals, retries and failures, and outcomes of requests
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/enum_names.h"

namespace spurlug::core
{

/// \brief Why a request was refused, retried or failed. Each has a counter in `/metrics`.
enum class Reason
{
    None,
    MissingKey,
    UnknownKey,
    MalformedRequest,
    MalformedBody,
    BodyTooLarge,
    BodyMemoryFull,
    UnknownPath,
    UnknownModel,
    UnknownService,
    UnknownClass,
    InvalidDeadline,
    NotReady,
    Stopping,
    Overloaded,
    DeadlineTooShort,
    PromptTooLong,
    RequestRate,
    TokenBudget,
    LongPrompts,
    NoTarget,
    ConnectFailed,
    TargetRefused,
    TargetFailed,
    StreamInterrupted,
    ReservationRefused,
    BrokerUnreachable,
    RetryBudget,
    NotRepeatable,
    ClaimUnavailable,
    AlreadyClaimed,
    DeadlinePassed,
    CallerDisconnected,
    StaleConfiguration, ///< The configuration may be outdated, so that the validity of keys and routes is unknown.
    TargetUnresponsive, ///< The target did not answer within several times the usual answer time.
    NoCapacity, ///< All targets are at capacity.
    CrashesTargets, ///< Several targets terminated while they ran the same request.
    TargetLeaving, ///< The chosen target must not get requests any more: it is leaving, or its entry was removed.
    TargetsCoolingDown, ///< All eligible targets asked this daemon for a cooldown.
    TargetsLimited, ///< All eligible targets are at their current request limit for this daemon.
    DomainsEvacuated, ///< The operator evacuated the failure domain of the target, or of all targets.
    IncarnationEnded, ///< The target, or an engine that its answer needs, was replaced by a later incarnation.
    PredictedLate, ///< The first event is expected after the caller leaves or its deadline.
    NoPath, ///< No path leads to any target, neither over the daemon's own links nor through a peer.
    PathLost, ///< The connection to the target hung or broke because of a link or a peer, not because of the target.
};

template<>
struct EnumNames<Reason>
{
    static constexpr std::array table{
        EnumName<Reason>{Reason::None, "none"},
        EnumName<Reason>{Reason::MissingKey, "missing_key"},
        EnumName<Reason>{Reason::UnknownKey, "unknown_key"},
        EnumName<Reason>{Reason::MalformedRequest, "malformed_request"},
        EnumName<Reason>{Reason::MalformedBody, "malformed_body"},
        EnumName<Reason>{Reason::BodyTooLarge, "body_too_large"},
        EnumName<Reason>{Reason::BodyMemoryFull, "body_memory_full"},
        EnumName<Reason>{Reason::UnknownPath, "unknown_path"},
        EnumName<Reason>{Reason::UnknownModel, "unknown_model"},
        EnumName<Reason>{Reason::UnknownService, "unknown_service"},
        EnumName<Reason>{Reason::UnknownClass, "unknown_class"},
        EnumName<Reason>{Reason::InvalidDeadline, "invalid_deadline"},
        EnumName<Reason>{Reason::NotReady, "not_ready"},
        EnumName<Reason>{Reason::Stopping, "stopping"},
        EnumName<Reason>{Reason::Overloaded, "overloaded"},
        EnumName<Reason>{Reason::DeadlineTooShort, "deadline_too_short"},
        EnumName<Reason>{Reason::PromptTooLong, "prompt_too_long"},
        EnumName<Reason>{Reason::RequestRate, "request_rate"},
        EnumName<Reason>{Reason::TokenBudget, "token_budget"},
        EnumName<Reason>{Reason::LongPrompts, "long_prompts"},
        EnumName<Reason>{Reason::NoTarget, "no_target"},
        EnumName<Reason>{Reason::ConnectFailed, "connect_failed"},
        EnumName<Reason>{Reason::TargetRefused, "target_refused"},
        EnumName<Reason>{Reason::TargetFailed, "target_failed"},
        EnumName<Reason>{Reason::StreamInterrupted, "stream_cut"},
        EnumName<Reason>{Reason::ReservationRefused, "reservation_refused"},
        EnumName<Reason>{Reason::BrokerUnreachable, "broker_unreachable"},
        EnumName<Reason>{Reason::RetryBudget, "retry_budget"},
        EnumName<Reason>{Reason::NotRepeatable, "not_repeatable"},
        EnumName<Reason>{Reason::ClaimUnavailable, "claim_unavailable"},
        EnumName<Reason>{Reason::AlreadyClaimed, "already_claimed"},
        EnumName<Reason>{Reason::DeadlinePassed, "deadline_passed"},
        EnumName<Reason>{Reason::CallerDisconnected, "caller_gone"},
        EnumName<Reason>{Reason::StaleConfiguration, "stale_configuration"},
        EnumName<Reason>{Reason::TargetUnresponsive, "target_silent"},
        EnumName<Reason>{Reason::NoCapacity, "no_capacity"},
        EnumName<Reason>{Reason::CrashesTargets, "crashes_targets"},
        EnumName<Reason>{Reason::TargetLeaving, "target_leaving"},
        EnumName<Reason>{Reason::TargetsCoolingDown, "targets_cooling_down"},
        EnumName<Reason>{Reason::TargetsLimited, "targets_limited"},
        EnumName<Reason>{Reason::DomainsEvacuated, "domains_evacuated"},
        EnumName<Reason>{Reason::IncarnationEnded, "life_over"},
        EnumName<Reason>{Reason::PredictedLate, "predicted_late"},
        EnumName<Reason>{Reason::NoPath, "no_path"},
        EnumName<Reason>{Reason::PathLost, "path_lost"},
    };
};

// Counters by reason are arrays of the table's size, indexed by enumerator.
static_assert(static_cast<std::size_t>(Reason::PathLost) + 1 == EnumNames<Reason>::table.size(),
              "every reason has a name, in the order of their declaration");

/// \brief Whether an attempt or a whole request may have run.
enum class Outcome
{
    NotRun, ///< No target started the work: it is safe to send the request again.
    Completed, ///< The whole answer was received.
    MayHaveRun, ///< A target may have done some or all of the work.
};

template<>
struct EnumNames<Outcome>
{
    static constexpr std::array table{
        EnumName<Outcome>{Outcome::NotRun, "not_run"},
        EnumName<Outcome>{Outcome::Completed, "completed"},
        EnumName<Outcome>{Outcome::MayHaveRun, "may_have_run"},
    };
};

} // namespace spurlug::core
