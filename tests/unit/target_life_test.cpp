//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests that state kept about a target ends with its incarnation
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// Guards against a restarted target that inherits the state of its earlier incarnation: work that it no longer had,
// failures, being full or draining. The state was kept, and exchanged between daemons, by the target's id, on the
// assumption that each start has a new id. Each case fails if the start time is left out of a target's identity.
//
//----------------------------------------------------------------------------------------------------------------------

#include "relay_state.h"

#include "spurlug/control/scheduler.h"
#include "spurlug/relay/peer_state.h"
#include "spurlug/relay/request_progress.h"
#include "spurlug/targets/target_table.h"

#include <boost/test/unit_test.hpp>

namespace
{

using namespace spurlug;
using namespace spurlug::relay;
using namespace spurlug::test;

constexpr std::int64_t FirstStart = 1'700'000'000'000;
constexpr std::int64_t SecondStart = FirstStart + 1;

TargetEntry lifeOf(const std::string &id, std::int64_t startMs, bool draining = false)
{
    auto told = entry(id, draining);
    told.startMs = startMs;
    return told;
}

std::vector<TargetWork> someWork(const TargetLife &life)
{
    TargetWork work;
    work.target = lifeHash(life);
    work.work.requests = 3;
    return {work};
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_life)

BOOST_AUTO_TEST_CASE(a_later_life_inherits_no_work_no_failures_and_no_refusals)
{
    TargetSet targets;
    targets.put(lifeOf("a", FirstStart));
    const auto first = targets.find("a");
    const Share share(first, Share::Kind::Request, {.readMicros = 1000, .requests = 1}, at(0), at(100), true);
    targets.peerWork("peer", someWork(first->entry.life()), at(0));
    first->health.failed(TargetFault::Unreachable, {}, at(0));
    first->fullPause.refused(at(0));
    first->helpPause.refused(at(0));
    first->reportedUntil = at(5000);
    BOOST_TEST((targets.put(lifeOf("a", SecondStart)) == EntryNews::Restarted));
    const auto second = targets.find("a");
    BOOST_TEST((second->load(at(1)) == Outstanding{}));
    BOOST_TEST(!second->health.onProbation());
    BOOST_TEST((!second->fullPause.lasts(at(1)) && second->reportedUntil < at(1)));
    BOOST_TEST(!second->helpPause.lasts(at(1)));
    BOOST_TEST(targets.ownWork(at(1)).empty()); // The work of the earlier incarnation is lost and not reported.
    BOOST_TEST(!targets.withHash(first->hash));
    targets.peerWork("late peer", someWork(first->entry.life()), at(1)); // This peer has not heard of the restart yet.
    BOOST_TEST((targets.find("a")->load(at(1)) == Outstanding{}));
}

BOOST_AUTO_TEST_CASE(a_target_that_was_leaving_is_listed_again_in_its_next_life_only)
{
    RelayState state;
    auto &targets = state.context.targets;
    state.intake.whole({{lifeOf("a", FirstStart, true)}}, {0, 1}, "test", at(0));
    state.intake.changes({{lifeOf("a", FirstStart)}}, {0, 2}, "test", at(1));
    BOOST_TEST(targets.listed("model", at(2)).empty()); // Draining lasts until the incarnation ends.
    state.intake.changes({{lifeOf("a", SecondStart)}}, {0, 3}, "test", at(2));
    BOOST_TEST(targets.listed("model", at(3)).size() == 1U);
    state.intake.changes({{lifeOf("a", FirstStart, true)}}, {0, 4}, "a slow peer", at(3));
    BOOST_TEST(targets.listed("model", at(4)).size() == 1U);
    // This removes the earlier incarnation only.
    state.intake.changes({{lifeOf("a", FirstStart), true}}, {0, 5}, "a slow peer", at(4));
    BOOST_TEST(targets.listed("model", at(5)).size() == 1U);
    state.intake.changes({{lifeOf("a", SecondStart), true}}, {0, 6}, "test", at(5));
    BOOST_TEST(targets.listed("model", at(6)).empty());
}

BOOST_AUTO_TEST_CASE(an_attempt_of_an_earlier_life_says_nothing_of_the_next_one)
{
    RelayState state;
    state.context.adopt(chatTable(), "{}", "test", at(0));
    state.context.targets.put(lifeOf("a", FirstStart));
    RequestProgress request(state.context, longPrompt(), at(0));
    BOOST_REQUIRE(!request.authorise(at(0)));
    const auto chosen = request.choose(at(0));
    BOOST_REQUIRE(chosen.has_value());
    request.begin(*chosen, "", at(0));
    BOOST_TEST(!chosen->target->over());
    state.context.targets.put(lifeOf("a", SecondStart));
    BOOST_TEST(chosen->target->over());
    request.endAttempt(core::Outcome::MayHaveRun, core::Reason::TargetFailed, TargetFault::Unreachable, "", at(10));
    BOOST_TEST(request.ranSomewhere()); // The earlier incarnation may have run the request.
    BOOST_TEST(!state.context.targets.find("a")->health.onProbation());
}

BOOST_AUTO_TEST_CASE(a_scheduler_applies_reports_of_an_earlier_life_to_nothing)
{
    RelayState state;
    state.context.adopt(chatTable(), "{}", "test", at(0));
    state.context.targets.put(lifeOf("a", FirstStart));
    control::Scheduler scheduler(state.context);
    control::WorkReport report;
    report.vm = "daemon";
    report.incarnation = 1;
    report.sequence = 1;
    report.work = someWork({"a", FirstStart});
    report.unreachable = {lifeHash({"a", FirstStart})};
    report.outcomes = {{lifeHash({"a", FirstStart}), TargetFault::Silent}};
    state.context.targets.put(lifeOf("a", SecondStart));
    scheduler.report(report, at(10));
    const auto target = state.context.targets.find("a");
    BOOST_TEST((target->load(at(11)) == Outstanding{}));
    BOOST_TEST(!target->health.onProbation());
    BOOST_TEST((target->reportedUntil < at(11)));
    report.sequence = 2;
    report.outcomes = {{lifeHash({"a", SecondStart}), TargetFault::Silent}};
    scheduler.report(report, at(20));
    BOOST_TEST(target->health.onProbation());
}

BOOST_AUTO_TEST_CASE(an_entry_that_cannot_be_used_ends_the_use_of_its_target_until_the_next_good_one)
{
    RelayState state;
    auto &targets = state.context.targets;
    state.intake.whole({{lifeOf("a", FirstStart)}, {lifeOf("b", FirstStart)}}, {0, 1}, "test", at(0));
    state.intake.changes({{lifeOf("a", 0), false, "/slots: expected an integer"}}, {0, 2}, "test", at(1));
    BOOST_REQUIRE(targets.listed("model", at(2)).size() == 1U);
    BOOST_TEST(targets.listed("model", at(2)).front()->entry.id == "b");
    const auto told = readPeerState(writePeerState(peerState(state.context, 0, {}, at(2))));
    RelayState follower;
    follower.intake.whole(told.targets, told.targetsPosition, "peer", at(2));
    BOOST_TEST(follower.context.targets.listed("model", at(3)).size() == 1U);
    state.intake.changes({{lifeOf("a", FirstStart)}}, {0, 3}, "test", at(3));
    BOOST_TEST(targets.listed("model", at(4)).size() == 2U);
    // The target had given its start time, so another program wrote this entry.
    state.intake.changes({{lifeOf("a", 0)}}, {0, 4}, "test", at(4));
    BOOST_TEST(targets.listed("model", at(5)).size() == 1U);
    state.intake.whole({{lifeOf("a", FirstStart)}, {lifeOf("b", FirstStart)}}, {0, 5}, "test", at(5));
    BOOST_TEST(targets.listed("model", at(6)).size() == 2U);
}

BOOST_AUTO_TEST_CASE(peers_tell_lives)
{
    RelayState state;
    state.intake.whole({{lifeOf("a", SecondStart)}}, {0, 1}, "test", at(0));
    const auto told = readPeerState(writePeerState(peerState(state.context, 0, {}, at(1))));
    BOOST_REQUIRE(told.targets.size() == 1U);
    BOOST_TEST((told.targets.front().entry.life() == TargetLife{"a", SecondStart}));
}

BOOST_AUTO_TEST_CASE(of_a_target_that_does_not_tell_its_start_the_id_is_the_life)
{
    BOOST_TEST(lifeHash({"a", 0}) == targets::targetHash("a"));
    BOOST_TEST(lifeHash({"a", FirstStart}) != lifeHash({"a", SecondStart}));
    BOOST_TEST(lifeHash({"a", FirstStart}) != lifeHash({"b", FirstStart}));
}

// Guards against waiting for an incarnation that has ended: those that waited noticed the end only by its silence.
// The case checks what proves the end of an incarnation and what does not.
BOOST_AUTO_TEST_CASE(a_later_life_at_an_address_ends_the_earlier_one_and_a_gone_entry_does_not)
{
    RelayState state;
    state.context.adopt(chatTable(), "{}", "test", at(0));
    auto &targets = state.context.targets;
    auto later = entry("b");
    later.address = entry("a").address;
    state.intake.whole({{entry("a")}}, {0, 1}, "test", at(0));
    const auto earlier = targets.find("a");
    int told = 0;
    const LifeWatch watch(earlier, [&told](const core::Ref<Target> &) { ++told; });
    state.intake.changes({{entry("a"), true}}, {0, 2}, "test", at(10));
    BOOST_TEST(!earlier->over()); // An entry may expire while its target still serves.
    auto foreign = later;
    foreign.id = "written-by-hand";
    foreign.service = "unknown";
    state.intake.changes({{foreign}}, {0, 3}, "test", at(20));
    BOOST_TEST(!earlier->over());
    state.intake.changes({{later}}, {0, 4}, "test", at(30));
    BOOST_TEST(earlier->over());
    BOOST_TEST(told == 1);
    BOOST_TEST(!targets.find("b")->over());
    int toldAtOnce = 0;
    const LifeWatch late(earlier, [&toldAtOnce](const core::Ref<Target> &) { ++toldAtOnce; });
    BOOST_TEST(toldAtOnce == 1);
    state.intake.changes({{entry("a")}}, {0, 5}, "a slow peer", at(40)); // An outdated peer lists the target again.
    BOOST_TEST(earlier->over());
    BOOST_TEST(!earlier->listed(at(41)));
    BOOST_TEST(targets.find("b")->listed(at(41)));
}

BOOST_AUTO_TEST_CASE(of_two_lives_at_one_address_in_one_list_only_their_starts_tell_which_is_over)
{
    for (const bool startsAreTold : {false, true}) {
        RelayState state;
        state.context.adopt(chatTable(), "{}", "test", at(0));
        auto first = lifeOf("z-first", startsAreTold ? FirstStart : 0);
        auto second = lifeOf("a-second", startsAreTold ? SecondStart : 0);
        second.address = first.address;
        state.intake.whole({{second}, {first}}, {0, 1}, "test", at(0));
        BOOST_TEST(state.context.targets.find("a-second")->listed(at(1)));
        // The position in the list does not matter.
        BOOST_TEST(state.context.targets.find("z-first")->over() == startsAreTold);
        state.intake.changes({{second}}, {0, 2}, "test", at(10));
        BOOST_TEST(state.context.targets.find("a-second")->listed(at(11)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
