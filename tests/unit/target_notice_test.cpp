//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the handling of a target's notice that it drains or requests a cooldown
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_state.h"

#include "spurlug/control/messages.h"
#include "spurlug/control/scheduler.h"
#include "spurlug/control/scheduler_client.h"
#include "spurlug/membership/heartbeat.h"
#include "spurlug/relay/request_progress.h"
#include "spurlug/relay/target_notice.h"
#include "spurlug/relay/verdict.h"

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
        : chats(tableOf(priority))
    {
        context.adopt(chats, "{}", "test", at(0));
        intake.whole({{entry("a")}, {entry("b")}}, {0, 1}, "test", at(0));
    }

    static config::RouteTableRef tableOf(std::int64_t priority)
    {
        auto table
            = core::makeCounted<config::RouteTable>(*chatTable(absl::Milliseconds(300), absl::Milliseconds(250)));
        table->routes.front().priority = static_cast<int>(priority);
        return table;
    }

    core::Ref<Target> find(const std::string &id)
    {
        return context.targets.find(id);
    }

    void rest(const std::string &id, core::Duration span, core::Time now)
    {
        AnswerFacts answer;
        answer.status = 503;
        answer.notRun = true;
        answer.retryAfter = span;
        takeTargetNotice(context, *find(id), answer, "r", now);
    }

    config::RouteTableRef chats;
};

} // namespace

BOOST_AUTO_TEST_SUITE(target_notice)

BOOST_AUTO_TEST_CASE(a_request_that_cannot_wait_for_the_first_target_back_is_refused_at_once)
{
    TwoEngines state;
    state.rest("a", absl::Seconds(3), at(0));
    RequestProgress request(state.context, shortPrompt(), at(10));
    BOOST_REQUIRE(!request.authorise(at(10)));
    BOOST_TEST(!request.backAt(request.query(at(10)), at(10)).has_value()); // The other target is free.
    state.rest("b", absl::Seconds(8), at(10));
    const auto back = request.backAt(request.query(at(10)), at(10));
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST((*back == at(3000)));
    BOOST_TEST(request.backTooLate(*back, at(10)));
    const auto told = request.retryAfter(core::Reason::TargetsCoolingDown, at(10));
    BOOST_TEST((told >= absl::Milliseconds(2990)));
    BOOST_TEST((told <= absl::Milliseconds(3990)));
}

BOOST_AUTO_TEST_CASE(a_request_that_can_wait_goes_on_when_the_first_target_is_back_urgent_ones_first)
{
    std::vector<core::Time> woken;
    for (const std::int64_t priority : {0, 1, 2}) {
        TwoEngines state(priority);
        state.rest("a", absl::Milliseconds(200), at(0));
        state.rest("b", absl::Seconds(8), at(0));
        RequestProgress request(state.context, shortPrompt(), at(0));
        BOOST_REQUIRE(!request.authorise(at(0)));
        const auto back = request.backAt(request.query(at(10)), at(10));
        BOOST_REQUIRE(back.has_value());
        BOOST_TEST(!request.backTooLate(*back, at(10)));
        woken.push_back(request.wakeAt(*back));
        BOOST_TEST((woken.back() >= at(200)));
        BOOST_TEST((woken.back() <= at(300)));
        const auto chosen = request.choose(woken.back());
        BOOST_REQUIRE(chosen.has_value());
        BOOST_TEST(chosen->target->entry.id == "a");
    }
    BOOST_TEST(std::is_sorted(woken.begin(), woken.end()));
}

