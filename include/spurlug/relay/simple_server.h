//----------------------------------------------------------------------------------------------------------------------
// spurlug: small HTTP services of a relaying daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/net/http_message.h"
#include "spurlug/net/listener.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace spurlug::relay
{

/// \brief Answers requests at once from what the daemon has in memory: readiness, metrics, questions of peers.
class SimpleServer
{
public:
    using Handler = std::function<net::Response(const net::Request &)>;

    /// \throws NetworkError when the address cannot be bound.
    SimpleServer(net::Loop &loop, const core::Address &address, Handler handler);

    /// \brief Begins to accept connections; the object outlives the loop's run.
    void start();

    [[nodiscard]] const core::Address &address() const noexcept;

private:
    [[nodiscard]] net::Task<> serve(net::asio::ip::tcp::socket socket);

    net::Loop &m_loop;
    net::Listener m_listener;
    Handler m_handler;
};

/// \brief A whole number in a query, `name=number` between `&`; nothing when there is none.
[[nodiscard]] std::optional<std::int64_t> queryNumber(std::string_view query, std::string_view name);

/// \brief A response with a text body.
[[nodiscard]] net::Response textResponse(int status, std::string body, std::string_view contentType);

} // namespace spurlug::relay
