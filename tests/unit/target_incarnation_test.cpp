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

constexpr std::int64_t FirstStartMs = 1'700'000'000'000;
constexpr std::int64_t SecondStart = FirstStartMs + 1;

TargetEntry incarnationEntry(const std::string &id, std::int64_t startMs, bool draining = false)
{
    auto target = entry(id, draining);
    target.startMs = startMs;
    return target;
}

std::vector<TargetWork> reportedWork(const TargetIncarnation &incarnation)
{
    TargetWork work;
    work.target = incarnationHash(incarnation);
    work.work.requests = 3;
    return {work};
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_life)

BOOST_AUTO_TEST_CASE(a_later_incarnation_inherits_no_work_no_failures_and_no_refusals)
{
    TargetSet targets;
    targets.put(incarnationEntry("a", FirstStartMs));
    const auto first = targets.find("a");
    const LocalWork share(first, LocalWork::Kind::Request, {.prefillMicros = 1000, .requests = 1}, at(0), at(100),
                          true);
    targets.setPeerWork("peer", reportedWork(first->entry.incarnation()), at(0));
    first->health.noteFailure(TargetFault::Unreachable, {}, at(0));
    first->refusalBackoff.noteRefusal(at(0));
    first->helpBackoff.noteRefusal(at(0));
    first->reportedUnreachableUntil = at(5000);
    BOOST_TEST((targets.put(incarnationEntry("a", SecondStart)) == EntryChange::Restarted));
    const auto second = targets.find("a");
    BOOST_TEST((second->load(at(1)) == Outstanding{}));
    BOOST_TEST(!second->health.isOnProbation());
    BOOST_TEST((!second->refusalBackoff.isActive(at(1)) && second->reportedUnreachableUntil < at(1)));
    BOOST_TEST(!second->helpBackoff.isActive(at(1)));
    BOOST_TEST(targets.localWork(at(1)).empty()); // The work of the earlier incarnation is lost and not reported.
    BOOST_TEST(!targets.findByHash(first->hash));
    targets.setPeerWork("late peer", reportedWork(first->entry.incarnation()),
                        at(1)); // This peer has not heard of the restart yet.
    BOOST_TEST((targets.find("a")->load(at(1)) == Outstanding{}));
}

BOOST_AUTO_TEST_CASE(a_target_that_was_draining_is_listed_again_in_its_next_incarnation_only)
{
    RelayState state;
    auto &targets = state.context.targets;
    state.targetListUpdater.applyFullList({{incarnationEntry("a", FirstStartMs, true)}}, {0, 1}, "test", at(0));
    state.targetListUpdater.applyChanges({{incarnationEntry("a", FirstStartMs)}}, {0, 2}, "test", at(1));
    BOOST_TEST(targets.availableTargets("model", at(2)).empty()); // Draining lasts until the incarnation ends.
    state.targetListUpdater.applyChanges({{incarnationEntry("a", SecondStart)}}, {0, 3}, "test", at(2));
    BOOST_TEST(targets.availableTargets("model", at(3)).size() == 1U);
    state.targetListUpdater.applyChanges({{incarnationEntry("a", FirstStartMs, true)}}, {0, 4}, "a slow peer", at(3));
    BOOST_TEST(targets.availableTargets("model", at(4)).size() == 1U);
    // This removes the earlier incarnation only.
    state.targetListUpdater.applyChanges({{incarnationEntry("a", FirstStartMs), true}}, {0, 5}, "a slow peer", at(4));
    BOOST_TEST(targets.availableTargets("model", at(5)).size() == 1U);
    state.targetListUpdater.applyChanges({{incarnationEntry("a", SecondStart), true}}, {0, 6}, "test", at(5));
    BOOST_TEST(targets.availableTargets("model", at(6)).empty());
}

