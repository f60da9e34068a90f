//----------------------------------------------------------------------------------------------------------------------
// spurlug: control plane of a relay daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/control/crash_exchange.h"
#include "spurlug/control/scheduler.h"
#include "spurlug/control/scheduler_client.h"
#include "spurlug/control/source_choice.h"
#include "spurlug/core/error.h"
#include "spurlug/core/http_status.h"
#include "spurlug/core/log.h"
#include "spurlug/core/text.h"
#include "spurlug/net/client_connection.h"
#include "spurlug/net/mailbox.h"
#include "spurlug/relay/context.h"
#include "spurlug/relay/follower.h"
#include "spurlug/relay/peer_link.h"
#include "spurlug/relay/peer_state.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace spurlug::relay
{

/// \brief Connects the control-plane components of a daemon: heartbeats, the scheduler and its client, crash gossip,
/// and reading the directory or asking the daemons that read it. Makes no decisions; each component is a module of its
/// own.
template<Directory Source>
class ControlPlane
{
public:
    /// \throws NetworkError if the address for datagrams cannot be bound.
    ControlPlane(RelayContext &context, Source &source);
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    /// \brief Starts the coroutines on the loop.
    void start();
    /// \brief Notifies all peers that this daemon begins to stop.
    void announceStop(core::Time now);

private:
    struct Wake
    { };

    /// Delay before waiting placement requests are checked again.
    static constexpr auto WaitingPause = absl::Milliseconds(10);
    static constexpr auto IdlePause = absl::Milliseconds(200);
    static constexpr auto SourceLook = absl::Milliseconds(100); ///< Between checks whether a question is due.
    static constexpr auto RoleLook = absl::Milliseconds(500);
    /// A large configuration takes some 400 KB, a small VM's network link carries 2.5 MB/s, and thirty daemons may
    /// fetch from the same reader.
    static constexpr auto FetchTimeout = absl::Milliseconds(2000);

    void spawn(net::Task<> task);
    void take(control::Message message, const core::Address &from, core::Time now);
    void takeProof(const control::ProofAnswer &proof, core::Time now);
    void noteIsolation(bool isolated);
    void sendGrants(core::Time now);
    [[nodiscard]] net::Task<> serveAsks();
    /// Schedules a check of the waiting placement requests.
    void wake();
    [[nodiscard]] net::Task<> followSources();
    /// Daemons to fetch from, in order, when `source` has data that this daemon lacks. Without a list of targets this
    /// starts with a random daemon of this failure domain: after a start of the whole fleet each daemon needs the full
    /// list and the configuration, and the network link of one small VM would take many seconds to serve them all.
    [[nodiscard]] std::vector<core::Address> holders(const control::Member &source);
    /// Fetches the missing data from the first of the daemons that has it.
    [[nodiscard]] net::Task<> fetch(std::vector<core::Address> peers);
    /// Fetches newer configuration and targets from a daemon.
    /// \returns Whether it had anything newer.
    [[nodiscard]] net::Task<bool> fetchFrom(core::Address peer);
    [[nodiscard]] net::Task<> noteRoles();

    RelayContext &m_context;
    Source &m_source;
    PeerLink m_peers;
    control::Scheduler m_scheduler;
    control::SchedulerClient m_scheduling;
    control::CrashExchange m_crashes;
    control::SourceChoice m_sources;
    Follower<Source> m_follower;
    net::Mailbox<Wake> m_asksWait;
    bool m_wakePosted = false; ///< Whether a message in `m_asksWait` is still to be handled.
    std::map<std::string, core::Address> m_askers; ///< Reply address for waiting placement requests, by VM.
    core::Time m_fetchingUntil = absl::InfinitePast(); ///< Until then a fetch from a peer is in progress.
};

} // namespace spurlug::relay

#include "spurlug/relay/control_plane_impl.h"
