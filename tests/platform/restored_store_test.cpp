//----------------------------------------------------------------------------------------------------------------------
// spurlug: a store that comes back from an older copy of itself
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

constexpr auto Spread = absl::Milliseconds(250); // A change in the store is known at a daemon that reads it by then.
/// A follower asks its reader every 0.3 s; one that lost it reads itself after two seconds.
constexpr auto FleetSpread = absl::Milliseconds(2500);
constexpr auto Away = absl::Milliseconds(200);
constexpr int Churn = 20; ///< Changes that the store loses.

Ask safe()
{
    Ask ask;
    ask.path = "/safe/1";
    return ask;
}

/// Changes of what no daemon reads, so that the store's revisions rise.
void writeOthers(RelayFleet &fleet, int changes = Churn)
{
    for (int i = 0; i < changes; ++i) {
        fleet.store.put("others", "o", {{"n", i}});
    }
}

/// The same, and entries that say nothing new.
void churn(RelayFleet &fleet)
{
    writeOthers(fleet);
    for (const auto &target : fleet.targets) {
        auto entry = RelayFleet::entryOf(*target, "app");
        entry["call_seq"] = Churn;
        fleet.store.put("servers", target->id(), entry);
    }
}

/// The store is away for a moment and comes back from its copy.
net::Task<> drill(RelayFleet &fleet)
{
    fleet.store.mood = StoreMood::Reset;
    co_await net::sleepFor(Away);
    fleet.store.restore();
    fleet.store.mood = StoreMood::Well;
}

/// Asks daemons in turn.
/// \returns How many got 200.
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

// A reader took the lists of the store's new era for old ones, and went on using a target that left.
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

// A follower took its reader's lists of the new era for old ones.
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

// A wait went on from a revision that the store had given out again, and missed what lay before it.
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
        fleet.store.restore(); // So short that no call fails.
        fleet.announce(leaver, "app", "draining");
        fleet.configuration["routes"][1]["path_prefix"] = "/moved/";
        fleet.configure();
        fleet.evacuate("hall-z");
        writeOthers(fleet, 3 * Churn);
        co_await net::sleepFor(absl::Milliseconds(1500)); // A wait for the configuration may have begun just before.
        Ask moved;
        moved.path = "/moved/1";
        const auto served = co_await askAll(fleet, moved, 1);
        BOOST_TEST(served == 30);
        BOOST_TEST(leaver.arrivals().empty());
    });
}

// An evacuation of the new era was taken for older than what was known.
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

// An evacuation that the store lost was taken for one that the operator had taken back.
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

// A target whose entry the store lost was dropped at once, though it writes its entry again.
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

// A target that was gone came back to life with the store's copy.
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
        auto entry = RelayFleet::entryOf(gone, "app"); // It lives after all, and writes.
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
