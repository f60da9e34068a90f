//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of how the process of a relay daemon starts and ends
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"
#include "relay_process.h"

#include "spurlug/core/program.h"
#include "spurlug/net/spawn.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <string>
#include <sys/stat.h>
#include <unistd.h>
#include <vector>

namespace spurlug::test
{

namespace
{

constexpr int StillRunning = 1000; ///< In place of an exit code.
constexpr auto PollInterval = absl::Milliseconds(10);

/// A full pipe that nobody reads, in place of a daemon's log file.
class FullPipe
{
public:
    explicit FullPipe(const std::string &path)
    {
        BOOST_REQUIRE(mkfifo(path.c_str(), S_IRUSR | S_IWUSR) == 0);
        m_reader = open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
        const int writer = open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        const std::array<char, 4096> bytes{};
        while (write(writer, bytes.data(), bytes.size()) > 0) { }
        close(writer);
    }
    ~FullPipe()
    {
        close(m_reader);
    }
    FullPipe(const FullPipe &) = delete;
    FullPipe &operator=(const FullPipe &) = delete;

private:
    int m_reader = -1;
};

/// A pipe in place of a daemon's settings file. The daemon waits for its settings until `provide` is called.
class SettingsPipe
{
public:
    explicit SettingsPipe(std::string path)
        : m_path(std::move(path))
    {
        BOOST_REQUIRE(mkfifo(m_path.c_str(), S_IRUSR | S_IWUSR) == 0);
    }

