//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of failure domains that the operator evacuates
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// The tests guard against sending requests to an evacuated failure domain. On two deployments 1,170 and 1,456 requests
// reached targets of such a domain, on a day with one evacuation of 12 s and another one that lasted to the end of the
// day, because the daemons did not read evacuations. The last case checks that running requests continue.
//
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"

#include <boost/test/unit_test.hpp>

namespace spurlug::test
{

namespace
{

constexpr auto PropagationTime
    = absl::Milliseconds(250); // Time within which a daemon that reads the store knows of a change.
/// A daemon that learns from another one asks it every 0.3 s; the platform allows some seconds.
constexpr auto FleetPropagationTime = absl::Milliseconds(900);
constexpr int RequestCount = 12;

/// A fleet with one target in each of two failure domains.
struct TwoDomains
{
    explicit TwoDomains(int daemons = 1, Peers peers = Peers::Isolated)
        : fleet(daemons, peers)
        , inA(fleet.addTarget("app"))
        , inB(fleet.addTarget("app"))
    {
        fleet.writeAppEntry("hall-a", inA);
        fleet.writeAppEntry("hall-b", inB);
    }

    /// Sends some requests and checks that all are answered with 200.
    [[nodiscard]] net::Task<> sendRequests(std::size_t daemon = 0)
    {
        for (int i = 0; i < RequestCount; ++i) {
            CallerRequest request;
            const auto answer = co_await fleet.send(request, daemon);
            BOOST_TEST(answer.status == 200);
        }
    }

    RelayFleet fleet;
    FakeTarget &inA;
    FakeTarget &inB;
};

} // namespace

BOOST_AUTO_TEST_SUITE(evacuation)

BOOST_AUTO_TEST_CASE(an_evacuated_failure_domain_gets_no_requests_until_the_evacuation_ends)
{
    TwoDomains domains;
    domains.fleet.run([&]() -> net::Task<> {
        co_await domains.fleet.waitUntilReady();
        domains.fleet.evacuate("hall-a");
        domains.fleet.evacuate("hall-nowhere"); // This failure domain has no target.
        co_await net::sleepFor(PropagationTime);
        co_await domains.sendRequests();
        BOOST_TEST(domains.inA.arrivals().empty());
        domains.fleet.endEvacuation("hall-a");
        domains.fleet.evacuate("hall-b"); // For a daemon that learns of this change first, the evacuations overlap.
        co_await net::sleepFor(PropagationTime);
        const auto before = domains.inB.arrivals().size();
        co_await domains.sendRequests();
        BOOST_TEST(domains.inB.arrivals().size() == before);
    });
}

BOOST_AUTO_TEST_CASE(a_starting_daemon_knows_active_evacuations_before_it_sends_requests)
{
    TwoDomains domains;
    domains.fleet.evacuate("hall-a");
    domains.fleet.run([&]() -> net::Task<> {
        co_await domains.fleet.waitUntilReady();
        co_await domains.sendRequests();
        BOOST_TEST(domains.inA.arrivals().empty());
    });
}

BOOST_AUTO_TEST_CASE(all_daemons_learn_of_an_evacuation_and_keep_it_while_the_store_is_unavailable)
{
    TwoDomains domains(4, Peers::Connected);
    domains.fleet.run([&]() -> net::Task<> {
        co_await domains.fleet.waitUntilReady();
        co_await domains.fleet.waitUntilConnected();
        domains.fleet.evacuate("hall-a");
        co_await net::sleepFor(FleetPropagationTime);
        domains.fleet.store.failure = StoreFailure::Unresponsive; // Calls in progress get no answer either.
        for (std::size_t daemon = 0; daemon < 4; ++daemon) {
            co_await domains.sendRequests(daemon);
        }
        BOOST_TEST(domains.inA.arrivals().empty());
        domains.fleet.endEvacuation("hall-a"); // No daemon can learn of this.
        co_await net::sleepFor(FleetPropagationTime);
        co_await domains.sendRequests(3);
        BOOST_TEST(domains.inA.arrivals().empty());
        domains.fleet.store.failure = StoreFailure::None;
        co_await net::sleepFor(FleetPropagationTime);
        co_await domains.sendRequests(3);
        BOOST_TEST(!domains.inA.arrivals().empty());
    });
}

BOOST_AUTO_TEST_CASE(an_evacuation_missing_from_a_dropped_history_is_read_from_the_list)
{
    TwoDomains domains;
    domains.fleet.run([&]() -> net::Task<> {
        co_await domains.fleet.waitUntilReady();
        domains.fleet.store.failure
            = StoreFailure::Unresponsive; // Watches get no answer while the evacuation is written.
        domains.fleet.evacuate("hall-a");
        domains.fleet.store.dropHistory();
        domains.fleet.store.failure = StoreFailure::None;
        co_await net::sleepFor(FleetPropagationTime);
        co_await domains.sendRequests();
        BOOST_TEST(domains.inA.arrivals().empty());
    });
}

BOOST_AUTO_TEST_CASE(a_request_that_only_evacuated_targets_could_serve_is_refused_at_once_with_the_reason)
{
    TwoDomains domains;
    domains.fleet.run([&]() -> net::Task<> {
        co_await domains.fleet.waitUntilReady();
        domains.fleet.evacuate("hall-a");
        domains.fleet.evacuate("hall-b");
        co_await net::sleepFor(PropagationTime);
        CallerRequest request;
        const auto answer = co_await domains.fleet.send(request);
        BOOST_TEST(answer.status == 503);
        BOOST_TEST(answer.body.find("domains_evacuated") != std::string::npos);
        BOOST_TEST(answer.head.headers.find("Retry-After") != nullptr);
        BOOST_TEST(domains.inA.arrivals().empty());
        BOOST_TEST(domains.inB.arrivals().empty());
    });
}

BOOST_AUTO_TEST_CASE(running_requests_continue_in_an_evacuated_failure_domain)
{
    TwoDomains domains;
    domains.inA.behaviour.processingTime = absl::Milliseconds(600);
    domains.fleet.evacuate("hall-b");
    domains.fleet.run([&]() -> net::Task<> {
        co_await domains.fleet.waitUntilReady();
        std::optional<CallerAnswer> answer;
        net::asio::co_spawn(
            domains.fleet.loop, [&]() -> net::Task<> { answer = co_await domains.fleet.send(CallerRequest()); },
            net::asio::detached);
        co_await net::sleepFor(absl::Milliseconds(100));
        domains.fleet.evacuate("hall-a");
        co_await net::sleepFor(absl::Seconds(1));
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST(answer->status == 200);
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
