//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of waits for changes in the store that are cut or fall silent
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"

#include <boost/test/unit_test.hpp>

namespace spurlug::test
{

namespace
{

constexpr auto PropagationTime
    = absl::Milliseconds(250); // Time within which a daemon that reads the store knows of a change.

CallerRequest safeRequest()
{
    CallerRequest request;
    request.path = "/safe/1";
    return request;
}

/// Sends requests to the daemons in turn.
/// \returns Number of requests that got 200.
net::Task<int> countServed(RelayFleet &fleet, std::size_t daemonCount, int requestCount = 20)
{
    int served = 0;
    for (int i = 0; i < requestCount; ++i) {
        const auto answer = co_await fleet.send(safeRequest(), static_cast<std::size_t>(i) % daemonCount);
        served += answer.status == 200 ? 1 : 0;
    }
    co_return served;
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_watches)

// Guards against taking a wait that the store cut once for an outage: targets that left then were used for 1.6 s more.
BOOST_AUTO_TEST_CASE(a_target_that_leaves_after_its_watch_was_cut_is_dropped_at_once)
{
    RelayFleet fleet;
    auto &removed = fleet.addTarget("app");
    fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        fleet.store.cutWatches("servers");
        co_await net::sleepFor(PropagationTime);
        fleet.store.remove("servers", removed.id());
        co_await net::sleepFor(PropagationTime);
        const auto served = co_await countServed(fleet, 1);
        BOOST_TEST(served == 20);
        BOOST_TEST(removed.arrivals().empty());
    });
}

// Guards against repeating the same wait until the store forgets its history, because its answer cannot be read.
BOOST_AUTO_TEST_CASE(changes_that_cannot_be_read_are_read_as_a_list)
{
    RelayFleet fleet;
    fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        fleet.store.editAnswer = [](nlohmann::json &body) {
            if (body.contains("events")) {
                body["at"] = "unknown";
            }
        };
        auto &added = fleet.addTarget("app");
        co_await net::sleepFor(absl::Seconds(1));
        const auto served = co_await countServed(fleet, 1);
        BOOST_TEST(served == 20);
        BOOST_TEST(!added.arrivals().empty());
    });
}

// Guards against taking an outage that begins with a cut wait for a cut wait only: entries that expire in it are
// written again.
BOOST_AUTO_TEST_CASE(a_target_whose_entry_expires_in_an_outage_is_kept_until_it_can_be_written_again)
{
    RelayFleet fleet;
    auto &expired = fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        fleet.store.failure = StoreFailure::ConnectionReset;
        fleet.store.cutWatches("servers");
        co_await net::sleepFor(absl::Milliseconds(500));
        fleet.store.remove("servers", expired.id());
        fleet.store.failure = StoreFailure::None;
        co_await net::sleepFor(absl::Milliseconds(800)); // All watches have been repeated by then.
        const auto served = co_await countServed(fleet, 1);
        BOOST_TEST(served == 20);
    });
}

// Guards against requests to a draining target after only the connection of the wait for targets fell silent: it was
// noticed after 5 s.
BOOST_AUTO_TEST_CASE(a_draining_target_gets_no_requests_after_the_watch_of_targets_fell_silent)
{
    constexpr auto ContactTime = absl::Seconds(3); // Daemons count as in contact again this long after the silence.
    constexpr std::size_t DaemonCount = 2;
    for (const auto peers : {Peers::Isolated, Peers::Connected}) {
        RelayFleet fleet(DaemonCount, peers);
        auto &draining = fleet.addTarget("app");
        fleet.addTarget("app");
        fleet.run([&]() -> net::Task<> {
            co_await fleet.waitUntilReady();
            if (peers == Peers::Connected) {
                co_await fleet.waitUntilConnected();
            }
            co_await net::sleepFor(PropagationTime);
            fleet.store.silenceWatches("servers");
            co_await net::sleepFor(absl::Milliseconds(100));
            fleet.writeEntry(draining, "app", "draining");
            co_await net::sleepFor(ContactTime - absl::Milliseconds(100));
            const auto served = co_await countServed(fleet, DaemonCount);
            BOOST_TEST(served == 20);
            BOOST_TEST(draining.arrivals().empty());
        });
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
