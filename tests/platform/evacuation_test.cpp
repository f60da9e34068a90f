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

constexpr auto Spread = absl::Milliseconds(250); // Time within which a daemon that reads the store knows of a change.
/// A daemon that learns from another one asks it every 0.3 s; the platform allows some seconds.
constexpr auto SpreadToFollowers = absl::Milliseconds(900);
constexpr int Asks = 12;

/// A fleet with one target in each of two failure domains.
struct TwoDomains
{
    explicit TwoDomains(int daemons = 1, Peers peers = Peers::Apart)
        : fleet(daemons, peers)
        , inA(fleet.addTarget("app"))
        , inB(fleet.addTarget("app"))
    {
        fleet.announceIn("hall-a", inA);
        fleet.announceIn("hall-b", inB);
    }

    /// Sends some requests and checks that all are answered with 200.
    [[nodiscard]] net::Task<> askSome(std::size_t daemon = 0)
    {
        for (int i = 0; i < Asks; ++i) {
            Ask ask;
            const auto got = co_await fleet.ask(ask, daemon);
            BOOST_TEST(got.status == 200);
        }
    }

    RelayFleet fleet;
    FakeTarget &inA;
    FakeTarget &inB;
};

} // namespace

BOOST_AUTO_TEST_SUITE(evacuation)

BOOST_AUTO_TEST_CASE(an_evacuated_failure_domain_gets_nothing_until_it_is_taken_back)
{
    TwoDomains two;
    two.fleet.run([&]() -> net::Task<> {
        co_await two.fleet.ready();
        two.fleet.evacuate("hall-a");
        two.fleet.evacuate("hall-nowhere"); // This failure domain has no target.
        co_await net::sleepFor(Spread);
        co_await two.askSome();
        BOOST_TEST(two.inA.arrivals().empty());
        two.fleet.takeBack("hall-a");
        two.fleet.evacuate("hall-b"); // For a daemon that learns of this change first, the evacuations overlap.
        co_await net::sleepFor(Spread);
        const auto before = two.inB.arrivals().size();
        co_await two.askSome();
        BOOST_TEST(two.inB.arrivals().size() == before);
    });
}

BOOST_AUTO_TEST_CASE(what_is_in_force_when_a_daemon_starts_is_known_before_its_first_send)
{
    TwoDomains two;
    two.fleet.evacuate("hall-a");
    two.fleet.run([&]() -> net::Task<> {
        co_await two.fleet.ready();
        co_await two.askSome();
        BOOST_TEST(two.inA.arrivals().empty());
    });
}

BOOST_AUTO_TEST_CASE(followers_learn_of_an_evacuation_and_the_last_word_holds_while_the_store_is_away)
{
    TwoDomains two(4, Peers::Joined);
    two.fleet.run([&]() -> net::Task<> {
        co_await two.fleet.ready();
        co_await two.fleet.joined();
        two.fleet.evacuate("hall-a");
        co_await net::sleepFor(SpreadToFollowers);
        two.fleet.store.mood = StoreMood::Silent; // Calls in progress get no answer either.
        for (std::size_t daemon = 0; daemon < 4; ++daemon) {
            co_await two.askSome(daemon);
        }
        BOOST_TEST(two.inA.arrivals().empty());
        two.fleet.takeBack("hall-a"); // No daemon can learn of this.
        co_await net::sleepFor(SpreadToFollowers);
        co_await two.askSome(3);
        BOOST_TEST(two.inA.arrivals().empty());
        two.fleet.store.mood = StoreMood::Well;
        co_await net::sleepFor(SpreadToFollowers);
        co_await two.askSome(3);
        BOOST_TEST(!two.inA.arrivals().empty());
    });
}

BOOST_AUTO_TEST_CASE(an_evacuation_that_a_forgotten_history_hides_is_found_in_the_list)
{
    TwoDomains two;
    two.fleet.run([&]() -> net::Task<> {
        co_await two.fleet.ready();
        two.fleet.store.mood = StoreMood::Silent; // Watches get no answer while the evacuation is written.
        two.fleet.evacuate("hall-a");
        two.fleet.store.forgetHistory();
        two.fleet.store.mood = StoreMood::Well;
        co_await net::sleepFor(SpreadToFollowers);
        co_await two.askSome();
        BOOST_TEST(two.inA.arrivals().empty());
    });
}

BOOST_AUTO_TEST_CASE(a_request_that_only_evacuated_targets_could_serve_is_refused_at_once_with_the_truth)
{
    TwoDomains two;
    two.fleet.run([&]() -> net::Task<> {
        co_await two.fleet.ready();
        two.fleet.evacuate("hall-a");
        two.fleet.evacuate("hall-b");
        co_await net::sleepFor(Spread);
        Ask ask;
        const auto got = co_await two.fleet.ask(ask);
        BOOST_TEST(got.status == 503);
        BOOST_TEST(got.body.find("domains_evacuated") != std::string::npos);
        BOOST_TEST(got.head.headers.find("Retry-After") != nullptr);
        BOOST_TEST(two.inA.arrivals().empty());
        BOOST_TEST(two.inB.arrivals().empty());
    });
}

BOOST_AUTO_TEST_CASE(what_runs_in_a_failure_domain_that_is_evacuated_runs_on)
{
    TwoDomains two;
    two.inA.behaviour.work = absl::Milliseconds(600);
    two.fleet.evacuate("hall-b");
    two.fleet.run([&]() -> net::Task<> {
        co_await two.fleet.ready();
        std::optional<Got> got;
        net::asio::co_spawn(
            two.fleet.loop, [&]() -> net::Task<> { got = co_await two.fleet.ask(Ask()); }, net::asio::detached);
        co_await net::sleepFor(absl::Milliseconds(100));
        two.fleet.evacuate("hall-a");
        co_await net::sleepFor(absl::Seconds(1));
        BOOST_REQUIRE(got.has_value());
        BOOST_TEST(got->status == 200);
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
