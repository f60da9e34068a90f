//----------------------------------------------------------------------------------------------------------------------
// spurlug: HTTP listener with its own bounded thread pool
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

/// \brief Limits of a listener.
struct ListenerLimits
{
    std::size_t maxConnections = 64; ///< Maximum number of connections; each uses one thread.
    std::size_t maxBodyBytes = 1U << 20; ///< Maximum size of a request body.
};

/// \brief Runs an httplib server on its own thread.
///
/// Connections above the limit are served by one overflow thread. Handlers on that thread can detect this, so that
/// callers get a refusal with a reason instead of no answer.
class HttpListener
{
public:
    /// \param address Port 0 lets the kernel choose a free port.
    /// \param configure Adds routes; called once, before the listener starts.
    /// \throws NetworkError if the address cannot be bound.
    HttpListener(const core::Address &address, ListenerLimits limits,
                 const std::function<void(httplib::Server &)> &configure);
    /// \brief Stops accepting connections and waits for the handlers in progress.
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /// \brief The bound address.
    [[nodiscard]] const core::Address &address() const noexcept;

    /// \brief Whether the calling handler runs on the overflow thread.
    [[nodiscard]] static bool isOverloaded() noexcept;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
    core::Address m_address;
};

} // namespace spurlug::daemon
