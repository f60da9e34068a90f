//----------------------------------------------------------------------------------------------------------------------
// spurlug: a UDP socket
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/membership/udp_socket.h"

#include "spurlug/core/error.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <poll.h>
#include <vector>

namespace spurlug::membership
{

using boost::asio::ip::udp;

namespace
{

constexpr std::size_t MaxDatagramBytes = 65536;

udp::endpoint endpointOf(const core::Address &address)
{
    const auto *host = address.host == "localhost" ? "127.0.0.1" : address.host.c_str();
    return {boost::asio::ip::make_address(host), address.port};
}

} // namespace

struct UdpSocket::Impl
{
    boost::asio::io_context context;
    udp::socket socket{context};
    std::atomic<bool> isClosing{false};
};

UdpSocket::UdpSocket(const core::Address &address)
    : m_impl(std::make_unique<Impl>())
{
    try {
        const auto endpoint = endpointOf(address);
        m_impl->socket.open(endpoint.protocol());
        m_impl->socket.bind(endpoint);
    } catch (const boost::system::system_error &error) {
        throw core::NetworkError(address.text() + ": " + error.what());
    }
}

UdpSocket::~UdpSocket() = default;

core::Address UdpSocket::address() const
{
    const auto endpoint = m_impl->socket.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

void UdpSocket::send(const std::string &datagram, const core::Address &to)
{
    boost::system::error_code error;
    boost::system::error_code parseError;
    const auto host = boost::asio::ip::make_address(to.host == "localhost" ? "127.0.0.1" : to.host, parseError);
    if (!parseError) {
        m_impl->socket.send_to(boost::asio::buffer(datagram), {host, to.port}, 0, error);
    }
}

std::optional<std::string> UdpSocket::receive()
{
    constexpr int PollIntervalMs = 100;
    std::vector<char> buffer(MaxDatagramBytes);
    while (!m_impl->isClosing) {
        pollfd pollEntry{m_impl->socket.native_handle(), POLLIN, 0};
        if (poll(&pollEntry, 1, PollIntervalMs) <= 0) {
            continue;
        }
        boost::system::error_code error;
        udp::endpoint from;
        const auto size = m_impl->socket.receive_from(boost::asio::buffer(buffer), from, 0, error);
        if (!error) {
            return std::string(buffer.data(), size);
        }
    }
    return std::nullopt;
}

void UdpSocket::shutDown()
{
    m_impl->isClosing = true;
}

} // namespace spurlug::membership
