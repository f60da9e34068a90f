//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of roles, configuration sources and the scheduler
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fixtures.h"

#include "spurlug/control/messages.h"
#include "spurlug/control/roster.h"
#include "spurlug/control/scheduler.h"
#include "spurlug/control/scheduler_client.h"
#include "spurlug/control/source_selector.h"
#include "spurlug/core/text.h"
#include "spurlug/membership/heartbeat.h"
#include "spurlug/relay/target_change_log.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace
{

using namespace spurlug;
using namespace spurlug::relay;
using namespace spurlug::test;
using control::Member;
using control::ReplyKind;
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

std::string firstHolder(const std::vector<Member> &holders)
{
    return holders.empty() ? "" : holders.front().vm;
}

/// A scheduler with engines of 10 slots each, as in a large fleet.
struct SchedulerState
{
    explicit SchedulerState(int engines, settings::FeatureMode overloadMode = settings::FeatureMode::Auto)
    {
        settings.vm = "scheduler";
        settings.overload.admission = settings.overload.fairShares = overloadMode;
        auto table = core::makeRef<config::RouteTable>();
        table->version = 1;
        config::Route route;
        route.services = {{"model", 1}};
        route.gapObjective = absl::Milliseconds(250);
        table->routes.push_back(route);
        config::ServiceSpec service;
        service.name = "model";
        service.engine = engineCosts();
        service.engine->slots = Slots;
        table->services.emplace("model", service);
        context.activateConfiguration(table, "{}", "test", at(0));
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

control::PlacementRequest shortPromptRequest(const std::string &vm, std::uint64_t number)
{
    control::PlacementRequest request;
    request.vm = vm;
    request.requestNumber = number;
    request.service = "model";
    request.prompt = {5000, 1500};
    request.ttftObjective = absl::Milliseconds(400);
    request.shortGaps = true;
    request.callerTimeout = absl::Seconds(2);
    return request;
}

control::WorkReport workReport(const std::string &vm, std::uint64_t sequence, std::uint64_t newestGrant)
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

BOOST_AUTO_TEST_CASE(daemons_with_the_same_members_agree_on_roles_and_larger_vms_hold_them)
{
    Roster first("vm-7");
    Roster second("vm-200");
    auto members = fleet(295, 5);
    first.replace(members);
    std::reverse(members.begin(), members.end());
    second.replace(members);
    BOOST_TEST(firstHolder(first.holders(Role::Scheduler, 1)) == firstHolder(second.holders(Role::Scheduler, 1)));
    BOOST_TEST(first.holders(Role::Scheduler, 1).front().processorShare == 0.5);
    for (const auto &domain : first.failureDomains()) {
        const auto readers = first.holdersIn(domain, Role::DirectoryReader, 2);
        BOOST_REQUIRE(readers.size() == 2U);
        BOOST_TEST(readers[1].processorShare == 0.5);
        BOOST_TEST(readers[1].vm == second.holdersIn(domain, Role::DirectoryReader, 2)[1].vm);
    }
}

BOOST_AUTO_TEST_CASE(a_draining_daemon_holds_no_role_and_a_starting_one_ranks_last)
{
    Roster roster("a");
    auto draining = member("b", "hall-a", 1);
    draining.state = membership::DaemonState::Draining;
    auto starting = member("c", "hall-a", 1);
    starting.state = membership::DaemonState::Starting;
    roster.replace({member("a"), draining, starting});
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
        control::SourceSelector selector(roster, self.failureDomain, 2, 1, at(0));
        readers += selector.isReader() ? 1 : 0;
        const auto query = selector.nextQuery(selector.isReader() ? at(0) : absl::InfinitePast(), at(100));
        BOOST_TEST(query.has_value() == !selector.isReader());
        if (query) {
            control::FreshnessReply answer;
            answer.vm = query->source.vm;
            answer.number = query->queryNumber;
            answer.directoryContactAge = absl::Milliseconds(600);
            BOOST_TEST((selector.handleReply(answer, at(105)) == at(100)));
        }
        BOOST_TEST(selector.readsDirectory(at(110)) == selector.isReader());
    }
    BOOST_TEST(readers == 10);
}

BOOST_AUTO_TEST_CASE(a_daemon_skips_silent_and_outdated_readers_and_then_reads_the_directory)
{
    Roster roster("vm-100");
    roster.replace(fleet(120, 3));
    control::SourceSelector selector(roster, "hall-1", 2, 1, at(0));
    std::set<std::string> queriedVms;
    const auto first = selector.nextQuery(absl::InfinitePast(), at(0));
    BOOST_REQUIRE(first.has_value());
    control::FreshnessReply fresh;
    fresh.vm = first->source.vm;
    fresh.number = first->queryNumber;
    fresh.directoryContactAge = absl::Milliseconds(500);
    BOOST_REQUIRE(selector.handleReply(fresh, at(2)).has_value());
    BOOST_TEST(!selector.nextQuery(absl::InfinitePast(), at(100)).has_value()); // Not due yet.
    // From here on every second query stays unanswered; the other readers have lost the directory.
    for (int ms = 400; ms < 2000; ms += 50) {
        if (const auto query = selector.nextQuery(absl::InfinitePast(), at(ms))) {
            queriedVms.insert(query->source.vm);
            if (query->queryNumber % 2 == 0) {
                control::FreshnessReply outdated;
                outdated.vm = query->source.vm;
                outdated.number = query->queryNumber;
                outdated.directoryContactAge = absl::Milliseconds(3000);
                BOOST_TEST(selector.handleReply(outdated, at(ms + 1)).has_value());
            }
        }
    }
    BOOST_TEST(queriedVms.size() == 4U); // Two of the local domain and one of each other domain.
    BOOST_TEST(!selector.readsDirectory(at(1000))); // The confirmation received at 2 ms is still recent enough.
    BOOST_TEST(selector.readsDirectory(at(4000)));
}

BOOST_AUTO_TEST_CASE(a_daemon_whose_queries_are_not_answered_considers_itself_isolated)
{
    Roster roster("vm-100");
    roster.replace(fleet(120, 3));
    control::SourceSelector selector(roster, "hall-1", 2, 1, at(0));
    for (int ms = 0; ms < 1000; ms += 50) {
        static_cast<void>(selector.nextQuery(absl::InfinitePast(), at(ms)));
        BOOST_TEST(selector.isolated() == (ms >= 450));
    }
    const auto query
        = selector.nextQuery(absl::InfinitePast(), at(3000)); // Readers that did not answer are queried again.
    BOOST_REQUIRE(query.has_value());
    control::FreshnessReply answer;
    answer.vm = query->source.vm;
    answer.number = query->queryNumber;
    BOOST_REQUIRE(selector.handleReply(answer, at(3010)).has_value());
    BOOST_TEST(!selector.isolated());
}

BOOST_AUTO_TEST_CASE(a_starting_daemon_looks_for_a_reader_before_it_reads_the_directory)
{
    Roster roster("vm-100");
    roster.replace(fleet(120, 3));
    const control::SourceSelector selector(roster, "hall-1", 2, 1, at(0));
    BOOST_TEST(!selector.readsDirectory(at(200)));
    BOOST_TEST(selector.readsDirectory(at(400)));
}

BOOST_AUTO_TEST_CASE(a_reply_counts_once_and_only_from_the_queried_daemon)
{
    Roster roster("vm-100");
    roster.replace(fleet(120, 3));
    control::SourceSelector selector(roster, "hall-1", 2, 1, at(0));
    const auto query = selector.nextQuery(absl::InfinitePast(), at(0));
    BOOST_REQUIRE(query.has_value());
    control::FreshnessReply answer;
    answer.vm = "somebody";
    answer.number = query->queryNumber;
    BOOST_TEST(!selector.handleReply(answer, at(10)).has_value());
    answer.vm = query->source.vm;
    answer.number = query->queryNumber + 1;
    BOOST_TEST(!selector.handleReply(answer, at(10)).has_value());
    answer.number = query->queryNumber;
    // The data is as fresh as the query, however late the answer.
    BOOST_TEST((selector.handleReply(answer, at(90)) == at(0)));
    BOOST_TEST(!selector.handleReply(answer, at(91)).has_value());
}

/// Many daemons request placements of short prompts at the same instant, before any of them has reported work.
BOOST_AUTO_TEST_CASE(a_burst_over_hundreds_of_daemons_fills_no_engine_beyond_its_slots)
{
    constexpr int Engines = 150;
    SchedulerState state(Engines);
    std::map<std::uint32_t, int> requestsByEngine;
    int queued = 0;
    for (int daemon = 0; daemon < 295; ++daemon) {
        for (std::uint64_t number = 1; number <= 8; ++number) {
            const auto answer
                = state.scheduler.handleRequest(shortPromptRequest(core::cat("vm-", daemon), number), at(1));
            if (answer.kind == ReplyKind::Granted) {
                ++requestsByEngine[answer.target];
            } else {
                ++queued;
            }
        }
    }
    int maxRequests = 0;
    for (const auto &[engine, requests] : requestsByEngine) {
        maxRequests = std::max(maxRequests, requests);
    }
    BOOST_TEST(maxRequests <= SchedulerState::Slots);
    BOOST_TEST(requestsByEngine.size() >= static_cast<std::size_t>(Engines) * 9 / 10);
    // All prefill capacity is granted; the rest waits in the scheduler's queue, not at the engines.
    BOOST_TEST(queued > 0);
}

BOOST_AUTO_TEST_CASE(a_grant_counts_until_its_daemon_reports_the_work_or_is_silent)
{
    SchedulerState state(1);
    const auto load = [&] { return state.context.targets.find("engine-0")->peerWork(at(0)).requests; };
    const auto first = state.scheduler.handleRequest(shortPromptRequest("a", 1), at(0));
    BOOST_REQUIRE((first.kind == ReplyKind::Granted));
    BOOST_TEST(load() == 1);
    auto report = workReport("a", 1, first.grantNumber);
    targets::TargetWork work;
    work.target = first.target;
    work.work.requests = 1;
    report.work = {work};
    state.scheduler.applyReport(report, at(10));
    BOOST_TEST(load() == 1); // The grant and the reported work count once.
    state.scheduler.applyReport(workReport("a", 1, 0), at(11)); // A report with a known sequence number is ignored.
    BOOST_TEST(load() == 1);
    state.scheduler.applyReport(workReport("a", 2, first.grantNumber), at(20));
    BOOST_TEST(load() == 0);
    BOOST_REQUIRE((state.scheduler.handleRequest(shortPromptRequest("b", 1), at(30)).kind == ReplyKind::Granted));
    state.scheduler.removeExpired(at(2000)); // The daemon was killed and never reported the work.
    BOOST_TEST(load() == 0);
}

// Guards against ignoring the work of a daemon that restarts while its time of day is set back, until it has passed
// the time of the last start.
BOOST_AUTO_TEST_CASE(the_work_of_a_daemon_that_restarts_with_a_lower_incarnation_number_is_counted)
{
    SchedulerState state(1);
    const auto engine = state.context.targets.find("engine-0");
    auto report = workReport("a", 5, 0);
    report.incarnation = 9;
    state.scheduler.applyReport(report, at(0));
    auto restarted = workReport("a", 1, 0);
    restarted.incarnation = 4;
    targets::TargetWork work;
    work.target = engine->hash;
    work.work.requests = 3;
    restarted.work = {work};
    state.scheduler.applyReport(restarted, at(300));
    BOOST_TEST(engine->peerWork(at(300)).requests == 3);
    report.sequence = 6; // A late one of the incarnation that has ended.
    state.scheduler.applyReport(report, at(310));
    BOOST_TEST(engine->peerWork(at(310)).requests == 3);
}

BOOST_AUTO_TEST_CASE(work_of_a_daemon_that_is_silent_is_forgotten)
{
    SchedulerState state(1);
    auto report = workReport("a", 1, 0);
    targets::TargetWork work;
    work.target = state.context.targets.find("engine-0")->hash;
    work.work.requests = 7;
    report.work = {work};
    state.scheduler.applyReport(report, at(0));
    state.scheduler.removeExpired(at(1000));
    BOOST_TEST(state.context.targets.find("engine-0")->peerWork(at(0)).requests == 7);
    state.scheduler.removeExpired(at(3000));
    BOOST_TEST(state.context.targets.find("engine-0")->peerWork(at(0)).requests == 0);
}

BOOST_AUTO_TEST_CASE(a_repeated_request_gets_the_same_grant_and_a_cancelled_one_releases_it)
{
    SchedulerState state(3);
    const auto first = state.scheduler.handleRequest(shortPromptRequest("a", 1), at(0));
    const auto again = state.scheduler.handleRequest(shortPromptRequest("a", 1), at(30));
    BOOST_REQUIRE((first.kind == ReplyKind::Granted));
    BOOST_TEST(again.grantNumber == first.grantNumber);
    BOOST_TEST(again.target == first.target);
    state.scheduler.cancel({"a", 1});
    BOOST_TEST(state.context.targets.findByHash(first.target)->peerWork(at(0)).requests == 0);
}

BOOST_AUTO_TEST_CASE(requests_wait_in_order_and_get_freed_capacity)
{
    SchedulerState state(1);
    auto full = workReport("busy", 1, 0);
    targets::TargetWork work;
    work.target = state.context.targets.find("engine-0")->hash;
    work.work.requests = SchedulerState::Slots;
    work.work.decodingRequests = SchedulerState::Slots;
    full.work = {work};
    state.scheduler.applyReport(full, at(0));
    auto late = shortPromptRequest("a", 1);
    auto urgent = shortPromptRequest("b", 1);
    late.priority = 2;
    urgent.priority = 1;
    BOOST_TEST((state.scheduler.handleRequest(late, at(1)).kind == ReplyKind::Queued));
    BOOST_TEST((state.scheduler.handleRequest(urgent, at(2)).kind == ReplyKind::Queued));
    BOOST_TEST(state.scheduler.placeQueued(at(10)).empty());
    full.sequence = 2;
    full.work.front().work.requests = SchedulerState::Slots - 1;
    state.scheduler.applyReport(full, at(20));
    const auto grants = state.scheduler.placeQueued(at(20));
    BOOST_REQUIRE(grants.size() == 1U);
    BOOST_TEST(grants.front().first == "b");
    BOOST_TEST(state.scheduler.queuedCount() == 1U);
    state.scheduler.removeExpired(at(1000)); // The request was not repeated, so its caller is gone.
    BOOST_TEST(state.scheduler.queuedCount() == 0U);
}

/// Daemons are killed while their requests wait, and others keep sending new ones.
BOOST_AUTO_TEST_CASE(requests_of_killed_daemons_do_not_accumulate)
{
    SchedulerState state(1);
    int wakeUps = 0;
    state.scheduler.setQueuedCallback([&wakeUps] { ++wakeUps; });
    auto full = workReport("busy", 1, 0);
    targets::TargetWork work;
    work.target = state.context.targets.find("engine-0")->hash;
    work.work.requests = SchedulerState::Slots;
    full.work = {work};
    state.scheduler.applyReport(full, at(0));
    for (int ms = 0; ms < 1000; ms += 10) {
        const auto answer = state.scheduler.handleRequest(shortPromptRequest(core::cat("vm-", ms), 1), at(ms));
        BOOST_TEST((answer.kind == ReplyKind::Queued));
        state.scheduler.removeExpired(at(ms));
    }
    BOOST_TEST(wakeUps == 100);
    BOOST_TEST(state.scheduler.queuedCount() <= 51U); // The requests of the last half second.
}

/// There are more long prompts than the engines can prefill in time: an older one has missed its objective already, and
/// a newer one can still meet it.
BOOST_AUTO_TEST_CASE(a_long_prompt_that_is_late_yields_to_one_that_can_be_in_time)
{
    SchedulerState state(16);
    std::vector<targets::TargetWork> engineWork;
    for (const auto &[id, target] : state.context.targets.all()) {
        targets::TargetWork work;
        work.target = target->hash;
        work.work.prefillParts = 1;
        work.work.partPrefillMicros = 600'000;
        work.prefillDueMicros = 600'000;
        engineWork.push_back(work);
    }
    auto busy = workReport("busy", 1, 0);
    busy.work = engineWork;
    state.scheduler.applyReport(busy, at(0));
    const auto longPromptRequest = [](const std::string &vm, core::Duration waited) {
        auto request = shortPromptRequest(vm, 1);
        request.prompt = {150'000, 500};
        request.ttftObjective = absl::Milliseconds(3000);
        request.shortGaps = false;
        request.waited = waited;
        request.callerTimeout = absl::Seconds(12);
        return request;
    };
    BOOST_TEST((state.scheduler.handleRequest(longPromptRequest("late", absl::Milliseconds(3500)), at(1)).kind
                == ReplyKind::Queued));
    BOOST_TEST((state.scheduler.handleRequest(longPromptRequest("fresh", absl::ZeroDuration()), at(2)).kind
                == ReplyKind::Queued));
    state.scheduler.applyReport(workReport("busy", 2, 0), at(400));
    const auto grants = state.scheduler.placeQueued(at(400));
    BOOST_REQUIRE(!grants.empty());
    BOOST_TEST(grants.front().first == "fresh");
}

// Guards against an organisation with many requests that gets all free slots, in a round or ahead of the queue.
BOOST_AUTO_TEST_CASE(free_slots_are_shared_between_organisations_that_wait)
{
    for (const auto mode : {settings::FeatureMode::Off, settings::FeatureMode::On}) {
        SchedulerState state(1, mode);
        auto busy = workReport("busy", 1, 0);
        busy.work = {{state.context.targets.find("engine-0")->hash, {.requests = 10, .shortGapRequests = 10}, 0}};
        state.scheduler.applyReport(busy, at(0));
        auto request = shortPromptRequest("loud", 0);
        request.organisation = 1;
        for (; request.requestNumber < 10; ++request.requestNumber) {
            BOOST_TEST((state.scheduler.handleRequest(request, at(1)).kind == ReplyKind::Queued));
        }
        request.vm = "quiet";
        request.organisation = 2;
        for (; request.requestNumber < 12; ++request.requestNumber) {
            BOOST_TEST((state.scheduler.handleRequest(request, at(2)).kind == ReplyKind::Queued));
        }
        busy.sequence = 2;
        busy.work.front().work.requests = busy.work.front().work.shortGapRequests = 6;
        state.scheduler.applyReport(busy, at(10));
        request.vm = "loud";
        request.organisation = 1;
        const bool fair = mode == settings::FeatureMode::On;
        BOOST_TEST(
            (state.scheduler.handleRequest(request, at(10)).kind == (fair ? ReplyKind::Queued : ReplyKind::Granted)));
        const auto grants = state.scheduler.placeQueued(at(10));
        BOOST_TEST(grants.size() == (fair ? 4U : 3U));
        const auto quiet
            = std::count_if(grants.begin(), grants.end(), [](const auto &g) { return g.first == "quiet"; });
        BOOST_TEST(quiet == (fair ? 2 : 0));
    }
}

// Guards against grants that a scheduler counts as streams with a middle gap until the daemon reports them.
BOOST_AUTO_TEST_CASE(a_grant_counts_as_a_stream_with_the_longest_gap_only_with_admission)
{
    for (const auto mode : {settings::FeatureMode::Off, settings::FeatureMode::On}) {
        SchedulerState state(1, mode);
        auto request = shortPromptRequest("a", 1);
        request.shortGaps = false;
        request.longGap = true;
        BOOST_REQUIRE((state.scheduler.handleRequest(request, at(0)).kind == ReplyKind::Granted));
        const auto load = state.context.targets.find("engine-0")->load(at(0));
        BOOST_TEST(load.longGapRequests == (mode == settings::FeatureMode::On ? 1 : 0));
    }
}

// Guards against rounds that end at the largest prompts: four that exceed the memory of all engines kept the engines
// from the smaller prompts behind them.
BOOST_AUTO_TEST_CASE(prompts_that_find_no_engine_do_not_end_the_round_for_smaller_ones)
{
    for (const auto mode : {settings::FeatureMode::Off, settings::FeatureMode::On}) {
        SchedulerState state(2, mode);
        auto request = shortPromptRequest("a", 0);
        request.shortGaps = false;
        request.ttftObjective = absl::Milliseconds(6000);
        request.callerTimeout = absl::Seconds(24);
        auto busy = workReport("busy", 1, 0);
        for (const auto &[id, target] : state.context.targets.all()) {
            busy.work.push_back({target->hash, {.partPrefillMicros = 600'000, .prefillParts = 1}, 600'000});
        }
        state.scheduler.applyReport(busy, at(0));
        const auto enqueue = [&](std::int64_t tokens) {
            ++request.requestNumber;
            request.prompt = {tokens, 500};
            BOOST_TEST((state.scheduler.handleRequest(request, at(1)).kind == ReplyKind::Queued));
        };
        for (const std::int64_t tokens : {420'000, 420'000, 420'000, 420'000, 420'000, 20'000}) {
            enqueue(tokens);
        }
        request.waited = absl::Milliseconds(7000); // Late, and smaller than those that find no engine.
        enqueue(30'000);
        state.scheduler.applyReport(workReport("busy", 2, 0), at(400));
        const auto grants = state.scheduler.placeQueued(at(400));
        BOOST_TEST(grants.size() == (mode == settings::FeatureMode::On ? 2U : 0U));
        BOOST_TEST(state.scheduler.queuedCount() == 7 - grants.size());
    }
}

// Guards against a floor that ends the round: all late prompts were tried first, and their failures counted for those
// that can be in time.
BOOST_AUTO_TEST_CASE(late_prompts_that_fit_nowhere_do_not_end_the_round_when_their_floor_is_due)
{
    SchedulerState state(4, settings::FeatureMode::On);
    state.settings.overload.floorShare = 0.5; // Due after two grants.
    control::Scheduler scheduler(state.context);
    auto busy = workReport("busy", 1, 0);
    for (const auto &[id, target] : state.context.targets.all()) {
        busy.work.push_back({target->hash, {.partPrefillMicros = 600'000, .prefillParts = 1}, 600'000});
    }
    scheduler.applyReport(busy, at(0));
    auto request = shortPromptRequest("late", 0);
    request.shortGaps = false;
    request.ttftObjective = absl::Milliseconds(6000);
    request.callerTimeout = absl::Seconds(24);
    const auto enqueue = [&](int count) {
        for (int i = 0; i < count; ++i) {
            ++request.requestNumber;
            BOOST_TEST((scheduler.handleRequest(request, at(1)).kind == ReplyKind::Queued));
        }
    };
    request.prompt = {900'000, 500}; // Exceeds the memory of all engines.
    request.waited = absl::Milliseconds(7000);
    enqueue(20);
    request.vm = "in time";
    request.prompt = {10'000, 500};
    request.waited = absl::ZeroDuration();
    enqueue(3);
    scheduler.applyReport(workReport("busy", 2, 0), at(400));
    const auto grants = scheduler.placeQueued(at(400));
    BOOST_TEST(grants.size() == 3U);
    for (const auto &[vm, reply] : grants) {
        BOOST_TEST(vm == "in time");
    }
}

BOOST_AUTO_TEST_CASE(reported_prefill_decreases_until_the_next_report)
{
    SchedulerState state(1);
    auto report = workReport("a", 1, 0);
    const auto target = state.context.targets.find("engine-0");
    targets::TargetWork work;
    work.target = target->hash;
    work.work.partPrefillMicros = 250'000;
    work.prefillDueMicros = 250'000;
    report.work = {work};
    state.scheduler.applyReport(report, at(0));
    BOOST_TEST(target->load(at(0)).partPrefillMicros == 250'000);
    BOOST_TEST(target->load(at(100)).partPrefillMicros == 150'000);
    // The prefill is overdue, so the remaining time is unknown.
    BOOST_TEST(target->load(at(1000)).partPrefillMicros == 125'000);
}

// Guards against discarding a whole grant because of one unusable helper. While engines are replaced one after the
// other, target lists differ between daemons for some 100 ms, and one grant in sixty named an engine that the
// requesting daemon did not know or must not use. The request was then placed by the local view alone, although most
// engines of a grant only help with the prefill.
BOOST_AUTO_TEST_CASE(a_grant_is_used_without_the_helpers_that_this_daemon_must_not_use)
{
    SchedulerState state(2);
    state.context.roster.replace({member("scheduler"), member("other", "hall-a", 0.5)});
    control::PlacementRequest sentRequest;
    control::SchedulerClient client(state.context, state.scheduler, [&](const auto &, const control::Message &message) {
        if (const auto *request = std::get_if<control::PlacementRequest>(&message)) {
            sentRequest = *request;
        }
    });
    control::PlacementSession session(state.context, &client, core::makeRef<RequestInbox>(state.loop));
    TargetQuery query;
    query.service = "model";
    query.prompt = promptRequest(40'000, false);
    BOOST_REQUIRE(session.sendIfDue(query, 0, at(0)));
    constexpr std::uint32_t Unknown = 12345;
    control::PlacementReply answer;
    answer.vm = "other";
    answer.requestNumber = sentRequest.requestNumber;
    answer.kind = ReplyKind::Granted;
    answer.target = state.context.targets.find("engine-0")->hash;
    answer.helpers = {state.context.targets.find("engine-1")->hash, Unknown};
    answer.expectedTtft = absl::Milliseconds(100);
    answer.partPrefillTime = absl::Milliseconds(20);
    const auto chosen = session.handleReply(answer, at(5));
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST(chosen->helpers.size() == 1U);
    BOOST_TEST((chosen->partPrefillTime == absl::Milliseconds(30))); // Two engines prefill what was planned for three.
    answer.reservedTokens = {16, 16}; // The unknown engine is to hold KV memory that the prompt needs.
    BOOST_TEST(!session.handleReply(answer, at(6)).has_value());
}

// Guards against larger requests, or other ones, in deployments that do not use overload control.
BOOST_AUTO_TEST_CASE(fields_for_overload_control_are_sent_only_with_admission)
{
    for (const auto mode : {settings::FeatureMode::Off, settings::FeatureMode::On}) {
        SchedulerState state(2, mode);
        state.context.roster.replace({member("scheduler"), member("other", "hall-a", 0.5)});
        control::PlacementRequest sent;
        control::SchedulerClient client(state.context, state.scheduler, [&](const auto &, const auto &message) {
            if (const auto *request = std::get_if<control::PlacementRequest>(&message)) {
                sent = *request;
            }
        });
        control::PlacementSession session(state.context, &client, core::makeRef<RequestInbox>(state.loop));
        TargetQuery query;
        query.service = "model";
        query.prompt = promptRequest(40'000, false);
        query.organisation = 1;
        query.digest = 2;
        query.timeLeft = absl::Seconds(3);
        query.mayHaveRun = true;
        BOOST_REQUIRE(session.sendIfDue(query, 0, at(0)));
        auto plain = sent;
        plain.organisation = 0;
        plain.digest = 0;
        plain.timeLeft = absl::InfiniteDuration();
        plain.mayHaveRun = false;
        const bool same = control::writeMessage(sent) == control::writeMessage(plain);
        BOOST_TEST(same == (mode == settings::FeatureMode::Off));
    }
}

// Guards against a late refusal of a scheduler that was left aside, while another one grants the request.
BOOST_AUTO_TEST_CASE(only_the_scheduler_that_was_asked_last_refuses_a_request)
{
    SchedulerState state(2, settings::FeatureMode::On);
    state.context.roster.replace({member("scheduler"), member("other", "hall-a", 0.5)});
    control::PlacementReply refusal;
    refusal.kind = ReplyKind::Refused;
    control::SchedulerClient client(state.context, state.scheduler, [&](const auto &, const auto &message) {
        if (const auto *request = std::get_if<control::PlacementRequest>(&message)) {
            refusal.requestNumber = request->requestNumber;
        }
    });
    control::PlacementSession session(state.context, &client, core::makeRef<RequestInbox>(state.loop));
    TargetQuery query;
    query.service = "model";
    query.prompt = promptRequest(40'000, false);
    BOOST_REQUIRE(session.sendIfDue(query, 0, at(0)));
    refusal.vm = "former";
    BOOST_TEST(!session.handleReply(refusal, at(5)).has_value());
    BOOST_TEST(!session.refusal().has_value());
    refusal.vm = "other";
    BOOST_TEST(!session.handleReply(refusal, at(6)).has_value());
    BOOST_TEST(session.refusal().has_value());
}

BOOST_AUTO_TEST_CASE(an_engine_that_refused_a_request_gets_none_from_any_daemon_during_the_backoff)
{
    SchedulerState state(2);
    const auto full = state.context.targets.find("engine-0");
    auto report = workReport("a", 1, 0);
    report.outcomes = {{full->hash, TargetFault::Busy}};
    state.scheduler.applyReport(report, at(0));
    for (std::uint64_t number = 1; number <= 6; ++number) {
        const auto answer = state.scheduler.handleRequest(shortPromptRequest("b", number), at(10));
        BOOST_TEST((answer.kind == ReplyKind::Granted));
        BOOST_TEST(answer.target != full->hash);
    }
    BOOST_TEST(!full->health.isEjected(at(10))); // The engine is full, it does not fail.
}

BOOST_AUTO_TEST_CASE(failures_that_different_daemons_saw_count_together)
{
    SchedulerState state(2);
    const auto failing = state.context.targets.find("engine-0");
    for (const auto *vm : {"a", "b", "c"}) {
        auto report = workReport(vm, 1, 0);
        report.outcomes = {{failing->hash, TargetFault::ErrorResponse}};
        state.scheduler.applyReport(report, at(0));
    }
    BOOST_TEST(failing->health.isEjected(at(1)));
}

BOOST_AUTO_TEST_CASE(a_draining_scheduler_places_nothing)
{
    SchedulerState state(2);
    state.context.shutdown.begin(at(0));
    BOOST_TEST((state.scheduler.handleRequest(shortPromptRequest("a", 1), at(0)).kind == ReplyKind::Declined));
}

BOOST_AUTO_TEST_CASE(messages_are_decoded_as_encoded_and_heartbeats_are_rejected)
{
    auto request = shortPromptRequest("a", 77);
    request.excludedTargets = {1, 2};
    request.allowedTargets = {3};
    request.localDomainOnly = true;
    request.longGap = true;
    const auto message = control::readMessage(control::writeMessage(request));
    BOOST_REQUIRE(message.has_value());
    const auto &decoded = std::get<control::PlacementRequest>(*message);
    BOOST_TEST(decoded.requestNumber == 77U);
    BOOST_TEST(decoded.prompt.maxMemoryTokens() == request.prompt.maxMemoryTokens());
    BOOST_TEST((decoded.ttftObjective == request.ttftObjective));
    BOOST_TEST(decoded.excludedTargets == request.excludedTargets, boost::test_tools::per_element());
    BOOST_TEST(decoded.allowedTargets == request.allowedTargets, boost::test_tools::per_element());
    BOOST_TEST(decoded.localDomainOnly);
    BOOST_TEST(decoded.longGap);
    control::FreshnessReply reply;
    const auto decodedReply = control::readMessage(control::writeMessage(reply));
    BOOST_TEST((std::get<control::FreshnessReply>(*decodedReply).proofAge == absl::InfiniteDuration()));
    BOOST_TEST(!control::readMessage(membership::writeHeartbeat({}, "")).has_value());
    BOOST_TEST(!control::readMessage("no message").has_value());
}

BOOST_AUTO_TEST_CASE(a_peer_gets_only_the_changes_since_its_own_list)
{
    TargetChangeLog log;
    BOOST_TEST(!log.since({0, 0}).has_value());
    log.reset({0, 10});
    log.add({0, 12}, {{entry("a"), false}});
    log.add({0, 15}, {{entry("a"), true}});
    BOOST_TEST(!log.since({0, 9}).has_value()); // The log starts later, so the full list is needed.
    BOOST_TEST(log.since({0, 10})->size() == 2U);
    BOOST_TEST(log.since({0, 13})->size() == 1U);
    BOOST_TEST(log.since({0, 15})->empty());
    BOOST_TEST((log.newest() == DirectoryPosition{0, 15}));
    log.reset({1, 8}); // The directory was restored from a backup.
    log.add({1, 16}, {{entry("b"), false}});
    BOOST_TEST(!log.since({0, 15}).has_value());
    BOOST_TEST(log.since({1, 8})->size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
