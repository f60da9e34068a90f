//----------------------------------------------------------------------------------------------------------------------
// spurlug: central placement of the prompts of all daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/control/admission_control.h"
#include "spurlug/control/messages.h"
#include "spurlug/membership/message_order.h"
#include "spurlug/overload/fair_queue.h"
#include "spurlug/overload/grant_round.h"
#include "spurlug/overload/load_view_publisher.h"
#include "spurlug/relay/target_choice.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace spurlug::control
{

/// \brief Places prompts for all daemons that ask this one.
///
/// In a large fleet each daemon sees few requests: with 295 daemons, less than one a second each. Its own counts then
/// say nothing about the load of an engine, and loads exchanged between all daemons at an acceptable message rate would
/// be half a second old. The scheduler therefore collects the work of all daemons: each daemon reports its own work
/// when it changes, and a grant counts from the moment it is given. The number of messages grows with the requests (a
/// placement request, its reply and about two reports each), not with the pairs of daemons.
///
/// The state is soft: each report replaces the previous one and expires, so that a scheduler that takes over knows all
/// work within one report interval. Two schedulers at once cost only efficiency. The class does no network I/O.
class Scheduler
{
public:
    explicit Scheduler(relay::RelayContext &context);

    /// \brief Sets the callback for a newly queued request, after which `placeQueued` should be called soon.
    void setQueuedCallback(std::function<void()> callback);

    /// \name Commands
    /// @{

    /// \brief Applies a daemon's work report, unless a newer one is known.
    void applyReport(const WorkReport &report, core::Time now);

    /// \brief Places a prompt, or queues its request until an engine is free for it. A repeated request, sent because
    /// datagrams get lost, gets the same reply.
    [[nodiscard]] PlacementReply handleRequest(const PlacementRequest &ask, core::Time now);

    /// \brief Removes a request, and its grant if it has one.
    void cancel(const PlacementCancel &cancel);

    /// \brief Removes a grant that this daemon used itself, because its own work is known without reports.
    void noteGrantUsed(std::uint64_t grant);

    /// \brief Places queued requests, ordered by the operator's priority; then those that can still be in time before
    /// late ones; then those that tolerate only short gaps before others, because they occupy an engine for a fraction
    /// of the time; then by the least time to spare. A late request that tolerates longer gaps is skipped while another
    /// of that kind can still be in time; with admission by prediction, only if that one is no larger. Requests that
    /// cannot be served before their callers leave are then refused.
    ///
    /// With fair shares, the start time of the organisation precedes the time to spare, and less urgent requests get a
    /// share of the grants, see overload::FairQueue and overload::FloorCredits.
    /// \returns Pairs of a daemon's VM and its grant or refusal.
    [[nodiscard]] std::vector<std::pair<std::string, PlacementReply>> placeQueued(core::Time now);

    /// \brief Removes expired reports, grants and requests, such as those of daemons that have gone silent, and updates
    /// the gauges of the backlog once a second.
    void removeExpired(core::Time now);

    /// @}

    /// \brief Number of requests that wait for an engine.
    [[nodiscard]] std::size_t queuedCount() const noexcept
    {
        return m_queue.size();
    }

private:
    struct QueuedRequest
    {
        PlacementRequest request;
        core::Time arrivedAt; ///< When the caller's request arrived at its daemon.
        core::Time lastReceivedAt; ///< When the request was received last.
        core::Time queuedAt = absl::InfinitePast(); ///< When the request was received first.
        AdmissionTicket ticket; ///< Only with admission by prediction.
    };

    struct Grant
    {
        PlacementReply reply;
        std::string vm; ///< Daemon that received the grant.
        core::Time grantedAt;
    };

    /// Requests of one service and kind that found no engine in a round.
    struct FailedPlacements
    {
        int consecutive = 0;
        int total = 0;
    };

    struct ReportState
    {
        membership::MessageOrder order;
        core::Time receivedAt = absl::InfinitePast();
    };

    using Grants = std::map<std::uint64_t, Grant>;

    [[nodiscard]] std::optional<PlacementReply> place(const PlacementRequest &placementRequest, core::Time arrivedAt,
                                                      core::Time now);
    [[nodiscard]] bool canSchedule(const std::string &service) const;
    /// Sorts the queue into the order of the grants.
    /// \returns What this order depends on, by position in the queue.
    std::vector<overload::QueueItem> sortQueue(core::Time now);
    /// What the place of a request in the order of the grants depends on.
    [[nodiscard]] overload::QueueItem queueItem(const QueuedRequest &queued, core::Time now) const;
    /// Notes the grant of a request on its arrival for the fair shares and floors of those that wait.
    void noteDirectGrant(const QueuedRequest &queued, core::Time now);
    [[nodiscard]] std::vector<std::size_t> grantOrder(const std::vector<overload::QueueItem> &items);
    /// Engine time that a request needs, ms: its prefill on all engines, and its part of the passes of a full engine.
    [[nodiscard]] double engineMs(const PlacementRequest &request) const;
    /// Whether a new request must queue because others of its kind wait for the service, which are at least as
    /// urgent and may use any engine. With fair shares all of them count, because organisations with more new requests
    /// would get more engines; with admission by prediction those that can be in time, because a new request would
    /// overtake them.
    [[nodiscard]] bool waitsBehindOthers(const PlacementRequest &request) const;
    /// Whether no more requests of a kind are tried in a round.
    [[nodiscard]] bool endsRound(const FailedPlacements &failures, bool shortGaps) const;
    void noteQueuedGrant(const overload::QueueItem &item, overload::GrantRound &round);
    /// Time that would be left until the first event of a prompt is due if as many engines as may share it began to
    /// prefill it now; negative if it will be late.
    [[nodiscard]] core::Duration slackTime(const QueuedRequest &queued, core::Time now) const;
    /// Whether the first event of a waiting prompt can still meet its objective.
    [[nodiscard]] bool canBeInTime(const QueuedRequest &queued, core::Time now) const;
    void updateInTimePromptWaits(core::Time now);
    /// Handles a new request with admission by prediction.
    [[nodiscard]] PlacementReply admit(QueuedRequest queued, core::Time now);
    /// Waiting work that is placed before a request.
    [[nodiscard]] overload::WorkAhead workAhead(const QueuedRequest &queued) const;
    /// Notes a grant for the predictions.
    void noteGrant(const QueuedRequest &queued, const PlacementReply &grant, core::Time now);
    /// Removes the queued requests that cannot be served before their callers leave, after a round of placements.
    /// \returns Pairs of a daemon's VM and its refusal.
    [[nodiscard]] std::vector<std::pair<std::string, PlacementReply>> refuseHopeless(core::Time now);
    void applyOutcome(const TargetOutcome &outcome, const WorkReport &report, core::Time now);
    /// Records how an engine responded when another one asked it for help. An engine that refuses help may still answer
    /// its own requests well.
    void recordHelpOutcome(relay::Target &target, const TargetOutcome &outcome, core::Time now);
    /// Records what an outcome says about the link between the two failure domains.
    void recordLinkOutcome(const TargetOutcome &outcome, const std::string &requesterDomain, core::Time now);
    /// Failure domain named by a daemon; this daemon's if the name is empty.
    [[nodiscard]] const std::string &domainOrOwn(const std::string &domain) const;
    Grants::iterator removeGrant(Grants::iterator grant);
    /// Backlog by kind.
    [[nodiscard]] std::array<overload::KindLoad, overload::KindCount> currentKindLoads(core::Time now) const;
    /// Adds a load view to a queued or refused reply, unless the daemon got one recently.
    void attachLoadView(PlacementReply &reply, const std::string &vm, core::Time now);
    void updateGauges(core::Time now);

    relay::RelayContext &m_context;
    std::function<void()> m_onQueued = [] {};
    Grants m_grants; ///< By number.
    std::vector<QueuedRequest> m_queue;
    AdmissionControl m_admission;
    std::map<std::string, ReportState> m_reportStates; ///< By daemon.
    std::uint64_t m_newestGrant = 0;
    overload::FairQueue m_fairQueue;
    overload::FloorCredits m_floors;
    /// Whether a queued prompt that tolerates longer gaps can still be in time. Used only with admission by prediction.
    bool m_inTimePromptWaits = true;
    overload::LoadViewPublisher m_views;
    core::Time m_gaugesUpdatedAt = absl::InfinitePast();
};

} // namespace spurlug::control