BOOST_AUTO_TEST_CASE(a_request_that_may_go_to_resting_targets_only_is_told_to_come_back_at_once_where_others_are_free)
{
    TwoEngines state;
    state.intake.changes({{entry("c")}}, {0, 2}, "test", at(0));
    RequestProgress request(state.context, shortPrompt(), at(0));
    BOOST_REQUIRE(!request.authorise(at(0)));
    for (const auto *id : {"a", "b"}) {
        request.begin({state.find(id), {}, {}, {}, {}}, "", at(1));
        request.endAttempt(core::Outcome::NotRun, core::Reason::TargetRefused, TargetFault::Busy, "", at(2));
        state.rest(id, absl::Seconds(3), at(2));
    }
    const auto back = request.backAt(request.query(at(3)), at(3));
    BOOST_REQUIRE(back.has_value()); // The request has reached its maximum number of targets.
    BOOST_TEST(request.backTooLate(*back, at(3)));
    BOOST_TEST((request.retryAfter(core::Reason::TargetsCoolingDown, at(3)) == absl::Milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(a_target_that_asks_for_a_cooldown_does_nothing_wrong)
{
    AnswerFacts answer;
    answer.requestId = "r";
    answer.status = 503;
    answer.notRun = true;
    BOOST_TEST((judgeAnswer(answer, "r").fault == TargetFault::Busy));
    answer.retryAfter = absl::Seconds(3);
    const auto verdict = judgeAnswer(answer, "r");
    BOOST_TEST((verdict.outcome == core::Outcome::NotRun));
    BOOST_TEST(!verdict.fault.has_value());
    answer.retryAfter = absl::ZeroDuration(); // The target accepts requests at once, so it counts as full.
    BOOST_TEST((judgeAnswer(answer, "r").fault == TargetFault::Busy));
}

BOOST_AUTO_TEST_CASE(a_target_that_rests_or_leaves_is_asked_for_no_help)
{
    TwoEngines state;
    state.intake.changes({{entry("c")}, {entry("d")}}, {0, 2}, "test", at(0));
    state.rest("a", absl::Seconds(3), at(0));
    AnswerFacts leaving;
    leaving.status = 200;
    leaving.leaving = true;
    takeTargetNotice(state.context, *state.find("b"), leaving, "r", at(0));
    RequestProgress request(state.context, longPrompt(), at(0));
    BOOST_REQUIRE(!request.authorise(at(0)));
    for (int i = 0; i < 20; ++i) {
        const auto chosen = request.choose(at(400));
        BOOST_REQUIRE(chosen.has_value());
        auto used = chosen->helpers;
        used.push_back(chosen->target);
        for (const auto &target : used) {
            BOOST_TEST((target->entry.id == "c" || target->entry.id == "d"));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_grant_that_crosses_a_target_s_word_is_given_back_and_asked_for_anew)
{
    TwoEngines state;
    control::Scheduler own(state.context);
    control::Member other{"other", "hall-a", 1, membership::DaemonState::Serving, {"127.0.0.1", 1}, {"127.0.0.1", 2}};
    state.context.roster.replace({other});
    std::vector<control::PlacementAsk> asks;
    std::vector<control::PlacementCancel> cancels;
    control::SchedulerClient client(state.context, own, [&](const auto &, const control::Message &message) {
        if (const auto *ask = std::get_if<control::PlacementAsk>(&message)) {
            asks.push_back(*ask);
        } else if (const auto *cancel = std::get_if<control::PlacementCancel>(&message)) {
            cancels.push_back(*cancel);
        }
    });
    control::PlacementSession session(state.context, &client, core::makeCounted<RequestInbox>(state.loop));
    RequestProgress request(state.context, shortPrompt(), at(0));
    BOOST_REQUIRE(!request.authorise(at(0)));
    BOOST_REQUIRE(session.pursue(request.query(at(0)), 0, at(0)));
    state.rest("a", absl::Seconds(3), at(1));
    control::PlacementAnswer answer;
    answer.vm = "other";
    answer.ask = asks.back().ask;
    answer.kind = control::AnswerKind::Granted;
    answer.target = state.find("a")->hash;
    BOOST_TEST(!session.take(answer, at(2)).has_value());
    BOOST_TEST(cancels.size() == 1U);
    BOOST_REQUIRE(session.pursue(request.query(at(2)), 0, at(2)));
    BOOST_TEST(asks.size() == 2U);
    BOOST_TEST(asks.back().ask != answer.ask);
    BOOST_TEST((asks.back().unwanted == std::vector<std::uint32_t>{state.find("a")->hash}));
}

BOOST_AUTO_TEST_CASE(peers_are_told_of_leaving_targets_only_until_their_entries_say_so)
{
    TwoEngines state;
    state.context.targets.noteLeaving(*state.find("a"));
    const std::vector<std::uint32_t> expected{state.find("a")->hash};
    BOOST_TEST((leavingNews(state.context, 8) == expected));
    BOOST_TEST(leavingNews(state.context, 0).empty());
    state.intake.changes({{entry("a", true)}}, {0, 2}, "test", at(1));
    BOOST_TEST(leavingNews(state.context, 8).empty());
    BOOST_TEST(state.find("a")->leaving());
    TwoEngines peer;
    takeLeavingNews(peer.context, {expected.front(), 12345}, "vm");
    BOOST_TEST(peer.find("a")->leaving());
    BOOST_TEST(!peer.find("b")->leaving());
}

BOOST_AUTO_TEST_CASE(messages_carry_what_targets_say_of_themselves)
{
    control::WorkReport report;
    report.leaving = {7, 0xfeedface};
    const auto told = std::get<control::WorkReport>(*control::readMessage(control::writeMessage(report)));
    BOOST_TEST((told.leaving == report.leaving));
    control::PlacementAsk ask;
    ask.unwanted = {9, 10};
    const auto asked = std::get<control::PlacementAsk>(*control::readMessage(control::writeMessage(ask)));
    BOOST_TEST((asked.unwanted == ask.unwanted));
    membership::Heartbeat heartbeat;
    heartbeat.leaving = {11};
    const auto heard = membership::readHeartbeat(membership::writeHeartbeat(heartbeat, ""), "");
    BOOST_REQUIRE(heard.has_value());
    BOOST_TEST((heard->leaving == heartbeat.leaving));
}

BOOST_AUTO_TEST_SUITE_END()
