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
std::string events(int count, int first = 0)
{
    std::string text;
    for (int id = first; id < count; ++id) {
        text += core::cat("id: ", id, "\ndata: token ", id, "\n\n");
    }
    return text;
}

Ask chat(std::int64_t promptTokens = 1000)
{
    Ask ask;
    ask.path = "/chat/1";
    ask.promptTokens = promptTokens;
    return ask;
}

Ask plain()
{
    return {};
}

Ask safe()
{
    Ask ask;
    ask.path = "/safe/1";
    return ask;
}

} // namespace

BOOST_AUTO_TEST_SUITE(requests)

BOOST_AUTO_TEST_CASE(a_plain_answer_comes_back_as_the_target_gave_it)
{
    RelayFleet fleet;
    auto &target = fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        const auto got = co_await fleet.ask(plain());
        BOOST_TEST(got.status == 200);
        BOOST_TEST(got.body == "the answer");
        BOOST_TEST(got.head.headers.value("Server-Signature") == "signed-i-1");
        BOOST_REQUIRE(target.ran().size() == 1);
        const auto &sent = target.ran().front();
        BOOST_TEST(sent.method == "POST");
        BOOST_TEST(sent.target == "/plain/1");
        BOOST_TEST(sent.body == "the question");
        BOOST_TEST(sent.headers.value("Tenant") == "islanders");
        BOOST_TEST(sent.headers.value("Target-Instance") == "i-1");
        BOOST_TEST(sent.headers.find("Authorization") == nullptr);
        BOOST_TEST(std::stoi(std::string(sent.headers.value("Deadline-Ms"))) <= 3000);
    });
}

BOOST_AUTO_TEST_CASE(a_stream_comes_back_event_by_event)
{
    RelayFleet fleet;
    auto &target = fleet.addTarget("model");
    target.behaviour.events = 20;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        const auto got = co_await fleet.ask(chat());
        BOOST_TEST(got.status == 200);
        BOOST_TEST(got.whole);
        BOOST_TEST(got.body == events(20));
    });
}

BOOST_AUTO_TEST_CASE(a_broken_stream_goes_on_inside_one_answer)
{
    RelayFleet fleet;
    auto &first = fleet.addTarget("model");
    auto &second = fleet.addTarget("model");
    Behaviour broken;
    broken.events = 20;
    broken.breakAfter = 7;
    first.behaviour = broken;
    second.behaviour = broken;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        // The target that gets the request breaks the stream; before that, the other one is set not to break it.
        first.behaviour.gap = second.behaviour.gap = absl::Milliseconds(20);
        net::asio::co_spawn(
            fleet.loop,
            [&]() -> net::Task<> {
                co_await net::sleepFor(absl::Milliseconds(60));
                auto &other = first.ran().empty() ? first : second;
                other.behaviour.breakAfter = -1;
            },
            net::asio::detached);
        const auto got = co_await fleet.ask(chat());
        BOOST_TEST(got.status == 200);
        BOOST_TEST(got.whole);
        BOOST_TEST(got.body == events(20));
        BOOST_REQUIRE(first.ran().size() == 1U);
        BOOST_REQUIRE(second.ran().size() == 1U);
        const auto &resumed = first.ran().front().headers.find("Last-Event-Id") != nullptr ? first : second;
        const auto &begun = &resumed == &first ? second : first;
        BOOST_TEST(resumed.ran().front().headers.value("Last-Event-Id") == "6");
        BOOST_TEST(got.head.headers.value("Server-Signature") == core::cat("signed-", begun.id()));
    });
}

BOOST_AUTO_TEST_CASE(a_slow_engine_that_takes_connections_is_not_given_up)
{
    RelayFleet fleet;
    std::vector<FakeTarget *> engines{&fleet.addTarget("model"), &fleet.addTarget("model")};
    for (auto *engine : engines) {
        engine->behaviour.events = 3;
        engine->behaviour.work = absl::Milliseconds(2800);
    }
    fleet.configuration["routes"][2]["gap_aim_ms"] = 1000; // A long gap objective also allows a late first event.
    fleet.configuration["routes"][2]["timeout_ms"] = 6000;
    fleet.configure();
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        auto ask = chat(5000);
        ask.deadlineMs = 6000;
        const auto got = co_await fleet.ask(ask);
        BOOST_TEST(got.whole);
        BOOST_TEST(got.body == events(3));
        BOOST_TEST(engines[0]->ran().size() + engines[1]->ran().size() == 1U);
    });
}

BOOST_AUTO_TEST_CASE(a_silent_engine_that_takes_no_connections_is_left_before_its_caller_s_patience_ends)
{
    RelayFleet fleet;
    std::vector<FakeTarget *> engines{&fleet.addTarget("model"), &fleet.addTarget("model")};
    for (auto *engine : engines) {
        engine->behaviour.events = 3;
    }
    fleet.configuration["routes"][2]["gap_aim_ms"] = 1000;
    fleet.configure();
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        Behaviour dead;
        dead.fault = Fault::Hang;
        for (auto *engine : engines) {
            engine->script.push_back(dead);
        }
        net::asio::co_spawn(
            fleet.loop,
            [&]() -> net::Task<> {
                while (engines[0]->ran().empty() && engines[1]->ran().empty()) {
                    co_await net::sleepFor(absl::Milliseconds(5));
                }
                auto *hung = engines[0]->ran().empty() ? engines[1] : engines[0];
                auto *other = hung == engines[0] ? engines[1] : engines[0];
                hung->stop();
                other->script.clear();
            },
            net::asio::detached);
        auto ask = chat(5000);
        ask.deadlineMs = 2300; // The silence timeout would end the attempt only after 2.5 s.
        const auto got = co_await fleet.ask(ask);
        BOOST_TEST(got.whole);
        BOOST_TEST(got.body == events(3));
    });
}

