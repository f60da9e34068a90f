//----------------------------------------------------------------------------------------------------------------------
// spurlug: HTTP server for small internal services of a relay daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/net/http_message.h"
#include "spurlug/net/listener.h"
#include "spurlug/net/server_connection.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace spurlug::relay
{

/// \brief Answers requests synchronously from data in memory: readiness, metrics, queries of peers.
class SimpleServer
{
public:
    /// \brief Returns the response to a request.
    using Handler = std::function<net::Response(const net::Request &)>;

    /// \throws NetworkError if the address cannot be bound.
    SimpleServer(net::Loop &loop, const core::Address &address, Handler handler);

    /// \brief Serves a tunnel to its end; the connection is closed afterwards.
    using TunnelHandler = std::function<net::Task<>(net::ServerConnection &, net::Request)>;
    /// \brief Sets the handler of CONNECT requests; without one, they are answered like others.
    void onTunnel(TunnelHandler handler);

    /// \brief Starts to accept connections. The object must outlive the run of the loop.
    void start();

    /// \brief The address that the server listens on.
    [[nodiscard]] const core::Address &address() const noexcept;
    /// \brief Whether the address is bound.
    [[nodiscard]] bool isListening() const noexcept;

private:
    [[nodiscard]] net::Task<> serve(net::asio::ip::tcp::socket socket);

    net::Loop &m_loop;
    net::Listener m_listener;
    Handler m_handler;
    TunnelHandler m_tunnelHandler;
};

/// \brief The integer value of a parameter in a URL query (`name=number`, separated by `&`); nothing if it is missing
/// or not an integer.
[[nodiscard]] std::optional<std::int64_t> queryInteger(std::string_view query, std::string_view name);

/// \brief Creates a response with a text body.
[[nodiscard]] net::Response textResponse(int status, std::string body, std::string_view contentType);

} // namespace spurlug::relay
