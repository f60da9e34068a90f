//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of requests through a relay daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"

#include <boost/test/unit_test.hpp>

namespace spurlug::test
{

namespace
{

using Fault = Behaviour::Fault;

/// Returns the text of a FakeTarget stream with the events of an id range; its end is exclusive.
std::string streamText(int endId, int firstId = 0)
{
    std::string text;
    for (int id = firstId; id < endId; ++id) {
        text += core::cat("id: ", id, "\ndata: token ", id, "\n\n");
    }
    return text;
}

CallerRequest chatRequest(std::int64_t promptTokens = 1000)
{
    CallerRequest request;
    request.path = "/chat/1";
    request.promptTokens = promptTokens;
    return request;
}

CallerRequest plainRequest()
{
    return {};
}

CallerRequest safeRequest()
{
    CallerRequest request;
    request.path = "/safe/1";
    return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(requests)

BOOST_AUTO_TEST_CASE(a_plain_answer_is_relayed_unchanged)
{
    RelayFleet fleet;
    auto &target = fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        const auto answer = co_await fleet.send(plainRequest());
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.body == "the answer");
        BOOST_TEST(answer.head.headers.value("Server-Signature") == "signed-i-1");
        BOOST_REQUIRE(target.startedRequests().size() == 1);
        const auto &sent = target.startedRequests().front();
        BOOST_TEST(sent.method == "POST");
        BOOST_TEST(sent.target == "/plain/1");
        BOOST_TEST(sent.body == "the question");
        BOOST_TEST(sent.headers.value("Tenant") == "islanders");
        BOOST_TEST(sent.headers.value("Target-Instance") == "i-1");
        BOOST_TEST(sent.headers.find("Authorization") == nullptr);
        BOOST_TEST(std::stoi(std::string(sent.headers.value("Deadline-Ms"))) <= 3000);
    });
}

BOOST_AUTO_TEST_CASE(a_stream_is_relayed_completely)
{
    RelayFleet fleet;
    auto &target = fleet.addTarget("model");
    target.behaviour.eventCount = 20;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        const auto answer = co_await fleet.send(chatRequest());
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.isComplete);
        BOOST_TEST(answer.body == streamText(20));
    });
}

BOOST_AUTO_TEST_CASE(an_interrupted_stream_is_resumed_within_the_same_answer)
{
    RelayFleet fleet;
    auto &first = fleet.addTarget("model");
    auto &second = fleet.addTarget("model");
    Behaviour broken;
    broken.eventCount = 20;
    broken.resetAtEvent = 7;
    first.behaviour = broken;
    second.behaviour = broken;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        // The target that gets the request breaks the stream; before that, the other one is set not to break it.
        first.behaviour.eventInterval = second.behaviour.eventInterval = absl::Milliseconds(20);
        net::asio::co_spawn(
            fleet.loop,
            [&]() -> net::Task<> {
                co_await net::sleepFor(absl::Milliseconds(60));
                auto &other = first.startedRequests().empty() ? first : second;
                other.behaviour.resetAtEvent = -1;
            },
            net::asio::detached);
        const auto answer = co_await fleet.send(chatRequest());
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.isComplete);
        BOOST_TEST(answer.body == streamText(20));
        BOOST_REQUIRE(first.startedRequests().size() == 1U);
        BOOST_REQUIRE(second.startedRequests().size() == 1U);
        const auto &resumed = first.startedRequests().front().headers.find("Last-Event-Id") != nullptr ? first : second;
        const auto &interrupted = &resumed == &first ? second : first;
        BOOST_TEST(resumed.startedRequests().front().headers.value("Last-Event-Id") == "6");
        BOOST_TEST(answer.head.headers.value("Server-Signature") == core::cat("signed-", interrupted.id()));
    });
}

