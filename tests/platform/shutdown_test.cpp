//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of requests that are in progress while their daemon shuts down
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// The tests guard against requests that ended without an answer because their daemon exited while they waited. Nothing
// but the end of the grace period ended their waits, the connections were closed without a byte, and the process ended
// by SIGSEGV.
//
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"
#include "relay_process.h"

#include "spurlug/core/text.h"

#include <algorithm>
#include <array>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace spurlug::test
{

namespace
{

using Fault = Behaviour::Fault;

/// Time within which a request has reached its target, or waits for one.
constexpr auto SettleTime = absl::Milliseconds(300);

/// A request for a stream that may start late and pause for long, so that it waits for several seconds.
CallerRequest patientRequest()
{
    CallerRequest request;
    request.path = "/chat/1";
    request.promptTokens = 1000;
    request.deadlineMs = 15'000;
    return request;
}

CallerRequest plainRequest(std::string path)
{
    CallerRequest request;
    request.path = std::move(path);
    request.deadlineMs = 15'000;
    return request;
}

/// Gives callers of all routes more time than a shutdown takes.
void allowLongWaits(RelayFleet &fleet)
{
    for (auto &route : fleet.configuration["routes"]) {
        route["timeout_ms"] = 15'000;
        route["slo_ms"] = route["kind"] == "streaming" ? 6000 : 2000;
        route["gap_aim_ms"] = 1000;
    }
    fleet.writeConfiguration();
}

/// An answer, and whether the daemon that gave it was still running.
struct ObservedAnswer
{
    CallerAnswer answer;
    bool beforeExit = false;
    bool arrived = false;
};

/// Sends a request in the background.
void startSending(RelayFleet &fleet, CallerRequest request, ObservedAnswer &observed, std::size_t daemon = 0)
{
    net::asio::co_spawn(
        fleet.loop,
        [](RelayFleet &fleet, CallerRequest request, ObservedAnswer &observed, std::size_t daemon) -> net::Task<> {
            observed.answer = co_await fleet.send(std::move(request), daemon);
            observed.beforeExit = !fleet.hasStopped(daemon);
            observed.arrived = true;
        }(fleet, std::move(request), observed, daemon),
        net::asio::detached);
}

/// Shuts a daemon down and waits for its end, and for the answer.
net::Task<> shutDown(RelayFleet &fleet, const ObservedAnswer &observed)
{
    fleet.startShutdown();
    while (!fleet.hasStopped() || !observed.arrived) {
        co_await net::sleepFor(absl::Milliseconds(5));
    }
}

void checkRefusal(const ObservedAnswer &observed)
{
    BOOST_TEST(observed.beforeExit);
    BOOST_TEST(observed.answer.status == 503);
    BOOST_TEST(observed.answer.isComplete);
    BOOST_TEST(!observed.answer.head.headers.value("Retry-After").empty());
    BOOST_TEST(observed.answer.body.find("stopping") != std::string::npos);
}

/// Shuts a daemon down while a request waits for a target of its service, and checks that it is refused in time.
void checkWaitIsRefused(RelayFleet &fleet, const CallerRequest &request)
{
    ObservedAnswer observed;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        startSending(fleet, request, observed);
        co_await net::sleepFor(SettleTime);
        co_await shutDown(fleet, observed);
    });
    checkRefusal(observed);
}

/// Sends bytes to a daemon, shuts it down, and returns what it sent until it closed the connection. The result is empty
/// if it closed the connection by its exit.
std::string answerToBytes(const std::string &bytes)
{
    RelayFleet fleet;
    fleet.addTarget("app");
    fleet.configuration["limits"]["header_timeout_ms"] = 15'000;
    fleet.writeConfiguration();
    std::string received;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        net::asio::ip::tcp::socket socket(fleet.loop);
        const auto &address = fleet.callerAddress();
        const auto host = net::asio::ip::make_address(address.host);
        co_await socket.async_connect({host, address.port}, net::asio::use_awaitable);
        co_await net::asio::async_write(socket, net::asio::buffer(bytes), net::asio::use_awaitable);
        co_await net::sleepFor(SettleTime);
        fleet.startShutdown();
        std::array<char, 4096> buffer{};
        for (boost::system::error_code error; !error;) {
            const auto [readError, size] = co_await socket.async_read_some(net::asio::buffer(buffer), net::Awaited);
            received.append(buffer.data(), size);
            error = readError;
        }
        BOOST_TEST(!fleet.hasStopped());
    });
    return received;
}

