//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of daemons without links to targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// The tests guard against daemons that lose their links to all targets while callers, the store and their peers still
// reach them. They served 13 of 95 requests at the first attempt while their peers served 153 of 154, because each used
// its own links only. They also reported the targets as failed, although these served all other daemons.
//
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace spurlug::test
{

namespace
{

constexpr std::size_t DaemonCount = 4;
constexpr int TargetsPerService = 3;
constexpr int EventCount = 12;
/// Time after which a stream that takes 60 ms in all has begun and not ended.
constexpr auto MidStream = absl::Milliseconds(25);

/// Four daemons that know each other, three engines and three plain targets.
struct LinkedFleet : RelayFleet
{
    LinkedFleet()
        : RelayFleet(DaemonCount, Peers::Connected)
    {
        for (int i = 0; i < TargetsPerService; ++i) {
            engines.push_back(&addTarget("model"));
            engines.back()->behaviour.eventCount = EventCount;
            addTarget("app");
        }
    }

    net::Task<> waitUntilServing()
    {
        co_await waitUntilReady();
        co_await waitUntilConnected();
    }

    /// Sends requests of each kind to a daemon and counts those that are not answered completely with 200.
    net::Task<int> countFailures(std::size_t daemon, int rounds)
    {
        int failures = 0;
        for (int i = 0; i < rounds; ++i) {
            for (const std::string path : {"/plain/1", "/safe/1", "/chat/1"}) {
                const auto answer = co_await send(makeCallerRequest(path, "the question"), daemon);
                failures += answer.status == 200 && answer.isComplete ? 0 : 1;
            }
        }
        co_return failures;
    }

    /// Sums a metric over all daemons.
    net::Task<double> totalMetric(std::string name)
    {
        double total = 0;
        for (std::size_t daemon = 0; daemon < DaemonCount; ++daemon) {
            total += co_await metric(name, daemon);
        }
        co_return total;
    }

    static CallerRequest makeCallerRequest(const std::string &path, std::string body)
    {
        CallerRequest request;
        request.path = path;
        request.body = std::move(body);
        request.promptTokens = path.starts_with("/chat") ? 1000 : 0;
        return request;
    }

    /// Sends copies of one chat request to a daemon at the same time.
    void startCopies(std::size_t daemon, int copies, std::vector<CallerAnswer> &answers)
    {
        for (int i = 0; i < copies; ++i) {
            net::asio::co_spawn(
                loop,
                [](LinkedFleet &fleet, std::size_t to, std::vector<CallerAnswer> &received) -> net::Task<> {
                    auto answer = co_await fleet.send(makeCallerRequest("/chat/1", "the same question"), to);
                    received.push_back(std::move(answer));
                }(*this, daemon, answers),
                net::asio::detached);
        }
    }

    net::Task<> awaitAnswers(const std::vector<CallerAnswer> &answers, std::size_t count)
    {
        while (answers.size() < count) {
            co_await net::sleepFor(absl::Milliseconds(10));
        }
    }

    std::vector<FakeTarget *> engines;
};

/// The body of a complete stream.
std::string allEvents()
{
    std::string body;
    for (int id = 0; id < EventCount; ++id) {
        body += core::cat("id: ", id, "\ndata: token ", id, "\n\n");
    }
    return body;
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_links)

// Guards against a daemon that serves nobody while its connections to targets hang.
BOOST_AUTO_TEST_CASE(a_daemon_whose_connections_to_targets_hang_serves_through_its_peers)
{
    LinkedFleet fleet;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilServing();
        for (std::size_t daemon = 0; daemon < DaemonCount; ++daemon) { // Each role is cut off once.
            fleet.cutLinks(daemon, LinkCut::Hang);
            const auto failures = co_await fleet.countFailures(daemon, 4);
            BOOST_TEST(failures == 0);
            fleet.restoreLinks(daemon);
        }
    });
}

// Guards against a daemon that serves nobody while its connections to targets are refused.
BOOST_AUTO_TEST_CASE(a_daemon_whose_connections_to_targets_are_refused_serves_through_its_peers)
{
    LinkedFleet fleet;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilServing();
        for (std::size_t daemon = 0; daemon < DaemonCount; ++daemon) {
            fleet.cutLinks(daemon, LinkCut::Refuse);
            const auto failures = co_await fleet.countFailures(daemon, 4);
            BOOST_TEST(failures == 0);
            fleet.restoreLinks(daemon);
        }
    });
}

// Guards against a daemon that gives up after it asked a peer which has no links either.
BOOST_AUTO_TEST_CASE(one_daemon_with_links_is_enough_for_its_peers)
{
    LinkedFleet fleet;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilServing();
        for (std::size_t daemon = 0; daemon + 1 < DaemonCount; ++daemon) {
            fleet.cutLinks(daemon, daemon == 1 ? LinkCut::Refuse : LinkCut::Hang);
        }
        int failures = 0;
        for (std::size_t daemon = 0; daemon < DaemonCount; ++daemon) {
            failures += co_await fleet.countFailures(daemon, 3);
        }
        BOOST_TEST(failures == 0);
    });
}

