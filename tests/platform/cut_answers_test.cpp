//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of answers whose connection ends inside the head or the body
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace spurlug::test
{

namespace
{

const std::string Head = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: signed-raw\r\n";
const std::string Body = "the answer";
const std::string PlainAnswer = Head + "Content-Length: 10\r\n\r\n" + Body;
const std::string ChunkedAnswer = Head + "Transfer-Encoding: chunked\r\n\r\n4\r\nthe \r\n6\r\nanswer\r\n0\r\n\r\n";
const std::string EventStream = "id: 0\ndata: token 0\n\nid: 1\ndata: token 1\n\n";
const std::string StreamAnswer = Head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2a\r\n"
    + EventStream + "\r\n0\r\n\r\n";

/// Sends a request for each place at which the answer can be cut, and checks that no cut answer looks complete.
void checkCutAnswers(const std::string &service, const std::string &path, const std::string &answerBytes,
                     const std::string &wholeBody)
{
    RelayFleet fleet;
    auto &target = fleet.addTarget(service);
    CallerRequest request;
    request.path = path;
    request.deadlineMs = 150;
    request.promptTokens = service == "model" ? 1000 : 0;
    fleet.run(
        [&]() -> net::Task<> {
            co_await fleet.waitUntilReady();
            for (std::size_t length = 1; length < answerBytes.size(); ++length) {
                target.behaviour.rawAnswer = answerBytes.substr(0, length);
                const auto answer = co_await fleet.send(request);
                const bool looksWhole = answer.status == 200 && answer.isComplete;
                BOOST_TEST((!looksWhole || answer.body == wholeBody),
                           "cut after " << length << " bytes: a whole answer with the body '" << answer.body << "'");
            }
        },
        absl::Seconds(60));
}

} // namespace

BOOST_AUTO_TEST_SUITE(cut_answers)

// Guard against an answer that was cut anywhere and reaches its caller as a whole one.
BOOST_AUTO_TEST_CASE(a_cut_answer_to_an_unsafe_request_never_looks_whole)
{
    checkCutAnswers("app", "/plain/1", PlainAnswer, Body);
    checkCutAnswers("app", "/plain/1", ChunkedAnswer, Body);
}

BOOST_AUTO_TEST_CASE(a_cut_answer_to_a_safe_request_never_looks_whole)
{
    checkCutAnswers("app", "/safe/1", PlainAnswer, Body);
}

BOOST_AUTO_TEST_CASE(a_cut_stream_never_looks_whole)
{
    checkCutAnswers("model", "/chat/1", StreamAnswer, EventStream);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
