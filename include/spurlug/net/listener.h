//----------------------------------------------------------------------------------------------------------------------
// spurlug: listener for TCP connections
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/net/io.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>

namespace spurlug::net
{

/// \brief Listens on an address and passes each accepted connection to a callback.
class Listener
{
public:
    /// \param address Port 0 lets the kernel choose.
    /// \throws NetworkError when the address cannot be bound.
    Listener(Loop &loop, const core::Address &address);

    /// \brief Accepts connections until `stop`; pauses briefly after an error, such as a lack of descriptors.
    [[nodiscard]] Task<> run(std::function<void(asio::ip::tcp::socket)> onAccepted);

    /// \brief Stops listening.
    void stop();

    /// \brief The bound address, with the port that the kernel chose.
    [[nodiscard]] const core::Address &address() const noexcept;

private:
    asio::ip::tcp::acceptor m_acceptor;
    core::Address m_address;
};

} // namespace spurlug::net
