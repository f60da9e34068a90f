//----------------------------------------------------------------------------------------------------------------------
// spurlug: listener for TCP connections
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/net/listener.h"

#include "spurlug/core/error.h"
#include "spurlug/core/log.h"
#include "spurlug/core/text.h"

#include <nlohmann/json.hpp>

namespace spurlug::net
{

namespace
{

constexpr int AcceptBacklog = 1024; // Length of the accept queue; a full queue delays a caller by seconds.
constexpr auto AcceptRetryDelay = absl::Milliseconds(20);

} // namespace

Listener::Listener(Loop &loop, const core::Address &address)
    : m_acceptor(loop)
    , m_address(address)
{
    using asio::ip::tcp;
    try {
        const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen(AcceptBacklog);
        m_address.port = m_acceptor.local_endpoint().port();
    } catch (const boost::system::system_error &error) {
        throw core::NetworkError(core::cat(address.text(), ": cannot listen: ", error.code().message()));
    }
}

Task<> Listener::run(std::function<void(asio::ip::tcp::socket)> onAccepted)
{
    while (m_acceptor.is_open()) {
        auto [error, socket] = co_await m_acceptor.async_accept(Awaited);
        if (!error) {
            boost::system::error_code ignored;
            socket.set_option(asio::ip::tcp::no_delay(true), ignored); // A failure only increases latency.
            onAccepted(std::move(socket));
        } else if (m_acceptor.is_open()) {
            core::log(core::LogLevel::Warning, "accept_failed",
                      {{"address", m_address.text()}, {"error", error.message()}});
            co_await sleepFor(AcceptRetryDelay);
        }
    }
}

void Listener::stop()
{
    boost::system::error_code ignored; // The socket may already be closed.
    m_acceptor.close(ignored);
}

const core::Address &Listener::address() const noexcept
{
    return m_address;
}

} // namespace spurlug::net
