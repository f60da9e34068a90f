//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of placement while a failure domain is partitioned from the others
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// Prompts with up to fifteen helpers arrive while one failure domain of three is partitioned and the target list still
// contains its engines.
//
// Guards against retries with other helpers of the unreachable domain: prompts were sent up to six times within 100 ms
// and then refused with seconds left and two thirds of the engines free, and half of the credit was lost during a
// partition. An engine names only one helper per refusal, and neither the next attempt nor the scheduler drew
// conclusions about the helper's failure domain.
//
//----------------------------------------------------------------------------------------------------------------------

#include "relay_state.h"

#include "spurlug/control/messages.h"
#include "spurlug/control/scheduler.h"
#include "spurlug/core/text.h"
#include "spurlug/relay/domain_links.h"
#include "spurlug/relay/request_progress.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace
{

using namespace spurlug;
using namespace spurlug::relay;
using namespace spurlug::test;

constexpr int EnginesInEach = 6;

/// A daemon in hall-a, with engines in three failure domains.
struct ThreeDomains : RelayState
{
    ThreeDomains()
    {
        settings.vm = "daemon";
        settings.failureDomain = "hall-a";
        context.adopt(chatTable(), "{}", "test", at(0));
        for (const auto *domain : {"hall-a", "hall-b", "hall-c"}) {
            for (int i = 0; i < EnginesInEach; ++i) {
                auto told = entry(core::cat(domain, "-", i));
                told.failureDomain = domain;
                context.targets.put(told);
            }
        }
    }

    core::Ref<Target> engine(const std::string &domain, int number)
    {
        return context.targets.find(core::cat(domain, "-", number));
    }
};

std::set<std::string> domainsOf(const ChosenTargets &chosen)
{
    std::set<std::string> domains{chosen.target->entry.failureDomain};
    for (const auto &helper : chosen.helpers) {
        domains.insert(helper->entry.failureDomain);
    }
    return domains;
}

} // namespace

BOOST_AUTO_TEST_SUITE(domain_links)

BOOST_AUTO_TEST_CASE(two_targets_that_cannot_be_reached_part_their_domain_until_one_can)
{
    DomainLinks links;
    links.failed("a", "b", 1, at(0));
    links.failed("a", "b", 1, at(10));
    BOOST_TEST(!links.parted("a", "b", at(11))); // The target itself may have failed.
    links.failed("a", "b", 2, at(20));
    BOOST_TEST(links.parted("a", "b", at(21)));
    BOOST_TEST(links.parted("b", "a", at(21)));
    BOOST_TEST(!links.parted("a", "c", at(21)));
    links.reached("b", "a");
    BOOST_TEST(!links.parted("a", "b", at(22)));
    links.failed("a", "b", 3, at(30));
    BOOST_TEST(!links.parted("a", "b", at(31)));
}

BOOST_AUTO_TEST_CASE(a_parted_domain_is_tried_again_and_one_failure_parts_it_again)
{
    DomainLinks links;
    links.failed("a", "b", 1, at(0));
    links.failed("a", "b", 2, at(0));
    BOOST_TEST(links.parted("a", "b", at(1400)));
    BOOST_TEST(!links.parted("a", "b", at(1600)));
    links.failed("a", "b", 1, at(1700));
    BOOST_TEST(links.parted("a", "b", at(1701)));
    BOOST_TEST(!links.parted("a", "b", at(9000)));
    links.failed("a", "b", 1, at(9000)); // The earlier failures are too old to count.
    BOOST_TEST(!links.parted("a", "b", at(9001)));
}

BOOST_AUTO_TEST_CASE(a_domain_always_reaches_itself)
{
    DomainLinks links;
    links.failed("a", "a", 1, at(0));
    links.failed("a", "a", 2, at(0));
    BOOST_TEST(!links.parted("a", "a", at(1)));
}

BOOST_AUTO_TEST_CASE(after_two_connections_failed_prompts_go_to_no_engine_beyond_the_cut)
{
    ThreeDomains state;
    RequestProgress before(state.context, longPrompt(), at(0));
    BOOST_REQUIRE(!before.authorise(at(0)));
    BOOST_TEST(domainsOf(before.choose(at(0)).value()).size() == 3U);
    for (int i = 0; i < 2; ++i) {
        RequestProgress request(state.context, longPrompt(), at(0));
        BOOST_REQUIRE(!request.authorise(at(0)));
        ChosenTargets chosen;
        chosen.target = state.engine("hall-c", i);
        request.begin(chosen, "", at(0));
        request.endAttempt(core::Outcome::NotRun, core::Reason::ConnectFailed, TargetFault::Unreachable, "", at(150));
    }
    RequestProgress after(state.context, longPrompt(), at(160));
    BOOST_REQUIRE(!after.authorise(at(160)));
    const auto chosen = after.choose(at(160));
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST((domainsOf(*chosen) == std::set<std::string>{"hall-a", "hall-b"}));
    BOOST_TEST(chosen->helpers.size() == 2U * EnginesInEach - 1);
}

