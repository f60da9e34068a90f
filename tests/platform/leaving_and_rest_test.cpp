//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of targets whose answers announce a shutdown or request a cooldown
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// The tests guard against two failures. While the store was unavailable, five of six daemons sent requests to a plain
// target for up to 5.8 s after its answers had announced that it drains; its entry in the store could not be updated.
// Engines that had refused a daemon's request and asked for a cooldown of 3 s got four and more requests from that
// daemon within that time: they refused everything, so they looked idle and the schedulers chose them again. All 102
// refused requests had been placed by schedulers, which see no answers. The daemons ignored both announcements and used
// the store's entry and a fixed backoff of 200 ms instead. The tests need no load, network failures or crashes.
//
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"

#include "spurlug/core/text.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spurlug::test
{

namespace
{

constexpr auto Spread = absl::Milliseconds(250); // Time within which a daemon knows of a change of the target list.
/// A daemon reports to the others in its next heartbeat, at most 0.3 s later in a small fleet; one may be lost.
constexpr auto TellTime = absl::Milliseconds(700);
/// A daemon that has just started does not retry: it does not know its share of the fleet-wide retry budget.
constexpr auto RepeatsFrom = absl::Seconds(3);

Ask safe()
{
    Ask ask;
    ask.path = "/safe/1";
    return ask;
}

Ask chat()
{
    Ask ask;
    ask.path = "/chat/1";
    ask.promptTokens = 1000;
    return ask;
}

/// Sends a request that names its daemon, so that targets record which daemon sent it.
net::Task<Got> askOf(RelayFleet &fleet, Ask ask, std::size_t daemon)
{
    ask.headers.emplace_back("Sent-To", core::cat(daemon));
    co_return co_await fleet.ask(std::move(ask), daemon);
}

/// Sends requests to daemons in turn, one after the other.
net::Task<std::map<int, int>> askInTurn(RelayFleet &fleet, const Ask &ask, int requests, std::size_t daemons)
{
    std::map<int, int> statuses;
    for (int i = 0; i < requests; ++i) {
        const auto got = co_await askOf(fleet, ask, static_cast<std::size_t>(i) % daemons);
        ++statuses[got.status];
        co_await net::sleepFor(absl::Milliseconds(5));
    }
    co_return statuses;
}

/// Returns how many requests one daemon sent to a target.
std::size_t sentBy(const FakeTarget &target, std::size_t daemon)
{
    const auto name = core::cat(daemon);
    return static_cast<std::size_t>(std::count_if(target.arrivals().begin(), target.arrivals().end(),
                                                  [&](const Arrival &arrival) { return arrival.daemon == name; }));
}

/// Returns how many requests one daemon sent to a target after its first one and within \a span of it.
std::size_t sentAgainWithin(const FakeTarget &target, std::size_t daemon, core::Duration span)
{
    const auto name = core::cat(daemon);
    std::optional<core::Time> first;
    std::size_t again = 0;
    for (const auto &arrival : target.arrivals()) {
        if (arrival.daemon != name) {
            continue;
        }
        again += first && arrival.at < *first + span ? 1 : 0;
        first = first.value_or(arrival.at);
    }
    return again;
}

Behaviour shedding(const std::string &retryAfter)
{
    Behaviour behaviour;
    behaviour.fault = Behaviour::Fault::Shed;
    behaviour.retryAfter = retryAfter;
    return behaviour;
}

/// Adds an engine that answers with a stream of three events.
FakeTarget &addEngine(RelayFleet &fleet)
{
    auto &engine = fleet.addTarget("model");
    engine.behaviour.events = 3;
    return engine;
}

} // namespace

BOOST_AUTO_TEST_SUITE(leaving_and_rest)

BOOST_AUTO_TEST_CASE(a_target_that_says_in_an_answer_that_it_leaves_gets_nothing_more_while_the_store_is_away)
{
    RelayFleet fleet(2);
    auto &leaver = fleet.addTarget("app");
    fleet.addTarget("app");
    fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        fleet.store.mood = StoreMood::Busy;
        leaver.leaving = true;
        const auto statuses = co_await askInTurn(fleet, safe(), 40, 2);
        BOOST_TEST(statuses.at(200) == 40);
        // The answer that announces the shutdown is the last one that each daemon gets from the target.
        BOOST_TEST(sentBy(leaver, 0) == 1U);
        BOOST_TEST(sentBy(leaver, 1) == 1U);
    });
}

BOOST_AUTO_TEST_CASE(an_engine_that_says_in_an_answer_that_it_leaves_gets_nothing_more_whoever_places_prompts)
{
    RelayFleet fleet(3, Peers::Joined);
    auto &leaver = addEngine(fleet);
    addEngine(fleet);
    addEngine(fleet);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        co_await fleet.joined();
        fleet.store.mood = StoreMood::Busy;
        leaver.leaving = true;
        const auto statuses = co_await askInTurn(fleet, chat(), 60, 3);
        BOOST_TEST(statuses.at(200) == 60);
        for (std::size_t daemon = 0; daemon < 3; ++daemon) {
            BOOST_TEST(sentBy(leaver, daemon) <= 1U);
        }
    });
}

