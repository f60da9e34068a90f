//----------------------------------------------------------------------------------------------------------------------
// spurlug: messages of the control plane between daemons
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

/// \brief How an attempt at a target ended.
struct TargetOutcome
{
    std::uint32_t target = 0; ///< relay::lifeHash of its life.
    std::optional<relay::TargetFault> fault; ///< Nothing: it did well.
    std::uint32_t askedBy = 0; ///< relay::lifeHash of the engine that asked it for help; 0: the daemon did.
};

/// \brief All work of one daemon at the targets, in place of what it said before.
struct WorkReport
{
    std::string vm;
    std::string failureDomain; ///< Of the daemon.
    std::uint64_t incarnation = 0; ///< Higher after each start of the daemon.
    std::uint64_t sequence = 0; ///< Higher with each report of one incarnation.
    std::uint64_t newestGrant = 0; ///< Grants up to this one are part of `work`, or were not used.
    std::vector<targets::TargetWork> work;
    std::vector<std::uint32_t> unreachable; ///< Targets that do not answer the sender.
    std::vector<std::uint32_t> leaving; ///< Targets that leave though their entries do not say so.
    std::vector<targets::RateNews> rates; ///< Of targets that named a rate, or no longer do.
    std::vector<TargetOutcome> outcomes; ///< Since the last report.
    bool wantsWord = false; ///< Whether the scheduler should say that it lives.
};

/// \brief The scheduler's word that it lives.
struct ReportTaken
{
    std::string vm; ///< Who says so.
};

/// \brief The question where a prompt should go.
struct PlacementAsk
{
    std::string vm; ///< Who asks.
    std::string failureDomain; ///< Of the daemon.
    std::uint64_t ask = 0; ///< Unique among the asks of that daemon.
    std::string service;
    relay::PromptFacts prompt;
    core::Duration aim = absl::ZeroDuration(); ///< Time to the first event that counts as in time.
    bool tight = true; ///< Whether its stream bears short pauses only.
    core::Duration waited = absl::ZeroDuration(); ///< Since it arrived, when the ask was sent.
    core::Duration patience = absl::InfiniteDuration(); ///< From its arrival until its caller is likely to leave.
    int priority = 0; ///< The operator's; 0 is the most urgent.
    std::vector<std::uint32_t> notAt; ///< Targets that must not answer it.
    std::vector<std::uint32_t> onlyAt; ///< If there are any, only these may answer it.
    std::vector<std::uint32_t> unwanted; ///< Targets that must get nothing from the asker, not even a part to read.
    std::vector<targets::RateNews> rates; ///< As the asker knows them.
    bool atHome = false; ///< Only targets of the scheduler's failure domain, if there are any.
    bool nearHelpers = false; ///< Helpers in the failure domain of the engine that answers only.
};

/// \brief What the scheduler says to an ask.
enum class AnswerKind
{
    Granted,
    Queued, ///< No engine is free for it now; the grant follows.
    NotHere, ///< The daemon that was asked schedules nothing: it stops, or lacks the service's costs.
};

/// \brief An answer to an ask.
struct PlacementAnswer
{
    std::string vm; ///< Who answers.
    std::uint64_t ask = 0;
    AnswerKind kind = AnswerKind::NotHere;
    std::uint64_t grant = 0; ///< Counted up by the scheduler.
    std::uint32_t target = 0; ///< relay::lifeHash of the engine that answers the request.
    std::vector<std::uint32_t> helpers; ///< Holders of memory first, then those that only read.
    std::vector<std::int64_t> holdingTokens; ///< Of the first helpers.
    core::Duration expected = absl::ZeroDuration(); ///< Until the first event.
    core::Duration partRead = absl::ZeroDuration(); ///< Time that each engine reads.
};

/// \brief The request of an ask needs no place any more.
struct PlacementCancel
{
    std::string vm;
    std::uint64_t ask = 0;
};

/// \brief The question how new a daemon's knowledge is.
struct ProofQuestion
{
    std::uint64_t number = 0; ///< Comes back with the answer.
};

/// \brief How new a daemon's knowledge is. Ages are as of the moment of the answer; infinite: never.
struct ProofAnswer
{
    std::string vm; ///< Who answers.
    std::uint64_t number = 0;
    std::int64_t version = 0; ///< Of the configuration in force there; 0: none.
    core::Duration proofAge = absl::InfiniteDuration(); ///< Of the proof that it is the newest.
    /// Since the directory was asked for what it answered last.
    core::Duration contactAge = absl::InfiniteDuration();
    relay::DirectoryPosition targetsPosition; ///< Of the newest change of the targets that is known there.
    core::Duration targetsAge = absl::InfiniteDuration(); ///< Of the list of targets.
    core::Duration regainedAge = absl::InfiniteDuration(); ///< Since the directory was regained.
    relay::Evacuations evacuations; ///< As they are known there.
};

/// \brief A life of a target that ended while a piece of work ran there.
struct EndNews
{
    std::uint32_t target = 0; ///< relay::lifeHash of that life.
    core::Duration age = absl::ZeroDuration(); ///< Since it ended.
};

/// \brief A piece of work and the ends of targets under it.
struct SuspectNews
{
    core::Digest work;
    std::vector<EndNews> ends;
    core::Duration ranWellAge = absl::InfiniteDuration(); ///< Since it ran to an end and its target lived.
};

/// \brief What a daemon knows of work that ends its targets.
struct CrashNews
{
    std::vector<SuspectNews> suspects;
};

using Message = std::variant<WorkReport, ReportTaken, PlacementAsk, PlacementAnswer, PlacementCancel, ProofQuestion,
                             ProofAnswer, CrashNews>;

/// \brief Writes a message as one datagram.
[[nodiscard]] std::string writeMessage(const Message &message);

/// \brief Reads a datagram.
/// \returns Nothing when it is no message of the control plane: a heartbeat, or bytes of somebody else.
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
