//----------------------------------------------------------------------------------------------------------------------
// spurlug: control plane messages between daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/enum_names.h"
#include "spurlug/core/time.h"
#include "spurlug/overload/load_view.h"
#include "spurlug/relay/crash_suspect.h"
#include "spurlug/relay/evacuations.h"
#include "spurlug/relay/published_times.h"
#include "spurlug/relay/request_info.h"
#include "spurlug/relay/target_health.h"
#include "spurlug/targets/outstanding.h"
#include "spurlug/targets/rate_report.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace spurlug::control
{

/// \brief Result of an attempt at a target, or of a request for help to an engine.
struct TargetOutcome
{
    std::uint32_t target = 0; ///< Its relay::incarnationHash.
    std::optional<relay::TargetFault> fault; ///< Empty if the attempt succeeded.
    std::uint32_t requestingEngine
        = 0; ///< relay::incarnationHash of the engine that asked for help; 0 if the daemon asked.
    std::optional<double> firstRatio = std::nullopt; ///< Observed by expected time to the first event, if known.
    std::optional<double> gapRatio = std::nullopt; ///< Observed by expected time between events, if known.
    bool firstEventOnly = false; ///< The answer has begun; its end is reported by another outcome.
};

/// \brief All work of one daemon at the targets; replaces its previous report.
struct WorkReport
{
    std::string vm; ///< Sender.
    std::string failureDomain; ///< Of the sender.
    std::uint64_t incarnation = 0; ///< Differs between starts of the daemon.
    std::uint64_t sequence = 0; ///< Increases with each report of one incarnation.
    std::uint64_t newestGrant = 0; ///< Grants up to this number are included in `work` or were not used.
    std::vector<targets::TargetWork> work;
    std::vector<std::uint32_t> unreachable; ///< incarnationHash of targets that do not answer the sender.
    std::vector<std::uint32_t>
        draining; ///< incarnationHash of targets that are draining although their entries do not say so.
    std::vector<targets::RateReport> rates; ///< Of targets that announced a rate limit, or lifted it.
    std::vector<TargetOutcome> outcomes; ///< Since the previous report.
    bool wantsAck = false; ///< Whether the scheduler should acknowledge the report.
};

/// \brief A scheduler's acknowledgement of a WorkReport, which shows that it is alive.
struct ReportAck
{
    std::string vm; ///< The scheduler.
};

/// \brief A daemon's request for the engines that should process a prompt.
struct PlacementRequest
{
    std::string vm; ///< Sender.
    std::string failureDomain; ///< Of the sender.
    std::uint64_t requestNumber = 0; ///< Number of the request, unique for the sender.
    std::string service;
    relay::PromptInfo prompt;
    core::Duration ttftObjective
        = absl::ZeroDuration(); ///< Time from arrival within which the first event should come.
    bool shortGaps = true; ///< Whether its stream tolerates only short gaps between tokens.
    bool longGap = false; ///< Whether its stream tolerates the longest gap of the service.
    core::Duration waited = absl::ZeroDuration(); ///< Time since the prompt arrived, as of sending.
    core::Duration callerTimeout
        = absl::InfiniteDuration(); ///< Time from arrival until the caller is likely to give up.
    int priority = 0; ///< Set by the operator; 0 is the most urgent.
    std::uint32_t organisation = 0; ///< Hash of the name of the caller's organisation; 0 if there is none.
    std::uint64_t digest = 0; ///< Of the content of the request; a caller that returns sends the same. 0 if not known.
    core::Duration timeLeft = absl::InfiniteDuration(); ///< Until the caller's deadline, as of sending.
    bool mayHaveRun = false; ///< Whether a target may have processed the request; it is then never refused.
    std::vector<std::uint32_t> excludedTargets; ///< incarnationHash of targets that must not answer the prompt.
    std::vector<std::uint32_t> allowedTargets; ///< If not empty, only these targets may answer the prompt.
    std::vector<std::uint32_t>
        avoidedTargets; ///< Targets that must get nothing from the sender, not even a part to prefill.
    std::vector<targets::RateReport> rates; ///< Rate limits known to the sender.
    bool localDomainOnly = false; ///< Use only targets of the scheduler's failure domain, if it has any.
    bool localHelpersOnly = false; ///< Use only helpers in the failure domain of the answering engine.
};

/// \brief Kind of the scheduler's reply to a PlacementRequest.
enum class ReplyKind
{
    Granted, ///< Engines are assigned.
    Queued, ///< No engine is free now; the grant follows.
    Declined, ///< The daemon cannot schedule the service: it is draining, or lacks the service's engine costs.
    Refused, ///< The request cannot be served before its caller leaves; nothing was sent to a target.
};

/// \brief A scheduler's reply to a PlacementRequest.
struct PlacementReply
{
    std::string vm; ///< The scheduler.
    std::uint64_t requestNumber = 0; ///< Number of the request.
    ReplyKind kind = ReplyKind::Declined;
    std::uint64_t grantNumber = 0; ///< Number of the grant; increases with each grant of the scheduler.
    std::uint32_t target = 0; ///< relay::incarnationHash of the engine that answers the request.
    std::vector<std::uint32_t> helpers; ///< Those that reserve KV memory first, then those that only prefill.
    std::vector<std::int64_t> reservedTokens; ///< KV memory that each of the first helpers reserves.
    core::Duration expectedTtft = absl::ZeroDuration(); ///< Expected time to the first event.
    core::Duration partPrefillTime = absl::ZeroDuration(); ///< Prefill time of each engine.
    core::Duration retryAfter = absl::ZeroDuration(); ///< Of a refusal: when the caller should return; 0: not at all.
    core::Duration expectedWait = absl::ZeroDuration(); ///< Expected wait of the request at the scheduler.
    std::optional<overload::LoadView> load;
    relay::PublishedTimes published;
};

/// \brief Withdraws a PlacementRequest and its grant, if it has one.
struct PlacementCancel
{
    std::string vm; ///< Sender of the PlacementRequest.
    std::uint64_t requestNumber = 0; ///< Number of the request.
};

/// \brief Asks a daemon how recent its configuration and target list are.
struct FreshnessQuery
{
    std::uint64_t number = 0; ///< Returned in the reply.
};

/// \brief How recent a daemon's configuration and target list are. Ages are as of the moment of the reply; an infinite
/// age means never.
struct FreshnessReply
{
    std::string vm; ///< Sender of the reply.
    std::uint64_t number = 0; ///< Of the query.
    std::int64_t version = 0; ///< Of the configuration in force at the sender; 0 if there is none.
    core::Duration proofAge = absl::InfiniteDuration(); ///< Of the proof that this version is the newest.
    /// Time since the sending of the last directory request that was answered.
    core::Duration directoryContactAge = absl::InfiniteDuration();
    relay::DirectoryPosition targetsPosition; ///< Of the newest change of the target list known to the sender.
    core::Duration targetsAge = absl::InfiniteDuration(); ///< Of the target list.
    core::Duration directoryRecoveryAge
        = absl::InfiniteDuration(); ///< Time since the directory became reachable again.
    relay::Evacuations evacuations; ///< As known to the sender.
};

/// \brief A crash of a target while a request with certain content ran there.
struct CrashRecord
{
    std::uint32_t target = 0; ///< relay::incarnationHash of the crashed incarnation.
    core::Duration age = absl::ZeroDuration(); ///< Time since the crash.
};

/// \brief Content of requests, or a part of prompts, and the crashes of targets under it.
struct SuspectReport
{
    core::Digest digest; ///< As in relay::CrashSuspect.
    std::vector<CrashRecord> crashes;
    core::Duration lastSuccessAge = absl::InfiniteDuration(); ///< Time since it went well and its target stayed up.
    relay::SuspectKind kind = relay::SuspectKind::Content;
};

/// \brief A daemon's records of content and prompt parts that crash targets.
struct CrashReport
{
    std::vector<SuspectReport> suspects;
};

/// \brief Any message of the control plane.
using Message = std::variant<WorkReport, ReportAck, PlacementRequest, PlacementReply, PlacementCancel, FreshnessQuery,
                             FreshnessReply, CrashReport>;

/// \brief Serializes a message into one datagram.
[[nodiscard]] std::string writeMessage(const Message &message);

/// \brief Parses a datagram.
/// \returns Nothing if it is not a control plane message, such as a heartbeat or foreign bytes.
[[nodiscard]] std::optional<Message> readMessage(std::string_view datagram);

} // namespace spurlug::control

namespace spurlug::core
{

template<>
struct EnumNames<control::ReplyKind>
{
    using Kind = control::ReplyKind;
    static constexpr std::array table{
        EnumName<Kind>{Kind::Granted, "granted"},
        EnumName<Kind>{Kind::Queued, "queued"},
        EnumName<Kind>{Kind::Declined, "not_here"},
        EnumName<Kind>{Kind::Refused, "refused"},
    };
};

} // namespace spurlug::core
