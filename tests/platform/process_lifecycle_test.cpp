//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of how the process of a relay daemon starts and ends
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"
#include "relay_process.h"

#include "spurlug/core/program.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <optional>
#include <string>
#include <sys/stat.h>
#include <unistd.h>

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

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