/// A request that is sent while its daemon shuts down.
struct LateRequest
{
    std::string id;
    CallerAnswer answer;
    core::Duration duration; ///< Until the end of the answer or of the connection.
    bool hasEnded = false;

    /// \param connection Connects it first if it is not open.
    net::Task<> send(RelayFleet &fleet, core::Address daemon, core::Ref<net::ClientConnection> connection)
    {
        const auto sentAt = core::now();
        const auto message = fleet.makeRequest(plainRequest("/plain/1"));
        id = message.headers.value("Attempt-Id");
        std::string error;
        if (!connection->isReusable()) {
            error = co_await connection->connect(std::move(daemon), absl::Seconds(1));
        }
        if (error.empty()) {
            connection->startSend(message);
            answer = co_await fleet.readAnswer(*connection);
        }
        duration = core::now() - sentAt;
        hasEnded = true;
    }
};

/// Keeps connections to a daemon open and sends a request over one of them, or over a new one, every few ms from its
/// stop signal to its exit. Checks that every request is answered unless it crosses the close and reached no target.
/// \param processingTime Time that the target takes for each request.
void checkLateRequests(core::Duration processingTime)
{
    constexpr int ConnectionCount = 60;
    constexpr std::size_t MaxRequests = 240;
    constexpr auto Interval = absl::Milliseconds(40);
    constexpr auto MaxCrossing = absl::Milliseconds(200);
    const support::TemporaryDirectory directory;
    RelayFleet fleet(0);
    allowLongWaits(fleet);
    auto &target = fleet.addTarget("app", 2 * ConnectionCount);
    RelayProcess daemon(directory, fleet.makeSettings());
    std::vector<LateRequest> requests;
    int exitCode = -1;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady(daemon.settings().readinessAddress);
        std::vector<core::Ref<net::ClientConnection>> connections;
        for (int i = 0; i < ConnectionCount; ++i) {
            connections.push_back(core::makeRef<net::ClientConnection>(fleet.loop));
            const auto error = co_await connections.back()->connect(daemon.settings().callerAddress, absl::Seconds(1));
            connections.back()->startSend(fleet.makeRequest(plainRequest("/plain/1")));
            const auto answer = co_await fleet.readAnswer(*connections.back());
            BOOST_TEST(error.empty());
            BOOST_TEST(answer.status == 200);
        }
        target.behaviour.processingTime = processingTime;
        requests.reserve(MaxRequests); // A request that is in progress must not move.
        daemon.signal(SIGTERM);
        for (bool usesNew = false; !daemon.hasExited(); usesNew = !usesNew) {
            core::Ref<net::ClientConnection> connection;
            if (usesNew || connections.empty()) {
                connection = core::makeRef<net::ClientConnection>(fleet.loop);
            } else {
                connection = connections.back();
                connections.pop_back();
            }
            if (requests.size() < MaxRequests) {
                requests.emplace_back();
                net::asio::co_spawn(fleet.loop,
                                    requests.back().send(fleet, daemon.settings().callerAddress, connection),
                                    net::asio::detached);
            }
            co_await net::sleepFor(Interval);
        }
        exitCode = co_await daemon.awaitExit();
        while (std::any_of(requests.begin(), requests.end(), [](const auto &request) { return !request.hasEnded; })) {
            co_await net::sleepFor(absl::Milliseconds(5));
        }
    });
    BOOST_TEST(exitCode == 0);
    std::set<std::string> started;
    for (const auto &request : target.startedRequests()) {
        started.insert(std::string(request.headers.value("Attempt-Id")));
    }
    std::map<int, int> statuses;
    for (const auto &request : requests) {
        ++statuses[request.answer.status];
        const bool crossedClose = request.duration <= MaxCrossing && !started.contains(request.id);
        BOOST_TEST((request.answer.isComplete || crossedClose),
                   request.id << " has no answer after " << request.duration
                              << ", reached its target: " << started.contains(request.id));
        BOOST_TEST((request.answer.status != 503 || !started.contains(request.id)));
    }
    for (const auto &[status, count] : statuses) {
        BOOST_TEST_MESSAGE("status " << status << ": " << count);
    }
    BOOST_TEST(statuses[503] > 0); // Some requests came too late.
}

} // namespace

