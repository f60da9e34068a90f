//----------------------------------------------------------------------------------------------------------------------
// spurlug: control plane of a relay daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/control/crash_exchange.h"
#include "spurlug/control/scheduler.h"
#include "spurlug/control/scheduler_client.h"
#include "spurlug/control/source_selector.h"
#include "spurlug/core/error.h"
#include "spurlug/core/http_status.h"
#include "spurlug/core/log.h"
#include "spurlug/core/text.h"
#include "spurlug/net/client_connection.h"
#include "spurlug/net/mailbox.h"
#include "spurlug/net/spawn.h"
#include "spurlug/relay/context.h"
#include "spurlug/relay/directory_watcher.h"
#include "spurlug/relay/peer_state.h"
#include "spurlug/relay/peer_transport.h"

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
    /// \throws NetworkError if the address for datagrams is invalid.
    ControlPlane(RelayContext &context, Source &source);
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    /// \brief Starts the coroutines on the loop.
    void start();
    /// \brief Whether the address for datagrams is bound.
    [[nodiscard]] bool isBound() const noexcept;
    /// \brief Notifies all peers that this daemon begins to stop.
    void announceStop(core::Time now);

private:
    struct WakeSignal
    { };

    /// Delay before waiting placement requests are checked again.
    static constexpr auto RequestCheckDelay = absl::Milliseconds(10);
    static constexpr auto IdleCheckInterval = absl::Milliseconds(200);
    static constexpr auto SourceCheckInterval = absl::Milliseconds(100); ///< Between checks whether a question is due.
    static constexpr auto RoleCheckInterval = absl::Milliseconds(500);
    /// A large configuration takes some 400 KB, a small VM's network link carries 2.5 MB/s, and thirty daemons may
    /// fetch from the same reader.
    static constexpr auto FetchTimeout = absl::Milliseconds(2000);

    void handleMessage(control::Message message, const core::Address &from, core::Time now);
    void handleFreshnessReply(const control::FreshnessReply &proof, core::Time now);
    void setIsolated(bool isolated);
    void sendGrants(core::Time now);
    [[nodiscard]] net::Task<> servePlacementRequests();
    /// Schedules a check of the waiting placement requests.
    void scheduleCheck();
    [[nodiscard]] net::Task<> querySources();
    /// Daemons to fetch from, in order, when `source` has data that this daemon lacks. Without a list of targets this
    /// starts with a random daemon of this failure domain: after a start of the whole fleet each daemon needs the full
    /// list and the configuration, and the network link of one small VM would take many seconds to serve them all.
    [[nodiscard]] std::vector<core::Address> fetchCandidates(const control::Member &source);
    /// Fetches the missing data from the first of the daemons that has it.
    [[nodiscard]] net::Task<> fetchMissing(std::vector<core::Address> peers);
    /// Fetches newer configuration and targets from a daemon.
    /// \returns Whether it had anything newer.
    [[nodiscard]] net::Task<bool> fetchFrom(core::Address peer);
    [[nodiscard]] net::Task<> trackRoles();

    RelayContext &m_context;
    Source &m_directory;
    PeerTransport m_transport;
    control::Scheduler m_scheduler;
    control::SchedulerClient m_schedulerClient;
    control::CrashExchange m_crashExchange;
    control::SourceSelector m_sourceSelector;
    DirectoryWatcher<Source> m_directoryWatcher;
    net::Mailbox<WakeSignal> m_wakeQueue;
    bool m_checkScheduled = false; ///< Whether a message in `m_wakeQueue` is still to be handled.
    std::map<std::string, core::Address> m_replyAddresses; ///< Reply address for waiting placement requests, by VM.
    core::Time m_fetchingUntil = absl::InfinitePast(); ///< Until then a fetch from a peer is in progress.
};

} // namespace spurlug::relay

#include "spurlug/relay/control_plane_impl.h"