BOOST_AUTO_TEST_CASE(a_slow_engine_that_accepts_connections_is_not_abandoned)
{
    RelayFleet fleet;
    std::vector<FakeTarget *> engines{&fleet.addTarget("model"), &fleet.addTarget("model")};
    for (auto *engine : engines) {
        engine->behaviour.eventCount = 3;
        engine->behaviour.processingTime = absl::Milliseconds(2800);
    }
    fleet.configuration["routes"][2]["gap_aim_ms"] = 1000; // A long gap objective also allows a late first event.
    fleet.configuration["routes"][2]["timeout_ms"] = 6000;
    fleet.writeConfiguration();
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        auto request = chatRequest(5000);
        request.deadlineMs = 6000;
        const auto answer = co_await fleet.send(request);
        BOOST_TEST(answer.isComplete);
        BOOST_TEST(answer.body == streamText(3));
        BOOST_TEST(engines[0]->startedRequests().size() + engines[1]->startedRequests().size() == 1U);
    });
}

BOOST_AUTO_TEST_CASE(a_silent_engine_that_refuses_connections_is_replaced_before_the_deadline)
{
    RelayFleet fleet;
    std::vector<FakeTarget *> engines{&fleet.addTarget("model"), &fleet.addTarget("model")};
    for (auto *engine : engines) {
        engine->behaviour.eventCount = 3;
    }
    fleet.configuration["routes"][2]["gap_aim_ms"] = 1000;
    fleet.writeConfiguration();
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        Behaviour hanging;
        hanging.fault = Fault::Hang;
        for (auto *engine : engines) {
            engine->script.push_back(hanging);
        }
        net::asio::co_spawn(
            fleet.loop,
            [&]() -> net::Task<> {
                while (engines[0]->startedRequests().empty() && engines[1]->startedRequests().empty()) {
                    co_await net::sleepFor(absl::Milliseconds(5));
                }
                auto *hung = engines[0]->startedRequests().empty() ? engines[1] : engines[0];
                auto *other = hung == engines[0] ? engines[1] : engines[0];
                hung->stopListening();
                other->script.clear();
            },
            net::asio::detached);
        auto request = chatRequest(5000);
        request.deadlineMs = 2300; // The silence timeout would end the attempt only after 2.5 s.
        const auto answer = co_await fleet.send(request);
        BOOST_TEST(answer.isComplete);
        BOOST_TEST(answer.body == streamText(3));
    });
}

BOOST_AUTO_TEST_CASE(a_stream_that_misses_an_event_is_never_reported_complete)
{
    RelayFleet fleet;
    for (int i = 0; i < 2; ++i) {
        auto &target = fleet.addTarget("model");
        target.behaviour.eventCount = 10;
        target.behaviour.omittedEvent = 4;
    }
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        const auto answer = co_await fleet.send(chatRequest());
        BOOST_TEST(!answer.isComplete);
        BOOST_TEST(answer.body == streamText(4));
    });
}

BOOST_AUTO_TEST_CASE(a_request_that_did_not_run_is_sent_to_another_target)
{
    RelayFleet fleet;
    auto &first = fleet.addTarget("app");
    auto &second = fleet.addTarget("app");
    first.behaviour.fault = Fault::Shed;
    fleet.configuration["routes"][0]["max_attempts"] = 2;
    fleet.writeConfiguration();
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        for (int i = 0; i < 6; ++i) {
            const auto answer = co_await fleet.send(plainRequest());
            BOOST_TEST(answer.status == 200);
        }
        BOOST_TEST(first.startedRequests().empty());
        BOOST_TEST(second.startedRequests().size() == 6U);
    });
}

BOOST_AUTO_TEST_CASE(an_unsafe_request_that_may_have_run_is_neither_retried_nor_reported_as_not_executed)
{
    for (const auto fault : {Fault::DropAnswer, Fault::ResetAnswer, Fault::TruncateBody, Fault::WrongId,
                             Fault::NoSignature, Fault::Encoded, Fault::AmbiguousBusy}) {
        RelayFleet fleet;
        auto &first = fleet.addTarget("app");
        auto &second = fleet.addTarget("app");
        first.behaviour.fault = fault;
        second.behaviour.fault = fault;
        fleet.run([&]() -> net::Task<> {
            co_await fleet.waitUntilReady();
            const auto answer = co_await fleet.send(plainRequest());
            BOOST_TEST(answer.status == 502);
            BOOST_TEST(answer.head.headers.find("Server-Signature") == nullptr);
            BOOST_TEST(first.startedRequests().size() + second.startedRequests().size() == 1U);
        });
    }
}

