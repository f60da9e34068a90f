//----------------------------------------------------------------------------------------------------------------------
// spurlug: UDP transport for heartbeats and control-plane messages between relay daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/peer_transport.h"

#include "spurlug/core/error.h"
#include "spurlug/core/log.h"
#include "spurlug/core/text.h"
#include "spurlug/net/listener.h"

#include <nlohmann/json.hpp>
#include <random>
#include <utility>

namespace spurlug::relay
{

namespace
{

using boost::system::error_code;
using net::asio::ip::udp;

constexpr std::size_t MaxDatagramBytes = 64 << 10;

core::Address addressOf(const udp::endpoint &endpoint)
{
    return {endpoint.address().to_string(), endpoint.port()};
}

} // namespace

PeerTransport::PeerTransport(RelayContext &context)
    : m_context(context)
    , m_socket(context.loop)
    , m_membership(context,
                   [this](const core::Address &to, const std::string &datagram) { sendHeartbeat(to, datagram); })
{
    bind();
}

void PeerTransport::bind()
{
    const auto &address = m_context.settings.peerAddress;
    try {
        const udp::endpoint endpoint(net::asio::ip::make_address(address.host), address.port);
        udp::socket socket(m_context.loop);
        socket.open(endpoint.protocol());
        socket.bind(endpoint);
        socket.non_blocking(true);
        m_socket = std::move(socket);
        if (m_awaitsAddress) {
            core::log(core::LogLevel::Info, "address_bound", {{"address", address.text()}});
        }
    } catch (const boost::system::system_error &error) {
        if (!net::isTransientBindError(error.code())) {
            throw core::NetworkError(core::cat(address.text(), ": cannot bind: ", error.code().message()));
        }
        if (!std::exchange(m_awaitsAddress, true)) {
            core::log(core::LogLevel::Warning, "address_unavailable",
                      {{"address", address.text()}, {"error", error.code().message()}});
        }
    }
}

bool PeerTransport::isBound() const noexcept
{
    return m_socket.is_open();
}

void PeerTransport::onMessage(MessageHandler handler)
{
    m_messageHandler = std::move(handler);
}

void PeerTransport::onNewPeer(std::function<void(const core::Address &)> callback)
{
    m_membership.onNewPeer(std::move(callback));
}

net::Task<> PeerTransport::sendHeartbeats()
{
    constexpr double MinJitter = 0.9;
    constexpr double MaxJitter = 1.1;
    for (;;) {
        const auto now = core::now();
        m_membership.sendRound(now);
        const auto jitter = std::uniform_real_distribution<double>(MinJitter, MaxJitter)(m_context.random);
        co_await net::sleepFor(m_membership.interval(now) * jitter);
    }
}

void PeerTransport::sendHeartbeat(const core::Address &to, const std::string &datagram)
{
    m_context.metrics.count(metrics::Counter::HeartbeatsSent);
    m_context.metrics.count(metrics::Counter::HeartbeatBytesSent, static_cast<std::int64_t>(datagram.size()));
    sendTo(to, datagram);
}

void PeerTransport::announceState(core::Time now)
{
    m_membership.announceState(now);
}

void PeerTransport::sendTo(const core::Address &peer, const std::string &datagram)
{
    error_code error; // Ignored: any datagram may be lost, and the next one replaces it.
    const udp::endpoint endpoint(net::asio::ip::make_address(peer.host, error), peer.port);
    if (!error) {
        m_socket.send_to(net::asio::buffer(datagram), endpoint, 0, error);
    }
}

net::Task<> PeerTransport::receiveDatagrams()
{
    while (!m_socket.is_open()) {
        co_await net::sleepFor(net::BindRetryInterval);
        bind();
    }
    std::string buffer(MaxDatagramBytes, '\0');
    for (;;) {
        udp::endpoint sender;
        auto [error, bytes] = co_await m_socket.async_receive_from(net::asio::buffer(buffer), sender, net::Awaited);
        if (error == net::asio::error::operation_aborted) {
            co_return;
        }
        if (!error) { // An error reports that an earlier datagram reached a closed port.
            handleDatagram(buffer.substr(0, bytes), addressOf(sender), core::now());
        }
    }
}

void PeerTransport::handleDatagram(const std::string &datagram, const core::Address &from, core::Time now)
{
    if (auto message = control::readMessage(datagram)) {
        if (m_messageHandler) {
            m_messageHandler(std::move(*message), from);
        }
        return;
    }
    m_context.metrics.count(metrics::Counter::HeartbeatsReceived);
    m_context.metrics.count(metrics::Counter::HeartbeatBytesReceived, static_cast<std::int64_t>(datagram.size()));
    const auto heartbeat = membership::readHeartbeat(datagram, "");
    if (!heartbeat) {
        m_context.metrics.count(metrics::Counter::HeartbeatsRejected);
        return;
    }
    m_membership.handleHeartbeat(*heartbeat, now);
}

} // namespace spurlug::relay
