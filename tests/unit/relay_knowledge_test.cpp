//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the relay's configuration and target list, their freshness, and their exchange between daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_state.h"

#include "spurlug/core/error.h"
#include "spurlug/core/text.h"
#include "spurlug/relay/directory_watcher.h"
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

BOOST_AUTO_TEST_CASE(a_confirmation_counts_from_the_time_of_the_query_and_for_its_version)
{
    Freshness freshness;
    BOOST_TEST((freshness.age(1, Start) == absl::InfiniteDuration()));
    freshness.confirm(5, at(0));
    freshness.confirm(5, at(-500));
    BOOST_TEST((freshness.age(5, at(100)) == core::fromMs(100)));
    freshness.confirm(6, at(50));
    BOOST_TEST(freshness.newestVersion() == 6);
    // Version 5 was confirmed as the newest at time 0, not later.
    BOOST_TEST((freshness.age(5, at(100)) == core::fromMs(100)));
    BOOST_TEST((freshness.age(6, at(100)) == core::fromMs(50)));
    BOOST_TEST((freshness.age(7, at(100)) == absl::InfiniteDuration()));
}

BOOST_AUTO_TEST_CASE(keys_are_not_fresh_without_a_recent_confirmation)
{
    RelayState state;
    auto table = core::makeRef<config::RouteTable>();
    table->version = 3;
    state.context.configurationFreshness.confirm(3, at(0));
    BOOST_TEST(!state.context.canCheckKeys(at(0)));
    state.context.activateConfiguration(table, "{}", "test", at(0));
    BOOST_TEST(state.context.canCheckKeys(at(1000)));
    BOOST_TEST(!state.context.canCheckKeys(at(4000)));
    state.context.configurationFreshness.confirm(
        4, at(3900)); // A newer version is known to exist but has not arrived yet.
    BOOST_TEST(!state.context.canCheckKeys(at(3900)));
}

BOOST_AUTO_TEST_CASE(keys_work_while_a_newer_configuration_arrives_but_no_longer_than_the_confirmation_allows)
{
    RelayState state;
    auto table = core::makeRef<config::RouteTable>();
    table->version = 3;
    state.context.activateConfiguration(table, "{}", "test", at(0));
    state.context.configurationFreshness.confirm(3, at(1000));
    state.context.configurationFreshness.confirm(4, at(1300));
    BOOST_TEST(state.context.canCheckKeys(at(1400)));
    BOOST_TEST(state.context.canCheckKeys(at(4700)));
    BOOST_TEST(!state.context.canCheckKeys(at(4800))); // Well before 5 s after the newer one became active.
}

BOOST_AUTO_TEST_CASE(the_directory_counts_as_available_while_both_requests_end_in_time)
{
    RelayState state;
    state.context.configurationAnsweredAt = at(1200);
    // Targets are not requested before there is a configuration.
    BOOST_TEST((state.context.directoryAnsweredAt() == at(1200)));
    auto table = core::makeRef<config::RouteTable>();
    table->version = 3;
    state.context.activateConfiguration(table, "{}", "test", at(0));
    state.context.targetsAnsweredAt = at(-1000);
    BOOST_TEST((state.context.directoryAnsweredAt() == at(1200))); // Requests for targets may wait four seconds.
    state.context.targetsAnsweredAt = at(-6000);
    BOOST_TEST((state.context.directoryAnsweredAt() < at(0))); // Requests for targets are not answered any more.
}

BOOST_AUTO_TEST_CASE(a_configuration_is_never_replaced_by_an_older_one)
{
    RelayState state;
    for (const auto version : {3, 5, 4}) {
        auto table = core::makeRef<config::RouteTable>();
        table->version = version;
        state.context.activateConfiguration(table, "{}", "test", Start);
    }
    BOOST_TEST(state.context.table->version == 5);
}

