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

constexpr int EnginesPerDomain = 6;

/// A daemon in hall-a, with engines in three failure domains.
struct ThreeDomains : RelayState
{
    ThreeDomains()
    {
        settings.vm = "daemon";
        settings.failureDomain = "hall-a";
        context.activateConfiguration(chatTable(), "{}", "test", at(0));
        for (const auto *domain : {"hall-a", "hall-b", "hall-c"}) {
            for (int i = 0; i < EnginesPerDomain; ++i) {
                auto target = entry(core::cat(domain, "-", i));
                target.failureDomain = domain;
                context.targets.put(target);
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

BOOST_AUTO_TEST_CASE(two_unreachable_targets_mark_the_link_down_until_one_is_reached)
{
    DomainLinks links;
    links.noteFailure("a", "b", 1, at(0));
    links.noteFailure("a", "b", 1, at(10));
    BOOST_TEST(!links.isDown("a", "b", at(11))); // The target itself may have failed.
    links.noteFailure("a", "b", 2, at(20));
    BOOST_TEST(links.isDown("a", "b", at(21)));
    BOOST_TEST(links.isDown("b", "a", at(21)));
    BOOST_TEST(!links.isDown("a", "c", at(21)));
    links.noteSuccess("b", "a");
    BOOST_TEST(!links.isDown("a", "b", at(22)));
    links.noteFailure("a", "b", 3, at(30));
    BOOST_TEST(!links.isDown("a", "b", at(31)));
}

BOOST_AUTO_TEST_CASE(a_link_that_is_down_is_retried_and_one_failure_marks_it_down_again)
{
    DomainLinks links;
    links.noteFailure("a", "b", 1, at(0));
    links.noteFailure("a", "b", 2, at(0));
    BOOST_TEST(links.isDown("a", "b", at(1400)));
    BOOST_TEST(!links.isDown("a", "b", at(1600)));
    links.noteFailure("a", "b", 1, at(1700));
    BOOST_TEST(links.isDown("a", "b", at(1701)));
    BOOST_TEST(!links.isDown("a", "b", at(9000)));
    links.noteFailure("a", "b", 1, at(9000)); // The earlier failures are too old to count.
    BOOST_TEST(!links.isDown("a", "b", at(9001)));
}

BOOST_AUTO_TEST_CASE(a_domain_always_reaches_itself)
{
    DomainLinks links;
    links.noteFailure("a", "a", 1, at(0));
    links.noteFailure("a", "a", 2, at(0));
    BOOST_TEST(!links.isDown("a", "a", at(1)));
}

BOOST_AUTO_TEST_CASE(after_two_failed_connections_prompts_avoid_the_partitioned_domain)
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
        request.beginAttempt(chosen, "", at(0));
        request.endAttempt(core::Outcome::NotRun, core::Reason::ConnectFailed, TargetFault::Unreachable, "", at(150));
    }
    RequestProgress after(state.context, longPrompt(), at(160));
    BOOST_REQUIRE(!after.authorise(at(160)));
    const auto chosen = after.choose(at(160));
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST((domainsOf(*chosen) == std::set<std::string>{"hall-a", "hall-b"}));
    BOOST_TEST(chosen->helpers.size() == 2U * EnginesPerDomain - 1);
}

BOOST_AUTO_TEST_CASE(the_retry_after_refused_help_uses_helpers_of_the_engine_s_domain_only)
{
    ThreeDomains state;
    RequestProgress request(state.context, longPrompt(), at(0));
    BOOST_REQUIRE(!request.authorise(at(0)));
    auto chosen = request.choose(at(0));
    BOOST_REQUIRE(chosen.has_value());
    request.beginAttempt(*chosen, "", at(0));
    request.recordHelpFailure(chosen->helpers.back(), at(15));
    request.endAttempt(core::Outcome::NotRun, core::Reason::TargetRefused, TargetFault::Busy, "", at(15));
    chosen = request.choose(at(35));
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST(domainsOf(*chosen).size() == 1U);
    BOOST_TEST(chosen->helpers.size() >= static_cast<std::size_t>(EnginesPerDomain - 2));
}

BOOST_AUTO_TEST_CASE(the_engine_that_answers_reaches_its_helpers)
{
    ThreeDomains state;
    // The daemon reaches all domains; hall-a and hall-c do not reach each other.
    state.context.links.noteFailure("hall-a", "hall-c", 1, at(0));
    state.context.links.noteFailure("hall-a", "hall-c", 2, at(0));
    TargetQuery query;
    query.service = "model";
    query.senderDomain = "hall-b";
    query.prompt = promptRequest(40'000, false);
    for (int i = 0; i < 20; ++i) {
        const auto chosen = chooseTargets(state.context, query, at(1));
        BOOST_REQUIRE(chosen.has_value());
        const auto &answeringDomain = chosen->target->entry.failureDomain;
        for (const auto &helper : chosen->helpers) {
            BOOST_TEST(!state.context.links.isDown(answeringDomain, helper->entry.failureDomain, at(1)));
        }
    }
}

BOOST_AUTO_TEST_CASE(the_scheduler_learns_from_refused_help_and_avoids_the_partitioned_domain)
{
    ThreeDomains state;
    control::Scheduler scheduler(state.context);
    control::WorkReport report;
    report.vm = "other";
    report.incarnation = 1;
    report.sequence = 1;
    const auto requestingEngine = state.engine("hall-a", 0)->hash;
    report.outcomes = {{state.engine("hall-c", 0)->hash, TargetFault::Busy, requestingEngine},
                       {state.engine("hall-c", 1)->hash, TargetFault::Busy, requestingEngine}};
    scheduler.applyReport(report, at(0));
    BOOST_TEST(state.context.links.isDown("hall-a", "hall-c", at(1)));
    BOOST_TEST(!state.engine("hall-c", 0)->refusalBackoff.isActive(at(1))); // It may still accept requests of its own.
    control::PlacementRequest request;
    request.vm = "other";
    request.requestNumber = 1;
    request.service = "model";
    request.prompt = {40'000, 500};
    request.ttftObjective = absl::Milliseconds(2500);
    request.shortGaps = false;
    const auto answer = scheduler.handleRequest(request, at(2));
    BOOST_REQUIRE((answer.kind == control::ReplyKind::Granted));
    for (const auto hash : answer.helpers) {
        BOOST_TEST(state.context.targets.findByHash(hash)->entry.failureDomain != "hall-c");
    }
    report.sequence = 2;
    report.outcomes = {{state.engine("hall-c", 0)->hash, std::nullopt, requestingEngine}};
    scheduler.applyReport(report, at(10));
    BOOST_TEST(!state.context.links.isDown("hall-a", "hall-c", at(11)));
}

// Guards against repeated requests to a helper that is down. Prompts had fifteen helpers while one engine was down, and
// 65 of 68 refusals within three seconds came from that engine: each daemon avoided it on its own for 300 ms only, the
// scheduler was not informed, and every backoff was as short as that for an engine that is merely full.
BOOST_AUTO_TEST_CASE(a_helper_that_refused_help_is_avoided_by_all_daemons_with_an_increasing_backoff)
{
    ThreeDomains state;
    control::Scheduler scheduler(state.context);
    const auto down = state.engine("hall-a", 1);
    const auto requestingEngine = state.engine("hall-a", 0)->hash;
    control::WorkReport report;
    report.vm = "other";
    report.incarnation = 1;
    std::int64_t refusedAtMs = 0;
    for (const auto backoffMs : {300, 600, 1200, 1200, 1200}) {
        ++report.sequence;
        report.outcomes
            = {{down->hash, TargetFault::Busy, requestingEngine}, {down->hash, TargetFault::Busy, requestingEngine}};
        scheduler.applyReport(report, at(refusedAtMs));
        BOOST_TEST(down->helpBackoff.isActive(at(refusedAtMs + backoffMs - 1)));
        BOOST_TEST(!down->helpBackoff.isActive(at(refusedAtMs + backoffMs)));
        refusedAtMs += backoffMs;
    }
    BOOST_TEST(!down->health.isEjected(at(refusedAtMs))); // The engine may still accept requests of its own.
    ++report.sequence;
    report.outcomes = {{down->hash, std::nullopt, requestingEngine}};
    scheduler.applyReport(report, at(refusedAtMs));
    down->helpBackoff.noteRefusal(at(refusedAtMs));
    BOOST_TEST(!down->helpBackoff.isActive(at(refusedAtMs + 300)));
}

BOOST_AUTO_TEST_CASE(messages_carry_the_requesting_engine_and_the_allowed_domains_of_helpers)
{
    control::WorkReport report;
    report.outcomes = {{7, TargetFault::Busy, 9}, {8, std::nullopt, 0}};
    const auto decoded = std::get<control::WorkReport>(*control::readMessage(control::writeMessage(report)));
    BOOST_REQUIRE(decoded.outcomes.size() == 2U);
    BOOST_TEST(decoded.outcomes.front().requestingEngine == 9U);
    BOOST_TEST(decoded.outcomes.back().requestingEngine == 0U);
    control::PlacementRequest request;
    request.localHelpersOnly = true;
    BOOST_TEST(
        std::get<control::PlacementRequest>(*control::readMessage(control::writeMessage(request))).localHelpersOnly);
}

BOOST_AUTO_TEST_SUITE_END()
