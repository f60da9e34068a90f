//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of answers whose head is no HTTP head
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// The tests guard against bytes of a faulty target that are passed on as an answer.
//
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"

#include "spurlug/core/text.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace spurlug::test
{

namespace
{

const std::string Fields = "Attempt-Id: {id}\r\nServer-Signature: signed-raw\r\n";
const std::string WholeAnswer = "HTTP/1.1 200 OK\r\n" + Fields + "Content-Length: 10\r\n\r\nthe answer";

/// What a caller gets for each of several raw answers of the only target of a service.
std::vector<CallerAnswer> answersTo(const std::vector<std::string> &rawAnswers)
{
    RelayFleet fleet;
    auto &target = fleet.addTarget("app");
    target.behaviour.rawEndDelay = absl::Milliseconds(1);
    std::vector<CallerAnswer> answers;
    fleet.run(
        [&]() -> net::Task<> {
            co_await fleet.waitUntilReady();
            for (const auto &rawAnswer : rawAnswers) {
                target.behaviour.rawAnswer = rawAnswer;
                const CallerRequest request;
                auto answer = co_await fleet.send(request);
                answers.push_back(std::move(answer));
            }
        },
        absl::Seconds(60));
    return answers;
}

std::string statusLine(std::string_view status)
{
    return core::cat("HTTP/1.1 ", status, " Status\r\n");
}

/// Whether a byte may stand in the name of a header field (RFC 9110, 5.6.2).
bool isTokenByte(unsigned char byte)
{
    constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    const bool isLetter = (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z');
    return isLetter || (byte >= '0' && byte <= '9') || Marks.find(static_cast<char>(byte)) != std::string_view::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(answer_heads)

// Guards against a status that is no HTTP status, alone or before bytes that look like an answer.
BOOST_AUTO_TEST_CASE(an_answer_with_an_invalid_status_is_not_passed_on)
{
    for (const std::string status : {"000", "001", "099", "101", "0", "2", "20", "2000", "-20", "2x0", " 200"}) {
        const auto answers
            = answersTo({statusLine(status) + Fields + "Content-Length: 10\r\n\r\nthe answer",
                         statusLine(status) + Fields + "\r\n" + WholeAnswer, statusLine(status) + "\r\n" + WholeAnswer,
                         statusLine("100") + "\r\n" + statusLine(status) + Fields + "\r\n" + WholeAnswer});
        for (const auto &answer : answers) {
            BOOST_TEST(answer.status == 502, "status " << status << ": " << answer.status << " " << answer.body);
        }
    }
}

BOOST_AUTO_TEST_CASE(interim_responses_before_an_answer_are_skipped)
{
    const auto hints = statusLine("103") + "Link: </style.css>\r\n\r\n";
    const auto answers = answersTo({statusLine("100") + "\r\n" + WholeAnswer, statusLine("102") + "\r\n" + WholeAnswer,
                                    hints + WholeAnswer, statusLine("100") + "\r\n" + hints + WholeAnswer});
    for (const auto &answer : answers) {
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.body == "the answer");
        BOOST_TEST(answer.isComplete);
    }
}

// Guards against lines that are passed on, or dropped together with the length of the body that they give.
BOOST_AUTO_TEST_CASE(an_answer_with_an_invalid_field_name_is_not_passed_on)
{
    std::vector<std::string> names{"Content-Length ", " Content-Length", "Content-Length\t", "Content-\rLength", ""};
    for (unsigned byte = 0; byte <= std::numeric_limits<unsigned char>::max(); ++byte) {
        if (byte != ':' && !isTokenByte(static_cast<unsigned char>(byte))) {
            names.push_back(core::cat("X-", std::string(1, static_cast<char>(byte)), "Field"));
        }
    }
    std::vector<std::string> rawAnswers;
    for (const auto &name : names) {
        rawAnswers.push_back(core::cat("HTTP/1.1 200 OK\r\n", Fields, name, ": 4\r\n\r\nthe answer"));
    }
    rawAnswers.push_back(core::cat("HTTP/1.1 200 OK\r\n", Fields, "No colon\r\n\r\nthe answer"));
    rawAnswers.push_back(core::cat("HTTP/1.1 200 OK\r\n X-Field: 1\r\n", Fields, "\r\nthe answer"));
    const auto answers = answersTo(rawAnswers);
    for (std::size_t i = 0; i < answers.size(); ++i) {
        BOOST_TEST(answers[i].status == 502, rawAnswers[i] << ": " << answers[i].status << " " << answers[i].body);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
