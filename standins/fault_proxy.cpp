//----------------------------------------------------------------------------------------------------------------------
// spurlug: TCP and UDP proxy for tests that delays, drops, stalls, resets, duplicates and reorders
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/address.h"
#include "spurlug/core/error.h"
#include "spurlug/core/log.h"
#include "spurlug/core/program.h"
#include "spurlug/core/time.h"
#include "spurlug/daemon/http_listener.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <boost/asio.hpp>
#include <boost/program_options.hpp>
#include <httplib.h>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

namespace standins
{

namespace
{

namespace asio = boost::asio;
namespace options = boost::program_options;
namespace core = spurlug::core;
using asio::ip::tcp;
using asio::ip::udp;

constexpr std::size_t BufferBytes = 65536;
constexpr std::int64_t Disabled = -1;

/// Faults that the proxy injects; set by `POST /faults` and read whenever data is forwarded.
struct FaultSettings
{
    std::int64_t delayMs = 0; ///< Delay before data is forwarded.
    bool refuse = false; ///< New connections are closed at once, open ones are reset, datagrams are dropped.
    bool dropToTarget = false; ///< Data sent to the target is dropped.
    bool dropToCaller = false; ///< Data sent to the caller is dropped.
    std::int64_t resetAfter = Disabled; ///< Number of bytes to the caller after which the connection is reset.
    std::int64_t stallAfter = Disabled; ///< Number of bytes to the caller after which nothing more is forwarded to it.
    bool loseAnswer = false; ///< The connection is reset when the target sends its first byte.
    bool duplicate = false; ///< Each datagram is sent twice.
    bool reorder = false; ///< The two datagrams of each pair are swapped.
};

class Faults
{
public:
    [[nodiscard]] FaultSettings current() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_settings;
    }

    void set(const nlohmann::json &value)
    {
        absl::MutexLock lock(&m_mutex);
        m_settings = FaultSettings{};
        m_settings.delayMs = value.value("delayMs", m_settings.delayMs);
        m_settings.refuse = value.value("refuse", m_settings.refuse);
        m_settings.dropToTarget = value.value("dropToTarget", m_settings.dropToTarget);
        m_settings.dropToCaller = value.value("dropToCaller", m_settings.dropToCaller);
        m_settings.resetAfter = value.value("resetAfter", m_settings.resetAfter);
        m_settings.stallAfter = value.value("stallAfter", m_settings.stallAfter);
        m_settings.loseAnswer = value.value("loseAnswer", m_settings.loseAnswer);
        m_settings.duplicate = value.value("duplicate", m_settings.duplicate);
        m_settings.reorder = value.value("reorder", m_settings.reorder);
    }

private:
    mutable absl::Mutex m_mutex;
    FaultSettings m_settings ABSL_GUARDED_BY(m_mutex);
};

/// A proxied TCP connection.
class ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection>
{
public:
    ProxiedConnection(tcp::socket caller, tcp::endpoint target, const Faults &faults)
        : m_caller(std::move(caller))
        , m_target(m_caller.get_executor())
        , m_refusalTimer(m_caller.get_executor())
        , m_targetEndpoint(std::move(target))
        , m_faults(faults)
    { }

    void start()
    {
        m_target.async_connect(m_targetEndpoint, [self = shared_from_this()](const auto &error) {
            if (error) {
                self->reset();
                return;
            }
            self->read(self->m_caller, self->m_target, self->m_toTarget, false);
            self->read(self->m_target, self->m_caller, self->m_toCaller, true);
            self->checkForRefusal();
        });
    }

private:
    using Buffer = std::vector<char>;

    /// Resets the connection once FaultSettings::refuse is set.
    void checkForRefusal()
    {
        m_refusalTimer.expires_after(std::chrono::milliseconds(10));
        m_refusalTimer.async_wait([self = shared_from_this()](const auto &error) {
            if (error || !self->m_caller.is_open()) {
                return;
            }
            if (self->m_faults.current().refuse) {
                self->reset();
                return;
            }
            self->checkForRefusal();
        });
    }

    void read(tcp::socket &from, tcp::socket &to, Buffer &buffer, bool towardsCaller)
    {
        from.async_read_some(
            asio::buffer(buffer),
            [this, self = shared_from_this(), &from, &to, &buffer, towardsCaller](const auto &error, std::size_t size) {
                if (error) {
                    boost::system::error_code ignored;
                    to.shutdown(tcp::socket::shutdown_send, ignored);
                    finishDirection();
                    return;
                }
                forward(from, to, buffer, size, towardsCaller);
            });
    }

    void forward(tcp::socket &from, tcp::socket &to, Buffer &buffer, std::size_t size, bool towardsCaller)
    {
        const auto faults = m_faults.current();
        if (faults.refuse || (towardsCaller && faults.loseAnswer)) {
            reset();
            return;
        }
        if (towardsCaller ? faults.dropToCaller : faults.dropToTarget) {
            read(from, to, buffer, towardsCaller);
            return;
        }
        if (towardsCaller) {
            m_bytesToCaller += static_cast<std::int64_t>(size);
            if (faults.stallAfter != Disabled && m_bytesToCaller > faults.stallAfter) {
                return;
            }
            if (faults.resetAfter != Disabled && m_bytesToCaller > faults.resetAfter) {
                reset();
                return;
            }
        }
        const auto timer = std::make_shared<asio::steady_timer>(from.get_executor());
        timer->expires_after(std::chrono::milliseconds(faults.delayMs));
        timer->async_wait(
            [this, self = shared_from_this(), timer, &from, &to, &buffer, size, towardsCaller](const auto &) {
                asio::async_write(to, asio::buffer(buffer.data(), size),
                                  [this, self, &from, &to, &buffer, towardsCaller](const auto &error, std::size_t) {
                                      if (error) {
                                          reset();
                                          return;
                                      }
                                      read(from, to, buffer, towardsCaller);
                                  });
            });
    }

