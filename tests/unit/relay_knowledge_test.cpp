//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the relay's configuration and target list, their freshness, and their exchange between daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_state.h"

#include "spurlug/core/error.h"
#include "spurlug/core/text.h"
#include "spurlug/relay/follower.h"
#include "spurlug/relay/freshness.h"
#include "spurlug/relay/peer_state.h"
#include "spurlug/relay/request_progress.h"
#include "spurlug/relay/target_set.h"

#include <boost/test/unit_test.hpp>

namespace
{

using namespace spurlug;
using namespace spurlug::relay;
using namespace spurlug::test;

} // namespace

BOOST_AUTO_TEST_SUITE(relay_knowledge)

BOOST_AUTO_TEST_CASE(a_proof_counts_from_the_moment_of_the_question_and_for_its_version)
{
    Freshness proof;
    BOOST_TEST((proof.age(1, Start) == absl::InfiniteDuration()));
    proof.confirm(5, at(0));
    proof.confirm(5, at(-500));
    BOOST_TEST((proof.age(5, at(100)) == core::fromMs(100)));
    proof.confirm(6, at(50));
    BOOST_TEST(proof.version() == 6);
    // Version 5 was confirmed as the newest at time 0, not later.
    BOOST_TEST((proof.age(5, at(100)) == core::fromMs(100)));
    BOOST_TEST((proof.age(6, at(100)) == core::fromMs(50)));
    BOOST_TEST((proof.age(7, at(100)) == absl::InfiniteDuration()));
}

BOOST_AUTO_TEST_CASE(keys_are_not_fresh_without_a_recent_proof)
{
    RelayState state;
    auto table = core::makeCounted<config::RouteTable>();
    table->version = 3;
    state.context.configurationProof.confirm(3, at(0));
    BOOST_TEST(!state.context.keysAreFresh(at(0)));
    state.context.adopt(table, "{}", "test", at(0));
    BOOST_TEST(state.context.keysAreFresh(at(1000)));
    BOOST_TEST(!state.context.keysAreFresh(at(4000)));
    state.context.configurationProof.confirm(4, at(3900)); // A newer version is known to exist but has not arrived yet.
    BOOST_TEST(!state.context.keysAreFresh(at(3900)));
}

BOOST_AUTO_TEST_CASE(keys_work_while_a_newer_configuration_is_on_its_way_but_no_longer_than_the_proof_allows)
{
    RelayState state;
    auto table = core::makeCounted<config::RouteTable>();
    table->version = 3;
    state.context.adopt(table, "{}", "test", at(0));
    state.context.configurationProof.confirm(3, at(1000));
    state.context.configurationProof.confirm(4, at(1300));
    BOOST_TEST(state.context.keysAreFresh(at(1400)));
    BOOST_TEST(state.context.keysAreFresh(at(4700)));
    BOOST_TEST(!state.context.keysAreFresh(at(4800))); // Well before 5 s after the newer one became active.
}

BOOST_AUTO_TEST_CASE(the_directory_counts_as_heard_while_both_waits_end_in_time)
{
    RelayState state;
    state.context.configurationHeardAt = at(1200);
    // Targets are not requested before there is a configuration.
    BOOST_TEST((state.context.directoryHeardAt() == at(1200)));
    auto table = core::makeCounted<config::RouteTable>();
    table->version = 3;
    state.context.adopt(table, "{}", "test", at(0));
    state.context.targetsHeardAt = at(-1000);
    BOOST_TEST((state.context.directoryHeardAt() == at(1200))); // Requests for targets may wait four seconds.
    state.context.targetsHeardAt = at(-6000);
    BOOST_TEST((state.context.directoryHeardAt() < at(0))); // Requests for targets are not answered any more.
}

BOOST_AUTO_TEST_CASE(a_configuration_never_goes_back)
{
    RelayState state;
    for (const auto version : {3, 5, 4}) {
        auto table = core::makeCounted<config::RouteTable>();
        table->version = version;
        state.context.adopt(table, "{}", "test", Start);
    }
    BOOST_TEST(state.context.table->version == 5);
}

