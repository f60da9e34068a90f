//----------------------------------------------------------------------------------------------------------------------
// spurlug: the decisions in the life of one relayed request
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/relay/context.h"
#include "spurlug/relay/request_facts.h"
#include "spurlug/relay/target_choice.h"
#include "spurlug/relay/verdict.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spurlug::relay
{

/// \brief What is decided about one request from its arrival to its end, and the record of it.
///
/// Knows no socket: the coroutine that moves the bytes asks it what to do and tells it what happened.
class RequestProgress
{
public:
    RequestProgress(RelayContext &context, RequestFacts facts, core::Time arrivedAt);
    ~RequestProgress();
    RequestProgress(const RequestProgress &) = delete;
    RequestProgress &operator=(const RequestProgress &) = delete;

    /// \name Commands
    /// @{

    /// \brief Looks the request's route and organisation up in the configuration in force now. Called before each
    /// sending: a key or a route may have gone while the request waited.
    /// \returns Why the request must not run, or nothing.
    [[nodiscard]] std::optional<Refusal> authorise(core::Time now);

    /// \brief What the request asks of its target now. A request that has waited a part of its aim may queue at one.
    /// The first call counts the request in the fleet's bound on repeated sends.
    [[nodiscard]] TargetQuery query(core::Time now);

    /// \brief Chooses targets with what this daemon knows now.
    [[nodiscard]] std::optional<ChosenTargets> choose(core::Time now);

    /// \brief Notes that the request goes to these targets: their work counts from here.
    /// \param scheduler Name of the VM whose scheduler chose them; empty: this daemon did.
    void begin(const ChosenTargets &chosen, std::string_view scheduler, core::Time now);
    /// \brief Notes that the target said something.
    void heard(core::Time now) noexcept;
    /// \brief Notes an event or the whole answer.
    void answered(core::Time now);
    /// \brief Notes that an attempt ended.
    void endAttempt(core::Outcome outcome, core::Reason reason, std::optional<TargetFault> fault,
                    const std::string &detail, core::Time now);
    /// \brief Notes that the attempt ended before anything was written.
    /// \param reason Why the target must get nothing.
    void withhold(core::Reason reason, core::Time now);
    /// \brief Notes that an engine did not help the target. One that leaves, is full or cannot be reached is named at
    /// once: it is not asked for help for a while, and may answer requests of its own well. One that was waited for in
    /// vain is left out.
    void helpRefused(const core::Ref<Target> &helper, core::Time now);
    /// \brief Notes that an engine did not set memory aside.
    void memoryRefused(const core::Ref<Target> &helper, core::Time now);

    /// \brief Notes that a target of the attempt in progress ended: its connection broke, and nothing listens there.
    void targetEnded(const core::Ref<Target> &target, core::Time now);

    /// \brief Whether to send the request again; takes the repeated send out of the fleet's bound.
    /// \param cause Why the last attempt failed.
    [[nodiscard]] bool takeResend(bool mayRepeat, core::Reason cause, core::Time now);

    /// \brief Notes the end of the request.
    /// \param status Status the caller got; 0: the connection ended instead.
    void finish(core::Outcome outcome, core::Reason reason, int status, core::Time now);

    /// @}
    /// \name Queries
    /// @{

    [[nodiscard]] const RequestFacts &facts() const noexcept;
    /// \brief Tells the same work apart from other work, whatever id and daemon it comes with: host, content and
    /// organisation. Known once the request was authorised.
    [[nodiscard]] const core::Digest &digest() const noexcept;
    [[nodiscard]] const config::Route &route() const noexcept;
    [[nodiscard]] const std::string &organisation() const noexcept;
    /// \brief The operator's priority of the request; 0 is the most urgent.
    [[nodiscard]] int priority() const noexcept;
    [[nodiscard]] core::Time deadline() const noexcept;
    [[nodiscard]] int attempts() const noexcept;
    /// \brief Whether some attempt may have run.
    [[nodiscard]] bool ranSomewhere() const noexcept;
    /// \brief Priority to tell engines.
    [[nodiscard]] int enginePriority() const noexcept;
    /// \brief Silence of a target before its first bytes, and between bytes, until it is checked.
    [[nodiscard]] core::Duration patience(const ChosenTargets &chosen, bool answering) const noexcept;
    /// \brief Silence of a target that takes connections until another one is tried.
    [[nodiscard]] core::Duration longestSilence(const ChosenTargets &chosen, bool answering) const noexcept;
    /// \brief How long a caller waits for the first event before it leaves.
    [[nodiscard]] core::Duration callerPatience() const noexcept;
    /// \brief Whether no target of the request's service is listed: waiting for one has no ground.
    [[nodiscard]] bool hasNoTarget(core::Time now) const;
    /// \brief Why there is none: the service has no targets, or all of them are in evacuated failure domains.
    [[nodiscard]] core::Reason whyNoTarget(core::Time now) const;
    /// \brief When the first of the targets that the request may go to takes requests of this daemon again; nothing:
    /// one does now, or there is none.
    [[nodiscard]] std::optional<core::Time> backAt(const TargetQuery &query, core::Time now) const;
    /// \brief Why that target takes none until then.
    [[nodiscard]] core::Reason whyAway(const TargetQuery &query, core::Time now) const;
    /// \brief Whether waiting until `backAt` is in vain: the request would be refused, or be late for good, before.
    [[nodiscard]] bool backTooLate(core::Time backAt, core::Time now) const noexcept;
    /// \brief When a request that waits for `backAt` goes on: not all at once, the operator's priority first.
    [[nodiscard]] core::Time wakeAt(core::Time backAt) const;
    /// \brief Whether a request that no target takes should be refused now rather than wait on. Only time without a
    /// target counts: what was lost to one that did not take the connection says nothing of the others.
    [[nodiscard]] bool waitedEnough(core::Time now) const noexcept;
    /// \brief Whether the target said something to any request not long ago: it is slow then, not gone.
    [[nodiscard]] bool targetLives(core::Time now) const noexcept;
    /// \brief Whether the attempt in progress needs a target: it answers, or has a part of the prompt to read or to
    /// keep.
    [[nodiscard]] bool needs(const Target &target) const noexcept;
    /// \brief Whether the request is served by a model engine.
    [[nodiscard]] bool atEngine() const;
    /// \brief The target of the attempt in progress.
    [[nodiscard]] const core::Ref<Target> &target() const noexcept;
    /// \brief When the attempt in progress began, before its connection was made.
    [[nodiscard]] core::Time sentAt() const noexcept;
    /// \brief The engine at an address that was asked to help with the request; null when none was.
    [[nodiscard]] core::Ref<Target> helperAt(const core::Address &address) const;
    /// \brief When a caller that is refused now should come back.
    [[nodiscard]] core::Duration retryAfter(core::Reason reason, core::Time now) const;
    /// \brief The relay's own last word.
    [[nodiscard]] Refusal lastWord(core::Reason reason, core::Time now) const;

    /// @}

private:
    /// Requests that a service's targets can run at once, as this daemon believes.
    struct Places
    {
        std::int64_t taken = 0;
        std::int64_t all = 0;
    };

    /// When a target takes requests of this daemon again, and why not now.
    struct Away
    {
        core::Time until;
        core::Reason why;
    };

    /// Nothing: it may get one now. Of engines whose prompts a scheduler places, only that one knows it.
    [[nodiscard]] std::optional<Away> away(const Target &target, core::Time now) const;
    /// The first target back; nothing: one is there, or there is none.
    [[nodiscard]] std::optional<Away> firstBack(const TargetQuery &query, core::Time now) const;
    void noteDigest();
    /// Notes that the target, and the engines that help it, were reached.
    void noteReached();
    /// Refuses work that is known to end its targets; takes the trial of it where one is due here.
    [[nodiscard]] std::optional<Refusal> refuseQuarantined(core::Time now);
    /// Notes that the work ran to an end and its target lives.
    void noteSurvived(core::Time now);
    /// Takes a repeated send out of the fleet's bound.
    [[nodiscard]] bool takeRepeat(core::Reason cause, core::Time now);
    /// Tells the scheduler soon that this daemon's work changed.
    void noteWork();
    [[nodiscard]] Places placesOf(const std::string &service, core::Time now) const;
    [[nodiscard]] PromptRequest promptRequest(core::Time now) const;
    [[nodiscard]] const std::string &chooseService();
    [[nodiscard]] bool isTight() const noexcept;
    [[nodiscard]] Refusal refuse(core::Reason reason, core::Time now) const;
    /// Time without a target after which a request that ran nowhere is refused.
    [[nodiscard]] core::Duration longestWait() const noexcept;
    /// A place in the order of return, from 0 to 1: the operator's priorities one after the other, drawn within each.
    [[nodiscard]] double placeInOrder() const;

    RelayContext &m_context;
    const RequestFacts m_facts;
    const core::Time m_arrivedAt;
    config::RouteTableRef m_table; ///< Keeps `m_route` alive.
    const config::Route *m_route = nullptr;
    std::string m_service;
    std::string m_organisation;
    core::Digest m_digest;
    std::int64_t m_priority = 0;
    core::Time m_deadline = absl::InfiniteFuture();
    bool m_counted = false; ///< Whether the service's ledger knows of the request.
    std::vector<std::unique_ptr<Share>> m_shares;
    std::vector<std::uint32_t> m_sentTo; ///< Hashes of targets that have seen the request.
    std::vector<std::uint32_t> m_unreachable; ///< Hashes of targets that took no connection.
    std::vector<std::uint32_t> m_refusedBy; ///< Of those in `m_sentTo`, the ones that did not begin.
    ChosenTargets m_current;
    bool m_someHelpRefused = false; ///< Whether an engine did not help with this request before.
    bool m_helperAtFault = false; ///< Whether the current target was kept from answering by one that should help it.
    core::Duration m_atTargets = absl::ZeroDuration(); ///< Time spent in attempts that ended.
    core::Time m_sentAt = absl::InfinitePast();
    core::Time m_answeredAt = absl::InfinitePast(); ///< First event, or the whole answer.
    core::Time m_lastEventAt = absl::InfinitePast();
    core::Duration m_longestGap = absl::ZeroDuration(); ///< Between events.
    int m_attempts = 0;
    core::Reason m_repeatCause = core::Reason::None; ///< Why the request is sent beyond the first time; None: it isn't.
    bool m_ranSomewhere = false;
    bool m_isTrial = false; ///< Sent though it is quarantined, to see whether it still ends its target.
    bool m_finished = false;
};

} // namespace spurlug::relay
