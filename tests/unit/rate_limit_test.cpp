//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the handling of rate limits that targets announce for the whole fleet
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_state.h"

#include "spurlug/control/messages.h"
#include "spurlug/control/scheduler.h"
#include "spurlug/membership/heartbeat.h"
#include "spurlug/relay/request_progress.h"
#include "spurlug/relay/target_notice.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace spurlug;
using namespace spurlug::relay;
using namespace spurlug::test;

namespace
{

/// A daemon with two targets, either engines or plain services.
struct TwoTargets : RelayState
{
    explicit TwoTargets(bool engines)
    {
        auto table = core::makeRef<config::RouteTable>(*chatTable(absl::Milliseconds(300)));
        if (!engines) {
            table->services.at("model").engine.reset();
        }
        context.activateConfiguration(table, "{}", "test", at(0));
        targetListUpdater.applyFullList({{entry("a")}, {entry("b")}}, {0, 1}, "test", at(0));
    }

    core::Ref<Target> find(const std::string &id)
    {
        return context.targets.find(id);
    }

    void receiveAnswer(const std::string &id, std::optional<double> limit, core::Time sentAt, core::Time now)
    {
        AnswerInfo answer;
        answer.status = 200;
        answer.rateLimit = limit;
        applyTargetNotice(context, *find(id), answer, "r", now);
        noteLimitLifted(*find(id), answer, sentAt, now);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(rate_limit)

// An answer to a request that was sent before the limit was announced must not lift it.
BOOST_AUTO_TEST_CASE(a_limit_is_lifted_by_an_answer_to_a_later_request_only)
{
    TwoTargets state(true);
    state.receiveAnswer("a", 1.5, at(0), at(100));
    state.receiveAnswer("a", std::nullopt, at(50), at(200));
    BOOST_REQUIRE(state.find("a")->rateLimit.perSecond().has_value());
    state.receiveAnswer("a", std::nullopt, at(150), at(300));
    BOOST_TEST(!state.find("a")->rateLimit.perSecond().has_value());
}

// An older report of a peer must neither restore nor lift a limit.
BOOST_AUTO_TEST_CASE(the_latest_report_of_a_limit_counts_whoever_forwards_it)
{
    TwoTargets state(true);
    const auto hash = state.find("a")->hash;
    state.receiveAnswer("a", 1.5, at(900), at(1000));
    applyRateReports(state.context, {{hash, std::nullopt, absl::Milliseconds(500)}}, "vm", at(1200));
    BOOST_TEST(state.find("a")->rateLimit.perSecond().has_value());
    applyRateReports(state.context, {{hash, std::nullopt, absl::Milliseconds(500)}}, "vm", at(1600));
    BOOST_TEST(!state.find("a")->rateLimit.perSecond().has_value());
    applyRateReports(state.context, {{hash, 1.5, absl::Milliseconds(900)}}, "vm", at(1700));
    BOOST_TEST(!state.find("a")->rateLimit.perSecond().has_value());
}

BOOST_AUTO_TEST_CASE(limits_and_for_a_while_their_end_are_reported_to_peers)
{
    TwoTargets state(true);
    BOOST_TEST(rateReports(state.context, 8, at(0)).empty());
    state.receiveAnswer("a", 1.5, at(0), at(100));
    const auto limited = rateReports(state.context, 8, at(60'000));
    BOOST_REQUIRE(limited.size() == 1U);
    BOOST_TEST((limited.front().perSecond == 1.5));
    state.receiveAnswer("a", std::nullopt, at(60'000), at(60'100));
    BOOST_TEST(rateReports(state.context, 8, at(61'000)).size() == 1U);
    BOOST_TEST(rateReports(state.context, 8, at(75'000)).empty());
    state.receiveAnswer("a", 1.5, at(75'000), at(75'100));
    state.receiveAnswer("b", 2.5, at(75'000), at(75'200));
    const auto latest = rateReports(state.context, 1, at(75'300));
    BOOST_REQUIRE(latest.size() == 1U);
    BOOST_TEST(latest.front().target == state.find("b")->hash);
}

// A scheduler sees no answers of targets, so it has to learn of a limit with the next placement request of a daemon
// that knows the limit.
BOOST_AUTO_TEST_CASE(a_placement_request_informs_the_scheduler_of_limits)
{
    TwoTargets state(true);
    control::Scheduler scheduler(state.context);
    scheduler.setQueuedCallback([] {});
    control::PlacementRequest request;
    request.vm = "vm";
    request.service = "model";
    request.prompt = {4'000, 500};
    request.ttftObjective = absl::Milliseconds(300);
    request.rates
        = {{state.find("a")->hash, 1.0, absl::ZeroDuration()}, {state.find("b")->hash, 1.0, absl::ZeroDuration()}};
    int granted = 0;
    for (std::uint64_t i = 1; i <= 40; ++i) {
        request.requestNumber = i;
        const auto answer = scheduler.handleRequest(request, at(static_cast<std::int64_t>(i) * 100));
        granted += answer.kind == control::ReplyKind::Granted ? 1 : 0;
    }
    BOOST_TEST(granted > 0);
    BOOST_TEST(granted <= 2 * 4);
}

// A request that no target accepts before it would be late must be refused at once, with the time after which to retry.
BOOST_AUTO_TEST_CASE(a_request_that_cannot_wait_for_the_next_permit_is_refused_at_once)
{
    TwoTargets state(false);
    RequestProgress request(state.context, shortPrompt(), at(0));
    BOOST_REQUIRE(!request.authorise(at(0)));
    for (const auto *id : {"a", "b"}) {
        state.receiveAnswer(id, 0.5, at(0), at(0));
        state.find(id)->recentSends.add(at(0));
    }
    const auto query = request.query(at(10));
    const auto availableAt = request.availableAt(query, at(10));
    BOOST_REQUIRE(availableAt.has_value());
    BOOST_TEST((*availableAt > at(10)));
    BOOST_TEST((request.unavailabilityReason(query, at(10)) == core::Reason::TargetsLimited));
    BOOST_TEST((request.retryAfter(core::Reason::TargetsLimited, at(10)) >= *availableAt - at(10)));
    state.receiveAnswer("b", std::nullopt, at(20), at(30));
    BOOST_TEST(!request.availableAt(query, at(40)).has_value());
}

BOOST_AUTO_TEST_CASE(messages_carry_the_rates_of_targets)
{
    const std::vector<targets::RateReport> reports{{7, 1.25, absl::Milliseconds(30)},
                                                   {8, std::nullopt, absl::Seconds(2)}};
    const auto checkEqual = [&reports](const std::vector<targets::RateReport> &decodedReports) {
        BOOST_REQUIRE(decodedReports.size() == reports.size());
        for (std::size_t i = 0; i < reports.size(); ++i) {
            BOOST_TEST(decodedReports[i].target == reports[i].target);
            BOOST_TEST((decodedReports[i].perSecond == reports[i].perSecond));
            BOOST_TEST((decodedReports[i].age == reports[i].age));
        }
    };
    control::WorkReport report;
    report.rates = reports;
    checkEqual(std::get<control::WorkReport>(*control::readMessage(control::writeMessage(report))).rates);
    control::PlacementRequest request;
    request.rates = reports;
    checkEqual(std::get<control::PlacementRequest>(*control::readMessage(control::writeMessage(request))).rates);
    membership::Heartbeat heartbeat;
    heartbeat.rateReports = reports;
    const auto decoded = membership::readHeartbeat(membership::writeHeartbeat(heartbeat, ""), "");
    BOOST_REQUIRE(decoded.has_value());
    checkEqual(decoded->rateReports);
}

BOOST_AUTO_TEST_SUITE_END()
