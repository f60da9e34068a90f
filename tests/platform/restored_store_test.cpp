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

constexpr auto Spread = absl::Milliseconds(250); // Time within which a daemon that reads the store knows of a change.
/// A daemon that learns from a directory reader asks it every 0.3 s. If the reader fails, the daemon reads the store
/// itself after two seconds.
constexpr auto FleetSpread = absl::Milliseconds(2500);
constexpr auto Away = absl::Milliseconds(200);
constexpr int Churn = 20; ///< Number of changes that the store loses.

Ask safe()
{
    Ask ask;
    ask.path = "/safe/1";
    return ask;
}

/// Changes an object that no daemon reads, so that the store's revision increases.
void writeOthers(RelayFleet &fleet, int changes = Churn)
{
    for (int i = 0; i < changes; ++i) {
        fleet.store.put("others", "o", {{"n", i}});
    }
}

/// Also rewrites the entries of all targets with a new `call_seq` only.
void churn(RelayFleet &fleet)
{
    writeOthers(fleet);
    for (const auto &target : fleet.targets) {
        auto entry = RelayFleet::entryOf(*target, "app");
        entry["call_seq"] = Churn;
        fleet.store.put("servers", target->id(), entry);
    }
}

/// Makes the store unavailable for a moment and restores its snapshot.
net::Task<> drill(RelayFleet &fleet)
{
    fleet.store.mood = StoreMood::Reset;
    co_await net::sleepFor(Away);
    fleet.store.restore();
    fleet.store.mood = StoreMood::Well;
}

/// Sends requests to the daemons in turn.
/// \returns Number of requests that got 200.
net::Task<int> askAll(RelayFleet &fleet, Ask ask, std::size_t daemons, int requests = 30)
{
    int served = 0;
    for (int i = 0; i < requests; ++i) {
        const auto got = co_await fleet.ask(ask, static_cast<std::size_t>(i) % daemons);
        served += got.status == 200 ? 1 : 0;
    }
    co_return served;
}

} // namespace

BOOST_AUTO_TEST_SUITE(restored_store)

// A directory reader rejected the lists of the store's new era as old and went on using a target that was draining.
BOOST_AUTO_TEST_CASE(a_target_that_leaves_after_the_store_came_back_from_a_copy_gets_nothing)
{
    RelayFleet fleet;
    auto &leaver = fleet.addTarget("app");
    fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        fleet.store.copy();
        churn(fleet);
        co_await net::sleepFor(Spread);
        co_await drill(fleet);
        co_await net::sleepFor(absl::Seconds(1));
        fleet.announce(leaver, "app", "draining");
        co_await net::sleepFor(Spread);
        const auto served = co_await askAll(fleet, safe(), 1);
        BOOST_TEST(served == 30);
        BOOST_TEST(leaver.arrivals().empty());
    });
}

// A daemon rejected the lists that its directory reader had of the new era as old.
BOOST_AUTO_TEST_CASE(followers_take_in_what_their_reader_has_of_the_new_era)
{
    RelayFleet fleet(3, Peers::Joined);
    auto &leaver = fleet.addTarget("app");
    fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        co_await fleet.joined();
        fleet.store.copy();
        churn(fleet);
        co_await net::sleepFor(absl::Seconds(1));
        co_await drill(fleet);
        co_await net::sleepFor(FleetSpread);
        fleet.announce(leaver, "app", "draining");
        co_await net::sleepFor(absl::Seconds(1));
        const auto served = co_await askAll(fleet, safe(), 3);
        BOOST_TEST(served == 30);
        BOOST_TEST(leaver.arrivals().empty());
    });
}

// A watch continued from a revision that the restored store had reused, and missed the changes before it.
BOOST_AUTO_TEST_CASE(nothing_is_missed_where_revisions_are_given_out_again)
{
    RelayFleet fleet;
    auto &leaver = fleet.addTarget("app");
    fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        fleet.store.copy();
        churn(fleet);
        co_await net::sleepFor(Spread);
        fleet.store.restore(); // The restore is so short that no call fails.
        fleet.announce(leaver, "app", "draining");
        fleet.configuration["routes"][1]["path_prefix"] = "/moved/";
        fleet.configure();
        fleet.evacuate("hall-z");
        writeOthers(fleet, 3 * Churn);
        co_await net::sleepFor(absl::Milliseconds(1500)); // A watch of the configuration may have started just before.
        Ask moved;
        moved.path = "/moved/1";
        const auto served = co_await askAll(fleet, moved, 1);
        BOOST_TEST(served == 30);
        BOOST_TEST(leaver.arrivals().empty());
    });
}