// Guards against targets that are ejected in the whole fleet because one daemon lost its links to them.
BOOST_AUTO_TEST_CASE(a_daemon_without_links_does_not_have_targets_ejected)
{
    LinkedFleet fleet;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilServing();
        for (std::size_t daemon = 0; daemon < DaemonCount; ++daemon) {
            fleet.cutLinks(daemon, daemon % 2 == 0 ? LinkCut::Hang : LinkCut::Refuse);
            std::vector<CallerAnswer> answers;
            fleet.startCopies(daemon, 6, answers);
            co_await fleet.awaitAnswers(answers, 6);
            co_await net::sleepFor(absl::Milliseconds(100)); // Its reports arrive.
            const auto failures = co_await fleet.countFailures((daemon + 1) % DaemonCount, 2);
            BOOST_TEST(failures == 0);
            fleet.restoreLinks(daemon);
        }
        const auto ejections = co_await fleet.totalMetric("ejections_by_report_total");
        BOOST_TEST(ejections == 0);
    });
}

// Guards against content that is quarantined because the links of the daemon that had sent it were reset.
BOOST_AUTO_TEST_CASE(broken_links_do_not_count_as_crashes_of_targets)
{
    LinkedFleet fleet;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilServing();
        std::vector<CallerAnswer> answers;
        fleet.startCopies(0, 9, answers);
        co_await net::sleepFor(MidStream);
        fleet.cutLinks(0, LinkCut::Refuse);
        for (auto *engine : fleet.engines) {
            engine->resetConnections();
        }
        co_await fleet.awaitAnswers(answers, 9);
        for (const auto &answer : answers) {
            BOOST_TEST(answer.status == 200);
            BOOST_TEST(answer.body == allEvents());
        }
        const auto crashes = co_await fleet.totalMetric("targets_ended_under_work_total");
        BOOST_TEST(crashes == 0);
        const auto other = co_await fleet.send(LinkedFleet::makeCallerRequest("/chat/1", "the same question"), 1);
        BOOST_TEST(other.status == 200);
    });
}

// Guards against a stream that waits on a dead connection although a peer reaches its target.
BOOST_AUTO_TEST_CASE(a_stream_whose_connection_hangs_resumes_through_a_peer)
{
    LinkedFleet fleet;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilServing();
        std::vector<CallerAnswer> answers;
        fleet.startCopies(0, 3, answers);
        co_await net::sleepFor(MidStream);
        fleet.cutLinks(0, LinkCut::Hang);
        for (auto *engine : fleet.engines) {
            engine->hangConnections();
        }
        co_await fleet.awaitAnswers(answers, 3);
        for (const auto &answer : answers) {
            BOOST_TEST(answer.status == 200);
            BOOST_TEST(answer.body == allEvents());
        }
        const auto ejections = co_await fleet.totalMetric("ejections_by_report_total");
        BOOST_TEST(ejections == 0);
    });
}

// Guards against prompts that are processed twice because new connections are refused while open ones live on.
BOOST_AUTO_TEST_CASE(requests_in_progress_stay_on_connections_that_live_on)
{
    LinkedFleet fleet;
    for (auto *engine : fleet.engines) {
        engine->behaviour.eventCount = 15;
        engine->behaviour.eventInterval = absl::Milliseconds(100);
    }
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilServing();
        std::vector<CallerAnswer> answers;
        fleet.startCopies(0, 3, answers);
        co_await net::sleepFor(MidStream);
        for (auto *engine : fleet.engines) {
            engine->behaviour.processingTime = absl::Milliseconds(1000);
        }
        fleet.startCopies(0, 3, answers);
        co_await net::sleepFor(MidStream);
        fleet.cutLinks(0, LinkCut::Refuse);
        for (auto *engine : fleet.engines) {
            engine->behaviour = {};
        }
        const auto failures = co_await fleet.countFailures(0, 1);
        BOOST_TEST(failures == 0);
        co_await fleet.awaitAnswers(answers, 6);
        std::size_t started = 0;
        for (const auto *engine : fleet.engines) {
            for (const auto &request : engine->startedRequests()) {
                started += request.body == "the same question" ? 1 : 0;
            }
        }
        BOOST_TEST(started == 6U);
    });
}