BOOST_AUTO_TEST_CASE(a_missing_entry_is_gone_at_once_in_ordinary_times)
{
    RelayState state;
    state.intake.whole({{entry("a"), false}, {entry("b"), false}}, {0, 10}, "test", at(0));
    state.intake.changes({{entry("b"), true}}, {0, 11}, "test", at(10));
    BOOST_TEST(state.context.targets.listed("model", at(10)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_entry_that_lapsed_while_the_directory_was_away_is_kept_for_a_moment_unless_it_was_leaving)
{
    RelayState state;
    state.intake.whole({{entry("a"), false}, {entry("leaving", true), false}}, {0, 10}, "test", at(0));
    const auto lost = state.link.ended(DirectoryStatus::Unreachable, "", at(100));
    const auto regained = state.link.ended(DirectoryStatus::Ok, "", at(5000));
    BOOST_TEST((lost > regained));
    state.intake.whole({}, {0, 12}, "test", at(5000));
    BOOST_TEST(state.context.targets.listed("model", at(5100)).size() == 1U);
    BOOST_TEST(state.context.targets.listed("model", at(7000)).empty());
}

// Guards against refusing requests after a pause of the process: a daemon that was stopped for 3.5 s refused all 87
// requests that had arrived meanwhile, because its last confirmation of the configuration was too old and it did not
// request a new one first. After failed attempts, there is no reason to wait.
BOOST_AUTO_TEST_CASE(after_a_pause_of_the_process_a_new_proof_is_worth_waiting_for_after_failures_it_is_not)
{
    RelayState state;
    auto &context = state.context;
    BOOST_TEST(!context.proofMayComeSoon(at(0))); // There is no configuration yet.
    context.adopt(chatTable(), "{}", "test", at(0));
    context.proofTriedAt = at(0);
    BOOST_TEST(!context.proofMayComeSoon(at(1000)));
    BOOST_TEST(context.proofMayComeSoon(at(3500)));
    context.isolated = true;
    BOOST_TEST(!context.proofMayComeSoon(at(3500)));
    context.isolated = false;
    context.proofTriedAt = at(3600); // The attempt ended, whether it succeeded or not.
    BOOST_TEST(!context.proofMayComeSoon(at(3700)));
}

BOOST_AUTO_TEST_CASE(a_first_configuration_is_worth_waiting_for_while_the_daemon_is_young)
{
    RelayState state;
    const auto started = state.context.startedAt;
    BOOST_TEST(state.context.knowledgeMayComeSoon(core::Reason::NotReady, started + absl::Milliseconds(100)));
    BOOST_TEST(!state.context.knowledgeMayComeSoon(core::Reason::NotReady, started + absl::Milliseconds(200)));
    // Waiting does not help an unknown key.
    BOOST_TEST(!state.context.knowledgeMayComeSoon(core::Reason::UnknownKey, started));
}

BOOST_AUTO_TEST_CASE(a_service_without_listed_targets_is_known_as_soon_as_the_list_is)
{
    RelayState state;
    state.context.adopt(chatTable(), "{}", "test", at(0));
    RequestProgress request(state.context, longPrompt(), at(0));
    BOOST_REQUIRE(!request.authorise(at(0)));
    static_cast<void>(request.query(at(0)));
    BOOST_TEST(!request.hasNoTarget(at(0))); // The target list has not been read yet.
    state.intake.whole({}, {0, 1}, "test", at(1));
    BOOST_TEST(request.hasNoTarget(at(1)));
    BOOST_TEST(
        (request.retryAfter(core::Reason::NoTarget, Start) > request.retryAfter(core::Reason::NoCapacity, Start)));
    state.intake.changes({{entry("a")}}, {0, 2}, "test", at(2));
    BOOST_TEST(!request.hasNoTarget(at(2)));
    state.intake.changes({{entry("a", true)}}, {0, 3}, "test", at(3));
    BOOST_TEST(request.hasNoTarget(at(3))); // The only target is draining.
}

BOOST_AUTO_TEST_CASE(an_older_list_brings_nobody_back)
{
    RelayState state;
    state.intake.whole({{entry("a"), false}}, {0, 10}, "test", at(0));
    state.intake.changes({{entry("a"), true}}, {0, 11}, "test", at(10));
    state.intake.whole({{entry("a"), false}}, {0, 10}, "a slow peer", at(20));
    BOOST_TEST(state.context.targets.listed("model", at(30)).empty());
}

// Guards against the use of a target that had gone and that a restored backup of the directory lists again: it was used
// as soon as the list was read a second time.
BOOST_AUTO_TEST_CASE(a_target_that_a_copy_brings_back_is_doubted_until_it_writes_or_its_entry_outlasts_it)
{
    for (const bool writes : {true, false}) {
        RelayState state;
        const auto listed = [&state](std::int64_t ms) { return state.context.targets.listed("model", at(ms)).size(); };
        state.intake.whole({{entry("a")}, {entry("b")}}, {1, 10}, "test", at(0));
        state.intake.changes({{entry("a"), true}}, {1, 11}, "test", at(10));
        state.intake.whole({{entry("a")}, {entry("b")}}, {2, 9}, "test", at(100));
        BOOST_TEST(listed(110) == 1U);
        state.intake.whole({{entry("a")}, {entry("b")}}, {2, 9}, "test", at(200));
        BOOST_TEST(listed(210) == 1U);
        if (writes) {
            state.intake.changes({{entry("a")}}, {2, 10}, "test", at(300));
            BOOST_TEST(listed(310) == 2U);
        } else {
            BOOST_TEST(listed(4000) == 1U);
            BOOST_TEST(listed(6000) == 2U);
        }
    }
}

// Guards against applying changes of one era of the directory to the target list of another.
BOOST_AUTO_TEST_CASE(changes_of_another_era_than_the_known_list_are_not_taken)
{
    RelayState state;
    state.intake.whole({{entry("a")}}, {1, 10}, "test", at(0));
    state.intake.changes({{entry("a"), true}}, {2, 12}, "test", at(10));
    BOOST_TEST(state.context.targets.listed("model", at(20)).size() == 1U);
    state.intake.whole({{entry("a")}, {entry("b")}}, {2, 3}, "test", at(30));
    BOOST_TEST(state.context.targets.listed("model", at(40)).size() == 2U);
    state.intake.whole({}, {1, 99}, "a slow peer", at(50));
    BOOST_TEST(state.context.targets.listed("model", at(60)).size() == 2U);
}

BOOST_AUTO_TEST_CASE(peers_are_told_only_of_targets_that_are_listed)
{
    RelayState state;
    state.intake.whole({{entry("a"), false}, {entry("b"), false}}, {0, 10}, "test", at(0));
    state.context.targets.drop("b", at(2000)); // This daemon keeps the target for a moment.
    const auto told = readPeerState(writePeerState(peerState(state.context, 0, {}, at(10))));
    BOOST_REQUIRE(told.targets.size() == 1U);
    BOOST_TEST(told.targets.front().entry.id == "a");
}

// Guards against large target lists: 300 daemons with 3,003 targets start at once, and each requests the full list from
// the daemon of its failure domain that read it, over the link of a small VM with 2.5 MB/s. An entry consists of its
// id, its address and numbers.
BOOST_AUTO_TEST_CASE(a_list_of_thousands_of_targets_is_told_in_some_fifty_bytes_each_and_comes_back_unchanged)
{
    constexpr std::size_t Targets = 3003;
    constexpr std::size_t MostBytesEach = 56;
    PeerState state;
    state.targetsPosition = {2, 9};
    for (std::size_t i = 0; i < Targets; ++i) {
        TargetChange change;
        change.entry = entry(core::cat("i-", 1'000'000'000 + i), i % 7 == 0);
        change.entry.address = {core::cat("10.1.", i / 250, ".", i % 250), 8427};
        change.entry.failureDomain = i % 2 == 0 ? "hall-a" : "hall-b";
        change.entry.startMs = 1'700'000'000'000 + static_cast<std::int64_t>(i);
        state.targets.push_back(change);
    }
    state.targets.push_back({entry("gone"), true, {}});
    state.targets.push_back({entry("bad"), false, "/slots: expected an integer"});
    const auto text = writePeerState(state);
    BOOST_TEST(text.size() <= Targets * MostBytesEach);
    const auto told = readPeerState(text);
    BOOST_REQUIRE(told.targets.size() == state.targets.size());
    for (std::size_t i = 0; i < Targets; ++i) {
        const auto &sent = state.targets[i].entry;
        const auto &got = told.targets[i].entry;
        BOOST_TEST((got.life() == sent.life() && got.service == sent.service && got.address == sent.address));
        BOOST_TEST((got.failureDomain == sent.failureDomain && got.slots == sent.slots));
        BOOST_TEST(got.draining == sent.draining);
    }
    BOOST_TEST(told.targets[Targets].gone);
    BOOST_TEST(told.targets[Targets + 1].fault == "/slots: expected an integer");
}

BOOST_AUTO_TEST_CASE(a_peer_s_state_that_cannot_be_read_is_refused)
{
    BOOST_CHECK_THROW(static_cast<void>(readPeerState("{")), core::InvalidDocument);
    BOOST_CHECK_THROW(static_cast<void>(readPeerState(R"({"version":"x"})")), core::InvalidDocument);
}

BOOST_AUTO_TEST_SUITE_END()
