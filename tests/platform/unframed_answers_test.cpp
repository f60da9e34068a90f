//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of answers that end with their connection
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// An answer with neither a length nor chunks ends with its connection. The tests guard against an answer that was
// broken off and passed on as complete.
//
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace spurlug::test
{

namespace
{

const std::string RawHead = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: signed-raw\r\n";
const std::string RawStreamHead = RawHead + "Content-Type: text/event-stream\r\n\r\n";
const std::string DrainingStreamHead = RawHead + "Server-Leaving: 1\r\nContent-Type: text/event-stream\r\n\r\n";
const std::string FirstEvents = "id: 0\ndata: token 0\n\nid: 1\ndata: token 1\n\n";
const std::string LastEvent = "id: 2\ndata: token 2\n\n";

CallerRequest chatRequest()
{
    CallerRequest request;
    request.path = "/chat/1";
    request.promptTokens = 1000;
    return request;
}

/// Serves a request by a target that answers with raw bytes, and then by one that gives the whole answer. A target of
/// the service "model" streams three events.
CallerAnswer answerAfterRaw(const std::string &rawAnswer, bool crashes, const std::string &service = "model",
                            const CallerRequest &request = chatRequest(),
                            core::Duration listensAfterCrash = absl::ZeroDuration())
{
    RelayFleet fleet;
    auto &raw = fleet.addTarget(service);
    raw.behaviour.rawAnswer = rawAnswer;
    raw.behaviour.crashesAfterRawAnswer = crashes;
    raw.behaviour.listensAfterCrash = listensAfterCrash;
    CallerAnswer answer;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        net::asio::co_spawn(
            fleet.loop,
            [&]() -> net::Task<> {
                co_await net::sleepFor(absl::Milliseconds(10)); // The first attempt has a single target.
                fleet.addTarget(service).behaviour.eventCount = service == "model" ? 3 : 0;
            },
            net::asio::detached);
        answer = co_await fleet.send(request);
    });
    return answer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(unframed_answers)

BOOST_AUTO_TEST_CASE(a_plain_answer_that_ends_with_its_connection_is_relayed)
{
    RelayFleet fleet;
    fleet.addTarget("app").behaviour.rawAnswer = RawHead + "\r\nthe answer";
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        const CallerRequest request;
        const auto answer = co_await fleet.send(request);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.body == "the answer");
        BOOST_TEST(answer.isComplete);
    });
}

BOOST_AUTO_TEST_CASE(a_stream_that_ends_with_its_connection_is_relayed)
{
    const auto answer = answerAfterRaw(RawStreamHead + FirstEvents + LastEvent, false);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == FirstEvents + LastEvent);
    BOOST_TEST(answer.isComplete);
}

BOOST_AUTO_TEST_CASE(a_stream_that_ends_inside_an_event_is_resumed)
{
    const auto answer = answerAfterRaw(RawStreamHead + FirstEvents + LastEvent.substr(0, 12), false);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == FirstEvents + LastEvent);
    BOOST_TEST(answer.isComplete);
}

// The end of the connection is then the end of the process, not that of the answer.
BOOST_AUTO_TEST_CASE(a_stream_whose_target_crashes_between_two_events_is_resumed)
{
    const auto answer = answerAfterRaw(RawStreamHead + FirstEvents, true);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == FirstEvents + LastEvent);
    BOOST_TEST(answer.isComplete);
}

// Guards against streams that look complete although the draining target that sent them was killed (review case 2).
BOOST_AUTO_TEST_CASE(a_stream_whose_draining_target_crashes_between_two_events_is_resumed)
{
    const auto answer = answerAfterRaw(DrainingStreamHead + FirstEvents, true);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == FirstEvents + LastEvent);
    BOOST_TEST(answer.isComplete);
}

// Guards against streams that look complete because the killed target still listened when its connections ended.
BOOST_AUTO_TEST_CASE(a_stream_whose_crashed_target_stops_to_listen_last_is_resumed)
{
    const auto answer
        = answerAfterRaw(RawStreamHead + FirstEvents, true, "model", chatRequest(), absl::Milliseconds(10));
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == FirstEvents + LastEvent);
    BOOST_TEST(answer.isComplete);
}

BOOST_AUTO_TEST_CASE(a_stream_of_a_draining_target_that_goes_on_is_relayed)
{
    const auto answer = answerAfterRaw(DrainingStreamHead + FirstEvents + LastEvent, false);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == FirstEvents + LastEvent);
    BOOST_TEST(answer.isComplete);
}

// Guards against a plain answer that looks complete although the target crashed while it sent the answer.
BOOST_AUTO_TEST_CASE(a_plain_answer_whose_target_crashes_is_repeated_or_fails)
{
    CallerRequest repeatable;
    repeatable.path = "/safe/1";
    const auto repeated = answerAfterRaw(RawHead + "\r\nthe ans", true, "app", repeatable);
    BOOST_TEST(repeated.status == 200);
    BOOST_TEST(repeated.body == "the answer");
    const auto failed = answerAfterRaw(RawHead + "\r\nthe ans", true, "app", CallerRequest());
    BOOST_TEST(failed.status == 502); // It may have run, and may not be repeated.
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
