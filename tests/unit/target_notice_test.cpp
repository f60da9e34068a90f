//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the handling of a target's notice that it drains or requests a cooldown
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_state.h"

#include "spurlug/control/messages.h"
#include "spurlug/control/scheduler.h"
#include "spurlug/control/scheduler_client.h"
#include "spurlug/membership/heartbeat.h"
#include "spurlug/relay/answer_result.h"
#include "spurlug/relay/request_progress.h"
#include "spurlug/relay/target_notice.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace spurlug;
using namespace spurlug::relay;
using namespace spurlug::test;

namespace
{

/// A daemon with two engines and one public route with a latency objective of 300 ms.
struct TwoEngines : RelayState
{
    explicit TwoEngines(std::int64_t priority = 1)
        : routes(routeTable(priority))
    {
        context.activateConfiguration(routes, "{}", "test", at(0));
        targetListUpdater.applyFullList({{entry("a")}, {entry("b")}}, {0, 1}, "test", at(0));
    }

    static config::RouteTableRef routeTable(std::int64_t priority)
    {
        auto table = core::makeRef<config::RouteTable>(*chatTable(absl::Milliseconds(300), absl::Milliseconds(250)));
        table->routes.front().priority = static_cast<int>(priority);
        return table;
    }

    core::Ref<Target> find(const std::string &id)
    {
        return context.targets.find(id);
    }

    void requestCooldown(const std::string &id, core::Duration span, core::Time now)
    {
        AnswerInfo answer;
        answer.status = 503;
        answer.notRun = true;
        answer.retryAfter = span;
        applyTargetNotice(context, *find(id), answer, "r", now);
    }

    config::RouteTableRef routes;
};

} // namespace

BOOST_AUTO_TEST_SUITE(target_notice)

BOOST_AUTO_TEST_CASE(a_request_that_cannot_wait_for_the_first_available_target_is_refused_at_once)
{
    TwoEngines state;
    state.requestCooldown("a", absl::Seconds(3), at(0));
    RequestProgress request(state.context, shortPrompt(), at(10));
    BOOST_REQUIRE(!request.authorise(at(10)));
    BOOST_TEST(!request.availableAt(request.query(at(10)), at(10)).has_value()); // The other target is free.
    state.requestCooldown("b", absl::Seconds(8), at(10));
    const auto availableAt = request.availableAt(request.query(at(10)), at(10));
    BOOST_REQUIRE(availableAt.has_value());
    BOOST_TEST((*availableAt == at(3000)));
    BOOST_TEST(request.availableTooLate(*availableAt, at(10)));
    const auto retryAfter = request.retryAfter(core::Reason::TargetsCoolingDown, at(10));
    BOOST_TEST((retryAfter >= absl::Milliseconds(2990)));
    BOOST_TEST((retryAfter <= absl::Milliseconds(3990)));
}

BOOST_AUTO_TEST_CASE(a_request_that_can_wait_continues_when_the_first_target_is_available_urgent_ones_first)
{
    std::vector<core::Time> wakeTimes;
    for (const std::int64_t priority : {0, 1, 2}) {
        TwoEngines state(priority);
        state.requestCooldown("a", absl::Milliseconds(200), at(0));
        state.requestCooldown("b", absl::Seconds(8), at(0));
        RequestProgress request(state.context, shortPrompt(), at(0));
        BOOST_REQUIRE(!request.authorise(at(0)));
        const auto availableAt = request.availableAt(request.query(at(10)), at(10));
        BOOST_REQUIRE(availableAt.has_value());
        BOOST_TEST(!request.availableTooLate(*availableAt, at(10)));
        wakeTimes.push_back(request.continueAt(*availableAt));
        BOOST_TEST((wakeTimes.back() >= at(200)));
        BOOST_TEST((wakeTimes.back() <= at(300)));
        const auto chosen = request.choose(wakeTimes.back());
        BOOST_REQUIRE(chosen.has_value());
        BOOST_TEST(chosen->target->entry.id == "a");
    }
    BOOST_TEST(std::is_sorted(wakeTimes.begin(), wakeTimes.end()));
}

