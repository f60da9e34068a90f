//----------------------------------------------------------------------------------------------------------------------
// spurlug: one daemon's part in the control plane
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

/// \brief Joins what a daemon does for the others and what it asks of them: heartbeats, the scheduler and its clients,
/// reading the directory or following those that do. Decides nothing: each of these has its own module.
template<Directory Source>
class ControlPlane
{
public:
    /// \throws NetworkError when the address for datagrams cannot be bound.
    ControlPlane(RelayContext &context, Source &source);
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    /// \brief Begins; the loop does the rest.
    void start();
    /// \brief Tells all peers that this daemon begins to stop.
    void announceStop(core::Time now);

private:
    struct Wake
    { };

    static constexpr auto WaitingPause = absl::Milliseconds(10); ///< Between looks at asks that wait.
    static constexpr auto IdlePause = absl::Milliseconds(200);
    static constexpr auto SourceLook = absl::Milliseconds(100); ///< Between looks whether a question is due.
    static constexpr auto RoleLook = absl::Milliseconds(500);
    /// A large configuration is some 400 KB, a small VM's link 2.5 MB/s, and thirty daemons may ask the same reader.
    static constexpr auto FetchTimeout = absl::Milliseconds(2000);

    void spawn(net::Task<> task);
    void take(control::Message message, const core::Address &from, core::Time now);
    void takeProof(const control::ProofAnswer &proof, core::Time now);
    void noteIsolation(bool isolated);
    void sendGrants(core::Time now);
    [[nodiscard]] net::Task<> serveAsks();
    /// Has the asks that wait looked at soon.
    void wake();
    [[nodiscard]] net::Task<> followSources();
    /// Whom to ask for what a source has and this daemon lacks. The whole list of targets and a first configuration are
    /// asked of any daemon of this failure domain first: after a start of all each of them wants both, and the link of
    /// one small VM would take many seconds for it.
    [[nodiscard]] std::vector<core::Address> holders(const control::Member &source);
    /// Fetches what is missing here from one of the daemons, the first that has it.
    [[nodiscard]] net::Task<> fetch(std::vector<core::Address> peers);
    /// Asks a daemon for what is newer than what is known here.
    /// \returns Whether it had something.
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
    bool m_wakePosted = false; ///< Whether `m_asksWait` holds a message that was not handled yet.
    std::map<std::string, core::Address> m_askers; ///< Where the answers of waiting asks go, by daemon.
    core::Time m_fetchingUntil = absl::InfinitePast(); ///< A peer is being asked for what is missing here.
};

} // namespace spurlug::relay

#include "spurlug/relay/control_plane_impl.h"
