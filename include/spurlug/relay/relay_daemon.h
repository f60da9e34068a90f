//----------------------------------------------------------------------------------------------------------------------
// spurlug: the whole relaying daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/error.h"
#include "spurlug/core/http_status.h"
#include "spurlug/core/log.h"
#include "spurlug/core/text.h"
#include "spurlug/net/client_connection.h"
#include "spurlug/net/listener.h"
#include "spurlug/relay/context.h"
#include "spurlug/relay/control_plane.h"
#include "spurlug/relay/peer_state.h"
#include "spurlug/relay/request_run.h"
#include "spurlug/relay/simple_server.h"

#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

namespace spurlug::relay
{

/// \brief Serves callers until it is told to stop.
///
/// One thread runs everything: a relaying daemon spends a hundredth of a core, and what its coroutines share needs no
/// lock. A second thread writes the log.
template<Dialect Protocol, Directory Source>
class RelayDaemon
{
public:
    /// \param settingsPath Read again when the daemon is told to, or when the file has changed.
    /// \throws NetworkError when an address cannot be bound.
    RelayDaemon(net::Loop &loop, settings::RelaySettings settings, std::string settingsPath, Protocol protocol,
                Source &source);

    /// \brief Begins to serve; the loop does the rest.
    void start();
    /// \brief Stops as planned: nothing new is invited, what is in progress ends, then the loop stops.
    void stop();
    /// \brief Starts and runs the loop until the daemon has stopped.
    void run();

private:
    static constexpr auto QuietBeforeEnd = absl::Milliseconds(2500); ///< For the balancer to notice, twice a second.
    static constexpr auto StopCheck = absl::Milliseconds(50);
    static constexpr auto EndBeforeKill = absl::Milliseconds(500); ///< Part of the grace left unused.
    static constexpr double IdleSlack = 1.25; ///< Callers may use a connection until its idle timeout has passed.

    void spawn(net::Task<> task);
    [[nodiscard]] net::Task<> serveCaller(net::asio::ip::tcp::socket socket);
    [[nodiscard]] net::Task<> rejectUnread(core::Ref<net::ServerConnection> caller, net::ReadResult result);
    [[nodiscard]] net::ReadLimits readLimits();
    [[nodiscard]] net::Response readiness(const net::Request &request) const;
    [[nodiscard]] net::Response control(const net::Request &request) const;
    [[nodiscard]] net::Task<> awaitSignals();
    [[nodiscard]] net::Task<> drain();
    [[nodiscard]] net::Task<> watchSettings();
    void reload();
    [[nodiscard]] bool ready(core::Time now) const;

    net::Loop &m_loop;
    settings::RelaySettings m_settings;
    const std::string m_settingsPath;
    metrics::Metrics m_metrics;
    RelayContext m_context;
    Protocol m_protocol;
    ControlPlane<Source> m_controlPlane;
    net::Listener m_callers;
    SimpleServer m_readiness;
    SimpleServer m_control;
    SimpleServer m_metricsServer;
    net::asio::signal_set m_signals;
    core::Duration m_longestIdle = absl::ZeroDuration(); ///< Longest idle timeout that was in force.
};

} // namespace spurlug::relay

#include "spurlug/relay/relay_daemon_impl.h"