BOOST_AUTO_TEST_CASE(daemons_tell_each_other_of_a_target_that_leaves_while_the_store_is_away)
{
    RelayFleet fleet(3, Peers::Joined);
    auto &leaver = fleet.addTarget("app");
    fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        co_await fleet.joined();
        fleet.store.mood = StoreMood::Busy;
        leaver.leaving = true;
        const auto first = co_await askInTurn(fleet, safe(), 20, 1);
        BOOST_TEST(first.at(200) == 20);
        BOOST_TEST(sentBy(leaver, 0) == 1U);
        co_await net::sleepFor(TellTime);
        const auto others = co_await askInTurn(fleet, safe(), 60, 3);
        BOOST_TEST(others.at(200) == 60);
        BOOST_TEST(leaver.arrivals().size() == 1U);
    });
}

BOOST_AUTO_TEST_CASE(a_list_that_still_says_ready_brings_no_leaving_target_back_and_a_later_life_does)
{
    constexpr std::int64_t FirstStart = 1'700'000'000'000;
    RelayFleet fleet;
    auto &leaver = fleet.addTarget("app");
    fleet.addTarget("app");
    const auto put = [&](std::int64_t startMs) {
        fleet.store.put("servers", leaver.id(), RelayFleet::entryOf(leaver, "app", "ready", startMs));
    };
    put(FirstStart);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        co_await net::sleepFor(Spread);
        leaver.leaving = true;
        co_await askInTurn(fleet, safe(), 20, 1);
        BOOST_TEST(leaver.arrivals().size() == 1U);
        put(FirstStart);
        co_await net::sleepFor(Spread);
        fleet.store.remove("servers", leaver.id()); // The entry expires and is written again.
        co_await net::sleepFor(Spread);
        put(FirstStart);
        co_await net::sleepFor(Spread);
        co_await askInTurn(fleet, safe(), 20, 1);
        BOOST_TEST(leaver.arrivals().size() == 1U);
        leaver.leaving = false;
        put(FirstStart + 1);
        co_await net::sleepFor(Spread);
        co_await askInTurn(fleet, safe(), 20, 1);
        BOOST_TEST(leaver.arrivals().size() > 1U);
    });
}

BOOST_AUTO_TEST_CASE(when_all_targets_of_a_service_leave_callers_learn_it_at_once)
{
    RelayFleet fleet;
    auto &leaver = fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        fleet.store.mood = StoreMood::Busy;
        leaver.leaving = true;
        const auto last = co_await askOf(fleet, safe(), 0);
        BOOST_TEST(last.status == 200);
        const auto refused = co_await askOf(fleet, safe(), 0);
        BOOST_TEST(refused.status == 503);
        BOOST_TEST(refused.head.headers.find("Retry-After") != nullptr);
        BOOST_TEST(leaver.arrivals().size() == 1U);
    });
}

BOOST_AUTO_TEST_CASE(an_answer_of_another_target_at_the_address_says_nothing_of_the_one_that_is_known_there)
{
    RelayFleet fleet;
    FakeTarget stranger(fleet.loop, "i-stranger");
    stranger.leaving = true; // It answers requests for the other target with 421.
    auto entry = RelayFleet::entryOf(stranger, "app");
    fleet.store.put("servers", "i-known", entry);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        co_await askOf(fleet, safe(), 0);
        BOOST_TEST(stranger.arrivals().size() >= 1U);
        const auto told = co_await fleet.figure("leaving_told_total");
        BOOST_TEST(told == 0);
    });
}

BOOST_AUTO_TEST_CASE(an_engine_that_asked_a_daemon_for_rest_gets_nothing_from_it_in_that_time)
{
    constexpr std::size_t Daemons = 3;
    RelayFleet fleet(Daemons, Peers::Joined);
    auto &resting = addEngine(fleet);
    resting.behaviour = shedding("3");
    addEngine(fleet);
    addEngine(fleet);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        co_await fleet.joined();
        co_await net::sleepFor(RepeatsFrom);
        const auto statuses = co_await askInTurn(fleet, chat(), 60, Daemons);
        BOOST_TEST(statuses.at(200) == 60);
        for (std::size_t daemon = 0; daemon < Daemons; ++daemon) {
            BOOST_TEST(sentAgainWithin(resting, daemon, absl::Seconds(3)) == 0U);
        }
    });
}

