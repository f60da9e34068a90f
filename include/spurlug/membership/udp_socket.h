//----------------------------------------------------------------------------------------------------------------------
// spurlug: a UDP socket
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"

#include <memory>
#include <optional>
#include <string>

namespace spurlug::membership
{

/// \brief A bound UDP socket. The destructor closes it.
class UdpSocket
{
public:
    /// \param address Address to bind to; with port 0 the kernel chooses a port.
    /// \throws NetworkError if the socket cannot be opened or bound.
    explicit UdpSocket(const core::Address &address);
    ~UdpSocket();
    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;

    /// \brief Address that the socket is bound to.
    [[nodiscard]] core::Address address() const;

    /// \brief Sends a datagram. Errors are ignored, as any datagram may be lost.
    void send(const std::string &datagram, const core::Address &to);

    /// \brief Waits for a datagram; retries after receive errors.
    /// \returns Nothing once the socket is shut down.
    [[nodiscard]] std::optional<std::string> receive();

    /// \brief Ends a waiting `receive`, within 100 ms.
    void shutDown();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace spurlug::membership
