//----------------------------------------------------------------------------------------------------------------------
// spurlug: control plane messages between daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/enum_names.h"
#include "spurlug/core/time.h"
#include "spurlug/relay/evacuations.h"
#include "spurlug/relay/request_facts.h"
#include "spurlug/relay/target_health.h"
#include "spurlug/targets/outstanding.h"
#include "spurlug/targets/rate_news.h"

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
    std::uint32_t target = 0; ///< Its relay::lifeHash.
    std::optional<relay::TargetFault> fault; ///< Empty if the attempt succeeded.
    std::uint32_t askedBy = 0; ///< relay::lifeHash of the engine that asked for help; 0 if the daemon asked.
};

/// \brief All work of one daemon at the targets; replaces its previous report.
struct WorkReport
{
    std::string vm; ///< Sender.
    std::string failureDomain; ///< Of the sender.
    std::uint64_t incarnation = 0; ///< Increases with each start of the daemon.
    std::uint64_t sequence = 0; ///< Increases with each report of one incarnation.
    std::uint64_t newestGrant = 0; ///< Grants up to this number are included in `work` or were not used.
    std::vector<targets::TargetWork> work;
    std::vector<std::uint32_t> unreachable; ///< lifeHash of targets that do not answer the sender.
    std::vector<std::uint32_t> leaving; ///< lifeHash of targets that are draining although their entries do not say so.
    std::vector<targets::RateNews> rates; ///< Of targets that announced a rate limit, or lifted it.
    std::vector<TargetOutcome> outcomes; ///< Since the previous report.
    bool wantsWord = false; ///< Whether the scheduler should acknowledge the report.
};

/// \brief A scheduler's acknowledgement of a WorkReport, which shows that it is alive.
struct ReportTaken
{
    std::string vm; ///< The scheduler.
};

/// \brief A daemon's request for the engines that should process a prompt.
struct PlacementAsk
{
    std::string vm; ///< Sender.
    std::string failureDomain; ///< Of the sender.
    std::uint64_t ask = 0; ///< Number of the request, unique for the sender.
    std::string service;
    relay::PromptFacts prompt;
    core::Duration aim = absl::ZeroDuration(); ///< Time from arrival within which the first event should come.
    bool tight = true; ///< Whether its stream tolerates only short gaps between tokens.
    core::Duration waited = absl::ZeroDuration(); ///< Time since the prompt arrived, as of sending.
    core::Duration patience = absl::InfiniteDuration(); ///< Time from arrival until the caller is likely to give up.
    int priority = 0; ///< Set by the operator; 0 is the most urgent.
    std::vector<std::uint32_t> notAt; ///< lifeHash of targets that must not answer the prompt.
    std::vector<std::uint32_t> onlyAt; ///< If not empty, only these targets may answer the prompt.
    std::vector<std::uint32_t> unwanted; ///< Targets that must get nothing from the sender, not even a part to prefill.
    std::vector<targets::RateNews> rates; ///< Rate limits known to the sender.
    bool atHome = false; ///< Use only targets of the scheduler's failure domain, if it has any.
    bool nearHelpers = false; ///< Use only helpers in the failure domain of the answering engine.
};

/// \brief Kind of the scheduler's reply to a PlacementAsk.
enum class AnswerKind
{
    Granted, ///< Engines are assigned.
    Queued, ///< No engine is free now; the grant follows.
    NotHere, ///< The daemon cannot schedule the service: it is draining, or lacks the service's engine costs.
};

/// \brief A scheduler's reply to a PlacementAsk.
struct PlacementAnswer
{
    std::string vm; ///< The scheduler.
    std::uint64_t ask = 0; ///< Number of the request.
    AnswerKind kind = AnswerKind::NotHere;
    std::uint64_t grant = 0; ///< Number of the grant; increases with each grant of the scheduler.
    std::uint32_t target = 0; ///< relay::lifeHash of the engine that answers the request.
    std::vector<std::uint32_t> helpers; ///< Those that reserve KV memory first, then those that only prefill.
    std::vector<std::int64_t> holdingTokens; ///< KV memory that each of the first helpers reserves.
    core::Duration expected = absl::ZeroDuration(); ///< Expected time to the first event.
    core::Duration partRead = absl::ZeroDuration(); ///< Prefill time of each engine.
};

/// \brief Withdraws a PlacementAsk and its grant, if it has one.
struct PlacementCancel
{
    std::string vm; ///< Sender of the PlacementAsk.
    std::uint64_t ask = 0; ///< Number of the request.
};

/// \brief Asks a daemon how recent its configuration and target list are.
struct ProofQuestion
{
    std::uint64_t number = 0; ///< Returned in the reply.
};

/// \brief How recent a daemon's configuration and target list are. Ages are as of the moment of the reply; an infinite
/// age means never.
struct ProofAnswer
{
    std::string vm; ///< Sender of the reply.
    std::uint64_t number = 0; ///< Of the query.
    std::int64_t version = 0; ///< Of the configuration in force at the sender; 0 if there is none.
    core::Duration proofAge = absl::InfiniteDuration(); ///< Of the proof that this version is the newest.
    /// Time since the sending of the last directory request that was answered.
    core::Duration contactAge = absl::InfiniteDuration();
    relay::DirectoryPosition targetsPosition; ///< Of the newest change of the target list known to the sender.
    core::Duration targetsAge = absl::InfiniteDuration(); ///< Of the target list.
    core::Duration regainedAge = absl::InfiniteDuration(); ///< Time since the directory became reachable again.
    relay::Evacuations evacuations; ///< As known to the sender.
};

/// \brief A crash of a target while a request with certain content ran there.
struct EndNews
{
    std::uint32_t target = 0; ///< relay::lifeHash of the crashed incarnation.
    core::Duration age = absl::ZeroDuration(); ///< Time since the crash.
};

/// \brief Request content and the crashes of targets under it.
struct SuspectNews
{
    core::Digest work; ///< Digest of the request content.
    std::vector<EndNews> ends;
    core::Duration ranWellAge = absl::InfiniteDuration(); ///< Time since it was completed and its target stayed up.
};

/// \brief A daemon's records of request content that crashes targets.
struct CrashNews
{
    std::vector<SuspectNews> suspects;
};

/// \brief Any message of the control plane.
using Message = std::variant<WorkReport, ReportTaken, PlacementAsk, PlacementAnswer, PlacementCancel, ProofQuestion,
                             ProofAnswer, CrashNews>;

/// \brief Serializes a message into one datagram.
[[nodiscard]] std::string writeMessage(const Message &message);

/// \brief Parses a datagram.
/// \returns Nothing if it is not a control plane message, such as a heartbeat or foreign bytes.
[[nodiscard]] std::optional<Message> readMessage(std::string_view datagram);

} // namespace spurlug::control

namespace spurlug::core
{

template<>
struct EnumNames<control::AnswerKind>
{
    using Kind = control::AnswerKind;
    static constexpr std::array table{
        EnumName<Kind>{Kind::Granted, "granted"},
        EnumName<Kind>{Kind::Queued, "queued"},
        EnumName<Kind>{Kind::NotHere, "not_here"},
    };
};

} // namespace spurlug::core
