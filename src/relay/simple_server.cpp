//----------------------------------------------------------------------------------------------------------------------
// spurlug: HTTP server for small internal services of a relay daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/simple_server.h"

#include "spurlug/core/text.h"
#include "spurlug/net/spawn.h"

#include <algorithm>

namespace spurlug::relay
{

namespace
{

constexpr auto WriteTimeout = absl::Seconds(2);
constexpr std::size_t MaxBodyBytes = 64 << 10; // Bytes. Requests to these services are small.

} // namespace

SimpleServer::SimpleServer(net::Loop &loop, const core::Address &address, Handler handler)
    : m_loop(loop)
    , m_listener(loop, address)
    , m_handler(std::move(handler))
{ }

void SimpleServer::onTunnel(TunnelHandler handler)
{
    m_tunnelHandler = std::move(handler);
}

void SimpleServer::start()
{
    net::spawnService(m_loop, "accept", [this] {
        return m_listener.run([this](net::asio::ip::tcp::socket socket) {
            net::spawn(m_loop, "internal_request", serve(std::move(socket)));
        });
    });
}

net::Task<> SimpleServer::serve(net::asio::ip::tcp::socket socket)
{
    net::ServerConnection connection(m_loop, std::move(socket));
    net::ReadLimits limits;
    limits.maxBodyBytes = MaxBodyBytes;
    for (;;) {
        const auto result = co_await connection.read(limits);
        if (!result.request) {
            co_return;
        }
        if (m_tunnelHandler && result.request->method == "CONNECT") {
            co_await m_tunnelHandler(connection, std::move(*result.request));
            co_return;
        }
        auto response = m_handler(*result.request);
        const bool keepAlive = result.request->keepAlive;
        const bool written
            = co_await connection.write(std::move(response), keepAlive, core::now() + core::Duration(WriteTimeout));
        if (!written || !keepAlive) {
            co_return;
        }
    }
}

const core::Address &SimpleServer::address() const noexcept
{
    return m_listener.address();
}

bool SimpleServer::isListening() const noexcept
{
    return m_listener.isListening();
}

std::optional<std::int64_t> queryInteger(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto parameter = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(parameter.size() + 1, query.size()));
        std::int64_t value = 0;
        const auto separator = parameter.find('=');
        const bool nameMatches = separator != std::string_view::npos && parameter.substr(0, separator) == name;
        if (nameMatches && core::parseInteger(parameter.substr(separator + 1), value)) {
            return value;
        }
    }
    return std::nullopt;
}

net::Response textResponse(int status, std::string body, std::string_view contentType)
{
    net::Response response;
    response.head.status = status;
    response.head.headers.add("Content-Type", contentType);
    response.body = std::move(body);
    return response;
}

} // namespace spurlug::relay
