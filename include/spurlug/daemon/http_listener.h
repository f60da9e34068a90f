//----------------------------------------------------------------------------------------------------------------------
// spurlug: an HTTP listener with a bounded pool of its own
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/fwd.h"

#include <functional>
#include <memory>
#include <string>

namespace spurlug::daemon
{

/// \brief Bounds of a listener.
struct ListenerLimits
{
    std::size_t connections = 64; ///< Threads, one a connection.
    std::size_t bodyBytes = 1U << 20; ///< Largest request body.
};

/// \brief Runs an httplib server on a thread of its own.
///
/// Connections beyond the bound are answered by one spare thread, which tells `overloaded` to handlers on it, so that
/// callers get a typed refusal instead of silence.
class HttpListener
{
public:
    /// \param address Port 0 lets the kernel choose.
    /// \param configure Adds routes; called once, before the listener starts.
    /// \throws NetworkError
    HttpListener(const core::Address &address, ListenerLimits limits,
                 const std::function<void(httplib::Server &)> &configure);
    /// \brief Stops accepting, waits for the handlers in progress.
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    [[nodiscard]] const core::Address &address() const noexcept;

    /// \brief Whether the calling handler runs on the spare thread.
    [[nodiscard]] static bool overloaded() noexcept;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
    core::Address m_address;
};

} // namespace spurlug::daemon