BOOST_AUTO_TEST_SUITE(shutdown)

// Guard against requests that arrive late in the grace period, are sent to a target and have no answer at its end.
BOOST_AUTO_TEST_CASE(requests_that_arrive_late_in_the_grace_period_are_answered)
{
    checkLateRequests(absl::Milliseconds(300));
}

BOOST_AUTO_TEST_CASE(requests_that_outlast_the_grace_period_are_answered)
{
    checkLateRequests(absl::Seconds(3));
}

// Guards against coroutines that outlive the daemon to which they refer, which made the process end by SIGSEGV.
BOOST_AUTO_TEST_CASE(whatever_waits_on_the_loop_is_destroyed_before_its_daemon)
{
    struct Sentinel
    {
        explicit Sentinel(bool &destroyed)
            : destroyed(destroyed)
        { }
        ~Sentinel()
        {
            destroyed = true;
        }
        bool &destroyed;
    };
    bool destroyed = false;
    net::Loop loop;
    FakeStore store(loop);
    RelayFleet fleet(0);
    const auto settings = fleet.makeSettings();
    platform::StoreDirectory directory(loop, store.address(), absl::Milliseconds(500));
    {
        RelayFleet::Daemon daemon(loop, settings, "/dev/null", platform::RequestCodec(), directory);
        net::asio::co_spawn(
            loop,
            [&destroyed]() -> net::Task<> {
                const Sentinel sentinel(destroyed);
                co_await net::sleepFor(absl::Hours(1));
            },
            net::asio::detached);
        loop.poll();
    }
    BOOST_TEST(destroyed);
}

// Guards against requests that wait for a busy engine until their daemon exits, and get no answer.
BOOST_AUTO_TEST_CASE(a_request_that_waits_for_an_engine_is_refused_before_the_exit)
{
    RelayFleet fleet;
    allowLongWaits(fleet);
    auto &engine = fleet.addTarget("model", 1);
    engine.behaviour.fault = Fault::Hang;
    ObservedAnswer running;
    ObservedAnswer waiting;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        startSending(fleet, patientRequest(), running);
        co_await net::sleepFor(SettleTime);
        startSending(fleet, patientRequest(), waiting);
        co_await net::sleepFor(SettleTime);
        co_await shutDown(fleet, waiting);
        while (!running.arrived) {
            co_await net::sleepFor(absl::Milliseconds(5));
        }
    });
    BOOST_TEST(engine.startedRequests().size() == 1U);
    checkRefusal(waiting);
    // The request at the engine may have run, so its answer promises nothing.
    BOOST_TEST(running.beforeExit);
    BOOST_TEST(running.answer.status == 502);
}

// Guards against requests that wait for the end of a cooldown until their daemon exits, and get no answer.
BOOST_AUTO_TEST_CASE(a_request_that_waits_for_a_cooldown_is_refused_before_the_exit)
{
    RelayFleet fleet;
    allowLongWaits(fleet);
    auto &engine = fleet.addTarget("model");
    engine.behaviour.fault = Fault::Shed;
    engine.behaviour.retryAfter = "8";
    checkWaitIsRefused(fleet, patientRequest());
    BOOST_TEST(engine.startedRequests().empty());
}