BOOST_AUTO_TEST_CASE(the_second_try_after_a_refused_help_takes_helpers_beside_the_engine_only)
{
    ThreeDomains state;
    RequestProgress request(state.context, longPrompt(), at(0));
    BOOST_REQUIRE(!request.authorise(at(0)));
    auto chosen = request.choose(at(0));
    BOOST_REQUIRE(chosen.has_value());
    request.begin(*chosen, "", at(0));
    request.helpRefused(chosen->helpers.back(), at(15));
    request.endAttempt(core::Outcome::NotRun, core::Reason::TargetRefused, TargetFault::Busy, "", at(15));
    chosen = request.choose(at(35));
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST(domainsOf(*chosen).size() == 1U);
    BOOST_TEST(chosen->helpers.size() >= static_cast<std::size_t>(EnginesInEach - 2));
}

BOOST_AUTO_TEST_CASE(the_engine_that_answers_reaches_its_helpers)
{
    ThreeDomains state;
    // The daemon reaches all domains; hall-a and hall-c do not reach each other.
    state.context.links.failed("hall-a", "hall-c", 1, at(0));
    state.context.links.failed("hall-a", "hall-c", 2, at(0));
    TargetQuery query;
    query.service = "model";
    query.from = "hall-b";
    query.prompt = prompt(40'000, false);
    for (int i = 0; i < 20; ++i) {
        const auto chosen = chooseTargets(state.context, query, at(1));
        BOOST_REQUIRE(chosen.has_value());
        const auto &answersIn = chosen->target->entry.failureDomain;
        for (const auto &helper : chosen->helpers) {
            BOOST_TEST(!state.context.links.parted(answersIn, helper->entry.failureDomain, at(1)));
        }
    }
}

BOOST_AUTO_TEST_CASE(the_scheduler_learns_from_refused_helps_and_chooses_for_the_asker_s_side)
{
    ThreeDomains state;
    control::Scheduler scheduler(state.context);
    control::WorkReport report;
    report.vm = "other";
    report.incarnation = 1;
    report.sequence = 1;
    const auto asker = state.engine("hall-a", 0)->hash;
    report.outcomes = {{state.engine("hall-c", 0)->hash, TargetFault::Busy, asker},
                       {state.engine("hall-c", 1)->hash, TargetFault::Busy, asker}};
    scheduler.report(report, at(0));
    BOOST_TEST(state.context.links.parted("hall-a", "hall-c", at(1)));
    BOOST_TEST(!state.engine("hall-c", 0)->fullPause.lasts(at(1))); // It may still accept requests of its own.
    control::PlacementAsk ask;
    ask.vm = "other";
    ask.ask = 1;
    ask.service = "model";
    ask.prompt = {40'000, 500};
    ask.aim = absl::Milliseconds(2500);
    ask.tight = false;
    const auto answer = scheduler.ask(ask, at(2));
    BOOST_REQUIRE((answer.kind == control::AnswerKind::Granted));
    for (const auto hash : answer.helpers) {
        BOOST_TEST(state.context.targets.withHash(hash)->entry.failureDomain != "hall-c");
    }
    report.sequence = 2;
    report.outcomes = {{state.engine("hall-c", 0)->hash, std::nullopt, asker}};
    scheduler.report(report, at(10));
    BOOST_TEST(!state.context.links.parted("hall-a", "hall-c", at(11)));
}

// Guards against repeated requests to a helper that is down. Prompts had fifteen helpers while one engine was down, and
// 65 of 68 refusals within three seconds came from that engine: each daemon avoided it on its own for 300 ms only, the
// scheduler was not informed, and every backoff was as short as that for an engine that is merely full.
BOOST_AUTO_TEST_CASE(a_helper_that_turned_help_down_is_asked_by_no_daemon_and_ever_more_seldom)
{
    ThreeDomains state;
    control::Scheduler scheduler(state.context);
    const auto down = state.engine("hall-a", 1);
    const auto asker = state.engine("hall-a", 0)->hash;
    control::WorkReport report;
    report.vm = "other";
    report.incarnation = 1;
    std::int64_t refusedMs = 0;
    for (const auto pauseMs : {300, 600, 1200, 1200, 1200}) {
        ++report.sequence;
        report.outcomes = {{down->hash, TargetFault::Busy, asker}, {down->hash, TargetFault::Busy, asker}};
        scheduler.report(report, at(refusedMs));
        BOOST_TEST(down->helpPause.lasts(at(refusedMs + pauseMs - 1)));
        BOOST_TEST(!down->helpPause.lasts(at(refusedMs + pauseMs)));
        refusedMs += pauseMs;
    }
    BOOST_TEST(!down->health.ejected(at(refusedMs))); // The engine may still accept requests of its own.
    ++report.sequence;
    report.outcomes = {{down->hash, std::nullopt, asker}};
    scheduler.report(report, at(refusedMs));
    down->helpPause.refused(at(refusedMs));
    BOOST_TEST(!down->helpPause.lasts(at(refusedMs + 300)));
}

BOOST_AUTO_TEST_CASE(messages_carry_who_asked_for_help_and_where_helpers_may_be)
{
    control::WorkReport report;
    report.outcomes = {{7, TargetFault::Busy, 9}, {8, std::nullopt, 0}};
    const auto told = std::get<control::WorkReport>(*control::readMessage(control::writeMessage(report)));
    BOOST_REQUIRE(told.outcomes.size() == 2U);
    BOOST_TEST(told.outcomes.front().askedBy == 9U);
    BOOST_TEST(told.outcomes.back().askedBy == 0U);
    control::PlacementAsk ask;
    ask.nearHelpers = true;
    BOOST_TEST(std::get<control::PlacementAsk>(*control::readMessage(control::writeMessage(ask))).nearHelpers);
}

BOOST_AUTO_TEST_SUITE_END()
