//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the detection of requests that crash targets, and of the exchange of crash reports
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_state.h"

#include "spurlug/control/crash_exchange.h"
#include "spurlug/core/text.h"
#include "spurlug/relay/crash_ledger.h"
#include "spurlug/relay/request_progress.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <utility>

namespace
{

using namespace spurlug;
using namespace spurlug::relay;
using namespace spurlug::test;

const core::Digest Work = core::digestOf({"a question"});

core::Digest work(int number)
{
    return core::digestOf({core::cat("question ", number)});
}

/// Counts `count` crashes of different targets under one content, all at time 0.
CrashLedger ledgerWithEnds(std::uint32_t count)
{
    CrashLedger ledger;
    for (std::uint32_t target = 1; target <= count; ++target) {
        ledger.targetEnded(Work, target, at(0));
    }
    return ledger;
}

/// A daemon of a fleet, with the messages that it sent.
struct ExchangeState : RelayState
{
    explicit ExchangeState(const std::string &vm, int daemons)
    {
        settings.vm = vm;
        std::vector<control::Member> members;
        for (int i = 0; i < daemons; ++i) {
            members.push_back({core::cat("vm-", i),
                               "hall-a",
                               1,
                               membership::DaemonState::Serving,
                               {"127.0.0.1", static_cast<std::uint16_t>(1000 + i)},
                               {"127.0.0.1", 1}});
        }
        context.roster.replace(std::move(members));
        context.crashExchange = &exchange;
    }

    /// Returns the number of daemons to which this one sent a message.
    [[nodiscard]] std::size_t told() const
    {
        std::set<std::uint16_t> ports;
        for (const auto &[to, message] : sent) {
            ports.insert(to.port);
        }
        return ports.size();
    }