BOOST_AUTO_TEST_CASE(a_stream_that_misses_an_event_is_never_called_whole)
{
    RelayFleet fleet;
    for (int i = 0; i < 2; ++i) {
        auto &target = fleet.addTarget("model");
        target.behaviour.events = 10;
        target.behaviour.skipAt = 4;
    }
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        const auto got = co_await fleet.ask(chat());
        BOOST_TEST(!got.whole);
        BOOST_TEST(got.body == events(4));
    });
}

BOOST_AUTO_TEST_CASE(what_did_not_run_is_sent_to_another_target)
{
    RelayFleet fleet;
    auto &first = fleet.addTarget("app");
    auto &second = fleet.addTarget("app");
    first.behaviour.fault = Fault::Shed;
    fleet.configuration["routes"][0]["max_attempts"] = 2;
    fleet.configure();
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        for (int i = 0; i < 6; ++i) {
            const auto got = co_await fleet.ask(plain());
            BOOST_TEST(got.status == 200);
        }
        BOOST_TEST(first.ran().empty());
        BOOST_TEST(second.ran().size() == 6U);
    });
}

BOOST_AUTO_TEST_CASE(an_unsafe_request_that_may_have_run_is_not_sent_again_and_not_called_unrun)
{
    for (const auto fault : {Fault::LoseAnswer, Fault::ResetAnswer, Fault::CutBody, Fault::WrongId, Fault::NoSignature,
                             Fault::Encoded, Fault::BusyUnsaid}) {
        RelayFleet fleet;
        auto &first = fleet.addTarget("app");
        auto &second = fleet.addTarget("app");
        first.behaviour.fault = fault;
        second.behaviour.fault = fault;
        fleet.run([&]() -> net::Task<> {
            co_await fleet.ready();
            const auto got = co_await fleet.ask(plain());
            BOOST_TEST(got.status == 502);
            BOOST_TEST(got.head.headers.find("Server-Signature") == nullptr);
            BOOST_TEST(first.ran().size() + second.ran().size() == 1U);
        });
    }
}

BOOST_AUTO_TEST_CASE(a_safe_request_whose_answer_was_lost_is_sent_again)
{
    for (const auto fault : {Fault::LoseAnswer, Fault::ResetAnswer, Fault::CutBody, Fault::WrongId, Fault::NoSignature,
                             Fault::Encoded, Fault::BusyUnsaid, Fault::Hang}) {
        RelayFleet fleet;
        auto &bad = fleet.addTarget("app");
        auto &good = fleet.addTarget("app");
        bad.behaviour.fault = fault;
        fleet.run([&]() -> net::Task<> {
            co_await fleet.ready();
            for (int i = 0; i < 3; ++i) {
                const auto got = co_await fleet.ask(safe());
                BOOST_TEST(got.status == 200);
                BOOST_TEST(got.body == "the answer");
            }
            BOOST_TEST(good.ran().size() == 3U);
        });
    }
}

BOOST_AUTO_TEST_CASE(the_caller_s_leaving_ends_the_work)
{
    RelayFleet fleet;
    auto &target = fleet.addTarget("app");
    target.behaviour.work = absl::Seconds(5);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        {
            net::ClientConnection connection(fleet.loop);
            const auto problem = co_await connection.connect(fleet.callers(), absl::Seconds(1));
            BOOST_TEST(problem.empty());
            connection.startSend(fleet.write(plain()));
            co_await net::sleepFor(absl::Milliseconds(100));
        }
        co_await net::sleepFor(absl::Milliseconds(200));
        BOOST_TEST(target.ran().size() == 1U);
        BOOST_TEST(target.abandoned() == 1);
    });
}

BOOST_AUTO_TEST_CASE(the_route_s_timeout_is_kept)
{
    RelayFleet fleet;
    auto &target = fleet.addTarget("app");
    target.behaviour.fault = Fault::Hang;
    fleet.configuration["routes"][0]["timeout_ms"] = 300;
    fleet.configure();
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        const auto got = co_await fleet.ask(plain());
        BOOST_TEST(got.status == 504);
    });
}

BOOST_AUTO_TEST_CASE(keys_and_routes_are_checked)
{
    RelayFleet fleet;
    fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        Ask ask;
        ask.key = "nobody's";
        const auto unknownKey = co_await fleet.ask(ask);
        BOOST_TEST(unknownKey.status == 401);
        ask.key = "";
        const auto noKey = co_await fleet.ask(ask);
        BOOST_TEST(noKey.status == 401);
        ask.path = "/open/1";
        const auto open = co_await fleet.ask(ask);
        BOOST_TEST(open.status == 200);
        ask.path = "/nowhere/1";
        const auto nowhere = co_await fleet.ask(ask);
        BOOST_TEST(nowhere.status == 404);
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
