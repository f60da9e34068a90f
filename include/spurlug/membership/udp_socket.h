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

/// \brief A bound UDP socket, closed at the end of its life.
class UdpSocket
{
public:
    /// \param address Port 0 lets the kernel choose.
    /// \throws NetworkError
    explicit UdpSocket(const core::Address &address);
    ~UdpSocket();
    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;

    /// \brief Address the socket is bound to.
    [[nodiscard]] core::Address address() const;

    /// \brief Sends a datagram. A datagram that cannot be sent is lost, as any may be.
    void send(const std::string &datagram, const core::Address &to);

    /// \brief Waits for a datagram.
    /// \returns Nothing once the socket is shut down, or after a receive fault.
    [[nodiscard]] std::optional<std::string> receive();

    /// \brief Ends a waiting `receive`.
    void shutDown();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace spurlug::membership
