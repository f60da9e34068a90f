//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of requests that are in progress while their daemon shuts down
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"

#include <boost/test/unit_test.hpp>

namespace spurlug::test
{

BOOST_AUTO_TEST_SUITE(shutdown)

// Guards against coroutines that outlive the daemon to which they refer, which made the process end by SIGSEGV.
BOOST_AUTO_TEST_CASE(whatever_waits_on_the_loop_is_destroyed_before_its_daemon)
{
    struct Sentinel
    {
        explicit Sentinel(bool &destroyed)
            : destroyed(destroyed)
        { }
        ~Sentinel()
        {
            destroyed = true;
        }
        bool &destroyed;
    };
    bool destroyed = false;
    net::Loop loop;
    FakeStore store(loop);
    RelayFleet fleet(0);
    const auto settings = fleet.makeSettings();
    platform::StoreDirectory directory(loop, store.address(), absl::Milliseconds(500));
    {
        RelayFleet::Daemon daemon(loop, settings, "/dev/null", platform::RequestCodec(), directory);
        net::asio::co_spawn(
            loop,
            [&destroyed]() -> net::Task<> {
                const Sentinel sentinel(destroyed);
                co_await net::sleepFor(absl::Hours(1));
            },
            net::asio::detached);
        loop.poll();
    }
    BOOST_TEST(destroyed);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