// Guards against plain requests that wait for a busy target until their daemon exits, and get no answer.
BOOST_AUTO_TEST_CASE(a_plain_request_that_waits_for_a_target_is_refused_before_the_exit)
{
    RelayFleet fleet;
    allowLongWaits(fleet);
    for (auto &route : fleet.configuration["routes"]) {
        route["slo_ms"] = 12'000;
    }
    fleet.writeConfiguration();
    auto &target = fleet.addTarget("app");
    target.behaviour.fault = Fault::Shed;
    target.behaviour.retryAfter = "10";
    checkWaitIsRefused(fleet, plainRequest("/plain/1"));
    BOOST_TEST(target.startedRequests().empty());
}

// Guards against requests at a silent target whose connection is closed without an answer when their daemon exits.
BOOST_AUTO_TEST_CASE(a_request_at_a_silent_target_is_answered_before_the_exit)
{
    RelayFleet fleet;
    allowLongWaits(fleet);
    auto &target = fleet.addTarget("app");
    target.behaviour.fault = Fault::Hang;
    ObservedAnswer observed;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        startSending(fleet, plainRequest("/plain/1"), observed);
        co_await net::sleepFor(SettleTime);
        co_await shutDown(fleet, observed);
    });
    BOOST_TEST(target.startedRequests().size() == 1U);
    BOOST_TEST(observed.beforeExit);
    BOOST_TEST(observed.answer.status == 502);
    BOOST_TEST(observed.answer.head.headers.value("Retry-After").empty());
}

// Guards against streams whose resumption waits for a target until their daemon exits: their callers resume elsewhere.
BOOST_AUTO_TEST_CASE(a_stream_that_waits_to_be_resumed_is_broken_off_before_the_exit)
{
    RelayFleet fleet;
    allowLongWaits(fleet);
    auto &engine = fleet.addTarget("model");
    engine.behaviour.eventCount = 20;
    engine.behaviour.resetAtEvent = 3;
    ObservedAnswer observed;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        startSending(fleet, patientRequest(), observed);
        co_await net::sleepFor(SettleTime);
        co_await shutDown(fleet, observed);
    });
    BOOST_TEST(observed.answer.status == 200);
    BOOST_TEST(!observed.answer.isComplete);
    BOOST_TEST(observed.beforeExit);
}

// Guards against requests whose bodies are received slowly and are cut off without an answer when their daemon exits.
BOOST_AUTO_TEST_CASE(a_request_whose_body_is_incomplete_is_refused_before_the_exit)
{
    const auto answer = answerToBytes("POST /plain/1 HTTP/1.1\r\nHost: ferry.example\r\nAttempt-Id: slow\r\n"
                                      "Content-Length: 1000\r\n\r\nthe first bytes");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(answer.find("Retry-After") != std::string::npos);
    BOOST_TEST(answer.find("stopping") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_request_whose_head_is_incomplete_is_refused_before_the_exit)
{
    const auto answer = answerToBytes("POST /plain/1 HTTP/1.1\r\nHost: ferry");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
}

// Guards against refusing what can still be served: a request that arrives during a shutdown and ends before the exit.
BOOST_AUTO_TEST_CASE(a_request_that_can_end_before_the_exit_is_served)
{
    RelayFleet fleet;
    allowLongWaits(fleet);
    auto &engine = fleet.addTarget("model", 1);
    engine.behaviour.eventCount = 20;
    engine.behaviour.eventInterval = absl::Milliseconds(30);
    ObservedAnswer first;
    ObservedAnswer second;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        startSending(fleet, patientRequest(), first);
        co_await net::sleepFor(absl::Milliseconds(50));
        startSending(fleet, patientRequest(), second);
        co_await shutDown(fleet, second);
    });
    BOOST_TEST(first.answer.status == 200);
    BOOST_TEST(first.answer.isComplete);
    BOOST_TEST(second.answer.status == 200);
    BOOST_TEST(second.answer.isComplete);
}

