//----------------------------------------------------------------------------------------------------------------------
// spurlug: HTTP listener with its own bounded thread pool
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/daemon/http_listener.h"

#include "spurlug/core/error.h"
#include "spurlug/core/worker_pool.h"

#include <httplib.h>
#include <netinet/tcp.h>
#include <thread>
#include <utility>

namespace spurlug::daemon
{

namespace
{

constexpr std::size_t MaxQueuedOverflow = 256;
constexpr int KeepAliveTimeoutSeconds = 5;
constexpr int IoTimeoutSeconds = 10;
constexpr int ListenBacklog = 512;
constexpr std::size_t MaxKeepAliveRequests = 1000;

thread_local bool t_isOverflowThread = false;

/// Runs each connection on a thread of a bounded pool, and connections above the limit on one overflow thread.
class BoundedTaskQueue : public httplib::TaskQueue
{
public:
    explicit BoundedTaskQueue(std::size_t connections)
        : m_connections(connections, 0)
        , m_overflow(1, MaxQueuedOverflow)
    { }

    void enqueue(std::function<void()> task) override
    {
        if (!m_connections.trySubmit(task)) {
            m_overflow.submit([task = std::move(task)] {
                t_isOverflowThread = true;
                task();
            });
        }
    }

    void shutdown() override
    {
        m_connections.stop();
        m_overflow.stop();
    }

private:
    core::WorkerPool m_connections;
    core::WorkerPool m_overflow;
};

} // namespace

struct HttpListener::Impl
{
    httplib::Server server;
    std::thread thread;
    socket_t socket = INVALID_SOCKET;
};

HttpListener::HttpListener(const core::Address &address, ListenerLimits limits,
                           const std::function<void(httplib::Server &)> &configure)
    : m_impl(std::make_unique<Impl>())
    , m_address(address)
{
    auto &server = m_impl->server;
    server.new_task_queue = [limits] { return new BoundedTaskQueue(limits.maxConnections); };
    server.set_payload_max_length(limits.maxBodyBytes);
    server.set_keep_alive_timeout(KeepAliveTimeoutSeconds);
    server.set_keep_alive_max_count(MaxKeepAliveRequests);
    server.set_read_timeout(IoTimeoutSeconds);
    server.set_write_timeout(IoTimeoutSeconds);
    server.set_tcp_nodelay(true);
    server.set_socket_options([this](socket_t socket) {
        const int enable = 1;
        m_impl->socket = socket;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    });
    configure(server);
    if (address.port == 0) {
        m_address.port = static_cast<std::uint16_t>(std::max(server.bind_to_any_port(address.host), 0));
    } else if (!server.bind_to_port(address.host, address.port)) {
        m_address.port = 0;
    }
    if (m_address.port == 0) {
        throw core::NetworkError(address.text() + ": cannot listen");
    }
    listen(m_impl->socket, ListenBacklog); // The library's backlog of 5 drops connections in a burst.
    m_impl->thread = std::thread([this] { m_impl->server.listen_after_bind(); });
    while (!server.is_running()) {
        std::this_thread::yield();
    }
}

HttpListener::~HttpListener()
{
    m_impl->server.stop();
    m_impl->thread.join();
}

const core::Address &HttpListener::address() const noexcept
{
    return m_address;
}

bool HttpListener::isOverloaded() noexcept
{
    return t_isOverflowThread;
}

} // namespace spurlug::daemon
