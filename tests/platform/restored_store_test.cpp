//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of a store that is restored from a snapshot
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"

#include "spurlug/core/text.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace spurlug::test
{

namespace
{

constexpr auto PropagationTime
    = absl::Milliseconds(250); // Time within which a daemon that reads the store knows of a change.
/// A daemon that learns from a directory reader asks it every 0.3 s. If the reader fails, the daemon reads the store
/// itself after two seconds.
constexpr auto FleetPropagationTime = absl::Milliseconds(2500);
constexpr auto OutageDuration = absl::Milliseconds(200);
constexpr int LostChanges = 20; ///< Number of changes that the store loses.

CallerRequest safeRequest()
{
    CallerRequest request;
    request.path = "/safe/1";
    return request;
}

/// Changes an object that no daemon reads, so that the store's revision increases.
void writeUnrelatedObjects(RelayFleet &fleet, int changes = LostChanges)
{
    for (int i = 0; i < changes; ++i) {
        fleet.store.put("others", "o", {{"n", i}});
    }
}

/// Also rewrites the entries of all targets with a new `call_seq` only.
void writeLostChanges(RelayFleet &fleet)
{
    writeUnrelatedObjects(fleet);
    for (const auto &target : fleet.targets) {
        auto entry = RelayFleet::makeEntry(*target, "app");
        entry["call_seq"] = LostChanges;
        fleet.store.put("servers", target->id(), entry);
    }
}

/// Makes the store unavailable for a moment and restores its snapshot.
net::Task<> failAndRestore(RelayFleet &fleet)
{
    fleet.store.failure = StoreFailure::ConnectionReset;
    co_await net::sleepFor(OutageDuration);
    fleet.store.restoreSnapshot();
    fleet.store.failure = StoreFailure::None;
}

/// Sends requests to the daemons in turn.
/// \returns Number of requests that got 200.
net::Task<int> countServed(RelayFleet &fleet, CallerRequest request, std::size_t daemonCount, int requestCount = 30)
{
    int served = 0;
    for (int i = 0; i < requestCount; ++i) {
        const auto answer = co_await fleet.send(request, static_cast<std::size_t>(i) % daemonCount);
        served += answer.status == 200 ? 1 : 0;
    }
    co_return served;
}

} // namespace

BOOST_AUTO_TEST_SUITE(restored_store)

// A directory reader rejected the lists of the store's new era as old and went on using a target that was draining.
BOOST_AUTO_TEST_CASE(a_target_that_drains_after_a_restore_gets_no_requests)
{
    RelayFleet fleet;
    auto &drainingTarget = fleet.addTarget("app");
    fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        fleet.store.takeSnapshot();
        writeLostChanges(fleet);
        co_await net::sleepFor(PropagationTime);
        co_await failAndRestore(fleet);
        co_await net::sleepFor(absl::Seconds(1));
        fleet.writeEntry(drainingTarget, "app", "draining");
        co_await net::sleepFor(PropagationTime);
        const auto served = co_await countServed(fleet, safeRequest(), 1);
        BOOST_TEST(served == 30);
        BOOST_TEST(drainingTarget.arrivals().empty());
    });
}

// A daemon rejected the lists that its directory reader had of the new era as old.
BOOST_AUTO_TEST_CASE(daemons_accept_the_lists_of_the_new_era_from_their_directory_reader)
{
    RelayFleet fleet(3, Peers::Connected);
    auto &drainingTarget = fleet.addTarget("app");
    fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await fleet.waitUntilConnected();
        fleet.store.takeSnapshot();
        writeLostChanges(fleet);
        co_await net::sleepFor(absl::Seconds(1));
        co_await failAndRestore(fleet);
        co_await net::sleepFor(FleetPropagationTime);
        fleet.writeEntry(drainingTarget, "app", "draining");
        co_await net::sleepFor(absl::Seconds(1));
        const auto served = co_await countServed(fleet, safeRequest(), 3);
        BOOST_TEST(served == 30);
        BOOST_TEST(drainingTarget.arrivals().empty());
    });
}

// A watch continued from a revision that the restored store had reused, and missed the changes before it.
BOOST_AUTO_TEST_CASE(no_change_is_missed_if_revisions_are_reused)
{
    RelayFleet fleet;
    auto &drainingTarget = fleet.addTarget("app");
    fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        fleet.store.takeSnapshot();
        writeLostChanges(fleet);
        co_await net::sleepFor(PropagationTime);
        fleet.store.restoreSnapshot(); // The restore is so short that no call fails.
        fleet.writeEntry(drainingTarget, "app", "draining");
        fleet.configuration["routes"][1]["path_prefix"] = "/moved/";
        fleet.writeConfiguration();
        fleet.evacuate("hall-z");
        writeUnrelatedObjects(fleet, 3 * LostChanges);
        co_await net::sleepFor(absl::Milliseconds(1500)); // A watch of the configuration may have started just before.
        CallerRequest moved;
        moved.path = "/moved/1";
        const auto served = co_await countServed(fleet, moved, 1);
        BOOST_TEST(served == 30);
        BOOST_TEST(drainingTarget.arrivals().empty());
    });
}

