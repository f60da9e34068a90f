//----------------------------------------------------------------------------------------------------------------------
// spurlug: state and decisions of one relayed request
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/relay/answer_result.h"
#include "spurlug/relay/context.h"
#include "spurlug/relay/request_info.h"
#include "spurlug/relay/target_choice.h"
#include "spurlug/relay/wait_policy.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spurlug::relay
{

/// \brief Makes all decisions about one request from its arrival to its end, and logs and counts them.
///
/// Does no I/O: the coroutine in RequestHandler that transfers the bytes asks it what to do and reports what happened.
class RequestProgress
{
public:
    RequestProgress(RelayContext &context, RequestInfo facts, core::Time arrivedAt);
    ~RequestProgress();
    RequestProgress(const RequestProgress &) = delete;
    RequestProgress &operator=(const RequestProgress &) = delete;

    /// \name Commands
    /// @{

    /// \brief Looks up the route and organisation of the request in the current configuration. Called before each
    /// attempt, because a key or a route may have been removed while the request waited.
    /// \returns The refusal if the request must not run.
    [[nodiscard]] std::optional<Refusal> authorise(core::Time now);

    /// \brief The current criteria for a target. A request that has waited for a certain share of the
    /// `latencyObjective` of its route may queue at a target. The first call for a service counts the request towards
    /// the retry budget of that service.
    [[nodiscard]] TargetQuery query(core::Time now);

    /// \brief Chooses targets using the current knowledge of this daemon.
    /// \returns Nothing if no target is free or the evacuations are not known yet.
    [[nodiscard]] std::optional<ChosenTargets> choose(core::Time now);

    /// \brief Whether this daemon may place the request without a scheduler now: by the last load view, its part of the
    /// fleet's capacity is not used up. Always true for a request that may have run.
    [[nodiscard]] bool mayDecideAlone(const TargetQuery &query, core::Time now);
    /// \brief Charges a request that this daemon placed without a scheduler to its part of the fleet's capacity.
    void noteDecidedAlone(const TargetQuery &query, core::Time now);

    /// \brief Starts an attempt at these targets; the request counts towards their load from now on.
    /// \param scheduler Name of the VM whose scheduler chose them; empty if this daemon chose them.
    void beginAttempt(const ChosenTargets &chosen, std::string_view scheduler, core::Time now);
    /// \brief Records that the attempt reaches its target through a peer.
    void recordTunnel(const std::string &peer);
    /// \brief Records that the target sent bytes or accepted a connection.
    void recordActivity(core::Time now) noexcept;
    /// \brief Records that a stream event or the complete answer arrived.
    void recordAnswer(core::Time now);
    /// \brief Records that the engine of the current attempt answers the prompt without crashing: it gave a whole
    /// successful answer, or has answered for long.
    void recordPartsSound(core::Time now);
    /// \brief Records what the request waits for now.
    void setStage(RequestStage stage) noexcept;
    /// \brief Records that an attempt ended.
    /// \param fault What the target did wrong, if anything.
    /// \param detail Description for the log.
    void endAttempt(core::Outcome outcome, core::Reason reason, std::optional<TargetFault> fault,
                    const std::string &detail, core::Time now);
    /// \brief Records that the attempt ended before anything was written.
    /// \param reason Why nothing may be sent to the target.
    void cancelAttempt(core::Reason reason, core::Time now);
    /// \brief Records that an engine did not help the target. The target reports a helper that is shutting down, full
    /// or unreachable at once: that helper is not asked for help for a while, but it may still be able to answer
    /// requests itself. A helper for which the target waited in vain is ejected.
    void recordHelpFailure(const core::Ref<Target> &helper, core::Time now);
    /// \brief Records that an engine refused to reserve memory.
    void recordReservationRefusal(const core::Ref<Target> &helper, core::Time now);

    /// \brief Records that the process of a target of the current attempt ended: the connection broke or became
    /// silent, and a new connection was refused. The crash counts against the content of the request, and against the
    /// shared parts of its prompt unless the answer began long before.
    void recordTargetCrash(const core::Ref<Target> &target, core::Time now);

    /// \brief Records the scheduler's refusal of a request that has run nowhere.
    /// \param retryAfter When the caller should return; 0 if a retry cannot succeed.
    void recordRefusal(core::Duration retryAfter) noexcept;

    /// \brief Whether to send the request again; charges the retry to the fleet-wide retry budget.
    /// \param isRepeatable Whether the request may be processed twice.
    /// \param cause Why the last attempt failed.
    [[nodiscard]] bool allowRetry(bool isRepeatable, core::Reason cause, core::Time now);

    /// \brief Records the end of the request; later calls do nothing.
    /// \param status HTTP status that the caller got; 0 if its connection ended instead.
    void finish(core::Outcome outcome, core::Reason reason, int status, core::Time now);

    /// @}
    /// \name Queries
    /// @{

    [[nodiscard]] const RequestInfo &facts() const noexcept;
    /// \brief Identifies the work of the request independently of its ID and of the daemon: a digest of organisation,
    /// host and content. Set once the request is authorised.
    [[nodiscard]] const core::Digest &digest() const noexcept;
    /// \brief Digests of everything in the request that may be quarantined: its content and the shared parts of its
    /// prompt. Empty while the request is sent as a trial.
    [[nodiscard]] std::vector<core::Digest> suspects() const;
    /// \brief Whether its content or a shared part of its prompt is quarantined.
    [[nodiscard]] bool isQuarantined() const;
    /// \brief Whether the request must not be sent to any target because it would crash it.
    [[nodiscard]] bool isWithheld() const
    {
        return !m_isTrial && isQuarantined();
    }
    [[nodiscard]] const config::Route &route() const noexcept;
    [[nodiscard]] const std::string &organisation() const noexcept;
    /// \brief Priority that the operator configured for the request; 0 is the most urgent.
    [[nodiscard]] int priority() const noexcept;
    [[nodiscard]] core::Time deadline() const noexcept;
    /// \brief How long the request takes from the start of an attempt to the end of its answer.
    /// \param chosen The targets of the attempt; null if they are not chosen yet.
    [[nodiscard]] core::Duration expectedDuration(const ChosenTargets *chosen) const;
    /// \brief Latest time to start an attempt so that it ends before this daemon exits; infinite unless it shuts down.
    /// \param chosen The targets of the attempt; null if they are not chosen yet.
    [[nodiscard]] core::Time latestStart(const ChosenTargets *chosen = nullptr) const;
    [[nodiscard]] int attempts() const noexcept;
    /// \brief Whether any ended attempt may have been processed by its target.
    [[nodiscard]] bool mayHaveRun() const noexcept;
    /// \brief Priority to send to engines: from the operator's priority and the prompt length. Only for requests with a
    /// prompt.
    [[nodiscard]] int enginePriority() const noexcept;
    /// \brief How long a target may send nothing before it is checked.
    /// \param bodyStarted Whether bytes of the answer have arrived.
    [[nodiscard]] core::Duration silenceCheckDelay(const ChosenTargets &chosen, bool bodyStarted) const noexcept;
    /// \brief How long a target that accepts connections may send nothing before another target is tried.
    /// \param bodyStarted Whether bytes of the answer have arrived.
    [[nodiscard]] core::Duration silenceTimeout(const ChosenTargets &chosen, bool bodyStarted) const noexcept;
    /// \brief How long a caller waits for the first event before it abandons the stream.
    [[nodiscard]] core::Duration callerTimeout() const noexcept;
    /// \brief Whether no target of the service is listed and the request has run nowhere, so that waiting is pointless.
    [[nodiscard]] bool hasNoTarget(core::Time now) const;
    /// \brief Why no target is listed: the service has none, or all of them are in evacuated failure domains.
    [[nodiscard]] core::Reason noTargetReason(core::Time now) const;
    /// \brief When the first permitted target accepts requests from this daemon again; nothing if one does now or if
    /// there is none.
    [[nodiscard]] std::optional<core::Time> availableAt(const TargetQuery &query, core::Time now) const;
    /// \brief Why that target accepts no requests until then.
    [[nodiscard]] core::Reason unavailabilityReason(const TargetQuery &query, core::Time now) const;
    /// \brief Whether the request would be refused or reach its deadline before `availableAt`, so that waiting is
    /// pointless.
    [[nodiscard]] bool availableTooLate(core::Time availableAt, core::Time now) const noexcept;
    /// \brief When a request that waits for `availableAt` continues: staggered, in the order of the operator's
    /// priority.
    [[nodiscard]] core::Time continueAt(core::Time availableAt) const;
    /// \brief Whether a request without an available target should be refused now instead of waiting longer. The time
    /// spent in attempts is not counted: a target that did not accept the connection says nothing about the others.
    /// \param heldByScheduler Whether a scheduler has queued the request. With admission by prediction it then decides,
    /// and the request waits until its caller leaves.
    [[nodiscard]] bool waitExpired(core::Time now, bool heldByScheduler = false) const noexcept;
    /// \brief Whether the target recently sent bytes for any request or passed a check, so that it is slow, not dead.
    [[nodiscard]] bool targetIsAlive(core::Time now) const noexcept;
    /// \brief Whether the current attempt depends on a target: it answers the request, holds KV memory for the prompt,
    /// or has not processed its part of the prompt yet.
    [[nodiscard]] bool dependsOn(const Target &target) const noexcept;
    /// \brief Whether the request is served by a model engine.
    [[nodiscard]] bool usesEngine() const;
    /// \brief The target of the current attempt.
    [[nodiscard]] const core::Ref<Target> &target() const noexcept;
    /// \brief When the current attempt started, before its connection was established.
    [[nodiscard]] core::Time sentAt() const noexcept;
    /// \brief The helper of the current attempt at this address; null if there is none.
    [[nodiscard]] core::Ref<Target> helperAt(const core::Address &address) const;
    /// \brief After which time a caller that is refused now should retry; 0 if a retry cannot succeed.
    [[nodiscard]] core::Duration retryAfter(core::Reason reason, core::Time now) const;
    /// \brief The final error answer if no attempt succeeded.
    [[nodiscard]] Refusal finalRefusal(core::Reason reason, core::Time now) const;

    /// @}

private:
    /// Slots of the targets of a service, as known to this daemon.
    struct SlotUsage
    {
        std::int64_t used = 0;
        std::int64_t total = 0;
    };

    /// Nothing if the target accepts a request now. The rate limits of engines are not checked: only the scheduler that
    /// places their prompts knows whether the limit admits one.
    [[nodiscard]] std::optional<Unavailability> unavailability(const Target &target, core::Time now) const;
    /// The permitted target that is available first; nothing if one is available now or if there is none.
    [[nodiscard]] std::optional<Unavailability> earliestAvailability(const TargetQuery &query, core::Time now) const;
    /// The IDs of the shared parts of the prompt, as many as a log line holds.
    [[nodiscard]] std::string partsForLog() const;
    /// Computes `m_digest`.
    void computeDigest();
    /// Records the first event of an attempt at an engine, which proves that the engine works.
    void recordFirstEvent(core::Time now);
    /// Records that the target and the engines that help it were reached.
    void recordReachability();
    /// Refuses work that is known to crash its targets, unless this daemon now sends it as a trial.
    [[nodiscard]] std::optional<Refusal> refuseQuarantined(core::Time now);
    /// A random target for a trial: it must not run beside other trials, which may crash their targets. Drawn anew if
    /// the last one is no longer available.
    [[nodiscard]] std::vector<std::uint32_t> trialTargets(const std::string &service, core::Time now);
    /// Starts a trial if it can tell several quarantined parts apart.
    [[nodiscard]] bool tryStartComparison(core::Time now);
    /// Starts a trial if one is due for everything in the request that is quarantined.
    [[nodiscard]] bool tryStartTrials(core::Time now);
    /// Records that the request completed without crashing its target.
    void recordSuccess(core::Time now);
    /// Whether the current attempt has answered for so long that no part of the prompt crashes its engine.
    [[nodiscard]] bool hasAnsweredForLong(core::Time now) const noexcept;
    /// Has other daemons told what this request showed about crashes.
    void publishCrashRecords(core::Time now);
    /// The ratios of observed to expected times that the ended attempt showed; empty unless it got a whole answer.
    [[nodiscard]] SpeedSamples speedSamples(core::Time now);
    /// Charges a retry to the fleet-wide retry budget.
    /// \returns Whether the budget allows it.
    [[nodiscard]] bool chargeRetryBudget(core::Reason cause, core::Time now);
    /// Has the scheduler informed soon that the load from this daemon changed.
    void reportLoadChange();
    [[nodiscard]] SlotUsage slotUsage(const std::string &service, core::Time now) const;
    [[nodiscard]] PromptRequest promptRequest(core::Time now) const;
    [[nodiscard]] const std::string &chooseService();
    /// Whether a request without a scheduler is limited to this daemon's part of the fleet's capacity.
    [[nodiscard]] bool isLimitedAlone(const TargetQuery &query) const noexcept;
    /// Cost of a prompt for overload::LocalAdmission.
    [[nodiscard]] double admissionCost(const TargetQuery &query) const;
    /// Whether the stream tolerates only short gaps between events.
    [[nodiscard]] bool needsShortGaps() const noexcept;
    /// Whether the stream tolerates the longest gap of its service; false while admission by prediction is not active.
    [[nodiscard]] bool toleratesLongestGap() const;
    [[nodiscard]] Refusal refuse(core::Reason reason, core::Time now) const;
    /// What the wait of the request depends on.
    [[nodiscard]] WaitingRequest waitingRequest() const noexcept;
    /// Draws a position in the order in which waiting requests continue.
    [[nodiscard]] double drawWakePosition() const;

    RelayContext &m_context;
    const RequestInfo m_facts;
    const core::Time m_arrivedAt;
    ActiveRequest m_registration;
    config::RouteTableRef m_table; ///< Keeps `m_route` alive.
    const config::Route *m_route = nullptr;
    std::string m_service;
    std::string m_organisation;
    core::Digest m_digest;
    const std::vector<core::Digest> m_sharedParts; ///< Of the prompt; the last part is the request's own.
    std::int64_t m_priority = 0;
    core::Time m_deadline = absl::InfiniteFuture();
    bool m_countedInBudget = false; ///< Whether the request is counted towards the retry budget of `m_service`.
    std::vector<std::unique_ptr<LocalWork>> m_localWork;
    std::vector<std::uint32_t> m_sentTo; ///< Hashes of targets that may have received the request.
    std::vector<std::uint32_t> m_unreachableTargets; ///< Hashes of targets that could not be connected to.
    std::vector<std::uint32_t> m_refusingTargets; ///< Hashes of the targets in `m_sentTo` that refused the request.
    ChosenTargets m_chosen;
    std::string m_peer; ///< VM of the peer through which the current attempt reaches its target; empty if none.
    bool m_anyHelpFailed = false; ///< Whether any helper of this request refused or failed to help.
    bool m_helperCausedFailure = false; ///< Whether the current target could not answer because a helper failed.
    core::Duration m_attemptTime = absl::ZeroDuration(); ///< Total duration of the ended attempts.
    core::Time m_sentAt = absl::InfinitePast();
    core::Time m_answeredAt = absl::InfinitePast(); ///< When the first event or the complete answer arrived.
    core::Time m_lastEventAt = absl::InfinitePast();
    core::Time m_attemptAnsweredAt = absl::InfinitePast(); ///< When the first event of the current attempt arrived.
    GapMeter m_gaps; ///< Of the current attempt.
    core::Duration m_longestGap = absl::ZeroDuration(); ///< Longest time between two consecutive events.
    int m_attempts = 0;
    core::Duration m_refusalRetryAfter = absl::ZeroDuration(); ///< As told by the scheduler.
    core::Reason m_retryCause = core::Reason::None; ///< Why the request was last sent again; None if it was not.
    bool m_mayHaveRun = false;
    bool m_partsSound = false; ///< Whether the current attempt showed that no part of the prompt crashes its engine.
    std::uint32_t m_trialTarget = 0; ///< Hash of the target that a trial may be sent to; 0: not drawn yet.
    bool m_isTrial = false; ///< Sent although it is quarantined, to test whether it still crashes its target.
    bool m_finished = false;
};

} // namespace spurlug::relay