// Guards against requests on a connection whose last answer announced that it stays open: the daemon closed it when
// that stream ended during the shutdown, and discarded the next request.
BOOST_AUTO_TEST_CASE(a_connection_that_was_announced_as_kept_carries_the_next_request)
{
    RelayFleet fleet;
    allowLongWaits(fleet);
    auto &engine = fleet.addTarget("model");
    engine.behaviour.eventCount = 20;
    engine.behaviour.eventInterval = absl::Milliseconds(50);
    fleet.addTarget("app");
    std::array<CallerAnswer, 2> answers;
    std::array<bool, 2> reusable{};
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        net::ClientConnection connection(fleet.loop);
        const auto error = co_await connection.connect(fleet.callerAddress(), absl::Seconds(1));
        BOOST_TEST(error == "");
        std::size_t next = 0;
        for (const auto &request : {patientRequest(), plainRequest("/plain/1")}) {
            connection.startSend(fleet.makeRequest(request));
            if (next == 0) {
                co_await net::sleepFor(SettleTime);
                fleet.startShutdown();
            }
            answers.at(next) = co_await fleet.readAnswer(connection);
            reusable.at(next) = connection.isReusable();
            co_await net::sleepFor(absl::Milliseconds(100));
            ++next;
        }
    });
    BOOST_TEST(answers[0].status == 200);
    BOOST_TEST(answers[0].isComplete);
    BOOST_TEST(reusable[0]);
    BOOST_TEST(answers[1].status == 200);
    BOOST_TEST(answers[1].isComplete);
    BOOST_TEST(!reusable[1]); // It says that the connection is closed.
}

// Guards against an exit that resets a connection whose last answer is written but has not reached its caller yet.
BOOST_AUTO_TEST_CASE(the_end_of_an_answer_to_a_slow_caller_arrives_after_the_exit)
{
    constexpr int EventCount = 3000;
    RelayFleet fleet;
    allowLongWaits(fleet);
    auto &engine = fleet.addTarget("model");
    engine.behaviour.eventCount = EventCount;
    engine.behaviour.eventInterval = absl::Milliseconds(1);
    std::string received;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        net::asio::ip::tcp::socket socket(fleet.loop, net::asio::ip::tcp::v4());
        socket.set_option(net::asio::socket_base::receive_buffer_size(4096));
        const auto &address = fleet.callerAddress();
        co_await socket.async_connect({net::asio::ip::make_address(address.host), address.port},
                                      net::asio::use_awaitable);
        const auto request = fleet.makeRequest(patientRequest());
        auto bytes = core::cat(request.method, " ", request.target,
                               " HTTP/1.1\r\nContent-Length: ", request.body.size(), "\r\n");
        for (const auto &field : request.headers.fields()) {
            core::append(bytes, field.name, ": ", field.value, "\r\n");
        }
        core::append(bytes, "\r\n", request.body);
        co_await net::asio::async_write(socket, net::asio::buffer(bytes), net::asio::use_awaitable);
        co_await net::sleepFor(SettleTime);
        fleet.startShutdown();
        while (!fleet.hasStopped()) {
            co_await net::sleepFor(absl::Milliseconds(5));
        }
        std::array<char, 4096> buffer{};
        for (boost::system::error_code error; !error;) {
            const auto [readError, size] = co_await socket.async_read_some(net::asio::buffer(buffer), net::Awaited);
            received.append(buffer.data(), size);
            error = readError;
        }
    });
    BOOST_TEST(received.find(core::cat("id: ", EventCount - 1, "\n")) != std::string::npos);
    BOOST_TEST(received.ends_with("\r\n0\r\n\r\n"));
}