// Daemons rejected an evacuation of the new era as older than the known state.
BOOST_AUTO_TEST_CASE(an_evacuation_after_a_restore_is_applied)
{
    RelayFleet fleet;
    auto &evacuated = fleet.addTarget("app");
    auto &remaining = fleet.addTarget("app");
    fleet.writeAppEntry("hall-a", evacuated);
    fleet.writeAppEntry("hall-b", remaining);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        fleet.store.takeSnapshot();
        fleet.evacuate("hall-b");
        fleet.endEvacuation("hall-b");
        writeUnrelatedObjects(fleet);
        fleet.evacuate("hall-c");
        co_await net::sleepFor(PropagationTime);
        co_await failAndRestore(fleet);
        co_await net::sleepFor(absl::Seconds(1));
        fleet.evacuate("hall-a");
        co_await net::sleepFor(PropagationTime);
        const auto served = co_await countServed(fleet, safeRequest(), 1);
        BOOST_TEST(served == 30);
        BOOST_TEST(evacuated.arrivals().empty());
    });
}

// Daemons treated an evacuation that the store had lost as ended by the operator.
BOOST_AUTO_TEST_CASE(an_evacuation_that_the_store_lost_stays_active_until_it_can_be_rewritten)
{
    RelayFleet fleet;
    auto &evacuated = fleet.addTarget("app");
    auto &remaining = fleet.addTarget("app");
    fleet.writeAppEntry("hall-a", evacuated);
    fleet.writeAppEntry("hall-b", remaining);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        fleet.store.takeSnapshot();
        fleet.evacuate("hall-a");
        co_await net::sleepFor(PropagationTime);
        co_await failAndRestore(fleet);
        const auto served = co_await countServed(fleet, safeRequest(), 1);
        BOOST_TEST(served == 30);
        co_await net::sleepFor(absl::Milliseconds(700));
        const auto later = co_await countServed(fleet, safeRequest(), 1);
        BOOST_TEST(later == 30);
        BOOST_TEST(evacuated.arrivals().empty());
        fleet.evacuate("hall-a");
        co_await net::sleepFor(absl::Seconds(2));
        const auto last = co_await countServed(fleet, safeRequest(), 1);
        BOOST_TEST(last == 30);
        BOOST_TEST(evacuated.arrivals().empty());
    });
}

// Daemons dropped a target at once when the store lost its entry, although the target writes its entry again.
BOOST_AUTO_TEST_CASE(a_target_whose_entry_the_store_lost_is_used_until_the_entry_is_rewritten)
{
    RelayFleet fleet;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        fleet.store.takeSnapshot();
        auto &lost = fleet.addTarget("app");
        co_await net::sleepFor(PropagationTime);
        co_await failAndRestore(fleet);
        co_await net::sleepFor(absl::Milliseconds(600));
        const auto served = co_await countServed(fleet, safeRequest(), 1);
        BOOST_TEST(served == 30);
        fleet.writeEntry(lost, "app");
        co_await net::sleepFor(absl::Seconds(2));
        const auto after = co_await countServed(fleet, safeRequest(), 1);
        BOOST_TEST(after == 30);
    });
}

// Daemons used a removed target again because the restored snapshot listed it.
BOOST_AUTO_TEST_CASE(a_removed_target_that_a_snapshot_lists_gets_no_requests)
{
    RelayFleet fleet;
    auto &removed = fleet.addTarget("app");
    auto &listed = fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        fleet.store.takeSnapshot();
        fleet.store.remove("servers", removed.id());
        co_await net::sleepFor(PropagationTime);
        co_await failAndRestore(fleet);
        co_await net::sleepFor(absl::Milliseconds(600));
        const auto served = co_await countServed(fleet, safeRequest(), 1);
        BOOST_TEST(served == 30);
        BOOST_TEST(removed.arrivals().empty());
        fleet.writeEntry(listed, "app", "draining");
        auto entry = RelayFleet::makeEntry(removed, "app"); // The target runs after all and writes its entry.
        entry["slots"] = 8;
        fleet.store.put("servers", removed.id(), entry);
        co_await net::sleepFor(PropagationTime);
        const auto after = co_await countServed(fleet, safeRequest(), 1);
        BOOST_TEST(after == 30);
        BOOST_TEST(removed.arrivals().size() == 30U);
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
