//----------------------------------------------------------------------------------------------------------------------
// spurlug: client side of the scheduler protocol
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/control/messages.h"
#include "spurlug/control/roster.h"
#include "spurlug/control/scheduler.h"
#include "spurlug/net/mailbox.h"
#include "spurlug/relay/attempt.h"
#include "spurlug/relay/context.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spurlug::control
{

/// \brief The scheduler that a daemon should use.
struct ChosenScheduler
{
    Member member;
    bool fallback = false; ///< It replaces the fleet's scheduler and uses only targets of this failure domain.
};

/// \brief Selects the scheduler, reports this daemon's work to it, and transports placement requests and replies.
///
/// The first holder of the scheduler role in the fleet schedules. A scheduler that does not answer is suspected:
/// the second holder replaces it until it answers again or 10 s have passed. If that one does not answer either, as in
/// a partitioned failure domain, the first holder in this failure domain acts as fallback. It uses only engines of that
/// domain, so that the fallback schedulers of several domains never choose the same engine. A daemon that is isolated,
/// or whose request found two unresponsive schedulers, places the prompt itself.
class SchedulerClient
{
public:
    /// \brief Sends a datagram.
    using Send = std::function<void(const core::Address &, const Message &)>;

    SchedulerClient(relay::RelayContext &context, Scheduler &ownScheduler, Send send);

    /// \name Commands
    /// @{

    /// \brief Registers a new placement request, whose replies are posted to `inbox`.
    /// \returns The number of the placement request.
    [[nodiscard]] std::uint64_t openRequest(core::Ref<relay::RequestInbox> inbox);
    /// \brief Sends an open placement request; the reply of this daemon's own scheduler is posted at once.
    void sendRequest(const PlacementRequest &request, const ChosenScheduler &scheduler, core::Time now);
    /// \brief Removes a placement request; unless its grant is used, cancels it at the schedulers.
    void closeRequest(std::uint64_t requestNumber, bool grantUsed);
    /// \brief Processes a scheduler's reply.
    void handleReply(const PlacementReply &reply, core::Time now);
    /// \brief Notes that this daemon sent a request to the granted targets.
    void noteGrantUsed(const PlacementReply &reply);

    /// \brief Stops using a scheduler, for example because it did not answer.
    /// \param reason Logged.
    void suspect(const std::string &vm, std::string_view reason, core::Time now);
    /// \brief Notes that a daemon is alive and schedules; it may be used again.
    void clearSuspicion(const std::string &vm, core::Time now);

    /// \brief Notes that this daemon's work changed, so that it is reported soon.
    void noteWorkChanged();
    /// \brief Queues the result of an attempt, or of one engine's help for another, for the next report.
    void queueOutcome(const TargetOutcome &outcome);

    /// @}

    /// \brief Number of outcomes that have not been reported yet.
    [[nodiscard]] std::size_t queuedOutcomeCount() const noexcept
    {
        return m_outcomes.size();
    }

    /// \brief The scheduler to ask now; nothing if this daemon should place prompts itself.
    [[nodiscard]] std::optional<ChosenScheduler> scheduler() const;

    /// \brief Reports this daemon's work when it changes, and periodically while there is any. Never returns.
    [[nodiscard]] net::Task<> reportWork();

private:
    struct Suspicion
    {
        core::Time since;
        core::Time probedAt;
    };
    struct WorkChanged
    { };

    void sendReport(core::Time now);
    void probeSuspects(core::Time now);
    [[nodiscard]] WorkReport composeReport(core::Time now);
    [[nodiscard]] bool isSuspected(const std::string &vm) const;
    [[nodiscard]] core::Duration reportInterval() const;

    relay::RelayContext &m_context;
    Scheduler &m_ownScheduler;
    const Send m_send;
    net::Mailbox<WorkChanged> m_changeMailbox;
    bool m_changePending = false; ///< Whether a change has not been reported yet.
    bool m_lastReportHadWork = false; ///< Whether the last report contained work.
    std::map<std::uint64_t, core::Ref<relay::RequestInbox>> m_openRequests; ///< Open placement requests.
    std::map<std::uint64_t, core::Address>
        m_lastSentTo; ///< Scheduler to which each open placement request was sent last.
    std::map<std::string, Suspicion> m_suspects;
    std::vector<TargetOutcome> m_outcomes; ///< Not reported yet.
    const std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_newestRequest = 0;
    std::uint64_t m_newestGrant = 0; ///< Newest used grant of `m_lastScheduler`.
    std::string m_lastScheduler;
};

/// \brief Obtains a placement for one request from the scheduler; the destructor cancels it unless a grant is used.
class PlacementSession
{
public:
    /// \param client Null if there is no control plane; the daemon then places the prompt itself.
    PlacementSession(relay::RelayContext &context, SchedulerClient *client, core::Ref<relay::RequestInbox> inbox);
    ~PlacementSession();
    PlacementSession(const PlacementSession &) = delete;
    PlacementSession &operator=(const PlacementSession &) = delete;

    /// \brief Sends or repeats the placement request if it is due.
    /// \param query Requirements of the request; without a prompt no scheduler is asked.
    /// \returns False if the daemon must place the request itself: no scheduler is available or should be asked again.
    [[nodiscard]] bool sendIfDue(const relay::TargetQuery &query, int priority, core::Time now);

    /// \brief Processes a reply.
    /// \returns The targets, if the reply is a grant that this daemon can use.
    [[nodiscard]] std::optional<relay::ChosenTargets> handleReply(const PlacementReply &reply, core::Time now);

    /// \brief The retry time of the caller if the scheduler refused the request; 0 if a retry cannot succeed.
    [[nodiscard]] std::optional<core::Duration> refusal() const noexcept
    {
        return m_refusal;
    }

    /// \brief Whether a scheduler has queued the request, also while another one is asked because the first is silent.
    [[nodiscard]] bool isHeld() const noexcept
    {
        return m_held;
    }

    /// \brief When `sendIfDue` should be called next.
    [[nodiscard]] core::Time nextDueAt() const noexcept
    {
        return m_nextDueAt;
    }

private:
    /// Cancels the placement request; the next `sendIfDue` opens a new one.
    void cancelRequest();
    void sendRequest(const ChosenScheduler &scheduler, const relay::TargetQuery &query, int priority, core::Time now);

    relay::RelayContext &m_context;
    SchedulerClient *m_client;
    std::uint64_t m_requestNumber = 0; ///< 0 if none is open.
    std::string m_schedulerVm; ///< VM of the scheduler that was asked last.
    core::Time m_requestedAt = absl::InfinitePast(); ///< Start of the time within which it must answer.
    core::Time m_nextDueAt = absl::InfinitePast();
    int m_unresponsiveCount = 0; ///< Schedulers that did not answer this request.
    int m_cancelledCount = 0; ///< Placement requests that were cancelled after their grant.
    bool m_queued = false; ///< Whether it replied that the request is queued.
    bool m_held = false; ///< Whether any scheduler replied that the request is queued.
    bool m_mayHaveRun = false; ///< Whether a target may have processed the request; a refusal does not apply then.
    std::optional<core::Duration> m_refusal;
    bool m_grantUnusable = false; ///< Whether a grant contained targets that this daemon cannot use.
    bool m_granted = false;
    core::Ref<relay::RequestInbox> m_inbox;
};

} // namespace spurlug::control
