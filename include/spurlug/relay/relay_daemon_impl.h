//----------------------------------------------------------------------------------------------------------------------
// spurlug: the relay daemon: implementation
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/relay/relay_daemon.h" // Lets tools parse this file on its own.

#include "spurlug/core/program.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>

namespace spurlug::relay
{

template<ProtocolCodec Protocol, Directory Source>
RelayDaemon<Protocol, Source>::RelayDaemon(net::Loop &loop, settings::RelaySettings settings, std::string settingsPath,
                                           Protocol protocol, Source &source)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_settingsPath(std::move(settingsPath))
    , m_context(loop, m_settings, m_metrics)
    , m_connector(m_context)
    , m_tunnelServer(m_context, m_connector)
    , m_protocol(std::move(protocol))
    , m_controlPlane(m_context, source)
    , m_callerListener(loop, m_settings.callerAddress)
    , m_readinessServer(loop, m_settings.readinessAddress,
                        [this](const net::Request &request) { return answerReadiness(request); })
    , m_controlServer(loop, m_settings.controlAddress,
                      [this](const net::Request &request) { return answerStateQuery(request); })
    , m_metricsServer(loop, m_settings.metricsAddress,
                      [this](const net::Request &) {
                          updateMemoryGauges();
                          m_metrics.setGauge("tasks_failed", static_cast<double>(net::failedTasks()));
                          return textResponse(core::http_status::Ok, m_metrics.prometheusText(), "text/plain");
                      })
    , m_signals(loop, SIGTERM, SIGINT, SIGHUP)
    , m_onStopped([&loop] { loop.stop(); })
{
    m_context.connector = &m_connector;
    m_controlServer.onTunnel([this](net::ServerConnection &client, net::Request request) {
        return m_tunnelServer.serve(client, std::move(request));
    });
}

template<ProtocolCodec Protocol, Directory Source>
RelayDaemon<Protocol, Source>::~RelayDaemon()
{
    m_loop.discardWaiting(); // Waiting coroutines refer to the members of this object.
}

template<ProtocolCodec Protocol, Directory Source>
void RelayDaemon<Protocol, Source>::start()
{
    core::log(core::LogLevel::Info, "started",
              {{"vm", m_settings.vm},
               {"failureDomain", m_settings.failureDomain},
               {"callers", m_callerListener.address().text()},
               {"control", m_controlServer.address().text()},
               {"store", m_settings.store.text()},
               {"retryRatio", m_settings.bounds.retryRatio},
               {"retrySlack", m_settings.bounds.retrySlack},
               {"retryWindowMs", core::toMs(m_settings.bounds.retryWindow)}});
    net::spawnService(m_loop, "accept_callers", [this] {
        return m_callerListener.run([this](net::asio::ip::tcp::socket socket) { acceptCaller(std::move(socket)); });
    });
    net::spawnService(m_loop, "watch_loop", [this] { return watchLoop(); });
    m_readinessServer.start();
    m_controlServer.start();
    m_metricsServer.start();
    m_controlPlane.start();
    net::spawnService(m_loop, "handle_signals", [this] { return handleSignals(); });
    net::spawnService(m_loop, "watch_settings", [this] { return watchSettings(); });
    net::spawn(m_loop, "await_addresses", awaitAddresses());
}

template<ProtocolCodec Protocol, Directory Source>
void RelayDaemon<Protocol, Source>::stop()
{
    if (m_context.shutdown.begin(core::now())) {
        net::spawnService(m_loop, "drain", [this] { return drain(); });
    }
}

template<ProtocolCodec Protocol, Directory Source>
void RelayDaemon<Protocol, Source>::onStopped(std::function<void()> handler)
{
    m_onStopped = std::move(handler);
}

template<ProtocolCodec Protocol, Directory Source>
void RelayDaemon<Protocol, Source>::run()
{
    start();
    core::unblockDaemonSignals();
    for (bool hasEnded = false; !hasEnded;) {
        try {
            m_loop.run();
            hasEnded = true;
        } catch (const std::exception &) {
            net::reportTaskFailure("loop", std::current_exception());
        }
    }
    core::blockDaemonSignals(); // The handlers are removed while the process is cleaned up.
    if (!m_unavailableAddress.empty()) {
        throw core::NetworkError(core::cat(m_unavailableAddress, ": the address is in use"));
    }
    core::log(core::LogLevel::Info, "stopped", {{"vm", m_settings.vm}, {"cutOff", m_context.requestsInProgress}});
}

template<ProtocolCodec Protocol, Directory Source>
net::ReadLimits RelayDaemon<Protocol, Source>::readLimits()
{
    net::ReadLimits limits;
    limits.bodyBudget = &m_context.memory.requestBodies;
    if (m_context.table) {
        const auto &configured = m_context.table->limits;
        limits.maxHeadBytes = static_cast<std::size_t>(configured.maxHeadBytes);
        limits.maxBodyBytes = static_cast<std::size_t>(configured.maxBodyBytes);
        limits.headTimeout = configured.headTimeout;
        // A caller may still rely on the idle timeout of an earlier configuration.
        m_maxIdleTimeout = std::max(m_maxIdleTimeout, configured.idleTimeout);
        limits.idleTimeout = m_maxIdleTimeout * IdleTimeoutFactor;
    }
    return limits;
}

template<ProtocolCodec Protocol, Directory Source>
net::Task<> RelayDaemon<Protocol, Source>::rejectUnreadable(core::Ref<net::ServerConnection> caller,
                                                            net::ReadResult result)
{
    using namespace core::http_status;
    Refusal refusal;
    refusal.reason = core::Reason::MalformedRequest;
    switch (result.failure) {
    case net::ReadFailure::Malformed:
        refusal.status = BadRequest;
        break;
    case net::ReadFailure::HeadTooLarge:
        refusal.status = HeaderFieldsTooLarge;
        break;
    case net::ReadFailure::BodyTooLarge:
        refusal.status = PayloadTooLarge;
        refusal.reason = core::Reason::BodyTooLarge;
        break;
    case net::ReadFailure::BodyMemoryFull:
        refusal.status = ServiceUnavailable;
        refusal.reason = core::Reason::BodyMemoryFull;
        refusal.retryAfter = retryAfter(refusal.reason, std::nullopt, 0, core::now());
        break;
    case net::ReadFailure::Interrupted:
        refusal.status = ServiceUnavailable;
        refusal.reason = core::Reason::Stopping;
        refusal.retryAfter = retryAfter(refusal.reason, std::nullopt, 0, core::now());
        break;
    default:
        co_return; // The connection is closed.
    }
    m_metrics.countRefusal(refusal.reason);
    core::log(core::LogLevel::Info, "request_unreadable",
              {{"peer", caller->peerAddress()},
               {"end", core::nameOf(result.failure)},
               {"detail", result.detail},
               {"requestBodyBytes", m_context.memory.requestBodies.used()},
               {"answerBytes", m_context.memory.answers.used()}});
    constexpr auto WriteTimeout = absl::Seconds(1);
    auto response = m_protocol.refusal(refusal, {});
    const bool written = co_await caller->write(std::move(response), false, core::now() + core::Duration(WriteTimeout));
    if (written) {
        co_await caller->closeLingering();
    }
}

template<ProtocolCodec Protocol, Directory Source>
void RelayDaemon<Protocol, Source>::acceptCaller(net::asio::ip::tcp::socket socket)
{
    if (m_connectionGate.isOpen()) {
        net::spawn(m_loop, "serve_caller", serveCaller(std::move(socket)));
        return;
    }
    m_metrics.count(metrics::Counter::ConnectionsTurnedAway);
    boost::system::error_code ignored; // The caller may have closed the connection.
    socket.close(ignored);
}

template<ProtocolCodec Protocol, Directory Source>
net::Task<> RelayDaemon<Protocol, Source>::watchLoop()
{
    for (;;) {
        const auto plannedAt = core::now() + core::Duration(ConnectionGate::TickInterval);
        co_await net::sleepFor(ConnectionGate::TickInterval);
        const auto delay = core::now() - plannedAt;
        if (m_connectionGate.noteTick(delay)) {
            core::log(core::LogLevel::Warning,
                      m_connectionGate.isOpen() ? "connections_accepted" : "connections_turned_away",
                      {{"loopDelayMs", core::toMs(delay)}, {"inProgress", m_context.requestsInProgress}});
        }
    }
}

template<ProtocolCodec Protocol, Directory Source>
net::Task<> RelayDaemon<Protocol, Source>::serveCaller(net::asio::ip::tcp::socket socket)
{
    const auto caller = core::makeRef<net::ServerConnection>(m_loop, std::move(socket));
    CallerLink link;
    link.connection = caller;
    m_callers.push_back(link);
    for (;;) {
        auto result = co_await caller->read(readLimits());
        if (!result.request) {
            link.isClosing = true;
            co_await rejectUnreadable(caller, std::move(result));
            co_return;
        }
        RequestInfo facts;
        bool parsed = true;
        try {
            facts = m_protocol.readRequest(*result.request);
        } catch (const core::Refused &refused) {
            parsed = false;
            result.detail = refused.what();
        }
        if (!parsed) {
            result.failure = net::ReadFailure::Malformed;
            link.isClosing = true;
            co_await rejectUnreadable(caller, std::move(result));
            co_return;
        }
        RequestHandler<Protocol> request(m_context, m_protocol, caller, std::move(*result.request),
                                         std::move(result.bodyMemory), std::move(facts), result.firstByteAt);
        const bool keepOpen = co_await request.run();
        if (!keepOpen) {
            link.isClosing = true;
            co_await caller->closeLingering();
            co_return;
        }
    }
}

template<ProtocolCodec Protocol, Directory Source>
bool RelayDaemon<Protocol, Source>::ready(core::Time now) const
{
    return m_callerListener.isListening() && m_context.table && !m_context.shutdown.hasBegun()
        && m_context.canCheckKeys(now);
}

template<ProtocolCodec Protocol, Directory Source>
net::Response RelayDaemon<Protocol, Source>::answerReadiness(const net::Request &) const
{
    const bool isReady = ready(core::now());
    return textResponse(isReady ? core::http_status::Ok : core::http_status::ServiceUnavailable,
                        isReady ? "ready\n" : "not ready\n", "text/plain");
}

template<ProtocolCodec Protocol, Directory Source>
net::Response RelayDaemon<Protocol, Source>::answerStateQuery(const net::Request &request) const
{
    constexpr std::string_view StatePath = "/state?";
    const std::string_view target = request.target;
    if (!target.starts_with(StatePath)) {
        return textResponse(core::http_status::NotFound, "not found\n", "text/plain");
    }
    const auto query = target.substr(StatePath.size());
    const auto version = queryInteger(query, "version");
    const auto era = queryInteger(query, "era");
    const auto revision = queryInteger(query, "targets");
    if (!version || !era || !revision) {
        return textResponse(core::http_status::BadRequest, "version, era or targets is no number\n", "text/plain");
    }
    const auto state = makePeerState(m_context, *version, {*era, *revision}, core::now());
    return textResponse(core::http_status::Ok, writePeerState(state), "application/x-protobuf");
}

template<ProtocolCodec Protocol, Directory Source>
void RelayDaemon<Protocol, Source>::updateMemoryGauges()
{
    m_metrics.setGauge("request_body_bytes", static_cast<double>(m_context.memory.requestBodies.used()));
    m_metrics.setGauge("answer_bytes", static_cast<double>(m_context.memory.answers.used()));
    m_metrics.setGauge("caller_connections", static_cast<double>(m_callers.size()));
    if (const auto resident = residentBytes()) {
        m_metrics.setGauge("resident_bytes", static_cast<double>(*resident));
    }
}

template<ProtocolCodec Protocol, Directory Source>
net::Task<> RelayDaemon<Protocol, Source>::awaitAddresses()
{
    constexpr auto CheckInterval = absl::Milliseconds(200);
    const auto unavailable = [this]() -> std::string {
        if (!m_callerListener.isListening()) {
            return m_settings.callerAddress.text();
        }
        if (!m_readinessServer.isListening()) {
            return m_settings.readinessAddress.text();
        }
        if (!m_controlServer.isListening()) {
            return m_settings.controlAddress.text();
        }
        return m_controlPlane.isBound() ? "" : m_settings.peerAddress.text();
    };
    const auto deadline = core::now() + BindTimeout;
    while (!unavailable().empty() && !m_context.shutdown.hasBegun()) {
        if (core::now() >= deadline) {
            m_unavailableAddress = unavailable();
            stop();
            co_return;
        }
        co_await net::sleepFor(CheckInterval);
    }
}

template<ProtocolCodec Protocol, Directory Source>
net::Task<> RelayDaemon<Protocol, Source>::handleSignals()
{
    for (;;) {
        auto [error, signal] = co_await m_signals.async_wait(net::Awaited);
        if (error) {
            co_return;
        }
        if (signal == SIGHUP) {
            reload();
        } else {
            stop();
        }
    }
}

template<ProtocolCodec Protocol, Directory Source>
net::Task<> RelayDaemon<Protocol, Source>::drain()
{
    auto &shutdown = m_context.shutdown;
    core::log(core::LogLevel::Info, "stopping", {{"vm", m_settings.vm}, {"inProgress", m_context.requestsInProgress}});
    m_controlPlane.announceStop(core::now());
    bool receives = true;
    bool answers = true;
    for (auto now = core::now(); now < shutdown.exitAt() && (hasWork() || !shutdown.mayExitIdle(now));
         now = core::now()) {
        if (receives && now >= shutdown.receiveBy()) {
            receives = false;
            interruptReads();
        }
        if (answers && now >= shutdown.answerBy()) {
            answers = false;
            interruptReads();
            shutdown.endRequests();
        }
        co_await net::sleepFor(DrainCheckInterval);
    }
    cutRequests(core::now());
    m_onStopped();
}

template<ProtocolCodec Protocol, Directory Source>
bool RelayDaemon<Protocol, Source>::hasWork() const
{
    return m_context.requestsInProgress > 0 || m_context.openTunnels > 0
        || std::any_of(m_callers.begin(), m_callers.end(),
                       [](const CallerLink &link) { return link.isClosing || link.connection->isReceiving(); });
}

template<ProtocolCodec Protocol, Directory Source>
void RelayDaemon<Protocol, Source>::interruptReads()
{
    for (const auto &link : m_callers) {
        link.connection->interruptRead();
    }
}

template<ProtocolCodec Protocol, Directory Source>
void RelayDaemon<Protocol, Source>::cutRequests(core::Time now)
{
    for (const auto &request : m_context.activeRequests) {
        m_metrics.count(metrics::Counter::RequestsCut);
        core::log(core::LogLevel::Warning, "request_cut",
                  {{"request", request.id},
                   {"stage", core::nameOf(request.stage)},
                   {"afterMs", core::toMs(now - request.arrivedAt)}});
    }
    for (const auto &link : m_callers) {
        if (link.connection->isIdle()) {
            link.connection->close(); // The end of the last answer may still be in the send buffer.
        } else if (!link.isClosing) {
            link.connection->reset(); // No caller may take a part of an answer for the whole.
        }
    }
}

template<ProtocolCodec Protocol, Directory Source>
net::Task<> RelayDaemon<Protocol, Source>::watchSettings()
{
    constexpr auto CheckInterval = absl::Seconds(2);
    const auto read = [this] {
        std::ifstream file(m_settingsPath);
        std::stringstream text;
        text << file.rdbuf();
        return text.str();
    };
    auto lastText = read();
    for (;;) {
        co_await net::sleepFor(CheckInterval);
        auto text = read();
        if (text != lastText && !text.empty()) {
            lastText = std::move(text);
            reload();
        }
    }
}

template<ProtocolCodec Protocol, Directory Source>
void RelayDaemon<Protocol, Source>::reload()
{
    try {
        auto loaded = settings::loadRelaySettings(m_settingsPath);
        // Addresses and bounds stay fixed until the process restarts; only the seeds and the log level are updated.
        m_settings.seeds = std::move(loaded.seeds);
        m_settings.logLevel = loaded.logLevel;
        core::setLogLevel(loaded.logLevel);
        core::log(core::LogLevel::Info, "settings_reloaded", {{"seeds", m_settings.seeds.size()}});
    } catch (const core::InvalidDocument &error) {
        core::log(core::LogLevel::Error, "settings_refused", {{"error", error.what()}});
    }
}

} // namespace spurlug::relay