BOOST_AUTO_TEST_CASE(an_attempt_at_an_earlier_incarnation_does_not_affect_the_next_one)
{
    RelayState state;
    state.context.activateConfiguration(chatTable(), "{}", "test", at(0));
    state.context.targets.put(incarnationEntry("a", FirstStartMs));
    RequestProgress request(state.context, longPrompt(), at(0));
    BOOST_REQUIRE(!request.authorise(at(0)));
    const auto chosen = request.choose(at(0));
    BOOST_REQUIRE(chosen.has_value());
    request.beginAttempt(*chosen, "", at(0));
    BOOST_TEST(!chosen->target->hasEnded());
    state.context.targets.put(incarnationEntry("a", SecondStart));
    BOOST_TEST(chosen->target->hasEnded());
    request.endAttempt(core::Outcome::MayHaveRun, core::Reason::TargetFailed, TargetFault::Unreachable, "", at(10));
    BOOST_TEST(request.mayHaveRun()); // The earlier incarnation may have run the request.
    BOOST_TEST(!state.context.targets.find("a")->health.isOnProbation());
}

BOOST_AUTO_TEST_CASE(a_scheduler_ignores_reports_on_an_earlier_incarnation)
{
    RelayState state;
    state.context.activateConfiguration(chatTable(), "{}", "test", at(0));
    state.context.targets.put(incarnationEntry("a", FirstStartMs));
    control::Scheduler scheduler(state.context);
    control::WorkReport report;
    report.vm = "daemon";
    report.incarnation = 1;
    report.sequence = 1;
    report.work = reportedWork({"a", FirstStartMs});
    report.unreachable = {incarnationHash({"a", FirstStartMs})};
    report.outcomes = {{incarnationHash({"a", FirstStartMs}), TargetFault::Timeout}};
    state.context.targets.put(incarnationEntry("a", SecondStart));
    scheduler.applyReport(report, at(10));
    const auto target = state.context.targets.find("a");
    BOOST_TEST((target->load(at(11)) == Outstanding{}));
    BOOST_TEST(!target->health.isOnProbation());
    BOOST_TEST((target->reportedUnreachableUntil < at(11)));
    report.sequence = 2;
    report.outcomes = {{incarnationHash({"a", SecondStart}), TargetFault::Timeout}};
    scheduler.applyReport(report, at(20));
    BOOST_TEST(target->health.isOnProbation());
}

BOOST_AUTO_TEST_CASE(an_invalid_entry_removes_its_target_until_the_next_valid_one)
{
    RelayState state;
    auto &targets = state.context.targets;
    state.targetListUpdater.applyFullList(
        {{incarnationEntry("a", FirstStartMs)}, {incarnationEntry("b", FirstStartMs)}}, {0, 1}, "test", at(0));
    state.targetListUpdater.applyChanges({{incarnationEntry("a", 0), false, "/slots: expected an integer"}}, {0, 2},
                                         "test", at(1));
    BOOST_REQUIRE(targets.availableTargets("model", at(2)).size() == 1U);
    BOOST_TEST(targets.availableTargets("model", at(2)).front()->entry.id == "b");
    const auto decoded = readPeerState(writePeerState(makePeerState(state.context, 0, {}, at(2))));
    RelayState follower;
    follower.targetListUpdater.applyFullList(decoded.targets, decoded.targetsPosition, "peer", at(2));
    BOOST_TEST(follower.context.targets.availableTargets("model", at(3)).size() == 1U);
    state.targetListUpdater.applyChanges({{incarnationEntry("a", FirstStartMs)}}, {0, 3}, "test", at(3));
    BOOST_TEST(targets.availableTargets("model", at(4)).size() == 2U);
    // The target had given its start time, so another program wrote this entry.
    state.targetListUpdater.applyChanges({{incarnationEntry("a", 0)}}, {0, 4}, "test", at(4));
    BOOST_TEST(targets.availableTargets("model", at(5)).size() == 1U);
    state.targetListUpdater.applyFullList(
        {{incarnationEntry("a", FirstStartMs)}, {incarnationEntry("b", FirstStartMs)}}, {0, 5}, "test", at(5));
    BOOST_TEST(targets.availableTargets("model", at(6)).size() == 2U);
}