    std::vector<std::pair<core::Address, control::Message>> sent;
    control::CrashExchange exchange{
        context, [this](const core::Address &to, const control::Message &message) { sent.emplace_back(to, message); }};
};

/// Returns the name of a daemon that aggregates crash reports in such a fleet, or of one that does not.
std::string daemonOf(int daemons, bool keeper)
{
    const ExchangeState any("vm-0", daemons);
    const auto holders = any.context.roster.holders(control::Role::Scheduler, 100);
    return (keeper ? holders.front() : holders.back()).vm;
}

control::CrashNews newsOf(std::initializer_list<std::uint32_t> targets)
{
    control::SuspectNews suspect{Work, {}};
    for (const auto target : targets) {
        suspect.ends.push_back({target, absl::ZeroDuration()});
    }
    return {{suspect}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_ledger_tests)

BOOST_AUTO_TEST_CASE(work_is_quarantined_when_three_lives_ended_under_it)
{
    auto ledger = ledgerWithEnds(2);
    BOOST_TEST(!ledger.targetEnded(Work, 2, at(5))); // The crash of an incarnation counts once.
    BOOST_TEST(!ledger.quarantined(Work));
    BOOST_TEST(ledger.targetEnded(Work, 3, at(10)));
    BOOST_TEST(ledger.quarantined(Work));
    BOOST_TEST(!ledger.quarantined(work(1)));
}

BOOST_AUTO_TEST_CASE(work_that_ran_well_is_free_again)
{
    auto ledger = ledgerWithEnds(3);
    BOOST_TEST(ledger.survived(Work, at(10)));
    BOOST_TEST(!ledger.quarantined(Work));
    BOOST_TEST(ledger.ends(Work) == 0U);
    BOOST_TEST(!ledger.survived(Work, at(20)));
}

// A body that many callers send is in progress at most targets of a rack when the rack is lost. As it succeeded a
// moment ago, it is not the cause of the crashes.
BOOST_AUTO_TEST_CASE(ends_under_work_that_ran_well_a_moment_ago_do_not_count)
{
    CrashLedger ledger;
    ledger.survived(Work, at(0));
    for (std::uint32_t target = 1; target <= 6; ++target) {
        ledger.targetEnded(Work, target, at(100));
    }
    BOOST_TEST(!ledger.quarantined(Work));
}

BOOST_AUTO_TEST_CASE(work_that_once_ran_well_and_now_ends_its_targets_is_quarantined)
{
    CrashLedger ledger;
    ledger.survived(Work, at(0));
    for (std::uint32_t target = 1; target <= 3; ++target) {
        ledger.targetEnded(Work, target, at(30'000));
    }
    BOOST_TEST(ledger.quarantined(Work));
}

BOOST_AUTO_TEST_CASE(what_daemons_know_adds_up_in_any_order)
{
    CrashLedger ledger;
    const CrashSuspect first{Work, {{1, at(0)}, {2, at(5)}}};
    const CrashSuspect second{Work, {{2, at(6)}, {3, at(9)}}};
    BOOST_TEST(ledger.merge(second, at(10)).news);
    BOOST_TEST(ledger.merge(first, at(11)).news);
    BOOST_TEST(!ledger.merge(second, at(12)).news);
    BOOST_TEST(ledger.ends(Work) == 3U);
    BOOST_TEST(ledger.merge({Work, {}, at(4)}, at(13)).news);
    BOOST_TEST(ledger.ends(Work) == 0U);
    BOOST_TEST(!ledger.merge(first, at(14)).news); // An outdated report restores nothing.
    BOOST_TEST(ledger.ends(Work) == 0U);
}

BOOST_AUTO_TEST_CASE(a_daemon_that_saw_the_work_run_well_refutes_what_it_is_told)
{
    CrashLedger ledger;
    ledger.survived(Work, at(0));
    const auto merged = ledger.merge({Work, {{1, at(50)}, {2, at(50)}, {3, at(50)}}}, at(60));
    BOOST_TEST(merged.refuted);
    BOOST_TEST(!ledger.quarantined(Work));
}

// Times travel as ages, so each daemon that forwards a report shifts them a little; that alone is no change to forward.
BOOST_AUTO_TEST_CASE(a_word_that_comes_back_is_no_news)
{
    CrashLedger one;
    CrashLedger other;
    one.survived(Work, at(0));
    one.merge({Work, {{1, at(5)}, {2, at(5)}}}, at(10));
    int words = 0;
    for (bool news = true; news && words < 50; ++words) {
        const auto told = one.takeChanges();
        news = !told.empty();
        for (auto suspect : told) {
            suspect.ranWellAt += absl::Milliseconds(100);
            other.merge(suspect, at(10 + words));
        }
        for (auto suspect : other.takeChanges()) {
            suspect.ranWellAt += absl::Milliseconds(100);
            one.merge(suspect, at(10 + words));
        }
    }
    BOOST_TEST(words <= 3);
}

BOOST_AUTO_TEST_CASE(quarantined_work_is_tried_once_after_a_pause_that_doubles)
{
    auto ledger = ledgerWithEnds(3);
    BOOST_TEST(!ledger.takeTrial(Work, at(59'000)));
    BOOST_TEST(ledger.takeTrial(Work, at(61'000)));
    BOOST_TEST(!ledger.takeTrial(Work, at(61'100)));
    ledger.targetEnded(Work, 4, at(61'200));
    BOOST_TEST(!ledger.takeTrial(Work, at(61'200 + 119'000)));
    BOOST_TEST(ledger.takeTrial(Work, at(61'200 + 121'000)));
}

BOOST_AUTO_TEST_CASE(a_flood_of_suspects_does_not_push_out_what_is_quarantined)
{
    auto ledger = ledgerWithEnds(3);
    for (int i = 0; i < 1000; ++i) {
        ledger.targetEnded(work(i), 7, at(100 + i));
    }
    BOOST_TEST(ledger.size() <= CrashLedger::MostSuspects);
    BOOST_TEST(ledger.quarantined(Work));
}

BOOST_AUTO_TEST_CASE(work_is_forgotten_an_hour_after_its_last_end)
{
    auto ledger = ledgerWithEnds(3);
    ledger.targetEnded(work(1), 9, at(3'700'000));
    BOOST_TEST(!ledger.quarantined(Work));
}

// Guards against endless gossip: two daemons that each retain a different subset of many crashes reported the remaining
// ones to each other forever.
BOOST_AUTO_TEST_CASE(words_about_many_ends_come_to_rest)
{
    CrashLedger one;
    CrashLedger other;
    for (std::uint32_t target = 1; target <= 40; ++target) {
        one.targetEnded(Work, target, at(0));
        other.targetEnded(Work, 100 + target, at(0));
    }
    one.survived(Work, at(10));
    int words = 0;
    for (bool news = true; news && words < 100; ++words) {
        const auto fromOne = one.takeChanges();
        const auto fromOther = other.takeChanges();
        for (const auto &suspect : fromOne) {
            other.merge(suspect, at(20));
        }
        for (const auto &suspect : fromOther) {
            one.merge(suspect, at(20));
        }
        news = !fromOne.empty() || !fromOther.empty();
    }
    BOOST_TEST(words < 10);
}

// Guards against a quarantine that a success does not lift: a daemon kept sixteen crashes that the daemon that saw the
// success had no room for, and its quarantine stayed (seen with seed 7 of a property test).
BOOST_AUTO_TEST_CASE(a_good_run_refutes_also_ends_that_its_witness_never_kept)
{
    CrashLedger quarantines;
    CrashLedger witness;
    witness.survived(Work, at(0));
    for (std::uint32_t target = 1; target <= 20; ++target) {
        quarantines.targetEnded(Work, target, at(10));
        witness.merge({Work, {{100 + target, at(10)}}}, at(20));
    }
    BOOST_REQUIRE(quarantines.quarantined(Work));
    for (const auto &suspect : witness.takeChanges()) {
        quarantines.merge(suspect, at(30));
    }
    BOOST_TEST(!quarantines.quarantined(Work));
}

BOOST_AUTO_TEST_CASE(news_come_over_as_they_were_sent)
{
    control::CrashNews news;
    news.suspects.push_back({Work, {{7, absl::Milliseconds(250)}, {8, absl::Seconds(2)}}, absl::Seconds(30)});
    news.suspects.push_back({work(1), {}});
    const auto read = control::readMessage(control::writeMessage(news));
    BOOST_REQUIRE(read.has_value());
    const auto &suspect = std::get<control::CrashNews>(*read).suspects.at(0);
    BOOST_TEST((suspect.work == Work));
    BOOST_REQUIRE(suspect.ends.size() == 2U);
    BOOST_TEST(suspect.ends[0].target == 7U);
    BOOST_TEST((suspect.ends[0].age == absl::Milliseconds(250)));
    BOOST_TEST(suspect.ends[1].target == 8U);
    BOOST_TEST((suspect.ranWellAge == absl::Seconds(30)));
    BOOST_TEST((std::get<control::CrashNews>(*read).suspects.at(1).ranWellAge == absl::InfiniteDuration()));
}

// Each engine crash affects a dozen requests. Their reports must not be broadcast to every daemon of a large fleet.
BOOST_AUTO_TEST_CASE(a_single_end_is_told_to_few_daemons_however_large_the_fleet)
{
    ExchangeState daemon(daemonOf(300, false), 300);
    daemon.context.crashes.targetEnded(Work, 1, at(0));
    daemon.exchange.tellChanges(at(0));
    BOOST_TEST(daemon.told() == 3U);
    daemon.sent.clear();
    daemon.exchange.tellChanges(at(1));
    BOOST_TEST(daemon.told() == 0U);
}

BOOST_AUTO_TEST_CASE(a_keeper_adds_up_single_ends_and_tells_everybody)
{
    ExchangeState keeper(daemonOf(300, true), 300);
    keeper.exchange.take(newsOf({1}), at(0));
    BOOST_TEST(keeper.told() == 2U); // The other aggregators.
    keeper.exchange.take(newsOf({2}), at(1));
    BOOST_TEST(keeper.told() == 299U);
    keeper.sent.clear();
    keeper.exchange.take(newsOf({1, 2}), at(2)); // These crashes are known already.
    BOOST_TEST(keeper.told() == 0U);
}

BOOST_AUTO_TEST_CASE(a_daemon_that_is_no_keeper_passes_nothing_on_at_once_but_its_own_refutation)
{
    ExchangeState daemon(daemonOf(300, false), 300);
    daemon.exchange.take(newsOf({1, 2, 3}), at(0));
    BOOST_TEST(daemon.told() == 0U);
    BOOST_TEST(daemon.context.crashes.quarantined(Work));
    ExchangeState witness(daemonOf(300, false), 300);
    witness.context.crashes.survived(Work, at(-500));
    witness.exchange.take(newsOf({1, 2, 3}), at(0));
    BOOST_TEST(witness.told() == 3U);
}

BOOST_AUTO_TEST_CASE(gossip_goes_to_one_daemon_at_a_time_and_only_while_there_is_something_to_tell)
{
    ExchangeState daemon(daemonOf(300, false), 300);
    daemon.exchange.gossip(at(0));
    BOOST_TEST(daemon.sent.empty());
    daemon.exchange.take(newsOf({1, 2, 3}), at(0));
    for (int ms = 1000; ms < 11'000; ms += 50) {
        daemon.exchange.gossip(at(ms));
    }
    BOOST_TEST(daemon.sent.size() <= 41U); // Four per second for ten seconds; the daemon may draw itself as recipient.
    BOOST_TEST(daemon.sent.size() >= 36U);
}

BOOST_AUTO_TEST_CASE(a_quarantined_request_is_refused_before_it_is_sent_and_not_sent_again)
{
    RelayState state;
    state.context.table = chatTable();
    auto facts = longPrompt();
    facts.content = core::digestOf({"the end"});
    RequestProgress first(state.context, facts, at(0));
    BOOST_REQUIRE(!first.authorise(at(0)));
    for (std::uint32_t target = 1; target <= 3; ++target) {
        state.context.crashes.targetEnded(first.digest(), target, at(10));
    }
    facts.id = "another id";
    RequestProgress second(state.context, facts, at(20));
    const auto refusal = second.authorise(at(20));
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST((refusal->reason == core::Reason::CrashesTargets));
    BOOST_TEST(refusal->status == 503);
    BOOST_TEST((refusal->retryAfter >= absl::Seconds(10)));
    facts.content = core::digestOf({"another question"});
    RequestProgress other(state.context, facts, at(20));
    BOOST_TEST(!other.authorise(at(20)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
