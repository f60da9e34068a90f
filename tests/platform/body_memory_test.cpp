//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the memory for bodies of requests
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// The tests guard against a daemon that exceeds its memory with the bodies of requests at targets that read slowly, and
// is killed with all that it serves. Each body was held three times, and nothing limited their sum.
//
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>

namespace spurlug::test
{

BOOST_AUTO_TEST_SUITE(body_memory)

BOOST_AUTO_TEST_CASE(a_budget_grants_bytes_up_to_its_limit_and_again_once_they_are_released)
{
    core::ByteBudget budget(100);
    core::ByteReservation first(budget);
    BOOST_TEST(first.resize(60));
    {
        core::ByteReservation second(budget);
        BOOST_TEST(!second.resize(41));
        BOOST_TEST(second.resize(40));
        const auto moved = std::move(second);
        BOOST_TEST(budget.used() == 100);
    }
    BOOST_TEST(budget.used() == 60);
    BOOST_TEST(first.resize(10));
    BOOST_TEST(!first.resize(101));
    BOOST_TEST(budget.used() == 10);
}

BOOST_AUTO_TEST_CASE(a_body_beyond_the_memory_of_the_daemon_is_refused_and_accepted_once_others_are_released)
{
    constexpr std::size_t BodyBytes = 90'000;
    RelayFleet fleet(0);
    auto settings = fleet.makeSettings();
    settings.memory = 500'000; // Two fifths of it are for bodies: two of these fit.
    fleet.addDaemon(std::move(settings));
    auto &target = fleet.addTarget("app");
    target.behaviour.processingTime = absl::Milliseconds(600);
    std::array<CallerAnswer, 2> answers;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        CallerRequest request;
        request.body = std::string(BodyBytes, 'x');
        std::size_t answered = 0;
        for (auto &answer : answers) {
            net::asio::co_spawn(
                fleet.loop,
                [&]() -> net::Task<> {
                    answer = co_await fleet.send(request);
                    ++answered;
                },
                net::asio::detached);
        }
        while (target.startedRequests().size() < answers.size()) {
            co_await net::sleepFor(absl::Milliseconds(5));
        }
        const auto refused = co_await fleet.send(request);
        BOOST_TEST(refused.status == 503);
        BOOST_TEST(!refused.head.headers.value("Retry-After").empty());
        BOOST_TEST(refused.body.find("body_memory_full") != std::string::npos);
        while (answered < answers.size()) {
            co_await net::sleepFor(absl::Milliseconds(5));
        }
        const auto accepted = co_await fleet.send(request);
        BOOST_TEST(accepted.status == 200);
    });
    for (const auto &answer : answers) {
        BOOST_TEST(answer.status == 200);
    }
    BOOST_TEST(target.startedRequests().back().body.size() == BodyBytes);
    BOOST_TEST(target.startedRequests().size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
