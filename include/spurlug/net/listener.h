//----------------------------------------------------------------------------------------------------------------------
// spurlug: accepts TCP connections
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/net/io.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>

namespace spurlug::net
{

/// \brief Listens on an address and hands over each connection.
class Listener
{
public:
    /// \param address Port 0 lets the kernel choose.
    /// \throws NetworkError when the address cannot be bound.
    Listener(Loop &loop, const core::Address &address);

    /// \brief Accepts until `stop`; waits a little when descriptors run out.
    [[nodiscard]] Task<> run(std::function<void(asio::ip::tcp::socket)> accepted);

    void stop();

    [[nodiscard]] const core::Address &address() const noexcept;

private:
    asio::ip::tcp::acceptor m_acceptor;
    core::Address m_address;
};

} // namespace spurlug::net
