//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of requests that wait for a target while the configuration or the targets change
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// The tests guard against requests that end without an answer, run with what was removed, or wait until their deadline.
//
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace spurlug::test
{

namespace
{

/// Time within which a request has reached its target, or waits for one.
constexpr auto SettleTime = absl::Milliseconds(300);

CallerRequest patientRequest()
{
    CallerRequest request;
    request.path = "/chat/1";
    request.promptTokens = 1000;
    request.deadlineMs = 12'000;
    return request;
}

/// A fleet whose only engine has one slot, which a first request occupies for 1.5 s.
class BusyEngine
{
public:
    BusyEngine()
        : engine(fleet.addTarget("model", 1))
    {
        engine.behaviour.eventCount = 15;
        engine.behaviour.eventInterval = absl::Milliseconds(100);
        for (auto &route : fleet.configuration["routes"]) {
            route["timeout_ms"] = 12'000;
            route["slo_ms"] = 6000;
            route["gap_aim_ms"] = 1000;
        }
        fleet.writeConfiguration();
    }

    /// Applies a change while a second request waits for the engine.
    /// \returns The second request's answer.
    CallerAnswer answerAfter(const std::function<void()> &change)
    {
        CallerAnswer waiting;
        fleet.run([&]() -> net::Task<> {
            co_await fleet.waitUntilReady();
            net::ClientConnection first(fleet.loop);
            net::ClientConnection second(fleet.loop);
            const auto firstError = co_await first.connect(fleet.callerAddress(), absl::Seconds(1));
            const auto secondError = co_await second.connect(fleet.callerAddress(), absl::Seconds(1));
            BOOST_TEST(firstError.empty());
            BOOST_TEST(secondError.empty());
            first.startSend(fleet.makeRequest(patientRequest()));
            co_await net::sleepFor(SettleTime);
            auto request = patientRequest();
            request.apiKey = "key-2";
            second.startSend(fleet.makeRequest(request));
            co_await net::sleepFor(SettleTime);
            BOOST_TEST(engine.startedRequests().size() == 1U);
            change();
            waiting = co_await fleet.readAnswer(second);
            const auto running = co_await fleet.readAnswer(first);
            BOOST_TEST(running.status == 200);
            BOOST_TEST(running.isComplete);
        });
        return waiting;
    }

    RelayFleet fleet;
    FakeTarget &engine;
};

} // namespace

BOOST_AUTO_TEST_SUITE(waiting_requests)

BOOST_AUTO_TEST_CASE(a_request_whose_key_is_removed_while_it_waits_is_answered_and_does_not_run)
{
    BusyEngine busy;
    const auto answer = busy.answerAfter([&busy] {
        busy.fleet.configuration["tenants"][0]["api_keys"] = {"key-1"};
        busy.fleet.writeConfiguration();
    });
    BOOST_TEST(answer.status >= 400);
    BOOST_TEST(answer.isComplete);
    BOOST_TEST(busy.engine.startedRequests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_whose_route_is_removed_while_it_waits_is_answered)
{
    BusyEngine busy;
    const auto answer = busy.answerAfter([&busy] {
        auto &routes = busy.fleet.configuration["routes"];
        routes.erase(2); // "chat"
        busy.fleet.writeConfiguration();
    });
    BOOST_TEST(answer.status >= 400);
    BOOST_TEST(answer.isComplete);
    BOOST_TEST(busy.engine.startedRequests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_whose_route_moves_to_another_service_while_it_waits_runs_once)
{
    BusyEngine busy;
    auto &other = busy.fleet.addTarget("app");
    const auto answer = busy.answerAfter([&busy] {
        busy.fleet.configuration["routes"][2]["service"] = "app";
        busy.fleet.writeConfiguration();
    });
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.isComplete);
    // It was sent before the change, so that either service may run it.
    BOOST_TEST(busy.engine.startedRequests().size() + other.startedRequests().size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_request_whose_only_engine_drains_while_it_waits_is_refused)
{
    BusyEngine busy;
    const auto answer = busy.answerAfter([&busy] { busy.fleet.writeEntry(busy.engine, "model", "draining", 1); });
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(answer.isComplete);
    BOOST_TEST(busy.engine.startedRequests().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
