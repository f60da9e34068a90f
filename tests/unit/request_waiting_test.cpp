//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of how long a request waits for a target, and of what counts as waiting
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_state.h"

#include "spurlug/relay/request_progress.h"

#include <boost/test/unit_test.hpp>

using namespace spurlug;
using namespace spurlug::relay;
using namespace spurlug::test;

BOOST_AUTO_TEST_SUITE(request_waiting)

/// Guards against counting time lost to a dead connection as time spent waiting for capacity. While a failure domain is
/// partitioned, requests of its callers first go to unreachable engines, whose connections time out after longer than
/// the latency objective. The requests were then refused for lack of capacity, although their daemon knew of only 5 of
/// 720 slots in use: 67 of 82 short prompts refused within two seconds of such a partition, 49 of 57 in a larger fleet.
BOOST_AUTO_TEST_CASE(time_lost_to_a_dead_connection_is_not_waiting_for_capacity)
{
    RelayState state;
    state.context.activateConfiguration(chatTable(absl::Milliseconds(300), absl::Milliseconds(250)), "{}", "test",
                                        at(0));
    state.context.targets.put(entry("dead"));
    RequestProgress request(state.context, shortPrompt(), at(0));
    BOOST_REQUIRE(!request.authorise(at(0)));
    const auto chosen = request.choose(at(10));
    BOOST_REQUIRE(chosen.has_value());
    request.beginAttempt(*chosen, "", at(10));
    request.endAttempt(core::Outcome::NotRun, core::Reason::ConnectFailed, TargetFault::Unreachable, "", at(410));
    BOOST_TEST(!request.waitExpired(at(410)));
    BOOST_TEST(!request.waitExpired(at(699))); // 10 ms of the objective were spent waiting before.
    BOOST_TEST(request.waitExpired(at(700)));
}

BOOST_AUTO_TEST_SUITE_END()