    void finishDirection()
    {
        if (++m_finishedDirections == 2) {
            m_refusalTimer.cancel();
        }
    }

    void reset()
    {
        boost::system::error_code ignored;
        m_refusalTimer.cancel();
        for (auto *socket : {&m_caller, &m_target}) {
            if (socket->is_open()) {
                socket->set_option(asio::socket_base::linger(true, 0), ignored);
                socket->close(ignored);
            }
        }
    }

    tcp::socket m_caller;
    tcp::socket m_target;
    asio::steady_timer m_refusalTimer;
    tcp::endpoint m_targetEndpoint;
    const Faults &m_faults;
    Buffer m_toTarget = Buffer(BufferBytes);
    Buffer m_toCaller = Buffer(BufferBytes);
    std::int64_t m_bytesToCaller = 0;
    int m_finishedDirections = 0;
};

class TcpProxy
{
public:
    TcpProxy(asio::io_context &context, const core::Address &target, const Faults &faults)
        : m_acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , m_target(asio::ip::make_address(target.host), target.port)
        , m_faults(faults)
    {
        accept();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const auto &error, tcp::socket socket) {
            if (!error && !m_faults.current().refuse) {
                std::make_shared<ProxiedConnection>(std::move(socket), m_target, m_faults)->start();
            }
            accept();
        });
    }

    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
    const Faults &m_faults;
};

/// Forwards datagrams in one direction only, because daemons send to each other's known addresses and never reply to
/// the source address of a datagram.
class UdpProxy
{
public:
    UdpProxy(asio::io_context &context, const core::Address &target, const Faults &faults)
        : m_socket(context, udp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , m_target(asio::ip::make_address(target.host), target.port)
        , m_faults(faults)
    {
        receive();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_socket.local_endpoint().port();
    }

private:
    void receive()
    {
        m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [this](const auto &error, std::size_t size) {
            if (!error) {
                forward(std::string(m_buffer.data(), size));
            }
            receive();
        });
    }

    void forward(const std::string &datagram)
    {
        const auto faults = m_faults.current();
        if (faults.refuse || faults.dropToTarget) {
            return;
        }
        if (faults.reorder && m_heldDatagram.empty()) {
            m_heldDatagram = datagram;
            return;
        }
        send(datagram, faults.delayMs);
        if (faults.duplicate) {
            send(datagram, faults.delayMs);
        }
        if (!m_heldDatagram.empty()) {
            send(std::exchange(m_heldDatagram, {}), faults.delayMs);
        }
    }

    void send(const std::string &datagram, std::int64_t delayMs)
    {
        const auto timer = std::make_shared<asio::steady_timer>(m_socket.get_executor());
        timer->expires_after(std::chrono::milliseconds(delayMs));
        timer->async_wait([this, timer, datagram](const auto &) {
            boost::system::error_code ignored;
            m_socket.send_to(asio::buffer(datagram), m_target, 0, ignored);
        });
    }

    udp::socket m_socket;
    udp::endpoint m_target;
    udp::endpoint m_sender;
    const Faults &m_faults;
    std::vector<char> m_buffer = std::vector<char>(BufferBytes);
    std::string m_heldDatagram;
};

int run(const core::Address &target, const std::string &portsFile)
{
    asio::io_context context;
    Faults faults;
    const TcpProxy tcpProxy(context, target, faults);
    const UdpProxy udpProxy(context, target, faults);
    const spurlug::daemon::HttpListener admin({"127.0.0.1", 0}, {4}, [&faults](httplib::Server &server) {
        server.Post("/faults", [&faults](const auto &request, auto &response) {
            const auto value = nlohmann::json::parse(request.body, nullptr, false);
            if (value.is_object()) {
                faults.set(value);
            } else {
                response.status = 400;
            }
        });
    });
    std::thread forwarder([&context] { context.run(); });
    core::writePortsFile(portsFile,
                         {{"tcp", core::Address{"127.0.0.1", tcpProxy.port()}.text()},
                          {"udp", core::Address{"127.0.0.1", udpProxy.port()}.text()},
                          {"admin", admin.address().text()}});
    core::waitForStopSignal();
    context.stop();
    forwarder.join();
    return core::ExitOk;
}

} // namespace

} // namespace standins

int main(int argc, char **argv)
{
    using namespace standins;
    options::options_description description("fault-proxy - forwards TCP and UDP to one target and injects faults");
    description.add_options()("help,h", "show this text")("target", options::value<std::string>(), "HOST:PORT")(
        "ports-file", options::value<std::string>()->default_value(""), "write the bound addresses to this file");
    try {
        options::variables_map arguments;
        options::store(options::parse_command_line(argc, argv, description), arguments);
        if (arguments.contains("help") || !arguments.contains("target")) {
            std::cout << description << "\n";
            return arguments.contains("help") ? core::ExitOk : core::ExitUsage;
        }
        core::blockStopSignals();
        core::startLog("fault-proxy", core::LogLevel::Warning);
        return run(core::parseAddress(arguments["target"].as<std::string>()),
                   arguments["ports-file"].as<std::string>());
    } catch (const std::exception &error) {
        std::cerr << "fault-proxy: " << error.what() << "\n";
        return core::ExitUsage;
    }
}
