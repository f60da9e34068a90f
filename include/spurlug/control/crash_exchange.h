//----------------------------------------------------------------------------------------------------------------------
// spurlug: exchange of crash records between daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/control/messages.h"
#include "spurlug/control/roster.h"
#include "spurlug/relay/context.h"

#include <functional>
#include <vector>

namespace spurlug::control
{

/// \brief Exchanges the records of the daemon's CrashTracker with other daemons.
///
/// When several targets crash under the same content or prompt part, each crash is seen by a different daemon, and the
/// total decides about a quarantine. Each daemon therefore sends new records at once to three aggregators, the first
/// holders of the scheduler role. An aggregator forwards a suspect that is at most one crash short of a quarantine to
/// every daemon that it knows. Each such crash costs one datagram to each aggregator and one to each daemon.
///
/// Gossip makes up for lost datagrams, and for those that a daemon missed while it was starting, paused or partitioned:
/// every 250 ms each daemon sends what it knows to one random member, so that a daemon receives four gossip messages a
/// second on average, whatever the size of the fleet. Nothing is sent while there is nothing to report. A datagram
/// holds at most 16 suspects and 64 crashes, about 1.2 KB.
class CrashExchange
{
public:
    /// \brief Sends a datagram.
    using Send = std::function<void(const core::Address &, const Message &)>;

    CrashExchange(relay::RelayContext &context, Send send);

    /// \brief Sends the changes of this daemon's ledger to the aggregators; an aggregator also forwards them to all
    /// members that it knows.
    void publishChanges(core::Time now);
    /// \brief Forwards the changes of the ledger to the daemons of this failure domain if this daemon is one of its
    /// registrars; other daemons know only a few members. The changes are taken from the ledger in either case.
    void forwardToDomain(core::Time now);
    /// \brief Merges the records of another daemon into the ledger and passes on what changed.
    void handleReport(const CrashReport &report, core::Time now);
    /// \brief Sends recent records to a newly discovered daemon, which needs them before it sends requests. Only
    /// aggregators and registrars do so.
    void sendRecentTo(const core::Address &address, core::Time now);
    /// \brief Sends recent records to one random member if the gossip interval has passed.
    void gossip(core::Time now);

private:
    [[nodiscard]] std::vector<Member> aggregators() const;
    [[nodiscard]] bool isAggregator() const;
    void sendReport(const std::vector<Member> &members, const CrashReport &report);
    void sendTo(const std::vector<Member> &members, const std::vector<relay::CrashSuspect> &suspects, core::Time now);

    relay::RelayContext &m_context;
    const Send m_send;
    core::Time m_lastGossipAt = absl::InfinitePast();
};

} // namespace spurlug::control
