//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of warm-up: targets that are slow for some seconds after their start
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// The tests guard against overloading targets that warm up. When the targets of a failure domain came back together, a
// target that accepts 14 requests per second while it warms up got 27 in one second; 26 exceed the limit. The daemons
// ignored the warm-up time, and a new target has no work, so every daemon preferred it.
//
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace spurlug::test
{

namespace
{

constexpr auto Spread = absl::Milliseconds(250); // Time within which a daemon that reads the store knows of a change.
constexpr int ColdMs = 4000;
constexpr double PerSecond = 14; ///< Requests that a target accepts per second while it warms up.
constexpr double MostPerSecond = PerSecond * 1.5 + 5; ///< The limit that users set: more requests than this violate it.

void describeColdness(RelayFleet &fleet)
{
    for (auto &service : fleet.configuration["services"]) {
        service["cold_start_s"] = ColdMs / 1000.0;
        service["cold_per_s"] = PerSecond;
    }
    fleet.configure();
}

/// Returns the largest number of requests that reached a target within one second.
std::size_t mostInASecond(const FakeTarget &target)
{
    const auto &arrivals = target.arrivals();
    std::size_t most = 0;
    for (const auto &first : arrivals) {
        most = std::max<std::size_t>(
            most,
            static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [&first](const auto &arrival) {
                return arrival.at >= first.at && arrival.at < first.at + absl::Seconds(1);
            })));
    }
    return most;
}

/// Sends requests one after the other for the duration \a span and returns the status codes of the answers.
net::Task<std::vector<int>> askFor(RelayFleet &fleet, core::Duration span, Ask ask)
{
    std::vector<int> statuses;
    const auto until = core::now() + span;
    while (core::now() < until) {
        const auto got = co_await fleet.ask(ask);
        statuses.push_back(got.status);
    }
    co_return statuses;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cold_target)

BOOST_AUTO_TEST_CASE(a_cold_target_is_passed_over_for_a_warm_one)
{
    RelayFleet fleet;
    describeColdness(fleet);
    auto &cold = fleet.addTarget("app");
    auto &warm = fleet.addTarget("app");
    fleet.announceIn("hall-a", cold, ColdMs);
    fleet.announceIn("hall-a", warm);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        const auto statuses = co_await askFor(fleet, absl::Milliseconds(400), Ask());
        BOOST_TEST(std::count(statuses.begin(), statuses.end(), 200) == std::ssize(statuses));
        BOOST_TEST(cold.arrivals().empty());
        BOOST_TEST(!warm.arrivals().empty());
    });
}

BOOST_AUTO_TEST_CASE(where_all_are_cold_each_gets_what_it_bears_and_the_rest_is_refused)
{
    RelayFleet fleet;
    describeColdness(fleet);
    auto &cold = fleet.addTarget("app");
    fleet.announceIn("hall-a", cold, ColdMs);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        std::vector<std::vector<int>> all(8);
        for (auto &statuses : all) {
            net::asio::co_spawn(
                fleet.loop,
                [&fleet, &statuses]() -> net::Task<> {
                    statuses = co_await askFor(fleet, absl::Milliseconds(1500), Ask());
                },
                net::asio::detached);
        }
        co_await net::sleepFor(absl::Milliseconds(2500));
        BOOST_TEST(static_cast<double>(mostInASecond(cold)) <= MostPerSecond);
        BOOST_TEST(!cold.arrivals().empty()); // A request goes to a target that warms up rather than being refused.
    });
}

BOOST_AUTO_TEST_CASE(a_cold_engine_gets_what_it_bears_from_the_daemons_of_a_fleet_together)
{
    RelayFleet fleet(3, Peers::Joined);
    describeColdness(fleet);
    auto &cold = fleet.addTarget("model");
    cold.behaviour.events = 2;
    auto entry = RelayFleet::entryOf(cold, "model");
    // Doubled because a daemon sends nothing on its own to such a target before it knows the fleet.
    entry["cold_remaining_ms"] = ColdMs * 2;
    fleet.store.put("servers", cold.id(), entry);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        co_await fleet.joined();
        Ask ask;
        ask.path = "/chat/1";
        ask.promptTokens = 2000;
        for (std::size_t i = 0; i < 24; ++i) {
            net::asio::co_spawn(
                fleet.loop,
                [&fleet, ask, i]() -> net::Task<> {
                    const auto until = core::now() + absl::Milliseconds(1500);
                    while (core::now() < until) {
                        const auto got = co_await fleet.ask(ask, i % 3);
                        static_cast<void>(got);
                    }
                },
                net::asio::detached);
        }
        co_await net::sleepFor(absl::Milliseconds(2500));
        BOOST_TEST(static_cast<double>(mostInASecond(cold)) <= MostPerSecond);
        BOOST_TEST(!cold.arrivals().empty());
    });
}

BOOST_AUTO_TEST_CASE(a_failure_domain_that_is_taken_back_is_taken_for_cold)
{
    RelayFleet fleet;
    describeColdness(fleet);
    auto &back = fleet.addTarget("app");
    auto &warm = fleet.addTarget("app");
    fleet.announceIn("hall-a", back); // The entry does not say yet that the target is warming up.
    fleet.announceIn("hall-b", warm);
    fleet.evacuate("hall-a");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        fleet.takeBack("hall-a");
        co_await net::sleepFor(Spread);
        const auto statuses = co_await askFor(fleet, absl::Milliseconds(400), Ask());
        BOOST_TEST(std::count(statuses.begin(), statuses.end(), 200) == std::ssize(statuses));
        BOOST_TEST(back.arrivals().empty());
    });
}

// An answer with an unreadable warm-up time ended the caller's connection without an answer.
BOOST_AUTO_TEST_CASE(an_unreadable_time_of_coldness_does_not_cost_the_answer)
{
    RelayFleet fleet;
    auto &target = fleet.addTarget("app");
    target.cold = "soon";
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        const auto got = co_await fleet.ask(Ask());
        BOOST_TEST(got.status == 200);
        const auto unreadable = co_await fleet.figure("cold_unreadable_total");
        BOOST_TEST(unreadable == 1);
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