// Guards against a daemon that goes on to use its peers after its own links are back.
BOOST_AUTO_TEST_CASE(a_daemon_uses_its_own_links_again_once_they_work)
{
    LinkedFleet fleet;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilServing();
        fleet.cutLinks(0, LinkCut::Refuse);
        const auto failures = co_await fleet.countFailures(0, 6);
        BOOST_TEST(failures == 0);
        const auto tunnels = co_await fleet.metric("tunnels_opened_total", 0);
        BOOST_TEST(tunnels > 0);
        fleet.restoreLinks(0);
        co_await net::sleepFor(absl::Milliseconds(300)); // The next trials are due.
        const auto failuresAfter = co_await fleet.countFailures(0, 12);
        BOOST_TEST(failuresAfter == 0);
        const auto tunnelsAtTrials = co_await fleet.metric("tunnels_opened_total", 0);
        const auto failuresLater = co_await fleet.countFailures(0, 6);
        const auto tunnelsLater = co_await fleet.metric("tunnels_opened_total", 0);
        BOOST_TEST(failuresLater == 0);
        BOOST_TEST(tunnelsLater == tunnelsAtTrials);
    });
}

// Guards against requests that are held although no path leads to any target.
BOOST_AUTO_TEST_CASE(requests_are_refused_at_once_while_no_daemon_has_links)
{
    LinkedFleet fleet;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilServing();
        for (std::size_t daemon = 0; daemon < DaemonCount; ++daemon) {
            fleet.cutLinks(daemon, LinkCut::Hang);
        }
        double refusals = 0;
        for (int i = 0; i < 10 && refusals < 3; ++i) {
            const auto answer = co_await fleet.send(LinkedFleet::makeCallerRequest("/chat/1", "the question"));
            BOOST_TEST(answer.status == 503);
            BOOST_TEST(!answer.head.headers.value("Retry-After").empty());
            refusals = co_await fleet.metric("failures_total{reason=\"no_path\"}");
        }
        BOOST_TEST(refusals >= 3);
        const auto ejections = co_await fleet.totalMetric("ejections_by_report_total");
        BOOST_TEST(ejections == 0);
        for (std::size_t daemon = 0; daemon < DaemonCount; ++daemon) {
            fleet.restoreLinks(daemon);
        }
        co_await net::sleepFor(absl::Milliseconds(300)); // The next request is let through.
        const auto failures = co_await fleet.countFailures(0, 4);
        BOOST_TEST(failures == 0);
    });
}

// Guards against a dead target that is not ejected because its peers are asked for a second opinion.
BOOST_AUTO_TEST_CASE(a_target_that_no_daemon_reaches_is_ejected)
{
    LinkedFleet fleet;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilServing();
        fleet.engines.front()->stopListening();
        int failures = 0;
        for (std::size_t daemon = 0; daemon < DaemonCount; ++daemon) {
            failures += co_await fleet.countFailures(daemon, 3);
        }
        BOOST_TEST(failures == 0);
        const auto unproven = co_await fleet.totalMetric("connections_unproven_total");
        BOOST_TEST(unproven == 0);
        const auto tunnels = co_await fleet.totalMetric("tunnels_opened_total");
        BOOST_TEST(tunnels == 0);
    });
}

// Guards against streams that end when the peer through which they run is stopped.
BOOST_AUTO_TEST_CASE(a_daemon_that_stops_finishes_the_tunnels_of_its_peers)
{
    LinkedFleet fleet;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilServing();
        fleet.cutLinks(0, LinkCut::Refuse);
        const auto failures = co_await fleet.countFailures(0, 2);
        BOOST_TEST(failures == 0);
        std::vector<CallerAnswer> answers;
        fleet.startCopies(0, 6, answers);
        co_await net::sleepFor(MidStream);
        fleet.startShutdown(1);
        fleet.startShutdown(2);
        co_await fleet.awaitAnswers(answers, 6);
        for (const auto &answer : answers) {
            BOOST_TEST(answer.status == 200);
            BOOST_TEST(answer.body == allEvents());
        }
        const auto failuresLater = co_await fleet.countFailures(0, 3); // Through the remaining peer.
        BOOST_TEST(failuresLater == 0);
    });
}

// Guards against a sound target that loses its streams because it sent nothing for a second.
BOOST_AUTO_TEST_CASE(a_target_that_is_silent_for_a_second_keeps_its_requests)
{
    LinkedFleet fleet;
    for (auto *engine : fleet.engines) {
        engine->behaviour.eventCount = 2;
        engine->behaviour.eventInterval = absl::Milliseconds(1100);
    }
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilServing();
        const auto answer = co_await fleet.send(LinkedFleet::makeCallerRequest("/chat/1", "the question"));
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.isComplete);
        std::size_t started = 0;
        for (const auto *engine : fleet.engines) {
            started += engine->startedRequests().size();
        }
        BOOST_TEST(started == 1U);
        const auto ejections = co_await fleet.totalMetric("ejections_by_report_total");
        BOOST_TEST(ejections == 0);
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