BOOST_AUTO_TEST_CASE(a_removed_entry_takes_effect_at_once_while_the_directory_is_available)
{
    RelayState state;
    state.targetListUpdater.applyFullList({{entry("a"), false}, {entry("b"), false}}, {0, 10}, "test", at(0));
    state.targetListUpdater.applyChanges({{entry("b"), true}}, {0, 11}, "test", at(10));
    BOOST_TEST(state.context.targets.availableTargets("model", at(10)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_entry_that_expired_while_the_directory_was_unavailable_is_kept_briefly_unless_draining)
{
    RelayState state;
    state.targetListUpdater.applyFullList({{entry("a"), false}, {entry("leaving", true), false}}, {0, 10}, "test",
                                          at(0));
    const auto unavailableDelay = state.directoryAvailability.recordResult(DirectoryStatus::Unreachable, "", at(100));
    const auto recoveredDelay = state.directoryAvailability.recordResult(DirectoryStatus::Ok, "", at(5000));
    BOOST_TEST((unavailableDelay > recoveredDelay));
    state.targetListUpdater.applyFullList({}, {0, 12}, "test", at(5000));
    BOOST_TEST(state.context.targets.availableTargets("model", at(5100)).size() == 1U);
    BOOST_TEST(state.context.targets.availableTargets("model", at(7000)).empty());
}

// Guards against refusing requests after a pause of the process: a daemon that was stopped for 3.5 s refused all 87
// requests that had arrived meanwhile, because its last confirmation of the configuration was too old and it did not
// request a new one first. After failed attempts, there is no reason to wait.
BOOST_AUTO_TEST_CASE(a_new_confirmation_is_awaited_after_a_pause_of_the_process_but_not_after_failures)
{
    RelayState state;
    auto &context = state.context;
    BOOST_TEST(!context.confirmationExpectedSoon(at(0))); // There is no configuration yet.
    context.activateConfiguration(chatTable(), "{}", "test", at(0));
    context.confirmationTriedAt = at(0);
    BOOST_TEST(!context.confirmationExpectedSoon(at(1000)));
    BOOST_TEST(context.confirmationExpectedSoon(at(3500)));
    context.isolated = true;
    BOOST_TEST(!context.confirmationExpectedSoon(at(3500)));
    context.isolated = false;
    context.confirmationTriedAt = at(3600); // The attempt ended, whether it succeeded or not.
    BOOST_TEST(!context.confirmationExpectedSoon(at(3700)));
}

BOOST_AUTO_TEST_CASE(the_first_configuration_is_awaited_shortly_after_the_start)
{
    RelayState state;
    const auto started = state.context.startedAt;
    BOOST_TEST(state.context.missingDataExpectedSoon(core::Reason::NotReady, started + absl::Milliseconds(100)));
    BOOST_TEST(!state.context.missingDataExpectedSoon(core::Reason::NotReady, started + absl::Milliseconds(200)));
    // Waiting does not help an unknown key.
    BOOST_TEST(!state.context.missingDataExpectedSoon(core::Reason::UnknownKey, started));
}

BOOST_AUTO_TEST_CASE(a_service_without_listed_targets_is_known_as_soon_as_the_list_is)
{
    RelayState state;
    state.context.activateConfiguration(chatTable(), "{}", "test", at(0));
    RequestProgress request(state.context, longPrompt(), at(0));
    BOOST_REQUIRE(!request.authorise(at(0)));
    static_cast<void>(request.query(at(0)));
    BOOST_TEST(!request.hasNoTarget(at(0))); // The target list has not been read yet.
    state.targetListUpdater.applyFullList({}, {0, 1}, "test", at(1));
    BOOST_TEST(request.hasNoTarget(at(1)));
    BOOST_TEST(
        (request.retryAfter(core::Reason::NoTarget, Start) > request.retryAfter(core::Reason::NoCapacity, Start)));
    state.targetListUpdater.applyChanges({{entry("a")}}, {0, 2}, "test", at(2));
    BOOST_TEST(!request.hasNoTarget(at(2)));
    state.targetListUpdater.applyChanges({{entry("a", true)}}, {0, 3}, "test", at(3));
    BOOST_TEST(request.hasNoTarget(at(3))); // The only target is draining.
}

BOOST_AUTO_TEST_CASE(an_older_list_restores_no_target)
{
    RelayState state;
    state.targetListUpdater.applyFullList({{entry("a"), false}}, {0, 10}, "test", at(0));
    state.targetListUpdater.applyChanges({{entry("a"), true}}, {0, 11}, "test", at(10));
    state.targetListUpdater.applyFullList({{entry("a"), false}}, {0, 10}, "a slow peer", at(20));
    BOOST_TEST(state.context.targets.availableTargets("model", at(30)).empty());
}

// Guards against the use of a target that had gone and that a restored backup of the directory lists again: it was used
// as soon as the list was read a second time.
BOOST_AUTO_TEST_CASE(a_target_of_a_restored_backup_is_doubted_until_it_writes_or_its_entry_does_not_expire)
{
    for (const bool isRewritten : {true, false}) {
        RelayState state;
        const auto listedCount
            = [&state](std::int64_t ms) { return state.context.targets.availableTargets("model", at(ms)).size(); };
        state.targetListUpdater.applyFullList({{entry("a")}, {entry("b")}}, {1, 10}, "test", at(0));
        state.targetListUpdater.applyChanges({{entry("a"), true}}, {1, 11}, "test", at(10));
        state.targetListUpdater.applyFullList({{entry("a")}, {entry("b")}}, {2, 9}, "test", at(100));
        BOOST_TEST(listedCount(110) == 1U);
        state.targetListUpdater.applyFullList({{entry("a")}, {entry("b")}}, {2, 9}, "test", at(200));
        BOOST_TEST(listedCount(210) == 1U);
        if (isRewritten) {
            state.targetListUpdater.applyChanges({{entry("a")}}, {2, 10}, "test", at(300));
            BOOST_TEST(listedCount(310) == 2U);
        } else {
            BOOST_TEST(listedCount(4000) == 1U);
            BOOST_TEST(listedCount(6000) == 2U);
        }
    }
}

// Guards against applying changes of one era of the directory to the target list of another.
BOOST_AUTO_TEST_CASE(changes_of_another_era_than_the_known_list_are_ignored)
{
    RelayState state;
    state.targetListUpdater.applyFullList({{entry("a")}}, {1, 10}, "test", at(0));
    state.targetListUpdater.applyChanges({{entry("a"), true}}, {2, 12}, "test", at(10));
    BOOST_TEST(state.context.targets.availableTargets("model", at(20)).size() == 1U);
    state.targetListUpdater.applyFullList({{entry("a")}, {entry("b")}}, {2, 3}, "test", at(30));
    BOOST_TEST(state.context.targets.availableTargets("model", at(40)).size() == 2U);
    state.targetListUpdater.applyFullList({}, {1, 99}, "a slow peer", at(50));
    BOOST_TEST(state.context.targets.availableTargets("model", at(60)).size() == 2U);
}

BOOST_AUTO_TEST_CASE(only_listed_targets_are_reported_to_peers)
{
    RelayState state;
    state.targetListUpdater.applyFullList({{entry("a"), false}, {entry("b"), false}}, {0, 10}, "test", at(0));
    state.context.targets.expire("b", at(2000)); // This daemon keeps the target for a moment.
    const auto decoded = readPeerState(writePeerState(makePeerState(state.context, 0, {}, at(10))));
    BOOST_REQUIRE(decoded.targets.size() == 1U);
    BOOST_TEST(decoded.targets.front().entry.id == "a");
}

// Guards against large target lists: 300 daemons with 3,003 targets start at once, and each requests the full list from
// the daemon of its failure domain that read it, over the link of a small VM with 2.5 MB/s. An entry consists of its
// id, its address and numbers.
BOOST_AUTO_TEST_CASE(a_list_of_thousands_of_targets_takes_some_fifty_bytes_each_and_is_decoded_unchanged)
{
    constexpr std::size_t Targets = 3003;
    constexpr std::size_t MaxBytesPerTarget = 56;
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
    BOOST_TEST(text.size() <= Targets * MaxBytesPerTarget);
    const auto decoded = readPeerState(text);
    BOOST_REQUIRE(decoded.targets.size() == state.targets.size());
    for (std::size_t i = 0; i < Targets; ++i) {
        const auto &sent = state.targets[i].entry;
        const auto &received = decoded.targets[i].entry;
        BOOST_TEST((received.incarnation() == sent.incarnation() && received.service == sent.service
                    && received.address == sent.address));
        BOOST_TEST((received.failureDomain == sent.failureDomain && received.slots == sent.slots));
        BOOST_TEST(received.draining == sent.draining);
    }
    BOOST_TEST(decoded.targets[Targets].removed);
    BOOST_TEST(decoded.targets[Targets + 1].fault == "/slots: expected an integer");
}

BOOST_AUTO_TEST_CASE(a_malformed_peer_state_is_rejected)
{
    BOOST_CHECK_THROW(static_cast<void>(readPeerState("{")), core::InvalidDocument);
    BOOST_CHECK_THROW(static_cast<void>(readPeerState(R"({"version":"x"})")), core::InvalidDocument);
}

BOOST_AUTO_TEST_SUITE_END()
