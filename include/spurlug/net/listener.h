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

inline constexpr auto BindRetryInterval = absl::Milliseconds(200);

/// \brief Whether an address that cannot be bound may become available: another socket uses it, or it is not configured
/// yet.
[[nodiscard]] bool isTransientBindError(const boost::system::error_code &error) noexcept;

/// \brief Listens on an address and passes each accepted connection to a callback.
class Listener
{
public:
    /// \param address Port 0 lets the kernel choose. `run` binds an address that is not available yet, as while a
    /// process that uses it exits.
    /// \throws NetworkError when the address cannot be bound for another reason.
    Listener(Loop &loop, const core::Address &address);

    /// \brief Accepts connections until `stop`; pauses briefly after an error, such as a lack of descriptors.
    [[nodiscard]] Task<> run(std::function<void(asio::ip::tcp::socket)> onAccepted);

    /// \brief Stops listening.
    void stop();

    /// \brief Whether the address is bound.
    [[nodiscard]] bool isListening() const noexcept;

    /// \brief The bound address, with the port that the kernel chose.
    [[nodiscard]] const core::Address &address() const noexcept;

private:
    void open();

    Loop &m_loop;
    asio::ip::tcp::acceptor m_acceptor;
    core::Address m_address;
    bool m_awaitsAddress = false; ///< Whether the address was not available.
    bool m_isStopped = false;
};

} // namespace spurlug::net
