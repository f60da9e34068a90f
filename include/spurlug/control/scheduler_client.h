//----------------------------------------------------------------------------------------------------------------------
// spurlug: this daemon's dealings with the scheduler
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

/// \brief The scheduler to ask.
struct ChosenScheduler
{
    Member member;
    bool deputy = false; ///< It stands in for the fleet's, and places at home only.
};

/// \brief Knows which daemon schedules, tells it this daemon's work, and carries asks and answers.
///
/// The first holder of the role in the fleet schedules. One that does not answer is left aside until it says that it
/// lives, and the second one takes its place. Where that one is silent too, as in a failure domain that is cut off, the
/// first holder at home stands in, with the engines of that domain, so that the deputies of several domains never
/// choose the same engine. A daemon that hears nobody, or whose request met two silent schedulers, decides alone.
class SchedulerClient
{
public:
    /// \brief Sends a datagram.
    using Send = std::function<void(const core::Address &, const Message &)>;

    SchedulerClient(relay::RelayContext &context, Scheduler &own, Send send);

    /// \name Commands
    /// @{

    /// \brief Prepares an ask; its answers are posted to `inbox`.
    /// \returns The number of the ask.
    [[nodiscard]] std::uint64_t open(core::Ref<relay::RequestInbox> inbox);
    /// \brief Sends an ask that was opened; the answer of this daemon's own scheduler is posted at once.
    void send(const PlacementAsk &ask, const ChosenScheduler &scheduler, core::Time now);
    /// \brief Forgets an ask and, when it is not needed any more, tells the schedulers so.
    void close(std::uint64_t ask, bool needed);
    /// \brief Takes a scheduler's answer.
    void take(const PlacementAnswer &answer, core::Time now);
    /// \brief Notes that this daemon sent a request as it was granted.
    void begun(const PlacementAnswer &answer);

    /// \brief Leaves a scheduler aside that did not answer.
    void suspect(const std::string &vm, std::string_view reason, core::Time now);
    /// \brief Notes that a daemon said that it lives and schedules.
    void trust(const std::string &vm, core::Time now);

    /// \brief Notes that this daemon's work changed: it is reported soon.
    void workChanged();
    /// \brief Notes how an attempt ended, or how an engine helped another one; told with the next report.
    void outcome(const TargetOutcome &outcome);

    /// @}

    /// \brief Whom to ask now; nothing: this daemon decides alone.
    [[nodiscard]] std::optional<ChosenScheduler> scheduler() const;

    /// \brief Reports this daemon's work when it changes, and now and then while there is some.
    [[nodiscard]] net::Task<> reportWork();

private:
    struct Suspicion
    {
        core::Time since;
        core::Time probedAt;
    };
    struct Changed
    { };

    void report(core::Time now);
    void probeSuspects(core::Time now);
    [[nodiscard]] WorkReport compose(core::Time now);
    [[nodiscard]] bool suspected(const std::string &vm) const;
    [[nodiscard]] core::Duration interval() const;

    relay::RelayContext &m_context;
    Scheduler &m_own;
    const Send m_send;
    net::Mailbox<Changed> m_changes;
    bool m_changed = false; ///< Whether a change waits to be reported.
    bool m_reportedWork = false; ///< Whether the last report named work.
    std::map<std::uint64_t, core::Ref<relay::RequestInbox>> m_asks; ///< Open asks.
    std::map<std::uint64_t, core::Address> m_askedAt; ///< Where open asks were sent last.
    std::map<std::string, Suspicion> m_suspects;
    std::vector<TargetOutcome> m_outcomes; ///< Not told yet.
    const std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_newestAsk = 0;
    std::uint64_t m_newestGrant = 0; ///< Of the scheduler that was asked last.
    std::string m_lastScheduler;
};

/// \brief One request's way to a placement by the scheduler; its end cancels what was not used.
class PlacementSession
{
public:
    /// \param client Null: there is no control plane, the daemon decides alone.
    PlacementSession(relay::RelayContext &context, SchedulerClient *client, core::Ref<relay::RequestInbox> inbox);
    ~PlacementSession();
    PlacementSession(const PlacementSession &) = delete;
    PlacementSession &operator=(const PlacementSession &) = delete;

    /// \brief Sends what is due now.
    /// \param query What the request asks for, of a prompt.
    /// \returns False when there is no scheduler to ask.
    [[nodiscard]] bool pursue(const relay::TargetQuery &query, int priority, core::Time now);

    /// \brief Takes an answer.
    /// \returns The targets, when it is a grant that this daemon can use.
    [[nodiscard]] std::optional<relay::ChosenTargets> take(const PlacementAnswer &answer, core::Time now);

    /// \brief When something is due next.
    [[nodiscard]] core::Time dueAt() const noexcept
    {
        return m_dueAt;
    }

private:
    /// Gives the ask up; the next one is a new one.
    void withdraw();
    void sendTo(const ChosenScheduler &scheduler, const relay::TargetQuery &query, int priority, core::Time now);

    relay::RelayContext &m_context;
    SchedulerClient *m_client;
    std::uint64_t m_ask = 0; ///< 0: none is open.
    std::string m_scheduler; ///< Who was asked last.
    core::Time m_askedAt = absl::InfinitePast(); ///< When it was asked first.
    core::Time m_dueAt = absl::InfinitePast();
    int m_silent = 0; ///< Schedulers that did not answer this request.
    int m_withdrawn = 0; ///< Asks that were given up after their grant.
    bool m_queued = false; ///< Whether it said that the ask waits there.
    bool m_unusable = false; ///< A grant named targets that this daemon must not use.
    bool m_granted = false;
    core::Ref<relay::RequestInbox> m_inbox;
};

} // namespace spurlug::control
