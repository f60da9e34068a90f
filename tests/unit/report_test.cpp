//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the reports on log files
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/report/log_report.h"
#include "spurlug/report/retry_report.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

namespace spurlug::test
{

namespace
{

constexpr auto Lines = R"(
 1.0 vm-a {"time":"2026-01-01T10:00:00.100+00:00","event":"request_sent","request":"r1","expectedMs":100,"waitedMs":100,"readMs":40}
 1.2 vm-a {"time":"2026-01-01T10:00:00.900+00:00","event":"request_ended","request":"r1","route":"chat","outcome":"completed","reason":"none","status":200,"firstMs":200,"totalMs":900,"longestGapMs":300,"aimMs":300,"gapAimMs":250}
no line of a daemon {"time": cut
{"time":"2026-01-01T10:00:01.000+00:00","event":"request_sent","request":"r2","expectedMs":50,"readMs":60}
{"time":"2026-01-01T10:00:03.000+00:00","event":"attempt_failed","request":"r2","reason":"target_silent"}
{"time":"2026-01-01T10:00:03.100+00:00","event":"request_ended","request":"r2","route":"chat","outcome":"may_have_run","reason":"caller_gone","status":0,"firstMs":-1,"totalMs":2100,"longestGapMs":0,"aimMs":300,"gapAimMs":250}
{"time":"2026-01-01T10:00:12.000+00:00","event":"request_ended","request":"r3","route":"chat","outcome":"completed","reason":"none","status":200,"firstMs":100,"totalMs":500,"longestGapMs":40,"aimMs":300,"gapAimMs":250}
{"time":"2026-01-01T10:00:12.500+00:00","event":"request_sent","request":"r4","expectedMs":50,"readMs":60}
)";

} // namespace

BOOST_AUTO_TEST_SUITE(report_tests)

BOOST_AUTO_TEST_CASE(requests_are_counted_by_the_interval_of_their_arrival_and_by_how_they_ended)
{
    report::LogReport report{core::Duration(absl::Seconds(10))};
    std::istringstream lines(Lines);
    report.addAll(lines);
    const auto statistics = report.statistics();
    BOOST_REQUIRE(statistics.size() == 1U); // A request that has not ended is not counted.
    const auto &chat = statistics.at("chat");
    BOOST_REQUIRE(chat.size() == 2U);
    const auto &first = chat.begin()->second;
    BOOST_TEST(first.requests == 2);
    BOOST_TEST(first.inTime == 0);
    BOOST_TEST(first.longGap == 1);
    BOOST_TEST(first.failed == 1);
    BOOST_TEST(first.failureReasons.at("caller_gone") == 1);
    BOOST_TEST(first.attemptFailures.at("target_silent") == 1);
    BOOST_TEST(first.prefillMs == 100);
    BOOST_TEST(first.wastedPrefillMs == 60);
    BOOST_REQUIRE(first.firstEventRatios.size() == 1U);
    // The request was sent 100 ms after its arrival.
    BOOST_TEST(first.firstEventRatios.front() == 1.0, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(chat.rbegin()->second.inTime == 1);
    BOOST_TEST(report.text().find("not whole: caller_gone 1") != std::string::npos);
    BOOST_TEST(report.text().find("less predicted") == std::string::npos); // Nothing is refused by prediction here.
}

BOOST_AUTO_TEST_CASE(refusals_and_errors_of_predictions_are_reported_by_route_and_explained_by_request)
{
    // Guards against refusals that operators cannot explain, and against errors computed without the wait.
    constexpr auto RefusalLines = R"(
{"time":"2026-01-01T10:00:01+00:00","event":"placement_refused","by":"vm-1","digest":"00000000000000ab","service":"model","kind":"long","organisation":"o","waitedMs":5,"expectedMs":9000,"leavesMs":2000,"aheadInTime":8,"aheadLate":4,"drainPerSecond":500,"inTimePerSecond":1,"viewAgeMs":0,"retryMs":3000}
{"time":"2026-01-01T10:00:01+00:00","event":"placement_refused","by":"vm-1","digest":"00000000000000ac","service":"model","kind":"short","organisation":"o","waitedMs":5,"expectedMs":800,"leavesMs":2000,"aheadInTime":1,"aheadLate":0,"drainPerSecond":5,"inTimePerSecond":1,"viewAgeMs":0,"retryMs":3000}
{"time":"2026-01-01T10:00:02+00:00","event":"request_ended","request":"a","digest":"00000000000000ab00000000000000ac","route":"chat","outcome":"not_run","reason":"predicted_late","status":503,"totalMs":10}
{"time":"2026-01-01T10:00:03+00:00","event":"request_sent","request":"b","expectedMs":100,"waitedMs":400}
{"time":"2026-01-01T10:00:04+00:00","event":"request_ended","request":"b","route":"chat","outcome":"completed","status":200,"firstMs":650,"totalMs":900,"aimMs":300}
)";
    report::LogReport report{core::Duration(absl::Seconds(10))};
    std::istringstream lines(RefusalLines);
    report.addAll(lines);
    const auto statistics = report.statistics();
    const auto &row = statistics.at("chat").begin()->second;
    BOOST_TEST(row.predictedLate.at("long") == 1);
    BOOST_TEST(!row.predictedLate.contains("short")); // Of another request.
    BOOST_REQUIRE(row.predictionErrorsMs.size() == 1U);
    BOOST_TEST(row.predictionErrorsMs.front() == 150, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(report.text().find("refused by prediction: long 1; predicted ms p50 9000 p90 9000, waiting ahead p50 12")
               != std::string::npos);
    BOOST_TEST(report.text().find("first event less predicted, ms: p10 150") != std::string::npos);
    std::istringstream again(RefusalLines);
    const auto found = report::linesOfRequest("a", again);
    BOOST_REQUIRE(found.size() == 2U);
    BOOST_TEST(found.front().find("\"aheadInTime\":8") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(retries_of_all_daemons_are_summed_in_every_window_against_the_budget)
{
    // Two requests of two daemons, each sent twice. The window with both retries begins 10 s before the later one.
    std::istringstream lines(
        R"({"time":"2026-01-01T10:00:00+00:00","event":"started","retryRatio":0.2,"retrySlack":5,"retryWindowMs":10000}
{"time":"2026-01-01T10:00:01+00:00","event":"request_sent","request":"a","service":"model","repeatCause":"","waitedMs":500}
{"time":"2026-01-01T10:00:02+00:00","event":"repeat_decided","request":"a","service":"model","cause":"target_silent","charge":"ratio"}
{"time":"2026-01-01T10:00:03+00:00","event":"request_sent","request":"a","service":"model","repeatCause":"target_silent","waitedMs":2500}
{"time":"2026-01-01T10:00:10+00:00","event":"request_sent","request":"b","service":"model","repeatCause":"","waitedMs":0}
{"time":"2026-01-01T10:00:11+00:00","event":"repeat_decided","request":"b","service":"model","cause":"target_refused","charge":"slack"}
{"time":"2026-01-01T10:00:12+00:00","event":"request_sent","request":"b","service":"model","repeatCause":"target_refused","waitedMs":2000}
{"time":"2026-01-01T10:00:12.5+00:00","event":"repeat_decided","request":"b","service":"model","cause":"target_refused","charge":"refused","linesLeftOut":3}
{"time":"2026-01-01T10:00:30+00:00","event":"request_ended","request":"c","service":"plain","totalMs":10}
)");
    report::RetryReport report;
    report.addAll(lines);
    const auto nearest = report.closestToBudget();
    BOOST_REQUIRE(nearest.size() == 1U); // The service "plain" has no retries.
    const auto &model = nearest.at("model");
    BOOST_TEST(model.retries == 2);
    BOOST_TEST(model.requests == 1); // The windows (2, 12], (-3, 7] and (-8, 2] hold one each.
    BOOST_TEST(model.allowedRetries == 5.2, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(model.causes.at("target_silent") == 1);
    BOOST_TEST(model.charges.at("slack") == 1);
    BOOST_TEST(report.refused() == 1);
    BOOST_TEST(report.missingLines() == 3);
    BOOST_TEST(report.text().find("model from 10:00:02.0: 2 repeats of 1 requests, allowed 5;") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(retries_are_summed_by_the_collector_s_clock_if_it_stamps_the_lines)
{
    // By the daemons' own clocks, the two retries are a minute apart.
    std::istringstream lines(
        R"( 0.5 vm-a {"time":"2026-01-01T10:00:00+00:00","event":"started","retryRatio":0.2,"retrySlack":5,"retryWindowMs":10000}
 1.0 vm-a {"time":"2026-01-01T10:00:01+00:00","event":"request_sent","request":"a","service":"model","repeatCause":"target_silent","waitedMs":0}
 2.0 vm-b {"time":"2026-01-01T10:01:02+00:00","event":"request_sent","request":"b","service":"model","repeatCause":"target_silent","waitedMs":0}
)");
    report::RetryReport report;
    report.addAll(lines);
    BOOST_TEST(report.closestToBudget().at("model").retries == 2);
}

BOOST_AUTO_TEST_CASE(the_lines_of_a_request_come_in_the_order_of_their_times)
{
    std::istringstream lines("{\"time\":\"2026-01-01T10:00:02+00:00\",\"request\":\"a\",\"event\":\"later\"}\n"
                             "{\"time\":\"2026-01-01T10:00:01+00:00\",\"request\":\"a\",\"event\":\"earlier\"}\n"
                             "{\"time\":\"2026-01-01T10:00:00+00:00\",\"request\":\"b\",\"event\":\"other\"}\n");
    const auto found = report::linesOfRequest("a", lines);
    BOOST_REQUIRE(found.size() == 2U);
    BOOST_TEST(found[0].find("earlier") != std::string::npos);
    BOOST_TEST(found[1].find("later") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