    /// Waits until the daemon reads its settings.
    net::Task<> awaitReader()
    {
        while (m_writer < 0) {
            co_await net::sleepFor(absl::Milliseconds(1));
            m_writer = open(m_path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        }
    }

    /// Sends the settings to the daemon, and replaces the pipe by a file that contains them.
    void provide(const std::string &text)
    {
        std::ofstream(m_path + ".new") << text;
        std::filesystem::rename(m_path + ".new", m_path);
        BOOST_TEST(write(m_writer, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
        close(m_writer);
    }

private:
    const std::string m_path;
    int m_writer = -1;
};

/// Waits until the daemon knows its configuration, or `timeout` has passed.
net::Task<bool> servesWithin(core::Duration timeout, RelayFleet &fleet, core::Address callerAddress)
{
    CallerRequest unknown;
    unknown.path = "/unknown/1";
    for (const auto deadline = core::now() + timeout; core::now() < deadline;) {
        const auto answer = co_await fleet.sendTo(callerAddress, unknown);
        if (answer.status == 404) {
            co_return true;
        }
        co_await net::sleepFor(PollInterval);
    }
    co_return false;
}

/// Returns the exit code of the process, or the negated number of the signal that ended it. Returns nothing if it
/// still runs after `timeout`.
net::Task<std::optional<int>> exitCodeWithin(core::Duration timeout, support::Process &process)
{
    for (const auto deadline = core::now() + timeout; core::now() < deadline;) {
        if (const auto code = process.poll()) {
            co_return code;
        }
        co_await net::sleepFor(PollInterval);
    }
    co_return std::nullopt;
}

/// Keeps child processes from inheriting a socket, which would stay open with them.
template<typename Socket>
void closeOnExec(Socket &socket)
{
    BOOST_REQUIRE(fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC) == 0);
}

/// A relay daemon whose files a test has replaced. Unlike RelayProcess, it writes no settings.
support::Process startDaemon(const support::TemporaryDirectory &directory, const std::string &name)
{
    return {directory, name, {"spurlugd", "--relay", "--settings", directory.file(name + ".json")}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(process_lifecycle)

// Guards against a process that outlives SIGTERM because the reader of its log has stopped reading.
BOOST_AUTO_TEST_CASE(a_daemon_whose_log_is_not_read_serves_and_ends_within_its_grace_period)
{
    RelayFleet fleet(0);
    const support::TemporaryDirectory directory;
    fleet.addTarget("app");
    auto settings = fleet.makeSettings();
    settings.bounds.grace = absl::Seconds(4);
    const FullPipe log(directory.file("daemon.log"));
    std::ofstream(directory.file("daemon.json")) << settingsText(settings);
    auto daemon = startDaemon(directory, "daemon");
    bool serves = false;
    int status = 0;
    std::optional<int> exitCode;
    fleet.run([&]() -> net::Task<> {
        serves = co_await servesWithin(absl::Seconds(5), fleet, settings.callerAddress);
        co_await net::sleepFor(absl::Milliseconds(300)); // A separate call reads the target list.
        const CallerRequest request;
        const auto answer = co_await fleet.sendTo(settings.callerAddress, request);
        status = answer.status;
        daemon.signal(SIGTERM);
        exitCode = co_await exitCodeWithin(settings.bounds.grace, daemon);
    });
    BOOST_TEST(serves);
    BOOST_TEST(status == 200);
    BOOST_TEST(exitCode.value_or(StillRunning) == core::ExitOk);
}

// Guards against a process that waits for the reader of its log before it reports that it cannot start.
BOOST_AUTO_TEST_CASE(a_daemon_whose_log_is_not_read_ends_if_its_settings_are_invalid)
{
    RelayFleet fleet(0);
    const support::TemporaryDirectory directory;
    const FullPipe log(directory.file("daemon.log"));
    std::ofstream(directory.file("daemon.json")) << "{}";
    auto daemon = startDaemon(directory, "daemon");
    std::optional<int> exitCode;
    fleet.run([&]() -> net::Task<> { exitCode = co_await exitCodeWithin(absl::Seconds(4), daemon); });
    BOOST_TEST(exitCode.value_or(StillRunning) == core::ExitUsage);
}

// Guards against a process that SIGHUP ends while it starts: its settings may change at any time.
BOOST_AUTO_TEST_CASE(sighup_does_not_end_a_daemon_that_has_not_started_yet)
{
    RelayFleet fleet(0);
    const support::TemporaryDirectory directory;
    const auto settings = fleet.makeSettings();
    SettingsPipe pipe(directory.file("daemon.json"));
    auto daemon = startDaemon(directory, "daemon");
    bool serves = false;
    std::optional<int> exitCode;
    fleet.run([&]() -> net::Task<> {
        co_await pipe.awaitReader();
        daemon.signal(SIGHUP);
        exitCode = co_await exitCodeWithin(absl::Milliseconds(100), daemon);
        if (!exitCode) {
            pipe.provide(settingsText(settings));
            serves = co_await servesWithin(absl::Seconds(5), fleet, settings.callerAddress);
        }
    });
    BOOST_TEST(!exitCode.has_value());
    BOOST_TEST(serves);
    BOOST_TEST(daemon.log().find("settings_reloaded") != std::string::npos);
}

// Guards against a process that SIGTERM ends by the signal instead of in order because it has not started yet.
BOOST_AUTO_TEST_CASE(sigterm_ends_a_daemon_that_has_not_started_yet_in_order)
{
    RelayFleet fleet(0);
    const support::TemporaryDirectory directory;
    const auto settings = fleet.makeSettings();
    SettingsPipe pipe(directory.file("daemon.json"));
    auto daemon = startDaemon(directory, "daemon");
    std::optional<int> exitCode;
    fleet.run([&]() -> net::Task<> {
        co_await pipe.awaitReader();
        daemon.signal(SIGTERM);
        exitCode = co_await exitCodeWithin(absl::Milliseconds(100), daemon);
        if (!exitCode) {
            pipe.provide(settingsText(settings));
            exitCode = co_await exitCodeWithin(settings.bounds.grace, daemon);
        }
    });
    BOOST_TEST(exitCode.value_or(StillRunning) == core::ExitOk);
    BOOST_TEST(daemon.log().find("\"stopped\"") != std::string::npos);
}

// Guards against a process that SIGHUP ends while it is cleaned up, which a full pipe prolongs.
BOOST_AUTO_TEST_CASE(sighup_does_not_end_a_daemon_that_stops)
{
    RelayFleet fleet(0);
    const support::TemporaryDirectory directory;
    auto settings = fleet.makeSettings();
    settings.bounds.grace = absl::Seconds(4);
    const FullPipe log(directory.file("daemon.log"));
    std::ofstream(directory.file("daemon.json")) << settingsText(settings);
    auto daemon = startDaemon(directory, "daemon");
    bool serves = false;
    std::optional<int> exitCode;
    fleet.run([&]() -> net::Task<> {
        serves = co_await servesWithin(absl::Seconds(5), fleet, settings.callerAddress);
        daemon.signal(SIGTERM);
        for (const auto deadline = core::now() + settings.bounds.grace; !exitCode && core::now() < deadline;) {
            daemon.signal(SIGHUP);
            co_await net::sleepFor(absl::Microseconds(100));
            exitCode = daemon.poll();
        }
    });
    BOOST_TEST(serves);
    BOOST_TEST(exitCode.value_or(StillRunning) == core::ExitOk);
}

// Guards against a daemon that handles no signals any more after its settings could not be read: it outlived SIGTERM.
BOOST_AUTO_TEST_CASE(settings_that_cannot_be_read_are_refused_and_the_daemon_ends_on_sigterm)
{
    RelayFleet fleet(0);
    const support::TemporaryDirectory directory;
    auto settings = fleet.makeSettings();
    settings.bounds.grace = absl::Seconds(4);
    const auto settingsFile = directory.file("daemon.json");
    std::ofstream(settingsFile) << settingsText(settings);
    auto daemon = startDaemon(directory, "daemon");
    std::optional<int> exitCode;
    bool serves = false;
    fleet.run([&]() -> net::Task<> {
        serves = co_await servesWithin(absl::Seconds(5), fleet, settings.callerAddress);
        std::filesystem::remove(settingsFile);
        std::filesystem::create_directory(settingsFile); // It can be opened, but reading it fails.
        daemon.signal(SIGHUP);
        co_await net::sleepFor(absl::Milliseconds(200));
        daemon.signal(SIGTERM);
        exitCode = co_await exitCodeWithin(settings.bounds.grace, daemon);
    });
    BOOST_TEST(serves);
    BOOST_TEST(exitCode.value_or(StillRunning) == core::ExitOk);
    BOOST_TEST(daemon.log().find("settings_refused") != std::string::npos);
}

// Guards against a daemon that ends at its start because another process has not released its addresses yet.
BOOST_AUTO_TEST_CASE(a_daemon_serves_once_its_addresses_are_released)
{
    using net::asio::ip::tcp;
    using net::asio::ip::udp;
    RelayFleet fleet(0);
    const support::TemporaryDirectory directory;
    const auto settings = fleet.makeSettings();
    const auto host = net::asio::ip::make_address("127.0.0.1");
    std::vector<tcp::acceptor> acceptors;
    for (const auto &address : {settings.callerAddress, settings.readinessAddress, settings.controlAddress}) {
        acceptors.emplace_back(fleet.loop, tcp::endpoint(host, address.port));
        closeOnExec(acceptors.back());
    }
    udp::socket peer(fleet.loop, udp::endpoint(host, settings.peerAddress.port));
    closeOnExec(peer);
    std::ofstream(directory.file("daemon.json")) << settingsText(settings);
    auto daemon = startDaemon(directory, "daemon");
    std::optional<int> exitCode;
    bool serves = false;
    fleet.run([&]() -> net::Task<> {
        exitCode = co_await exitCodeWithin(absl::Seconds(1), daemon);
        acceptors.clear();
        peer.close();
        if (!exitCode) {
            serves = co_await servesWithin(absl::Seconds(5), fleet, settings.callerAddress);
        }
    });
    BOOST_TEST(!exitCode.has_value());
    BOOST_TEST(serves);
    BOOST_TEST(daemon.log().find("address_unavailable") != std::string::npos);
}

// Guards against a daemon that serves nobody because its metrics cannot be read.
BOOST_AUTO_TEST_CASE(a_daemon_serves_although_its_metrics_address_is_in_use)
{
    using net::asio::ip::tcp;
    RelayFleet fleet(0);
    const support::TemporaryDirectory directory;
    const auto settings = fleet.makeSettings();
    const auto host = net::asio::ip::make_address("127.0.0.1");
    tcp::acceptor acceptor(fleet.loop, tcp::endpoint(host, settings.metricsAddress.port));
    closeOnExec(acceptor);
    std::ofstream(directory.file("daemon.json")) << settingsText(settings);
    auto daemon = startDaemon(directory, "daemon");
    std::optional<int> exitCode;
    bool serves = false;
    fleet.run([&]() -> net::Task<> {
        exitCode = co_await exitCodeWithin(absl::Seconds(1), daemon);
        if (!exitCode) {
            serves = co_await servesWithin(absl::Seconds(5), fleet, settings.callerAddress);
        }
    });
    BOOST_TEST(!exitCode.has_value());
    BOOST_TEST(serves);
}

// Guards against a daemon that does not end on SIGTERM while it waits for an address.
BOOST_AUTO_TEST_CASE(sigterm_ends_a_daemon_that_waits_for_an_address)
{
    using net::asio::ip::tcp;
    RelayFleet fleet(0);
    const support::TemporaryDirectory directory;
    auto settings = fleet.makeSettings();
    settings.bounds.grace = absl::Seconds(4);
    const auto host = net::asio::ip::make_address("127.0.0.1");
    tcp::acceptor acceptor(fleet.loop, tcp::endpoint(host, settings.callerAddress.port));
    closeOnExec(acceptor);
    std::ofstream(directory.file("daemon.json")) << settingsText(settings);
    auto daemon = startDaemon(directory, "daemon");
    std::optional<int> exitCode;
    fleet.run([&]() -> net::Task<> {
        exitCode = co_await exitCodeWithin(absl::Milliseconds(500), daemon);
        if (!exitCode) {
            daemon.signal(SIGTERM);
            exitCode = co_await exitCodeWithin(settings.bounds.grace, daemon);
        }
    });
    BOOST_TEST(exitCode.value_or(StillRunning) == core::ExitOk);
}

// Guards against a daemon that waits for an address that it can never have.
BOOST_AUTO_TEST_CASE(an_address_that_is_invalid_ends_the_start)
{
    RelayFleet fleet(0);
    const support::TemporaryDirectory directory;
    auto settings = fleet.makeSettings();
    settings.callerAddress.host = "nowhere";
    std::ofstream(directory.file("daemon.json")) << settingsText(settings);
    auto daemon = startDaemon(directory, "daemon");
    std::optional<int> exitCode;
    fleet.run([&]() -> net::Task<> { exitCode = co_await exitCodeWithin(absl::Seconds(4), daemon); });
    BOOST_TEST(exitCode.value_or(StillRunning) == core::ExitFailure);
}

// Guards against a task that ends by an exception without a trace.
BOOST_AUTO_TEST_CASE(an_exception_that_ends_a_task_is_counted)
{
    net::Loop loop;
    const auto before = net::failedTasks();
    net::spawn(loop, "test", []() -> net::Task<> {
        co_await net::sleepFor(absl::Milliseconds(1));
        throw std::runtime_error("for the test");
    }());
    loop.run();
    BOOST_TEST(net::failedTasks() == before + 1);
}

// Guards against a loop of the daemon, such as one that accepts callers, that an exception ends for good.
BOOST_AUTO_TEST_CASE(a_service_that_throws_is_started_again)
{
    net::Loop loop;
    const auto before = net::failedTasks();
    int starts = 0;
    net::spawnService(loop, "test", [&starts]() -> net::Task<> {
        ++starts;
        co_await net::sleepFor(absl::Milliseconds(1));
        if (starts < 3) {
            throw std::runtime_error("for the test");
        }
    });
    loop.run();
    BOOST_TEST(starts == 3);
    BOOST_TEST(net::failedTasks() == before + 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
