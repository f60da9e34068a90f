//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of a load balancer that directs most new connections to one daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

namespace spurlug::test
{

namespace
{

constexpr std::size_t DaemonCount = 4;

/// Sends requests, each over a new connection and once only, for a while; nine of ten to one daemon.
net::Task<> sendUnevenly(RelayFleet &fleet, std::size_t preferred, core::Duration period, std::vector<int> &statuses)
{
    constexpr int RequestsPerSecond = 300;
    constexpr int OtherInterval = 10; // Every tenth request goes to another daemon.
    const auto until = core::now() + period;
    int sent = 0;
    int answered = 0;
    while (core::now() < until) {
        ++sent;
        const bool elsewhere = sent % OtherInterval == 0;
        const auto other = static_cast<std::size_t>(sent / OtherInterval) % DaemonCount;
        net::asio::co_spawn(
            fleet.loop,
            [&fleet, &statuses, &answered, daemon = elsewhere ? other : preferred]() -> net::Task<> {
                CallerRequest request;
                request.path = "/chat/1";
                request.promptTokens = 1000;
                const auto answer = co_await fleet.send(request, daemon);
                statuses.push_back(answer.status);
                ++answered;
            },
            net::asio::detached);
        co_await net::sleepFor(absl::Seconds(1) / RequestsPerSecond);
    }
    while (answered < sent) {
        co_await net::sleepFor(absl::Milliseconds(10));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(uneven_connections)

// A daemon must not limit itself to an equal share of what the fleet can do: shares of retries, permits and admission
// that are computed for even arrivals would refuse most requests of a daemon that gets nine of ten.
BOOST_AUTO_TEST_CASE(a_daemon_that_gets_most_connections_serves_its_callers)
{
    RelayFleet fleet(DaemonCount, Peers::Connected);
    for (int i = 0; i < 10; ++i) {
        auto &engine = fleet.addTarget("model");
        engine.behaviour.eventCount = 4;
        engine.behaviour.eventInterval = absl::Milliseconds(20);
    }
    std::vector<int> statuses;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await fleet.waitUntilConnected();
        co_await sendUnevenly(fleet, 0, absl::Seconds(3), statuses);
        co_await sendUnevenly(fleet, 1, absl::Seconds(3), statuses); // The balancer prefers another one.
    });
    BOOST_TEST(statuses.size() > 100U);
    BOOST_TEST(std::count(statuses.begin(), statuses.end(), 200) == std::ssize(statuses));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
