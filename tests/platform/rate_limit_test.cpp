//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of targets that announce the request rate that they accept from the whole fleet
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"

#include "spurlug/core/text.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

namespace spurlug::test
{

namespace
{

constexpr std::size_t Daemons = 3;
constexpr auto Learning = absl::Seconds(3); // A daemon that has just started gets no share of a fleet-wide rate.
constexpr auto CountedFrom = absl::Milliseconds(500); // Time from the announcement until requests are counted.
constexpr auto Window = absl::Seconds(4);
constexpr double PerSecond = 1.5;
constexpr double MostInWindow = 1.5 * PerSecond * 4 + 5; // The limit that users set.

/// Starts callers that are spread over the daemons; each sends a request 10 ms after its previous answer.
/// \param until End of the requests.
/// \param statuses Receives the status codes of all answers.
void press(RelayFleet &fleet, const Ask &ask, std::size_t callers, core::Time until, std::vector<int> &statuses)
{
    for (std::size_t i = 0; i < callers; ++i) {
        net::asio::co_spawn(
            fleet.loop,
            [&fleet, &statuses, ask, until, daemon = i % Daemons]() -> net::Task<> {
                while (core::now() < until) {
                    const auto got = co_await fleet.ask(ask, daemon);
                    statuses.push_back(got.status);
                    co_await net::sleepFor(absl::Milliseconds(10));
                }
            },
            net::asio::detached);
    }
}

/// Returns how many requests reached a target within \a span from \a from.
std::ptrdiff_t arrivedWithin(const FakeTarget &target, core::Time from, core::Duration span)
{
    return std::count_if(target.arrivals().begin(), target.arrivals().end(),
                         [&](const Arrival &arrival) { return arrival.at >= from && arrival.at < from + span; });
}

/// Sends more requests than a target accepts that begins to announce its limit, beside a target without a limit.
net::Task<> checkLimit(RelayFleet &fleet, FakeTarget &limited, const FakeTarget &free, Ask ask)
{
    co_await fleet.ready();
    co_await fleet.joined();
    co_await net::sleepFor(Learning);
    limited.limit = core::cat(PerSecond);
    const auto namedAt = core::now();
    std::vector<int> statuses;
    press(fleet, ask, 4 * Daemons, namedAt + CountedFrom + Window, statuses);
    co_await net::sleepFor(CountedFrom + Window + absl::Milliseconds(500));
    BOOST_TEST(static_cast<double>(arrivedWithin(limited, namedAt + CountedFrom, Window)) <= MostInWindow);
    BOOST_TEST(arrivedWithin(limited, namedAt + CountedFrom, Window) > 0); // The limited target still gets requests.
    BOOST_TEST(free.arrivals().size() > 100U);
    // The other target serves the rest.
    BOOST_TEST(std::count(statuses.begin(), statuses.end(), 200) == std::ssize(statuses));
}

} // namespace

BOOST_AUTO_TEST_SUITE(rate_limit)

// Daemons ignored the rate limit that a plain target had announced to them.
BOOST_AUTO_TEST_CASE(a_target_gets_the_rate_that_it_named_from_all_daemons_together)
{
    RelayFleet fleet(Daemons, Peers::Joined);
    auto &limited = fleet.addTarget("app");
    auto &free = fleet.addTarget("app");
    Ask ask;
    ask.path = "/safe/1";
    fleet.run([&]() -> net::Task<> { co_await checkLimit(fleet, limited, free, ask); });
}

// Daemons ignored an announced rate limit of an engine and sent it all requests that the scheduler placed there.
BOOST_AUTO_TEST_CASE(an_engine_gets_the_rate_that_it_named_whoever_places_prompts)
{
    RelayFleet fleet(Daemons, Peers::Joined);
    auto &limited = fleet.addTarget("model");
    auto &free = fleet.addTarget("model");
    for (auto *engine : {&limited, &free}) {
        engine->behaviour.events = 2;
    }
    Ask ask;
    ask.path = "/chat/1";
    ask.promptTokens = 1000;
    fleet.run([&]() -> net::Task<> { co_await checkLimit(fleet, limited, free, ask); });
}

BOOST_AUTO_TEST_CASE(a_rate_is_read_as_a_decimal_number)
{
    const platform::RequestCodec codec;
    const auto read = [&](const std::string &text) {
        net::ResponseHead head;
        head.headers.add("Server-Limit", text);
        return codec.readAnswer(head);
    };
    BOOST_TEST((read("1.5").rateLimit == 1.5));
    BOOST_TEST((read("0").rateLimit == 0.0));
    for (const auto *unreadable : {"few", "-1", "nan", "inf", ""}) {
        BOOST_TEST(!read(unreadable).rateLimit.has_value(), unreadable);
        BOOST_TEST(read(unreadable).rateLimitUnreadable, unreadable);
    }
    BOOST_TEST(!codec.readAnswer({}).rateLimitUnreadable);
}

// Daemons must not go on applying a limit that the target no longer announces.
BOOST_AUTO_TEST_CASE(a_limit_ends_when_answers_do_not_name_it_any_more)
{
    RelayFleet fleet(Daemons, Peers::Joined);
    auto &target = fleet.addTarget("app");
    Ask ask;
    ask.path = "/safe/1";
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        co_await fleet.joined();
        co_await net::sleepFor(Learning);
        target.limit = "5";
        std::vector<int> limited;
        press(fleet, ask, Daemons, core::now() + absl::Seconds(1), limited);
        co_await net::sleepFor(absl::Seconds(1));
        target.limit.clear();
        std::vector<int> learning;
        press(fleet, ask, Daemons, core::now() + absl::Seconds(4), learning);
        co_await net::sleepFor(absl::Milliseconds(4500));
        std::vector<int> statuses;
        press(fleet, ask, Daemons, core::now() + absl::Seconds(1), statuses);
        co_await net::sleepFor(absl::Milliseconds(1500));
        BOOST_TEST(statuses.size() > 20U);
        BOOST_TEST(std::count(statuses.begin(), statuses.end(), 200) == std::ssize(statuses));
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