BOOST_AUTO_TEST_CASE(a_plain_target_that_asked_a_daemon_for_rest_gets_nothing_from_it_and_is_used_again_afterwards)
{
    RelayFleet fleet(2);
    auto &resting = fleet.addTarget("app");
    resting.behaviour = shedding("1.5");
    fleet.addTarget("app");
    fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        const auto statuses = co_await askInTurn(fleet, safe(), 60, 2);
        BOOST_TEST(statuses.at(200) == 60);
        for (std::size_t daemon = 0; daemon < 2; ++daemon) {
            BOOST_TEST(sentBy(resting, daemon) >= 1U); // A cooldown binds only the daemon that was asked.
            BOOST_TEST(sentAgainWithin(resting, daemon, absl::Milliseconds(1500)) == 0U);
        }
        resting.behaviour = {};
        co_await net::sleepFor(absl::Milliseconds(1600));
        co_await askInTurn(fleet, safe(), 40, 2);
        BOOST_TEST(sentBy(resting, 0) > 1U);
        BOOST_TEST(sentBy(resting, 1) > 1U);
    });
}

BOOST_AUTO_TEST_CASE(when_all_targets_rest_callers_learn_when_the_first_one_is_back)
{
    RelayFleet fleet;
    auto &first = fleet.addTarget("app");
    auto &second = fleet.addTarget("app");
    first.behaviour = shedding("3");
    second.behaviour = shedding("8");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        co_await askInTurn(fleet, safe(), 2, 1); // Both targets have refused a request of this daemon now.
        const auto refused = co_await askOf(fleet, safe(), 0);
        BOOST_TEST(refused.status == 503);
        const auto told = std::stod("0" + std::string(refused.head.headers.value("Retry-After")));
        const auto since = core::now() - std::min(first.arrivals().front().at, second.arrivals().front().at);
        BOOST_TEST(told + absl::ToDoubleSeconds(since) >= 3);
        BOOST_TEST(told < 4);
        BOOST_TEST(first.arrivals().size() + second.arrivals().size() == 2U);
    });
}

BOOST_AUTO_TEST_CASE(a_time_that_is_none_keeps_no_target_from_its_requests)
{
    for (const auto *none : {"soon", "-3", "0", "nan", "inf", "Fri, 31 Dec 1999 23:59:59 GMT", ""}) {
        RelayFleet fleet;
        auto &target = fleet.addTarget("app");
        target.script = {shedding(none)};
        fleet.run([&]() -> net::Task<> {
            co_await fleet.ready();
            co_await askOf(fleet, safe(), 0);
            co_await net::sleepFor(absl::Milliseconds(300)); // A target that refused a request gets none for 200 ms.
            const auto got = co_await askOf(fleet, safe(), 0);
            BOOST_TEST(got.status == 200, "with " << none << ": " << got.status);
            BOOST_TEST(target.arrivals().size() == 2U);
        });
    }
}

BOOST_AUTO_TEST_CASE(a_time_of_rest_is_read_as_seconds_or_as_a_date)
{
    const platform::RequestCodec codec;
    const auto read = [&](const std::string &text, const std::string &date) {
        net::ResponseHead head;
        head.status = 503;
        head.headers.add("Retry-After", text);
        if (!date.empty()) {
            head.headers.add("Date", date);
        }
        return codec.readAnswer(head);
    };
    const std::string date = "Thu, 03 Dec 2026 05:00:00 GMT";
    BOOST_TEST((read("2.5", "").retryAfter == absl::Milliseconds(2500)));
    BOOST_TEST((read("Thu, 03 Dec 2026 05:00:07 GMT", date).retryAfter == absl::Seconds(7)));
    BOOST_TEST((read("Thu, 03 Dec 2026 04:00:00 GMT", date).retryAfter == absl::ZeroDuration()));
    for (const auto *unreadable : {"soon", "-1", "nan", "inf", "Thu, 03 Dec 2026 05:00:07 GMT"}) {
        const auto answer = read(unreadable, ""); // A date is only valid relative to the answer's Date header.
        BOOST_TEST(!answer.retryAfter.has_value(), unreadable);
        BOOST_TEST(answer.retryAfterUnreadable, unreadable);
    }
}

BOOST_AUTO_TEST_CASE(what_a_target_says_while_a_request_connects_keeps_the_request_from_being_written)
{
    RelayFleet fleet;
    FakeTarget target(fleet.loop, "i-1");
    fleet.run([&]() -> net::Task<> {
        const auto inbox = core::makeCounted<relay::RequestInbox>(fleet.loop);
        auto attempt = core::makeCounted<relay::Attempt>(fleet.loop, inbox, 1);
        Ask ask;
        attempt->start(target.address(), fleet.write(ask), absl::Seconds(1), core::now() + absl::Seconds(3),
                       [] { return false; });
        const auto event = co_await inbox->events.take(core::now() + absl::Seconds(3));
        BOOST_REQUIRE(event.has_value());
        const auto *end = std::get_if<relay::AttemptEnded>(&*event);
        BOOST_REQUIRE(end != nullptr);
        BOOST_TEST((end->stage == relay::AttemptStage::Withheld));
        co_await net::sleepFor(absl::Milliseconds(50));
        BOOST_TEST(target.arrivals().empty());
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
