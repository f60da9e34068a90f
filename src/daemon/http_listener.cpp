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

constexpr std::size_t MostOverflow = 256;
constexpr int KeepAliveSeconds = 5;
constexpr int ReadSeconds = 10;
constexpr int Backlog = 512;
constexpr std::size_t KeepAliveRequests = 1000;

thread_local bool t_overloaded = false;

/// Runs each connection on a thread of a bounded pool, and connections above the limit on one overflow thread.
class BoundedTaskQueue : public httplib::TaskQueue
{
public:
    explicit BoundedTaskQueue(std::size_t connections)
        : m_connections(connections, 0)
        , m_overflow(1, MostOverflow)
    { }

    void enqueue(std::function<void()> task) override
    {
        if (!m_connections.tryRun(task)) {
            m_overflow.run([task = std::move(task)] {
                t_overloaded = true;
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
    server.new_task_queue = [limits] { return new BoundedTaskQueue(limits.connections); };
    server.set_payload_max_length(limits.bodyBytes);
    server.set_keep_alive_timeout(KeepAliveSeconds);
    server.set_keep_alive_max_count(KeepAliveRequests);
    server.set_read_timeout(ReadSeconds);
    server.set_write_timeout(ReadSeconds);
    server.set_tcp_nodelay(true);
    server.set_socket_options([this](socket_t socket) {
        const int yes = 1;
        m_impl->socket = socket;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
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
    listen(m_impl->socket, Backlog); // The library's backlog of 5 drops connections in a burst.
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

bool HttpListener::overloaded() noexcept
{
    return t_overloaded;
}

} // namespace spurlug::daemon
