//----------------------------------------------------------------------------------------------------------------------
// spurlug: the scheduler's admission of placement requests by prediction
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/control/messages.h"
#include "spurlug/overload/admission.h"
#include "spurlug/overload/return_book.h"
#include "spurlug/relay/context.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace spurlug::control
{

/// \brief What admission knows about one placement request.
struct AdmissionTicket
{
    overload::WaitingPrompt prompt;
    double work = 1; ///< Requests (short gaps) or engine ms of prefill (long gaps).
    bool inTime = true; ///< Whether it could be in time when it was last predicted; does not become true again.
    bool returnedOnTime = false; ///< Its caller was refused before and returned when it was told to.
    core::Duration expectedWait = absl::ZeroDuration(); ///< As last predicted.
};

/// \brief Waiting work of one service and kind.
struct LaneBacklog
{
    std::string service;
    overload::Kind kind = overload::Kind::ShortGaps;
    overload::WorkAhead work;
    bool unplaced = false; ///< Whether a request that may use any engine was left without one.
};

/// \brief Decides for the scheduler which placement requests wait in time, wait late or are refused, and keeps the
/// state that the decisions need. Soft state: a new scheduler starts without it.
class AdmissionControl
{
public:
    explicit AdmissionControl(relay::RelayContext &context);

    /// \name Commands
    /// @{

    /// \brief Notes that a daemon reported or asked: the scheduler knows the work of the fleet a while after it is
    /// first used.
    void noteActivity(core::Time now);
    /// \brief Returns the ticket of a new request and counts the return of a refused caller.
    [[nodiscard]] AdmissionTicket admit(const PlacementRequest &request, core::Time arrivedAt, core::Time now);
    /// \brief Predicts the first event of a request that was not placed, and notes it as late if it cannot be in time.
    overload::Verdict decide(const PlacementRequest &request, AdmissionTicket &ticket, const overload::WorkAhead &ahead,
                             core::Time now);
    /// \brief Notes the grant of a request.
    void noteGrant(const PlacementRequest &request, const AdmissionTicket &ticket, core::Duration expectedTtft,
                   core::Time now);
    /// \brief Notes that a request that was not refused arrived, for the arrival rate.
    void noteArrival(const PlacementRequest &request, const AdmissionTicket &ticket, core::Time now);
    /// \brief Notes that an arriving request of this service and kind, which may use any engine, waits from now on.
    void noteWaiting(const std::string &service, overload::Kind kind, core::Time now);
    /// \brief Notes that a request of this service and kind was granted on arrival. The drain rate is not measured then
    /// until the next one has to wait.
    void noteGrantAtOnce(const std::string &service, overload::Kind kind, core::Time now);
    /// \brief Notes of which services and kinds requests still wait after a round of placements.
    void noteRound(const std::vector<LaneBacklog> &backlogs, core::Time now);
    /// \brief Refuses a request, logs the refusal and keeps it for repeated asks, also for those that arrive after the
    /// daemon has withdrawn the request.
    /// \param ahead Work ahead of it.
    [[nodiscard]] PlacementReply refuse(const PlacementRequest &request, const AdmissionTicket &ticket,
                                        const overload::WorkAhead &ahead, core::Time now);
    /// \brief Removes refusals that no daemon asks for again.
    void removeExpired(core::Time now);

    /// @}
    /// \name Queries
    /// @{

    /// \brief Whether admission by prediction is active.
    [[nodiscard]] bool isActive() const noexcept;
    /// \brief Rate at which the backlog of a kind drains in all services: requests/s (short gaps) or engine ms of
    /// prefill per second (long gaps); 0 if it is not known.
    [[nodiscard]] double drainPerSecond(overload::Kind kind, core::Time now) const;
    /// \brief The refusal that a repeated request got, for the case that the datagram was lost.
    [[nodiscard]] std::optional<PlacementReply> findRefusal(const PlacementRequest &request) const;
    /// \brief Whether a request may be refused by prediction. Not if it may have run, if this scheduler has just
    /// started, or if its daemon does not know refusals: such a daemon would leave the scheduler aside.
    [[nodiscard]] bool mayRefuse(const PlacementRequest &request, core::Time now) const;
    /// \brief Whether a recent round left a request of this service and kind without an engine.
    [[nodiscard]] bool recentlyFull(const PlacementRequest &request, core::Time now) const;
    /// \brief Whether a waiting request can still be in time if it gets its engines now.
    [[nodiscard]] bool canBeInTime(const PlacementRequest &request, const AdmissionTicket &ticket,
                                   core::Time now) const;

    /// @}

private:
    /// State of one service and kind.
    struct Lane
    {
        std::string service;
        overload::Kind kind;
        overload::Admission admission;
        overload::ReturnBook returns;
        bool grantsAtOnce = false; ///< Whether the last arrival was granted at once.
        core::Time unplacedAt = absl::InfinitePast(); ///< Last round that left a request without an engine.
    };

    struct Refusal
    {
        PlacementReply reply;
        core::Time sentAt;
    };

    Lane &laneOf(const std::string &service, overload::Kind kind, core::Time now);
    [[nodiscard]] const Lane *findLane(const std::string &service, overload::Kind kind) const;
    /// Drain rate before the first measurement, work/s; 0 if it cannot be estimated.
    [[nodiscard]] double initialDrain(const std::string &service, overload::Kind kind, core::Time now) const;

    relay::RelayContext &m_context;
    std::deque<Lane> m_lanes; ///< In the order of their first request; a configuration has few services.
    std::map<std::pair<std::string, std::uint64_t>, Refusal> m_refusals; ///< By daemon and request number.
    core::Time m_lastActivityAt = absl::InfinitePast();
    core::Time m_activeSince = absl::InfinitePast();
};

/// \brief The kind of a request.
[[nodiscard]] overload::Kind kindOf(const PlacementRequest &request) noexcept;

} // namespace spurlug::control
