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

constexpr std::size_t DaemonCount = 3;
constexpr auto StartupTime = absl::Seconds(3); // A daemon that has just started gets no share of a fleet-wide rate.
constexpr auto CountDelay = absl::Milliseconds(500); // Time from the announcement until requests are counted.
constexpr auto Window = absl::Seconds(4);
constexpr double RequestsPerSecond = 1.5;
constexpr double MaxRequestsInWindow = 1.5 * RequestsPerSecond * 4 + 5; // The limit that users set.

/// Starts callers that are spread over the daemons; each sends a request 10 ms after its previous answer.
/// \param until End of the requests.
/// \param statuses Receives the status codes of all answers.
void startCallers(RelayFleet &fleet, const CallerRequest &request, std::size_t callerCount, core::Time until,
                  std::vector<int> &statuses)
{
    for (std::size_t i = 0; i < callerCount; ++i) {
        net::asio::co_spawn(
            fleet.loop,
            [&fleet, &statuses, request, until, daemon = i % DaemonCount]() -> net::Task<> {
                while (core::now() < until) {
                    const auto answer = co_await fleet.send(request, daemon);
                    statuses.push_back(answer.status);
                    co_await net::sleepFor(absl::Milliseconds(10));
                }
            },
            net::asio::detached);
    }
}

/// Returns how many requests reached a target within \a span from \a from.
std::ptrdiff_t countArrivals(const FakeTarget &target, core::Time from, core::Duration span)
{
    return std::count_if(target.arrivals().begin(), target.arrivals().end(),
                         [&](const Arrival &arrival) { return arrival.at >= from && arrival.at < from + span; });
}

/// Sends more requests than a target accepts that begins to announce its limit, beside a target without a limit.
net::Task<> checkLimit(RelayFleet &fleet, FakeTarget &limited, const FakeTarget &unlimited, CallerRequest request)
{
    co_await fleet.waitUntilReady();
    co_await fleet.waitUntilConnected();
    co_await net::sleepFor(StartupTime);
    limited.rateLimit = core::cat(RequestsPerSecond);
    const auto announcedAt = core::now();
    std::vector<int> statuses;
    startCallers(fleet, request, 4 * DaemonCount, announcedAt + CountDelay + Window, statuses);
    co_await net::sleepFor(CountDelay + Window + absl::Milliseconds(500));
    BOOST_TEST(static_cast<double>(countArrivals(limited, announcedAt + CountDelay, Window)) <= MaxRequestsInWindow);
    BOOST_TEST(countArrivals(limited, announcedAt + CountDelay, Window) > 0); // The limited target still gets requests.
    BOOST_TEST(unlimited.arrivals().size() > 100U);
    // The other target serves the rest.
    BOOST_TEST(std::count(statuses.begin(), statuses.end(), 200) == std::ssize(statuses));
}

} // namespace

BOOST_AUTO_TEST_SUITE(rate_limit)

// Daemons ignored the rate limit that a plain target had announced to them.
BOOST_AUTO_TEST_CASE(all_daemons_together_keep_the_announced_rate_of_a_target)
{
    RelayFleet fleet(DaemonCount, Peers::Connected);
    auto &limited = fleet.addTarget("app");
    auto &unlimited = fleet.addTarget("app");
    CallerRequest request;
    request.path = "/safe/1";
    fleet.run([&]() -> net::Task<> { co_await checkLimit(fleet, limited, unlimited, request); });
}

// Daemons ignored an announced rate limit of an engine and sent it all requests that the scheduler placed there.
BOOST_AUTO_TEST_CASE(all_schedulers_together_keep_the_announced_rate_of_an_engine)
{
    RelayFleet fleet(DaemonCount, Peers::Connected);
    auto &limited = fleet.addTarget("model");
    auto &unlimited = fleet.addTarget("model");
    for (auto *engine : {&limited, &unlimited}) {
        engine->behaviour.eventCount = 2;
    }
    CallerRequest request;
    request.path = "/chat/1";
    request.promptTokens = 1000;
    fleet.run([&]() -> net::Task<> { co_await checkLimit(fleet, limited, unlimited, request); });
}

BOOST_AUTO_TEST_CASE(a_rate_is_parsed_as_a_decimal_number)
{
    const platform::RequestCodec codec;
    const auto parseAnswer = [&](const std::string &text) {
        net::ResponseHead head;
        head.headers.add("Server-Limit", text);
        return codec.readAnswer(head);
    };
    BOOST_TEST((parseAnswer("1.5").rateLimit == 1.5));
    BOOST_TEST((parseAnswer("0").rateLimit == 0.0));
    for (const auto *unreadable : {"few", "-1", "nan", "inf", ""}) {
        BOOST_TEST(!parseAnswer(unreadable).rateLimit.has_value(), unreadable);
        BOOST_TEST(parseAnswer(unreadable).rateLimitInvalid, unreadable);
    }
    BOOST_TEST(!codec.readAnswer({}).rateLimitInvalid);
}

// Daemons must not go on applying a limit that the target no longer announces.
BOOST_AUTO_TEST_CASE(a_limit_ends_when_answers_no_longer_announce_it)
{
    RelayFleet fleet(DaemonCount, Peers::Connected);
    auto &target = fleet.addTarget("app");
    CallerRequest request;
    request.path = "/safe/1";
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await fleet.waitUntilConnected();
        co_await net::sleepFor(StartupTime);
        target.rateLimit = "5";
        std::vector<int> limitedStatuses;
        startCallers(fleet, request, DaemonCount, core::now() + absl::Seconds(1), limitedStatuses);
        co_await net::sleepFor(absl::Seconds(1));
        target.rateLimit.clear();
        std::vector<int> statusesAfterRemoval;
        startCallers(fleet, request, DaemonCount, core::now() + absl::Seconds(4), statusesAfterRemoval);
        co_await net::sleepFor(absl::Milliseconds(4500));
        std::vector<int> statuses;
        startCallers(fleet, request, DaemonCount, core::now() + absl::Seconds(1), statuses);
        co_await net::sleepFor(absl::Milliseconds(1500));
        BOOST_TEST(statuses.size() > 20U);
        BOOST_TEST(std::count(statuses.begin(), statuses.end(), 200) == std::ssize(statuses));
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