BOOST_AUTO_TEST_CASE(a_request_limited_to_targets_in_cooldown_may_be_retried_at_once_if_others_are_free)
{
    TwoEngines state;
    state.targetListUpdater.applyChanges({{entry("c")}}, {0, 2}, "test", at(0));
    RequestProgress request(state.context, shortPrompt(), at(0));
    BOOST_REQUIRE(!request.authorise(at(0)));
    for (const auto *id : {"a", "b"}) {
        request.beginAttempt({state.find(id), {}, {}, {}, {}}, "", at(1));
        request.endAttempt(core::Outcome::NotRun, core::Reason::TargetRefused, TargetFault::Busy, "", at(2));
        state.requestCooldown(id, absl::Seconds(3), at(2));
    }
    const auto availableAt = request.availableAt(request.query(at(3)), at(3));
    BOOST_REQUIRE(availableAt.has_value()); // The request has reached its maximum number of targets.
    BOOST_TEST(request.availableTooLate(*availableAt, at(3)));
    BOOST_TEST((request.retryAfter(core::Reason::TargetsCoolingDown, at(3)) == absl::Milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(a_requested_cooldown_is_not_a_fault)
{
    AnswerInfo answer;
    answer.requestId = "r";
    answer.status = 503;
    answer.notRun = true;
    BOOST_TEST((evaluateAnswer(answer, "r").fault == TargetFault::Busy));
    answer.retryAfter = absl::Seconds(3);
    const auto result = evaluateAnswer(answer, "r");
    BOOST_TEST((result.outcome == core::Outcome::NotRun));
    BOOST_TEST(!result.fault.has_value());
    answer.retryAfter = absl::ZeroDuration(); // The target accepts requests at once, so it counts as full.
    BOOST_TEST((evaluateAnswer(answer, "r").fault == TargetFault::Busy));
}

BOOST_AUTO_TEST_CASE(a_target_in_cooldown_or_draining_is_not_used_as_helper)
{
    TwoEngines state;
    state.targetListUpdater.applyChanges({{entry("c")}, {entry("d")}}, {0, 2}, "test", at(0));
    state.requestCooldown("a", absl::Seconds(3), at(0));
    AnswerInfo draining;
    draining.status = 200;
    draining.draining = true;
    applyTargetNotice(state.context, *state.find("b"), draining, "r", at(0));
    RequestProgress request(state.context, longPrompt(), at(0));
    BOOST_REQUIRE(!request.authorise(at(0)));
    for (int i = 0; i < 20; ++i) {
        const auto chosen = request.choose(at(400));
        BOOST_REQUIRE(chosen.has_value());
        auto engines = chosen->helpers;
        engines.push_back(chosen->target);
        for (const auto &target : engines) {
            BOOST_TEST((target->entry.id == "c" || target->entry.id == "d"));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_grant_that_crosses_a_target_s_notice_is_released_and_requested_again)
{
    TwoEngines state;
    control::Scheduler scheduler(state.context);
    control::Member other{"other", "hall-a", 1, membership::DaemonState::Serving, {"127.0.0.1", 1}, {"127.0.0.1", 2}};
    state.context.roster.replace({other});
    std::vector<control::PlacementRequest> placementRequests;
    std::vector<control::PlacementCancel> cancels;
    control::SchedulerClient client(state.context, scheduler, [&](const auto &, const control::Message &message) {
        if (const auto *placementRequest = std::get_if<control::PlacementRequest>(&message)) {
            placementRequests.push_back(*placementRequest);
        } else if (const auto *cancel = std::get_if<control::PlacementCancel>(&message)) {
            cancels.push_back(*cancel);
        }
    });
    control::PlacementSession session(state.context, &client, core::makeRef<RequestInbox>(state.loop));
    RequestProgress request(state.context, shortPrompt(), at(0));
    BOOST_REQUIRE(!request.authorise(at(0)));
    BOOST_REQUIRE(session.sendIfDue(request.query(at(0)), 0, at(0)));
    state.requestCooldown("a", absl::Seconds(3), at(1));
    control::PlacementReply answer;
    answer.vm = "other";
    answer.requestNumber = placementRequests.back().requestNumber;
    answer.kind = control::ReplyKind::Granted;
    answer.target = state.find("a")->hash;
    BOOST_TEST(!session.handleReply(answer, at(2)).has_value());
    BOOST_TEST(cancels.size() == 1U);
    BOOST_REQUIRE(session.sendIfDue(request.query(at(2)), 0, at(2)));
    BOOST_TEST(placementRequests.size() == 2U);
    BOOST_TEST(placementRequests.back().requestNumber != answer.requestNumber);
    BOOST_TEST((placementRequests.back().avoidedTargets == std::vector<std::uint32_t>{state.find("a")->hash}));
}

BOOST_AUTO_TEST_CASE(draining_targets_are_reported_to_peers_only_until_their_entries_say_so)
{
    TwoEngines state;
    state.context.targets.noteDraining(*state.find("a"));
    const std::vector<std::uint32_t> expected{state.find("a")->hash};
    BOOST_TEST((drainingReports(state.context, 8) == expected));
    BOOST_TEST(drainingReports(state.context, 0).empty());
    state.targetListUpdater.applyChanges({{entry("a", true)}}, {0, 2}, "test", at(1));
    BOOST_TEST(drainingReports(state.context, 8).empty());
    BOOST_TEST(state.find("a")->isDraining());
    TwoEngines peer;
    applyDrainingReports(peer.context, {expected.front(), 12345}, "vm");
    BOOST_TEST(peer.find("a")->isDraining());
    BOOST_TEST(!peer.find("b")->isDraining());
}

BOOST_AUTO_TEST_CASE(messages_carry_the_notices_of_targets)
{
    control::WorkReport report;
    report.draining = {7, 0xfeedface};
    const auto decoded = std::get<control::WorkReport>(*control::readMessage(control::writeMessage(report)));
    BOOST_TEST((decoded.draining == report.draining));
    control::PlacementRequest request;
    request.avoidedTargets = {9, 10};
    const auto decodedRequest
        = std::get<control::PlacementRequest>(*control::readMessage(control::writeMessage(request)));
    BOOST_TEST((decodedRequest.avoidedTargets == request.avoidedTargets));
    membership::Heartbeat heartbeat;
    heartbeat.drainingTargets = {11};
    const auto decodedHeartbeat = membership::readHeartbeat(membership::writeHeartbeat(heartbeat, ""), "");
    BOOST_REQUIRE(decodedHeartbeat.has_value());
    BOOST_TEST((decodedHeartbeat->drainingTargets == heartbeat.drainingTargets));
}

BOOST_AUTO_TEST_SUITE_END()