BOOST_AUTO_TEST_CASE(incarnations_are_reported_to_peers)
{
    RelayState state;
    state.targetListUpdater.applyFullList({{incarnationEntry("a", SecondStart)}}, {0, 1}, "test", at(0));
    const auto decoded = readPeerState(writePeerState(makePeerState(state.context, 0, {}, at(1))));
    BOOST_REQUIRE(decoded.targets.size() == 1U);
    BOOST_TEST((decoded.targets.front().entry.incarnation() == TargetIncarnation{"a", SecondStart}));
}

BOOST_AUTO_TEST_CASE(the_id_identifies_the_incarnation_of_a_target_without_a_start_time)
{
    BOOST_TEST(incarnationHash({"a", 0}) == targets::targetHash("a"));
    BOOST_TEST(incarnationHash({"a", FirstStartMs}) != incarnationHash({"a", SecondStart}));
    BOOST_TEST(incarnationHash({"a", FirstStartMs}) != incarnationHash({"b", FirstStartMs}));
}

// Guards against waiting for an incarnation that has ended: those that waited noticed the end only by its silence.
// The case checks what proves the end of an incarnation and what does not.
BOOST_AUTO_TEST_CASE(a_later_incarnation_at_an_address_ends_the_earlier_one_and_a_removed_entry_does_not)
{
    RelayState state;
    state.context.activateConfiguration(chatTable(), "{}", "test", at(0));
    auto &targets = state.context.targets;
    auto later = entry("b");
    later.address = entry("a").address;
    state.targetListUpdater.applyFullList({{entry("a")}}, {0, 1}, "test", at(0));
    const auto earlier = targets.find("a");
    int notifications = 0;
    const IncarnationWatch watch(earlier, [&notifications](const core::Ref<Target> &) { ++notifications; });
    state.targetListUpdater.applyChanges({{entry("a"), true}}, {0, 2}, "test", at(10));
    BOOST_TEST(!earlier->hasEnded()); // An entry may expire while its target still serves.
    auto foreignEntry = later;
    foreignEntry.id = "written-by-hand";
    foreignEntry.service = "unknown";
    state.targetListUpdater.applyChanges({{foreignEntry}}, {0, 3}, "test", at(20));
    BOOST_TEST(!earlier->hasEnded());
    state.targetListUpdater.applyChanges({{later}}, {0, 4}, "test", at(30));
    BOOST_TEST(earlier->hasEnded());
    BOOST_TEST(notifications == 1);
    BOOST_TEST(!targets.find("b")->hasEnded());
    int immediateNotifications = 0;
    const IncarnationWatch late(earlier,
                                [&immediateNotifications](const core::Ref<Target> &) { ++immediateNotifications; });
    BOOST_TEST(immediateNotifications == 1);
    state.targetListUpdater.applyChanges({{entry("a")}}, {0, 5}, "a slow peer",
                                         at(40)); // An outdated peer lists the target again.
    BOOST_TEST(earlier->hasEnded());
    BOOST_TEST(!earlier->acceptsNewWork(at(41)));
    BOOST_TEST(targets.find("b")->acceptsNewWork(at(41)));
}

BOOST_AUTO_TEST_CASE(of_two_incarnations_at_one_address_in_one_list_only_start_times_show_which_ended)
{
    for (const bool hasStartTimes : {false, true}) {
        RelayState state;
        state.context.activateConfiguration(chatTable(), "{}", "test", at(0));
        auto first = incarnationEntry("z-first", hasStartTimes ? FirstStartMs : 0);
        auto second = incarnationEntry("a-second", hasStartTimes ? SecondStart : 0);
        second.address = first.address;
        state.targetListUpdater.applyFullList({{second}, {first}}, {0, 1}, "test", at(0));
        BOOST_TEST(state.context.targets.find("a-second")->acceptsNewWork(at(1)));
        // The position in the list does not matter.
        BOOST_TEST(state.context.targets.find("z-first")->hasEnded() == hasStartTimes);
        state.targetListUpdater.applyChanges({{second}}, {0, 2}, "test", at(10));
        BOOST_TEST(state.context.targets.find("a-second")->acceptsNewWork(at(11)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
