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

constexpr auto PropagationTime
    = absl::Milliseconds(250); // Time within which a daemon that reads the store knows of a change.
constexpr int WarmUpMs = 4000;
constexpr double WarmUpRequestsPerSecond = 14; ///< Requests that a target accepts per second while it warms up.
constexpr double MaxRequestsPerSecond
    = WarmUpRequestsPerSecond * 1.5 + 5; ///< The limit that users set: more requests than this violate it.

void configureWarmUp(RelayFleet &fleet)
{
    for (auto &service : fleet.configuration["services"]) {
        service["cold_start_s"] = WarmUpMs / 1000.0;
        service["cold_per_s"] = WarmUpRequestsPerSecond;
    }
    fleet.writeConfiguration();
}

/// Returns the largest number of requests that reached a target within one second.
std::size_t maxArrivalsPerSecond(const FakeTarget &target)
{
    const auto &arrivals = target.arrivals();
    std::size_t maxArrivals = 0;
    for (const auto &first : arrivals) {
        maxArrivals = std::max<std::size_t>(
            maxArrivals,
            static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [&first](const auto &arrival) {
                return arrival.at >= first.at && arrival.at < first.at + absl::Seconds(1);
            })));
    }
    return maxArrivals;
}

/// Sends requests one after the other for the duration \a span and returns the status codes of the answers.
net::Task<std::vector<int>> sendFor(RelayFleet &fleet, core::Duration span, CallerRequest request)
{
    std::vector<int> statuses;
    const auto until = core::now() + span;
    while (core::now() < until) {
        const auto answer = co_await fleet.send(request);
        statuses.push_back(answer.status);
    }
    co_return statuses;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cold_target)

BOOST_AUTO_TEST_CASE(a_target_that_warms_up_is_not_used_if_another_one_does_not)
{
    RelayFleet fleet;
    configureWarmUp(fleet);
    auto &warmingUp = fleet.addTarget("app");
    auto &warm = fleet.addTarget("app");
    fleet.writeAppEntry("hall-a", warmingUp, WarmUpMs);
    fleet.writeAppEntry("hall-a", warm);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        const auto statuses = co_await sendFor(fleet, absl::Milliseconds(400), CallerRequest());
        BOOST_TEST(std::count(statuses.begin(), statuses.end(), 200) == std::ssize(statuses));
        BOOST_TEST(warmingUp.arrivals().empty());
        BOOST_TEST(!warm.arrivals().empty());
    });
}

BOOST_AUTO_TEST_CASE(if_all_targets_warm_up_each_gets_its_rate_and_the_rest_is_refused)
{
    RelayFleet fleet;
    configureWarmUp(fleet);
    auto &warmingUp = fleet.addTarget("app");
    fleet.writeAppEntry("hall-a", warmingUp, WarmUpMs);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        std::vector<std::vector<int>> statusesPerCaller(8);
        for (auto &statuses : statusesPerCaller) {
            net::asio::co_spawn(
                fleet.loop,
                [&fleet, &statuses]() -> net::Task<> {
                    statuses = co_await sendFor(fleet, absl::Milliseconds(1500), CallerRequest());
                },
                net::asio::detached);
        }
        co_await net::sleepFor(absl::Milliseconds(2500));
        BOOST_TEST(static_cast<double>(maxArrivalsPerSecond(warmingUp)) <= MaxRequestsPerSecond);
        BOOST_TEST(
            !warmingUp.arrivals().empty()); // A request goes to a target that warms up rather than being refused.
    });
}

BOOST_AUTO_TEST_CASE(all_daemons_together_keep_the_rate_of_an_engine_that_warms_up)
{
    RelayFleet fleet(3, Peers::Connected);
    configureWarmUp(fleet);
    auto &warmingUp = fleet.addTarget("model");
    warmingUp.behaviour.eventCount = 2;
    auto entry = RelayFleet::makeEntry(warmingUp, "model");
    // Doubled because a daemon sends nothing on its own to such a target before it knows the fleet.
    entry["cold_remaining_ms"] = WarmUpMs * 2;
    fleet.store.put("servers", warmingUp.id(), entry);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await fleet.waitUntilConnected();
        CallerRequest request;
        request.path = "/chat/1";
        request.promptTokens = 2000;
        for (std::size_t i = 0; i < 24; ++i) {
            net::asio::co_spawn(
                fleet.loop,
                [&fleet, request, i]() -> net::Task<> {
                    const auto until = core::now() + absl::Milliseconds(1500);
                    while (core::now() < until) {
                        const auto answer = co_await fleet.send(request, i % 3);
                        static_cast<void>(answer);
                    }
                },
                net::asio::detached);
        }
        co_await net::sleepFor(absl::Milliseconds(2500));
        BOOST_TEST(static_cast<double>(maxArrivalsPerSecond(warmingUp)) <= MaxRequestsPerSecond);
        BOOST_TEST(!warmingUp.arrivals().empty());
    });
}

BOOST_AUTO_TEST_CASE(targets_warm_up_after_the_evacuation_of_their_failure_domain_ends)
{
    RelayFleet fleet;
    configureWarmUp(fleet);
    auto &returned = fleet.addTarget("app");
    auto &warm = fleet.addTarget("app");
    fleet.writeAppEntry("hall-a", returned); // The entry does not say yet that the target is warming up.
    fleet.writeAppEntry("hall-b", warm);
    fleet.evacuate("hall-a");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        fleet.endEvacuation("hall-a");
        co_await net::sleepFor(PropagationTime);
        const auto statuses = co_await sendFor(fleet, absl::Milliseconds(400), CallerRequest());
        BOOST_TEST(std::count(statuses.begin(), statuses.end(), 200) == std::ssize(statuses));
        BOOST_TEST(returned.arrivals().empty());
    });
}

// An answer with an unreadable warm-up time ended the caller's connection without an answer.
BOOST_AUTO_TEST_CASE(an_unreadable_warm_up_time_does_not_lose_the_answer)
{
    RelayFleet fleet;
    auto &target = fleet.addTarget("app");
    target.remainingWarmUp = "soon";
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        const auto answer = co_await fleet.send(CallerRequest());
        BOOST_TEST(answer.status == 200);
        const auto unreadable = co_await fleet.metric("cold_unreadable_total");
        BOOST_TEST(unreadable == 1);
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