// Daemons rejected an evacuation of the new era as older than the known state.
BOOST_AUTO_TEST_CASE(an_evacuation_after_the_store_came_back_is_obeyed)
{
    RelayFleet fleet;
    auto &there = fleet.addTarget("app");
    auto &elsewhere = fleet.addTarget("app");
    fleet.announceIn("hall-a", there);
    fleet.announceIn("hall-b", elsewhere);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        fleet.store.copy();
        fleet.evacuate("hall-b");
        fleet.takeBack("hall-b");
        writeOthers(fleet);
        fleet.evacuate("hall-c");
        co_await net::sleepFor(Spread);
        co_await drill(fleet);
        co_await net::sleepFor(absl::Seconds(1));
        fleet.evacuate("hall-a");
        co_await net::sleepFor(Spread);
        const auto served = co_await askAll(fleet, safe(), 1);
        BOOST_TEST(served == 30);
        BOOST_TEST(there.arrivals().empty());
    });
}

// Daemons treated an evacuation that the store had lost as ended by the operator.
BOOST_AUTO_TEST_CASE(an_evacuation_that_the_store_lost_holds_until_the_operator_can_have_written_it_again)
{
    RelayFleet fleet;
    auto &there = fleet.addTarget("app");
    auto &elsewhere = fleet.addTarget("app");
    fleet.announceIn("hall-a", there);
    fleet.announceIn("hall-b", elsewhere);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        fleet.store.copy();
        fleet.evacuate("hall-a");
        co_await net::sleepFor(Spread);
        co_await drill(fleet);
        const auto served = co_await askAll(fleet, safe(), 1);
        BOOST_TEST(served == 30);
        co_await net::sleepFor(absl::Milliseconds(700));
        const auto later = co_await askAll(fleet, safe(), 1);
        BOOST_TEST(later == 30);
        BOOST_TEST(there.arrivals().empty());
        fleet.evacuate("hall-a");
        co_await net::sleepFor(absl::Seconds(2));
        const auto last = co_await askAll(fleet, safe(), 1);
        BOOST_TEST(last == 30);
        BOOST_TEST(there.arrivals().empty());
    });
}

// Daemons dropped a target at once when the store lost its entry, although the target writes its entry again.
BOOST_AUTO_TEST_CASE(a_target_whose_entry_the_store_lost_serves_on_until_it_is_written_again)
{
    RelayFleet fleet;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        fleet.store.copy();
        auto &lost = fleet.addTarget("app");
        co_await net::sleepFor(Spread);
        co_await drill(fleet);
        co_await net::sleepFor(absl::Milliseconds(600));
        const auto served = co_await askAll(fleet, safe(), 1);
        BOOST_TEST(served == 30);
        fleet.announce(lost, "app");
        co_await net::sleepFor(absl::Seconds(2));
        const auto after = co_await askAll(fleet, safe(), 1);
        BOOST_TEST(after == 30);
    });
}

// Daemons used a removed target again because the restored snapshot listed it.
BOOST_AUTO_TEST_CASE(a_target_that_was_gone_gets_nothing_because_a_copy_lists_it)
{
    RelayFleet fleet;
    auto &gone = fleet.addTarget("app");
    auto &stays = fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        fleet.store.copy();
        fleet.store.remove("servers", gone.id());
        co_await net::sleepFor(Spread);
        co_await drill(fleet);
        co_await net::sleepFor(absl::Milliseconds(600));
        const auto served = co_await askAll(fleet, safe(), 1);
        BOOST_TEST(served == 30);
        BOOST_TEST(gone.arrivals().empty());
        fleet.announce(stays, "app", "draining");
        auto entry = RelayFleet::entryOf(gone, "app"); // The target runs after all and writes its entry.
        entry["slots"] = 8;
        fleet.store.put("servers", gone.id(), entry);
        co_await net::sleepFor(Spread);
        const auto after = co_await askAll(fleet, safe(), 1);
        BOOST_TEST(after == 30);
        BOOST_TEST(gone.arrivals().size() == 30U);
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
