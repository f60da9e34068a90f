//----------------------------------------------------------------------------------------------------------------------
// spurlug: listener for TCP connections
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/net/listener.h"

#include "spurlug/core/error.h"
#include "spurlug/core/log.h"
#include "spurlug/core/text.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace spurlug::net
{

namespace
{

constexpr int AcceptBacklog = 1024; // Length of the accept queue; a full queue delays a caller by seconds.
constexpr auto AcceptRetryDelay = absl::Milliseconds(20);

} // namespace

bool isTransientBindError(const boost::system::error_code &error) noexcept
{
    return error == boost::system::errc::address_in_use || error == boost::system::errc::address_not_available;
}

Listener::Listener(Loop &loop, const core::Address &address)
    : m_loop(loop)
    , m_acceptor(loop)
    , m_address(address)
{
    open();
}

void Listener::open()
{
    using asio::ip::tcp;
    try {
        const tcp::endpoint endpoint(asio::ip::make_address(m_address.host), m_address.port);
        tcp::acceptor acceptor(m_loop);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen(AcceptBacklog);
        m_address.port = acceptor.local_endpoint().port();
        m_acceptor = std::move(acceptor);
        if (m_awaitsAddress) {
            core::log(core::LogLevel::Info, "address_bound", {{"address", m_address.text()}});
        }
    } catch (const boost::system::system_error &error) {
        if (!isTransientBindError(error.code())) {
            throw core::NetworkError(core::cat(m_address.text(), ": cannot listen: ", error.code().message()));
        }
        if (!std::exchange(m_awaitsAddress, true)) {
            core::log(core::LogLevel::Warning, "address_unavailable",
                      {{"address", m_address.text()}, {"error", error.code().message()}});
        }
    }
}

Task<> Listener::run(std::function<void(asio::ip::tcp::socket)> onAccepted)
{
    while (!m_acceptor.is_open() && !m_isStopped) {
        co_await sleepFor(BindRetryInterval);
        open();
    }
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
    m_isStopped = true;
    boost::system::error_code ignored; // The socket may already be closed.
    m_acceptor.close(ignored);
}

bool Listener::isListening() const noexcept
{
    return m_acceptor.is_open();
}

const core::Address &Listener::address() const noexcept
{
    return m_address;
}

} // namespace spurlug::net
