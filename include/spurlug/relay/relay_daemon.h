//----------------------------------------------------------------------------------------------------------------------
// spurlug: the relay daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/error.h"
#include "spurlug/core/http_status.h"
#include "spurlug/core/log.h"
#include "spurlug/core/text.h"
#include "spurlug/net/client_connection.h"
#include "spurlug/net/listener.h"
#include "spurlug/net/spawn.h"
#include "spurlug/relay/connection_gate.h"
#include "spurlug/relay/context.h"
#include "spurlug/relay/control_plane.h"
#include "spurlug/relay/peer_state.h"
#include "spurlug/relay/request_handler.h"
#include "spurlug/relay/simple_server.h"
#include "spurlug/relay/target_connector.h"
#include "spurlug/relay/tunnel_server.h"

#include <boost/asio/signal_set.hpp>
#include <boost/intrusive/list.hpp>
#include <functional>
#include <nlohmann/json.hpp>

namespace spurlug::relay
{

/// \brief Serves callers until it is told to stop.
///
/// One thread runs everything, so that state shared between coroutines needs no lock; a relay daemon uses one hundredth
/// of a core. A second thread writes the log.
template<ProtocolCodec Protocol, Directory Source>
class RelayDaemon
{
public:
    /// \param settingsPath Settings file, read again on SIGHUP or when its content has changed.
    /// \throws NetworkError if an address is invalid.
    RelayDaemon(net::Loop &loop, settings::RelaySettings settings, std::string settingsPath, Protocol protocol,
                Source &source);
    /// \brief Destroys everything that still waits on the loop, which must not run any more.
    ~RelayDaemon();
    RelayDaemon(const RelayDaemon &) = delete;
    RelayDaemon &operator=(const RelayDaemon &) = delete;

    /// \brief Starts to serve; the caller runs the loop.
    void start();
    /// \brief Shuts down gracefully: reports not ready, serves the requests that can end before it must exit, refuses
    /// the others, then calls the handler of `onStopped`. Later calls do nothing.
    void stop();
    /// \brief Sets what happens at the end of a shutdown; by default, the loop is stopped.
    void onStopped(std::function<void()> handler);
    /// \brief Starts and runs the loop until the daemon has stopped. Signals are handled from here on; they must be
    /// blocked before, and are afterwards.
    /// \throws NetworkError if an address has been in use for `BindTimeout`.
    void run();

    /// \brief Establishes this daemon's connections to targets.
    [[nodiscard]] TargetConnector &targetConnector() noexcept
    {
        return m_connector;
    }

private:
    /// A caller's connection from its accept to its close.
    struct CallerLink : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
    {
        core::Ref<net::ServerConnection> connection;
        bool isClosing = false; ///< Whether the last answer was written and the caller may still read it.
    };

    /// Time in which a process that still has an address must release it.
    static constexpr auto BindTimeout = absl::Seconds(30);
    static constexpr auto DrainCheckInterval = absl::Milliseconds(50); ///< Interval between checks while draining.
    /// Factor on the idle timeout: callers may use a connection until the timeout has passed.
    static constexpr double IdleTimeoutFactor = 1.25;

    /// Ends the process if an address that callers or other daemons need is not free in time.
    [[nodiscard]] net::Task<> awaitAddresses();
    /// Serves a new connection, or closes it unread while the event loop is overloaded.
    void acceptCaller(net::asio::ip::tcp::socket socket);
    /// Measures the delay of the event loop.
    [[nodiscard]] net::Task<> watchLoop();
    [[nodiscard]] net::Task<> serveCaller(net::asio::ip::tcp::socket socket);
    /// Answers a request that could not be read or parsed, and closes the connection.
    [[nodiscard]] net::Task<> rejectUnreadable(core::Ref<net::ServerConnection> caller, net::ReadResult result);
    [[nodiscard]] net::ReadLimits readLimits();
    /// Handler of the readiness endpoint.
    [[nodiscard]] net::Response answerReadiness(const net::Request &request) const;
    /// Handler of state queries from peers.
    [[nodiscard]] net::Response answerStateQuery(const net::Request &request) const;
    /// Sets the gauges of the bytes that this daemon holds.
    void updateMemoryGauges();
    [[nodiscard]] net::Task<> handleSignals();
    [[nodiscard]] net::Task<> drain();
    /// Whether any request is being received or served, for a caller or a peer.
    [[nodiscard]] bool hasWork() const;
    /// Refuses the requests that have not been received completely, and closes connections without a request.
    void interruptReads();
    /// Resets the connections of callers whose answers are incomplete because this daemon exits.
    void cutRequests(core::Time now);
    /// Reloads the settings when the content of the file changes.
    [[nodiscard]] net::Task<> watchSettings();
    /// Reads the settings file; invalid settings are logged and ignored.
    void reload();
    [[nodiscard]] bool ready(core::Time now) const;

    net::Loop &m_loop;
    settings::RelaySettings m_settings;
    const std::string m_settingsPath;
    metrics::Metrics m_metrics;
    RelayContext m_context;
    TargetConnector m_connector;
    TunnelServer m_tunnelServer;
    Protocol m_protocol;
    ControlPlane<Source> m_controlPlane;
    net::Listener m_callerListener;
    ConnectionGate m_connectionGate;
    SimpleServer m_readinessServer;
    SimpleServer m_controlServer;
    SimpleServer m_metricsServer;
    net::asio::signal_set m_signals;
    boost::intrusive::list<CallerLink, boost::intrusive::constant_time_size<false>> m_callers;
    std::function<void()> m_onStopped;
    std::string m_unavailableAddress; ///< Not empty if the daemon ends because of it.
    core::Duration m_maxIdleTimeout = absl::ZeroDuration(); ///< Longest idle timeout that has been configured so far.
};

} // namespace spurlug::relay

#include "spurlug/relay/relay_daemon_impl.h"
