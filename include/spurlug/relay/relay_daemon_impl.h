//----------------------------------------------------------------------------------------------------------------------
// spurlug: the relay daemon: implementation
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/relay/relay_daemon.h" // Lets tools parse this file on its own.

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>

namespace spurlug::relay
{

template<Dialect Protocol, Directory Source>
RelayDaemon<Protocol, Source>::RelayDaemon(net::Loop &loop, settings::RelaySettings settings, std::string settingsPath,
                                           Protocol protocol, Source &source)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_settingsPath(std::move(settingsPath))
    , m_context(loop, m_settings, m_metrics)
    , m_protocol(std::move(protocol))
    , m_controlPlane(m_context, source)
    , m_callers(loop, m_settings.callerAddress)
    , m_readiness(loop, m_settings.readinessAddress, [this](const net::Request &request) { return readiness(request); })
    , m_control(loop, m_settings.controlAddress, [this](const net::Request &request) { return control(request); })
    , m_metricsServer(loop, m_settings.metricsAddress,
                      [this](const net::Request &) {
                          return textResponse(core::http_status::Ok, m_metrics.prometheusText(), "text/plain");
                      })
    , m_signals(loop, SIGTERM, SIGINT, SIGHUP)
{ }

template<Dialect Protocol, Directory Source>
void RelayDaemon<Protocol, Source>::spawn(net::Task<> task)
{
    net::asio::co_spawn(m_loop, std::move(task), net::asio::detached);
}

template<Dialect Protocol, Directory Source>
void RelayDaemon<Protocol, Source>::start()
{
    core::log(core::LogLevel::Info, "started",
              {{"vm", m_settings.vm},
               {"failureDomain", m_settings.failureDomain},
               {"callers", m_callers.address().text()},
               {"control", m_control.address().text()},
               {"store", m_settings.store.text()},
               {"retryRatio", m_settings.bounds.retryRatio},
               {"retrySlack", m_settings.bounds.retrySlack},
               {"retryWindowMs", core::toMs(m_settings.bounds.retryWindow)}});
    spawn(m_callers.run([this](net::asio::ip::tcp::socket socket) { spawn(serveCaller(std::move(socket))); }));
    m_readiness.start();
    m_control.start();
    m_metricsServer.start();
    m_controlPlane.start();
    spawn(awaitSignals());
    spawn(watchSettings());
}

template<Dialect Protocol, Directory Source>
void RelayDaemon<Protocol, Source>::stop()
{
    if (!m_context.draining) {
        spawn(drain());
    }
}

template<Dialect Protocol, Directory Source>
void RelayDaemon<Protocol, Source>::run()
{
    start();
    m_loop.run();
    core::log(core::LogLevel::Info, "stopped", {{"vm", m_settings.vm}, {"cutOff", m_context.inProgress}});
}

template<Dialect Protocol, Directory Source>
net::ReadLimits RelayDaemon<Protocol, Source>::readLimits()
{
    net::ReadLimits limits;
    if (m_context.table) {
        const auto &set = m_context.table->limits;
        limits.headBytes = static_cast<std::size_t>(set.headBytes);
        limits.bodyBytes = static_cast<std::size_t>(set.bodyBytes);
        limits.headTimeout = set.headTimeout;
        // A caller may still rely on the idle timeout of an earlier configuration.
        m_longestIdle = std::max(m_longestIdle, set.idleTimeout);
        limits.idleTimeout = m_longestIdle * IdleSlack;
    }
    return limits;
}

template<Dialect Protocol, Directory Source>
net::Task<> RelayDaemon<Protocol, Source>::rejectUnread(core::Ref<net::ServerConnection> caller, net::ReadResult result)
{
    using namespace core::http_status;
    Refusal refusal;
    refusal.reason = core::Reason::MalformedRequest;
    switch (result.end) {
    case net::ReadEnd::Malformed:
        refusal.status = BadRequest;
        break;
    case net::ReadEnd::HeadTooLarge:
        refusal.status = HeadTooLarge;
        break;
    case net::ReadEnd::BodyTooLarge:
        refusal.status = PayloadTooLarge;
        refusal.reason = core::Reason::BodyTooLarge;
        break;
    default:
        co_return; // The connection is closed.
    }
    m_metrics.countRefusal(refusal.reason);
    core::log(core::LogLevel::Info, "request_unreadable",
              {{"peer", caller->peer()}, {"end", core::nameOf(result.end)}, {"detail", result.detail}});
    constexpr auto WriteTimeout = absl::Seconds(1);
    auto response = m_protocol.refusal(refusal, {});
    const bool written = co_await caller->write(std::move(response), false, core::now() + core::Duration(WriteTimeout));
    if (written) {
        co_await caller->closeGently();
    }
}

template<Dialect Protocol, Directory Source>
net::Task<> RelayDaemon<Protocol, Source>::serveCaller(net::asio::ip::tcp::socket socket)
{
    const auto caller = core::makeCounted<net::ServerConnection>(m_loop, std::move(socket));
    for (;;) {
        auto result = co_await caller->read(readLimits());
        if (!result.request) {
            co_await rejectUnread(caller, std::move(result));
            co_return;
        }
        RequestFacts facts;
        bool understood = true;
        try {
            facts = m_protocol.readRequest(*result.request);
        } catch (const core::Refused &refused) {
            understood = false;
            result.detail = refused.what();
        }
        if (!understood) {
            result.end = net::ReadEnd::Malformed;
            co_await rejectUnread(caller, std::move(result));
            co_return;
        }
        RequestRun<Protocol> request(m_context, m_protocol, caller, std::move(*result.request), std::move(facts),
                                     result.firstByteAt);
        const bool goesOn = co_await request.run();
        if (!goesOn) {
            co_await caller->closeGently();
            co_return;
        }
    }
}

template<Dialect Protocol, Directory Source>
bool RelayDaemon<Protocol, Source>::ready(core::Time now) const
{
    return m_context.table && !m_context.draining && m_context.keysAreFresh(now);
}

template<Dialect Protocol, Directory Source>
net::Response RelayDaemon<Protocol, Source>::readiness(const net::Request &) const
{
    const bool isReady = ready(core::now());
    return textResponse(isReady ? core::http_status::Ok : core::http_status::Unavailable,
                        isReady ? "ready\n" : "not ready\n", "text/plain");
}

template<Dialect Protocol, Directory Source>
net::Response RelayDaemon<Protocol, Source>::control(const net::Request &request) const
{
    constexpr std::string_view StatePath = "/state?";
    const std::string_view target = request.target;
    if (!target.starts_with(StatePath)) {
        return textResponse(core::http_status::NotFound, "not found\n", "text/plain");
    }
    const auto query = target.substr(StatePath.size());
    const auto version = queryNumber(query, "version");
    const auto era = queryNumber(query, "era");
    const auto revision = queryNumber(query, "targets");
    if (!version || !era || !revision) {
        return textResponse(core::http_status::BadRequest, "version, era or targets is no number\n", "text/plain");
    }
    const auto state = peerState(m_context, *version, {*era, *revision}, core::now());
    return textResponse(core::http_status::Ok, writePeerState(state), "application/x-protobuf");
}

template<Dialect Protocol, Directory Source>
net::Task<> RelayDaemon<Protocol, Source>::awaitSignals()
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

template<Dialect Protocol, Directory Source>
net::Task<> RelayDaemon<Protocol, Source>::drain()
{
    const auto begin = core::now();
    m_context.draining = true;
    m_context.drainingSince = begin;
    core::log(core::LogLevel::Info, "stopping", {{"vm", m_settings.vm}, {"inProgress", m_context.inProgress}});
    m_controlPlane.announceStop(begin);
    const auto end = begin + m_settings.bounds.grace - EndBeforeKill;
    for (;;) {
        co_await net::sleepFor(StopCheck);
        const auto now = core::now();
        const bool idle = m_context.inProgress == 0 && now - begin >= QuietBeforeEnd;
        if (idle || now >= end) {
            break;
        }
    }
    m_loop.stop();
}

template<Dialect Protocol, Directory Source>
net::Task<> RelayDaemon<Protocol, Source>::watchSettings()
{
    constexpr auto Pause = absl::Seconds(2);
    const auto read = [this] {
        std::ifstream file(m_settingsPath);
        std::stringstream text;
        text << file.rdbuf();
        return text.str();
    };
    auto known = read();
    for (;;) {
        co_await net::sleepFor(Pause);
        auto text = read();
        if (text != known && !text.empty()) {
            known = std::move(text);
            reload();
        }
    }
}

template<Dialect Protocol, Directory Source>
void RelayDaemon<Protocol, Source>::reload()
{
    try {
        auto fresh = settings::loadRelaySettings(m_settingsPath);
        // Addresses and bounds stay fixed until the process restarts; only the seeds and the log level are updated.
        m_settings.seeds = std::move(fresh.seeds);
        m_settings.logLevel = fresh.logLevel;
        core::setLogLevel(fresh.logLevel);
        core::log(core::LogLevel::Info, "settings_reloaded", {{"seeds", m_settings.seeds.size()}});
    } catch (const core::InvalidDocument &error) {
        core::log(core::LogLevel::Error, "settings_refused", {{"error", error.what()}});
    }
}

} // namespace spurlug::relay