BOOST_AUTO_TEST_CASE(a_safe_request_whose_answer_was_lost_is_retried)
{
    for (const auto fault : {Fault::DropAnswer, Fault::ResetAnswer, Fault::TruncateBody, Fault::WrongId,
                             Fault::NoSignature, Fault::Encoded, Fault::AmbiguousBusy, Fault::Hang}) {
        RelayFleet fleet;
        auto &bad = fleet.addTarget("app");
        auto &good = fleet.addTarget("app");
        bad.behaviour.fault = fault;
        fleet.run([&]() -> net::Task<> {
            co_await fleet.waitUntilReady();
            for (int i = 0; i < 3; ++i) {
                const auto answer = co_await fleet.send(safeRequest());
                BOOST_TEST(answer.status == 200);
                BOOST_TEST(answer.body == "the answer");
            }
            BOOST_TEST(good.startedRequests().size() == 3U);
        });
    }
}

BOOST_AUTO_TEST_CASE(a_caller_s_disconnect_cancels_the_request)
{
    RelayFleet fleet;
    auto &target = fleet.addTarget("app");
    target.behaviour.processingTime = absl::Seconds(5);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        {
            net::ClientConnection connection(fleet.loop);
            const auto error = co_await connection.connect(fleet.callerAddress(), absl::Seconds(1));
            BOOST_TEST(error.empty());
            connection.startSend(fleet.makeRequest(plainRequest()));
            co_await net::sleepFor(absl::Milliseconds(100));
        }
        co_await net::sleepFor(absl::Milliseconds(200));
        BOOST_TEST(target.startedRequests().size() == 1U);
        BOOST_TEST(target.abandonedRequests() == 1);
    });
}

BOOST_AUTO_TEST_CASE(the_route_s_timeout_is_enforced)
{
    RelayFleet fleet;
    auto &target = fleet.addTarget("app");
    target.behaviour.fault = Fault::Hang;
    fleet.configuration["routes"][0]["timeout_ms"] = 300;
    fleet.writeConfiguration();
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        const auto answer = co_await fleet.send(plainRequest());
        BOOST_TEST(answer.status == 504);
    });
}

BOOST_AUTO_TEST_CASE(keys_and_routes_are_checked)
{
    RelayFleet fleet;
    fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        CallerRequest request;
        request.apiKey = "nobody's";
        const auto unknownKey = co_await fleet.send(request);
        BOOST_TEST(unknownKey.status == 401);
        request.apiKey = "";
        const auto noKey = co_await fleet.send(request);
        BOOST_TEST(noKey.status == 401);
        request.path = "/open/1";
        const auto publicRoute = co_await fleet.send(request);
        BOOST_TEST(publicRoute.status == 200);
        request.path = "/nowhere/1";
        const auto unknownRoute = co_await fleet.send(request);
        BOOST_TEST(unknownRoute.status == 404);
    });
}

// Guards against a disconnect that is consumed by the delay before a retry, so that the retry runs for nobody.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_before_a_retry_ends_its_request)
{
    RelayFleet fleet;
    auto &target = fleet.addTarget("app");
    Behaviour refusal;
    refusal.fault = Behaviour::Fault::Shed;
    target.script = {refusal};
    target.behaviour.processingTime = absl::Seconds(2);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        {
            net::ClientConnection caller(fleet.loop);
            const auto error = co_await caller.connect(fleet.callerAddress(), absl::Seconds(1));
            BOOST_REQUIRE(error.empty());
            caller.startSend(fleet.makeRequest(CallerRequest()));
            while (target.arrivals().empty()) {
                co_await net::sleepFor(absl::Milliseconds(1));
            }
        }
        co_await net::sleepFor(absl::Seconds(1));
    });
    BOOST_TEST(target.arrivals().size() >= 1U);
    BOOST_TEST(target.abandonedRequests() == std::ssize(target.startedRequests()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