// Guards against requests that a stopping scheduler keeps in its queue, or that are lost with it.
BOOST_AUTO_TEST_CASE(a_request_queued_at_a_scheduler_that_stops_is_placed_by_another)
{
    RelayFleet fleet(2, Peers::Connected);
    allowLongWaits(fleet);
    auto &engine = fleet.addTarget("model", 1);
    engine.behaviour.eventCount = 20;
    engine.behaviour.eventInterval = absl::Milliseconds(100);
    ObservedAnswer first;
    ObservedAnswer queued;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await fleet.waitUntilConnected();
        const auto grantedByFirst = co_await fleet.metric("placements_granted_total", 0);
        startSending(fleet, patientRequest(), first, 1);
        co_await net::sleepFor(SettleTime);
        const auto grantedLater = co_await fleet.metric("placements_granted_total", 0);
        const std::size_t scheduler = grantedLater > grantedByFirst ? 0 : 1;
        startSending(fleet, patientRequest(), queued, 1 - scheduler);
        co_await net::sleepFor(SettleTime);
        BOOST_TEST(engine.startedRequests().size() == 1U);
        fleet.startShutdown(scheduler);
        while (!queued.arrived) {
            co_await net::sleepFor(absl::Milliseconds(5));
        }
    });
    BOOST_TEST(queued.answer.status == 200);
    BOOST_TEST(queued.answer.isComplete);
    BOOST_TEST(engine.startedRequests().size() == 2U);
}

// Guards against requests of a peer that are cut when the daemon exits through which they reach their target: it began
// to shut down while it connected to the target.
BOOST_AUTO_TEST_CASE(a_daemon_that_begins_to_shut_down_opens_no_tunnel)
{
    RelayFleet fleet(2, Peers::Connected);
    allowLongWaits(fleet);
    auto &target = fleet.addTarget("app");
    target.behaviour.processingTime = absl::Seconds(6);
    ObservedAnswer observed;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await fleet.waitUntilConnected();
        fleet.cutLinks(0, LinkCut::Hang);
        fleet.targetConnector(1).setDial(
            [&fleet](net::ClientConnection &connection, core::Address address, core::Duration timeout) {
                fleet.startShutdown(1);
                return connection.connect(std::move(address), timeout);
            });
        startSending(fleet, plainRequest("/plain/1"), observed);
        while (!observed.arrived) {
            co_await net::sleepFor(absl::Milliseconds(5));
        }
    });
    BOOST_TEST(observed.answer.status == 503);
    BOOST_TEST(target.startedRequests().empty());
}

// Guards against a process that does not end with status 0, cuts its last log lines, or ends early by a second signal.
BOOST_AUTO_TEST_CASE(a_process_with_waiting_requests_ends_in_order_despite_further_signals)
{
    RelayFleet fleet(0);
    const support::TemporaryDirectory directory;
    allowLongWaits(fleet);
    auto &engine = fleet.addTarget("model", 1);
    engine.behaviour.fault = Fault::Hang;
    auto settings = fleet.makeSettings();
    settings.bounds.grace = absl::Seconds(4);
    RelayProcess daemon(directory, settings);
    std::array<CallerAnswer, 3> answers;
    std::size_t answered = 0;
    int exitCode = -1;
    fleet.run([&]() -> net::Task<> {
        int status = 0;
        while (status != 404) { // Until the daemon knows its configuration.
            CallerRequest unknown;
            unknown.path = "/unknown/1";
            status = (co_await fleet.sendTo(settings.callerAddress, unknown)).status;
            co_await net::sleepFor(absl::Milliseconds(20));
        }
        for (auto &answer : answers) {
            net::asio::co_spawn(
                fleet.loop,
                [&fleet, &answer, &answered, address = settings.callerAddress]() -> net::Task<> {
                    answer = co_await fleet.sendTo(address, patientRequest());
                    ++answered;
                },
                net::asio::detached);
            co_await net::sleepFor(SettleTime);
        }
        daemon.signal(SIGTERM);
        daemon.signal(SIGHUP);
        co_await net::sleepFor(SettleTime);
        daemon.signal(SIGTERM);
        daemon.signal(SIGHUP);
        exitCode = co_await daemon.awaitExit();
        while (answered < answers.size()) {
            co_await net::sleepFor(absl::Milliseconds(5));
        }
    });
    BOOST_TEST(exitCode == 0);
    BOOST_TEST(daemon.lastEvent() == "stopped");
    BOOST_TEST(answers[0].status == 502); // It may have run.
    BOOST_TEST(answers[1].status == 503);
    BOOST_TEST(answers[2].status == 503);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
