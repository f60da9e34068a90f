//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of roles, configuration sources and the scheduler
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fixtures.h"

#include "spurlug/control/messages.h"
#include "spurlug/control/roster.h"
#include "spurlug/control/scheduler.h"
#include "spurlug/control/scheduler_client.h"
#include "spurlug/control/source_choice.h"
#include "spurlug/core/text.h"
#include "spurlug/membership/heartbeat.h"
#include "spurlug/relay/target_log.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace
{

using namespace spurlug;
using namespace spurlug::relay;
using namespace spurlug::test;
using control::AnswerKind;
using control::Member;
using control::Role;
using control::Roster;

Member member(const std::string &vm, const std::string &domain = "hall-a", double share = 0.12)
{
    return {vm, domain, share, membership::DaemonState::Serving, {"127.0.0.1", 1}, {"127.0.0.1", 2}};
}

/// Returns the members of a fleet with several failure domains and three larger VMs in each.
std::vector<Member> fleet(int daemons, int domains)
{
    std::vector<Member> members;
    for (int i = 0; i < daemons; ++i) {
        members.push_back(member(core::cat("vm-", i), core::cat("hall-", i % domains), i < 3 * domains ? 0.5 : 0.12));
    }
    return members;
}

std::string nameOf(const std::vector<Member> &holders)
{
    return holders.empty() ? "" : holders.front().vm;
}

/// A scheduler with engines of 10 slots each, as in a large fleet.
struct SchedulerState
{
    explicit SchedulerState(int engines)
    {
        settings.vm = "scheduler";
        auto table = core::makeCounted<config::RouteTable>();
        table->version = 1;
        config::Route route;
        route.services = {{"model", 1}};
        route.gapAim = absl::Milliseconds(250);
        table->routes.push_back(route);
        config::ServiceSpec service;
        service.name = "model";
        service.engine = engine();
        service.engine->slots = Slots;
        table->services.emplace("model", service);
        context.adopt(table, "{}", "test", at(0));
        for (int i = 0; i < engines; ++i) {
            context.targets.put({core::cat("engine-", i), "model", {"127.0.0.1", 8000}, "hall-a", Slots, false});
        }
    }

    static constexpr int Slots = 10;
    net::Loop loop;
    settings::RelaySettings settings;
    metrics::Metrics metrics;
    RelayContext context{loop, settings, metrics};
    control::Scheduler scheduler{context};
};

control::PlacementAsk shortAsk(const std::string &vm, std::uint64_t number)
{
    control::PlacementAsk ask;
    ask.vm = vm;
    ask.ask = number;
    ask.service = "model";
    ask.prompt = {5000, 1500};
    ask.aim = absl::Milliseconds(400);
    ask.tight = true;
    ask.patience = absl::Seconds(2);
    return ask;
}

control::WorkReport reportOf(const std::string &vm, std::uint64_t sequence, std::uint64_t newestGrant)
{
    control::WorkReport report;
    report.vm = vm;
    report.incarnation = 1;
    report.sequence = sequence;
    report.newestGrant = newestGrant;
    return report;
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_plane)

BOOST_AUTO_TEST_CASE(daemons_that_hear_the_same_others_agree_on_roles_and_larger_vms_hold_them)
{
    Roster first("vm-7");
    Roster second("vm-200");
    auto members = fleet(295, 5);
    first.replace(members);
    std::reverse(members.begin(), members.end());
    second.replace(members);
    BOOST_TEST(nameOf(first.holders(Role::Scheduler, 1)) == nameOf(second.holders(Role::Scheduler, 1)));
    BOOST_TEST(first.holders(Role::Scheduler, 1).front().processorShare == 0.5);
    for (const auto &domain : first.failureDomains()) {
        const auto readers = first.holdersIn(domain, Role::Reader, 2);
        BOOST_REQUIRE(readers.size() == 2U);
        BOOST_TEST(readers[1].processorShare == 0.5);
        BOOST_TEST(readers[1].vm == second.holdersIn(domain, Role::Reader, 2)[1].vm);
    }
}

BOOST_AUTO_TEST_CASE(a_daemon_that_stops_holds_no_role_and_one_that_just_started_comes_last)
{
    Roster roster("a");
    auto leaving = member("b", "hall-a", 1);
    leaving.state = membership::DaemonState::Leaving;
    auto young = member("c", "hall-a", 1);
    young.state = membership::DaemonState::Starting;
    roster.replace({member("a"), leaving, young});
    const auto holders = roster.holders(Role::Scheduler, 3);
    BOOST_REQUIRE(holders.size() == 2U);
    BOOST_TEST(holders[0].vm == "a");
    BOOST_TEST(holders[1].vm == "c");
}

BOOST_AUTO_TEST_CASE(few_daemons_of_a_large_fleet_read_the_directory_while_it_answers)
{
    const auto members = fleet(295, 5);
    int readers = 0;
    for (const auto &self : members) {
        Roster roster(self.vm);
        roster.replace(members);
        control::SourceChoice choice(roster, self.failureDomain, 2, 1, at(0));
        readers += choice.isReader() ? 1 : 0;
        const auto question = choice.next(choice.isReader() ? at(0) : absl::InfinitePast(), at(100));
        BOOST_TEST(question.has_value() == !choice.isReader());
        if (question) {
            control::ProofAnswer answer;
            answer.vm = question->source.vm;
            answer.number = question->number;
            answer.contactAge = absl::Milliseconds(600);
            BOOST_TEST((choice.answered(answer, at(105)) == at(100)));
        }
        BOOST_TEST(choice.readsItself(at(110)) == choice.isReader());
    }
    BOOST_TEST(readers == 10);
}

BOOST_AUTO_TEST_CASE(a_follower_passes_over_silent_and_outdated_readers_and_then_reads_itself)
{
    Roster roster("vm-100");
    roster.replace(fleet(120, 3));
    control::SourceChoice choice(roster, "hall-1", 2, 1, at(0));
    std::set<std::string> asked;
    const auto first = choice.next(absl::InfinitePast(), at(0));
    BOOST_REQUIRE(first.has_value());
    control::ProofAnswer fresh;
    fresh.vm = first->source.vm;
    fresh.number = first->number;
    fresh.contactAge = absl::Milliseconds(500);
    BOOST_REQUIRE(choice.answered(fresh, at(2)).has_value());
    BOOST_TEST(!choice.next(absl::InfinitePast(), at(100)).has_value()); // Not due yet.
    // From here on every second query stays unanswered; the other readers have lost the directory.
    for (int ms = 400; ms < 2000; ms += 50) {
        if (const auto question = choice.next(absl::InfinitePast(), at(ms))) {
            asked.insert(question->source.vm);
            if (question->number % 2 == 0) {
                control::ProofAnswer old;
                old.vm = question->source.vm;
                old.number = question->number;
                old.contactAge = absl::Milliseconds(3000);
                BOOST_TEST(choice.answered(old, at(ms + 1)).has_value());
            }
        }
    }
    BOOST_TEST(asked.size() == 4U); // Two of the local domain and one of each other domain.
    BOOST_TEST(!choice.readsItself(at(1000))); // The confirmation received at 2 ms is still recent enough.
    BOOST_TEST(choice.readsItself(at(4000)));
}

BOOST_AUTO_TEST_CASE(a_daemon_whose_questions_stay_without_an_answer_takes_itself_for_cut_off)
{
    Roster roster("vm-100");
    roster.replace(fleet(120, 3));
    control::SourceChoice choice(roster, "hall-1", 2, 1, at(0));
    for (int ms = 0; ms < 1000; ms += 50) {
        static_cast<void>(choice.next(absl::InfinitePast(), at(ms)));
        BOOST_TEST(choice.isolated() == (ms >= 450));
    }
    const auto question = choice.next(absl::InfinitePast(), at(3000)); // Readers that did not answer are queried again.
    BOOST_REQUIRE(question.has_value());
    control::ProofAnswer answer;
    answer.vm = question->source.vm;
    answer.number = question->number;
    BOOST_REQUIRE(choice.answered(answer, at(3010)).has_value());
    BOOST_TEST(!choice.isolated());
}

BOOST_AUTO_TEST_CASE(a_daemon_that_starts_looks_for_a_reader_before_it_reads_itself)
{
    Roster roster("vm-100");
    roster.replace(fleet(120, 3));
    const control::SourceChoice choice(roster, "hall-1", 2, 1, at(0));
    BOOST_TEST(!choice.readsItself(at(200)));
    BOOST_TEST(choice.readsItself(at(400)));
}

BOOST_AUTO_TEST_CASE(an_answer_counts_once_and_only_from_whom_was_asked)
{
    Roster roster("vm-100");
    roster.replace(fleet(120, 3));
    control::SourceChoice choice(roster, "hall-1", 2, 1, at(0));
    const auto question = choice.next(absl::InfinitePast(), at(0));
    BOOST_REQUIRE(question.has_value());
    control::ProofAnswer answer;
    answer.vm = "somebody";
    answer.number = question->number;
    BOOST_TEST(!choice.answered(answer, at(10)).has_value());
    answer.vm = question->source.vm;
    answer.number = question->number + 1;
    BOOST_TEST(!choice.answered(answer, at(10)).has_value());
    answer.number = question->number;
    // The data is as fresh as the query, however late the answer.
    BOOST_TEST((choice.answered(answer, at(90)) == at(0)));
    BOOST_TEST(!choice.answered(answer, at(91)).has_value());
}

/// Many daemons request placements of short prompts at the same instant, before any of them has reported work.
BOOST_AUTO_TEST_CASE(a_burst_over_hundreds_of_daemons_fills_no_engine_beyond_its_slots)
{
    constexpr int Engines = 150;
    SchedulerState state(Engines);
    std::map<std::uint32_t, int> atEngine;
    int queued = 0;
    for (int daemon = 0; daemon < 295; ++daemon) {
        for (std::uint64_t number = 1; number <= 8; ++number) {
            const auto answer = state.scheduler.ask(shortAsk(core::cat("vm-", daemon), number), at(1));
            if (answer.kind == AnswerKind::Granted) {
                ++atEngine[answer.target];
            } else {
                ++queued;
            }
        }
    }
    int most = 0;
    for (const auto &[engine, requests] : atEngine) {
        most = std::max(most, requests);
    }
    BOOST_TEST(most <= SchedulerState::Slots);
    BOOST_TEST(atEngine.size() >= static_cast<std::size_t>(Engines) * 9 / 10);
    // All prefill capacity is granted; the rest waits in the scheduler's queue, not at the engines.
    BOOST_TEST(queued > 0);
}

BOOST_AUTO_TEST_CASE(a_grant_counts_until_its_daemon_reports_the_work_or_says_nothing)
{
    SchedulerState state(1);
    const auto load = [&] { return state.context.targets.find("engine-0")->peers(at(0)).requests; };
    const auto first = state.scheduler.ask(shortAsk("a", 1), at(0));
    BOOST_REQUIRE((first.kind == AnswerKind::Granted));
    BOOST_TEST(load() == 1);
    auto report = reportOf("a", 1, first.grant);
    targets::TargetWork work;
    work.target = first.target;
    work.work.requests = 1;
    report.work = {work};
    state.scheduler.report(report, at(10));
    BOOST_TEST(load() == 1); // The grant and the reported work count once.
    state.scheduler.report(reportOf("a", 1, 0), at(11)); // A report with a known sequence number is ignored.
    BOOST_TEST(load() == 1);
    state.scheduler.report(reportOf("a", 2, first.grant), at(20));
    BOOST_TEST(load() == 0);
    BOOST_REQUIRE((state.scheduler.ask(shortAsk("b", 1), at(30)).kind == AnswerKind::Granted));
    state.scheduler.forgetSilent(at(2000)); // The daemon was killed and never reported the work.
    BOOST_TEST(load() == 0);
}

BOOST_AUTO_TEST_CASE(work_of_a_daemon_that_is_silent_is_forgotten)
{
    SchedulerState state(1);
    auto report = reportOf("a", 1, 0);
    targets::TargetWork work;
    work.target = state.context.targets.find("engine-0")->hash;
    work.work.requests = 7;
    report.work = {work};
    state.scheduler.report(report, at(0));
    state.scheduler.forgetSilent(at(1000));
    BOOST_TEST(state.context.targets.find("engine-0")->peers(at(0)).requests == 7);
    state.scheduler.forgetSilent(at(3000));
    BOOST_TEST(state.context.targets.find("engine-0")->peers(at(0)).requests == 0);
}

BOOST_AUTO_TEST_CASE(an_ask_that_comes_again_gets_the_same_grant_and_a_cancelled_one_gives_it_back)
{
    SchedulerState state(3);
    const auto first = state.scheduler.ask(shortAsk("a", 1), at(0));
    const auto again = state.scheduler.ask(shortAsk("a", 1), at(30));
    BOOST_REQUIRE((first.kind == AnswerKind::Granted));
    BOOST_TEST(again.grant == first.grant);
    BOOST_TEST(again.target == first.target);
    state.scheduler.cancel({"a", 1});
    BOOST_TEST(state.context.targets.withHash(first.target)->peers(at(0)).requests == 0);
}

BOOST_AUTO_TEST_CASE(asks_wait_in_order_and_get_what_falls_free)
{
    SchedulerState state(1);
    auto full = reportOf("busy", 1, 0);
    targets::TargetWork work;
    work.target = state.context.targets.find("engine-0")->hash;
    work.work.requests = SchedulerState::Slots;
    work.work.writers = SchedulerState::Slots;
    full.work = {work};
    state.scheduler.report(full, at(0));
    auto late = shortAsk("a", 1);
    auto urgent = shortAsk("b", 1);
    late.priority = 2;
    urgent.priority = 1;
    BOOST_TEST((state.scheduler.ask(late, at(1)).kind == AnswerKind::Queued));
    BOOST_TEST((state.scheduler.ask(urgent, at(2)).kind == AnswerKind::Queued));
    BOOST_TEST(state.scheduler.serveWaiting(at(10)).empty());
    full.sequence = 2;
    full.work.front().work.requests = SchedulerState::Slots - 1;
    state.scheduler.report(full, at(20));
    const auto grants = state.scheduler.serveWaiting(at(20));
    BOOST_REQUIRE(grants.size() == 1U);
    BOOST_TEST(grants.front().first == "b");
    BOOST_TEST(state.scheduler.waiting() == 1U);
    state.scheduler.forgetSilent(at(1000)); // The request was not repeated, so its caller is gone.
    BOOST_TEST(state.scheduler.waiting() == 0U);
}

/// Daemons are killed while their requests wait, and others keep sending new ones.
BOOST_AUTO_TEST_CASE(asks_of_daemons_that_are_gone_do_not_pile_up)
{
    SchedulerState state(1);
    int wakes = 0;
    state.scheduler.onWaiting([&wakes] { ++wakes; });
    auto full = reportOf("busy", 1, 0);
    targets::TargetWork work;
    work.target = state.context.targets.find("engine-0")->hash;
    work.work.requests = SchedulerState::Slots;
    full.work = {work};
    state.scheduler.report(full, at(0));
    for (int ms = 0; ms < 1000; ms += 10) {
        const auto answer = state.scheduler.ask(shortAsk(core::cat("vm-", ms), 1), at(ms));
        BOOST_TEST((answer.kind == AnswerKind::Queued));
        state.scheduler.forgetSilent(at(ms));
    }
    BOOST_TEST(wakes == 100);
    BOOST_TEST(state.scheduler.waiting() <= 51U); // The requests of the last half second.
}

/// There are more long prompts than the engines can prefill in time: an older one has missed its objective already, and
/// a newer one can still meet it.
BOOST_AUTO_TEST_CASE(a_long_prompt_that_will_be_late_steps_back_for_one_that_can_be_in_time)
{
    SchedulerState state(16);
    std::vector<targets::TargetWork> reading;
    for (const auto &[id, target] : state.context.targets.all()) {
        targets::TargetWork work;
        work.target = target->hash;
        work.work.parts = 1;
        work.work.partMicros = 600'000;
        work.dueMicros = 600'000;
        reading.push_back(work);
    }
    auto busy = reportOf("busy", 1, 0);
    busy.work = reading;
    state.scheduler.report(busy, at(0));
    const auto longAsk = [](const std::string &vm, core::Duration waited) {
        auto ask = shortAsk(vm, 1);
        ask.prompt = {150'000, 500};
        ask.aim = absl::Milliseconds(3000);
        ask.tight = false;
        ask.waited = waited;
        ask.patience = absl::Seconds(12);
        return ask;
    };
    BOOST_TEST((state.scheduler.ask(longAsk("late", absl::Milliseconds(3500)), at(1)).kind == AnswerKind::Queued));
    BOOST_TEST((state.scheduler.ask(longAsk("fresh", absl::ZeroDuration()), at(2)).kind == AnswerKind::Queued));
    state.scheduler.report(reportOf("busy", 2, 0), at(400));
    const auto grants = state.scheduler.serveWaiting(at(400));
    BOOST_REQUIRE(!grants.empty());
    BOOST_TEST(grants.front().first == "fresh");
}

BOOST_AUTO_TEST_CASE(reading_that_was_told_shrinks_until_it_is_told_again)
{
    SchedulerState state(1);
    auto report = reportOf("a", 1, 0);
    const auto target = state.context.targets.find("engine-0");
    targets::TargetWork work;
    work.target = target->hash;
    work.work.partMicros = 250'000;
    work.dueMicros = 250'000;
    report.work = {work};
    state.scheduler.report(report, at(0));
    BOOST_TEST(target->load(at(0)).partMicros == 250'000);
    BOOST_TEST(target->load(at(100)).partMicros == 150'000);
    // The prefill is overdue, so the remaining time is unknown.
    BOOST_TEST(target->load(at(1000)).partMicros == 125'000);
}

// Guards against discarding a whole grant because of one unusable helper. While engines are replaced one after the
// other, target lists differ between daemons for some 100 ms, and one grant in sixty named an engine that the
// requesting daemon did not know or must not use. The request was then placed by the local view alone, although most
// engines of a grant only help with the prefill.
BOOST_AUTO_TEST_CASE(a_grant_is_used_without_the_helpers_that_this_daemon_must_not_use)
{
    SchedulerState state(2);
    state.context.roster.replace({member("scheduler"), member("other", "hall-a", 0.5)});
    control::PlacementAsk asked;
    control::SchedulerClient client(state.context, state.scheduler, [&](const auto &, const control::Message &message) {
        if (const auto *ask = std::get_if<control::PlacementAsk>(&message)) {
            asked = *ask;
        }
    });
    control::PlacementSession session(state.context, &client, core::makeCounted<RequestInbox>(state.loop));
    TargetQuery query;
    query.service = "model";
    query.prompt = prompt(40'000, false);
    BOOST_REQUIRE(session.pursue(query, 0, at(0)));
    constexpr std::uint32_t Unknown = 12345;
    control::PlacementAnswer answer;
    answer.vm = "other";
    answer.ask = asked.ask;
    answer.kind = AnswerKind::Granted;
    answer.target = state.context.targets.find("engine-0")->hash;
    answer.helpers = {state.context.targets.find("engine-1")->hash, Unknown};
    answer.expected = absl::Milliseconds(100);
    answer.partRead = absl::Milliseconds(20);
    const auto chosen = session.take(answer, at(5));
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST(chosen->helpers.size() == 1U);
    BOOST_TEST((chosen->partRead == absl::Milliseconds(30))); // Two engines prefill what was planned for three.
    answer.holdingTokens = {16, 16}; // The unknown engine is to hold KV memory that the prompt needs.
    BOOST_TEST(!session.take(answer, at(6)).has_value());
}

BOOST_AUTO_TEST_CASE(an_engine_that_turned_a_request_down_gets_none_from_any_daemon_for_a_moment)
{
    SchedulerState state(2);
    const auto full = state.context.targets.find("engine-0");
    auto report = reportOf("a", 1, 0);
    report.outcomes = {{full->hash, TargetFault::Busy}};
    state.scheduler.report(report, at(0));
    for (std::uint64_t number = 1; number <= 6; ++number) {
        const auto answer = state.scheduler.ask(shortAsk("b", number), at(10));
        BOOST_TEST((answer.kind == AnswerKind::Granted));
        BOOST_TEST(answer.target != full->hash);
    }
    BOOST_TEST(!full->health.ejected(at(10))); // The engine is full, it does not fail.
}

BOOST_AUTO_TEST_CASE(failures_that_different_daemons_saw_count_together)
{
    SchedulerState state(2);
    const auto grey = state.context.targets.find("engine-0");
    for (const auto *vm : {"a", "b", "c"}) {
        auto report = reportOf(vm, 1, 0);
        report.outcomes = {{grey->hash, TargetFault::Error}};
        state.scheduler.report(report, at(0));
    }
    BOOST_TEST(grey->health.ejected(at(1)));
}

BOOST_AUTO_TEST_CASE(a_scheduler_that_stops_places_nothing)
{
    SchedulerState state(2);
    state.context.draining = true;
    BOOST_TEST((state.scheduler.ask(shortAsk("a", 1), at(0)).kind == AnswerKind::NotHere));
}

BOOST_AUTO_TEST_CASE(messages_come_back_as_they_were_written_and_heartbeats_are_none)
{
    auto ask = shortAsk("a", 77);
    ask.notAt = {1, 2};
    ask.onlyAt = {3};
    ask.atHome = true;
    const auto read = control::readMessage(control::writeMessage(ask));
    BOOST_REQUIRE(read.has_value());
    const auto &back = std::get<control::PlacementAsk>(*read);
    BOOST_TEST(back.ask == 77U);
    BOOST_TEST(back.prompt.memoryTokens() == ask.prompt.memoryTokens());
    BOOST_TEST((back.aim == ask.aim));
    BOOST_TEST(back.notAt == ask.notAt, boost::test_tools::per_element());
    BOOST_TEST(back.onlyAt == ask.onlyAt, boost::test_tools::per_element());
    BOOST_TEST(back.atHome);
    control::ProofAnswer proof;
    const auto proofBack = control::readMessage(control::writeMessage(proof));
    BOOST_TEST((std::get<control::ProofAnswer>(*proofBack).proofAge == absl::InfiniteDuration()));
    BOOST_TEST(!control::readMessage(membership::writeHeartbeat({}, "")).has_value());
    BOOST_TEST(!control::readMessage("no message").has_value());
}

BOOST_AUTO_TEST_CASE(a_follower_is_told_only_what_changed_since_its_own_list)
{
    TargetLog log;
    BOOST_TEST(!log.since({0, 0}).has_value());
    log.restart({0, 10});
    log.add({0, 12}, {{entry("a"), false}});
    log.add({0, 15}, {{entry("a"), true}});
    BOOST_TEST(!log.since({0, 9}).has_value()); // The log starts later, so the full list is needed.
    BOOST_TEST(log.since({0, 10})->size() == 2U);
    BOOST_TEST(log.since({0, 13})->size() == 1U);
    BOOST_TEST(log.since({0, 15})->empty());
    BOOST_TEST((log.newest() == DirectoryPosition{0, 15}));
    log.restart({1, 8}); // The directory was restored from a backup.
    log.add({1, 16}, {{entry("b"), false}});
    BOOST_TEST(!log.since({0, 15}).has_value());
    BOOST_TEST(log.since({1, 8})->size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
