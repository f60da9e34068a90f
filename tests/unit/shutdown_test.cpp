//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the schedule of a shutdown, and of what a request needs to end in time
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_state.h"

#include "spurlug/relay/request_progress.h"
#include "spurlug/relay/shutdown.h"

#include <boost/test/unit_test.hpp>
#include <memory>

namespace spurlug::test
{

using namespace relay;

BOOST_AUTO_TEST_SUITE(shutdown_schedule)

BOOST_AUTO_TEST_CASE(nothing_is_refused_before_a_shutdown)
{
    const Shutdown shutdown(absl::Seconds(8));
    BOOST_TEST(!shutdown.hasBegun());
    BOOST_TEST(!shutdown.refusesArrival(at(1'000'000)));
    BOOST_TEST((shutdown.latestStart(absl::Hours(1)) == absl::InfiniteFuture()));
    BOOST_TEST((shutdown.latestStart(absl::InfiniteDuration()) == absl::InfiniteFuture()));
    BOOST_TEST((shutdown.exitAt() == absl::InfiniteFuture()));
}

// Guards against requests that are ended after the process, or so late that their answers are lost.
BOOST_AUTO_TEST_CASE(requests_are_refused_then_ended_then_the_daemon_exits_within_the_grace_period)
{
    for (const auto seconds : {2, 3, 5, 8, 30, 600}) {
        Shutdown shutdown{absl::Seconds(seconds)};
        BOOST_TEST(shutdown.begin(at(1000)));
        BOOST_TEST((at(1000) < shutdown.receiveBy()));
        BOOST_TEST((shutdown.receiveBy() < shutdown.answerBy()));
        BOOST_TEST((shutdown.answerBy() < shutdown.exitAt()));
        BOOST_TEST((shutdown.exitAt() < at(1000) + absl::Seconds(seconds)));
    }
}

// Guards against a second stop signal that extends the grace period.
BOOST_AUTO_TEST_CASE(a_second_begin_changes_nothing)
{
    Shutdown shutdown(absl::Seconds(8));
    int calls = 0;
    const ShutdownWatch watch(shutdown, [&calls] { ++calls; });
    BOOST_TEST(shutdown.begin(at(0)));
    const auto exitAt = shutdown.exitAt();
    BOOST_TEST(!shutdown.begin(at(5000)));
    BOOST_TEST((shutdown.exitAt() == exitAt));
    BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_CASE(watches_are_notified_of_the_begin_and_of_the_end_until_they_are_destroyed)
{
    Shutdown shutdown(absl::Seconds(8));
    int kept = 0;
    int dropped = 0;
    const ShutdownWatch watch(shutdown, [&kept] { ++kept; });
    auto temporary = std::make_unique<ShutdownWatch>(shutdown, [&dropped] { ++dropped; });
    shutdown.begin(at(0));
    temporary = nullptr;
    shutdown.endRequests();
    BOOST_TEST(kept == 2);
    BOOST_TEST(dropped == 1);
}

// Guards against prompts that start too late to end before the exit, and against refusing those that can.
BOOST_AUTO_TEST_CASE(a_prompt_may_start_as_long_as_its_answer_can_end_before_the_exit)
{
    RelayState state;
    state.context.activateConfiguration(chatTable(), "{}", "test", at(0));
    RequestProgress shorter(state.context, shortPrompt(), at(0));
    RequestProgress longer(state.context, longPrompt(), at(0));
    for (auto *request : {&shorter, &longer}) {
        BOOST_REQUIRE(!request->authorise(at(0)));
        static_cast<void>(request->query(at(0)));
        BOOST_TEST((request->latestStart() == absl::InfiniteFuture()));
    }
    state.context.shutdown.begin(at(0));
    BOOST_TEST((longer.latestStart() < shorter.latestStart()));
    BOOST_TEST((shorter.latestStart() < state.context.shutdown.answerBy()));
    ChosenTargets busy;
    busy.expectedTtft = absl::Hours(1);
    BOOST_TEST((shorter.latestStart(&busy) < at(0)));
}

// Guards against a retry that is charged to the retry budget and can't end before the exit.
BOOST_AUTO_TEST_CASE(a_request_is_not_sent_again_when_it_cannot_end_before_the_exit)
{
    RelayState state;
    state.context.activateConfiguration(chatTable(), "{}", "test", at(0));
    for (const auto *id : {"a", "b"}) {
        state.context.targets.put({id, "model", {"127.0.0.1", static_cast<std::uint16_t>(id[0])}, "hall-a", 16, false});
    }
    RequestProgress request(state.context, shortPrompt(), at(0));
    BOOST_REQUIRE(!request.authorise(at(0)));
    const auto chosen = request.choose(at(0));
    BOOST_REQUIRE(chosen.has_value());
    request.beginAttempt(*chosen, "", at(0));
    state.context.shutdown.begin(at(0));
    const auto late = request.latestStart();
    request.endAttempt(core::Outcome::MayHaveRun, core::Reason::TargetFailed, std::nullopt, "", late);
    BOOST_TEST(!request.allowRetry(true, core::Reason::TargetFailed, late));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
