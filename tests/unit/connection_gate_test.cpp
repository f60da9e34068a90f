//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of turning new connections away under overload
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/connection_gate.h"

#include <boost/test/unit_test.hpp>

namespace
{

using namespace spurlug;
using relay::ConnectionGate;

constexpr auto LongDelay = absl::Milliseconds(300);
constexpr auto ShortDelay = absl::Milliseconds(2);

} // namespace

BOOST_AUTO_TEST_SUITE(connection_gate)

// A daemon that got most new connections of a region read them all, and was late for each.
BOOST_AUTO_TEST_CASE(connections_are_turned_away_while_the_loop_stays_late)
{
    ConnectionGate gate;
    int ticks = 0;
    while (gate.isOpen() && ticks < 10) {
        gate.noteTick(LongDelay);
        ++ticks;
    }
    BOOST_TEST(!gate.isOpen());
    BOOST_TEST(!gate.noteTick(LongDelay)); // Still closed.
    BOOST_TEST(gate.noteTick(ShortDelay));
    BOOST_TEST(gate.isOpen());
}

// A VM that was suspended has one long delay; its callers must not be turned away for that.
BOOST_AUTO_TEST_CASE(a_single_delay_closes_nothing)
{
    ConnectionGate gate;
    for (int i = 0; i < 5; ++i) {
        gate.noteTick(absl::Seconds(4));
        BOOST_TEST(gate.isOpen());
        gate.noteTick(ShortDelay);
    }
    BOOST_TEST(gate.isOpen());
}

BOOST_AUTO_TEST_SUITE_END()
