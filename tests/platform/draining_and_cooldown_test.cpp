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

constexpr auto PropagationTime
    = absl::Milliseconds(250); // Time within which a daemon knows of a change of the target list.
/// A daemon reports to the others in its next heartbeat, at most 0.3 s later in a small fleet; one may be lost.
constexpr auto ReportTime = absl::Milliseconds(700);
/// A daemon that has just started does not retry: it does not know its share of the fleet-wide retry budget.
constexpr auto RetryDelayAfterStart = absl::Seconds(3);

CallerRequest safeRequest()
{
    CallerRequest request;
    request.path = "/safe/1";
    return request;
}

CallerRequest chatRequest()
{
    CallerRequest request;
    request.path = "/chat/1";
    request.promptTokens = 1000;
    return request;
}

/// Sends a request that names its daemon, so that targets record which daemon sent it.
net::Task<CallerAnswer> sendTo(RelayFleet &fleet, CallerRequest request, std::size_t daemon)
{
    request.headers.emplace_back("Sent-To", core::cat(daemon));
    co_return co_await fleet.send(std::move(request), daemon);
}

/// Sends requests to daemons in turn, one after the other.
net::Task<std::map<int, int>> sendInTurn(RelayFleet &fleet, const CallerRequest &request, int requestCount,
                                         std::size_t daemonCount)
{
    std::map<int, int> statuses;
    for (int i = 0; i < requestCount; ++i) {
        const auto answer = co_await sendTo(fleet, request, static_cast<std::size_t>(i) % daemonCount);
        ++statuses[answer.status];
        co_await net::sleepFor(absl::Milliseconds(5));
    }
    co_return statuses;
}

/// Returns how many requests one daemon sent to a target.
std::size_t countSentBy(const FakeTarget &target, std::size_t daemon)
{
    const auto name = core::cat(daemon);
    return static_cast<std::size_t>(std::count_if(target.arrivals().begin(), target.arrivals().end(),
                                                  [&](const Arrival &arrival) { return arrival.daemon == name; }));
}

/// Returns how many requests one daemon sent to a target after its first one and within \a span of it.
std::size_t countRepeatsWithin(const FakeTarget &target, std::size_t daemon, core::Duration span)
{
    const auto name = core::cat(daemon);
    std::optional<core::Time> first;
    std::size_t repeats = 0;
    for (const auto &arrival : target.arrivals()) {
        if (arrival.daemon != name) {
            continue;
        }
        repeats += first && arrival.at < *first + span ? 1 : 0;
        first = first.value_or(arrival.at);
    }
    return repeats;
}

Behaviour refusing(const std::string &retryAfter)
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
    engine.behaviour.eventCount = 3;
    return engine;
}

} // namespace

BOOST_AUTO_TEST_SUITE(leaving_and_rest)

BOOST_AUTO_TEST_CASE(a_target_that_announces_draining_gets_no_more_requests_while_the_store_is_unavailable)
{
    RelayFleet fleet(2);
    auto &drainingTarget = fleet.addTarget("app");
    fleet.addTarget("app");
    fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        fleet.store.failure = StoreFailure::Unavailable;
        drainingTarget.draining = true;
        const auto statuses = co_await sendInTurn(fleet, safeRequest(), 40, 2);
        BOOST_TEST(statuses.at(200) == 40);
        // The answer that announces the shutdown is the last one that each daemon gets from the target.
        BOOST_TEST(countSentBy(drainingTarget, 0) == 1U);
        BOOST_TEST(countSentBy(drainingTarget, 1) == 1U);
    });
}

BOOST_AUTO_TEST_CASE(an_engine_that_announces_draining_gets_no_more_prompts_from_any_scheduler)
{
    RelayFleet fleet(3, Peers::Connected);
    auto &drainingTarget = addEngine(fleet);
    addEngine(fleet);
    addEngine(fleet);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await fleet.waitUntilConnected();
        fleet.store.failure = StoreFailure::Unavailable;
        drainingTarget.draining = true;
        const auto statuses = co_await sendInTurn(fleet, chatRequest(), 60, 3);
        BOOST_TEST(statuses.at(200) == 60);
        for (std::size_t daemon = 0; daemon < 3; ++daemon) {
            BOOST_TEST(countSentBy(drainingTarget, daemon) <= 1U);
        }
    });
}

BOOST_AUTO_TEST_CASE(daemons_report_a_draining_target_to_each_other_while_the_store_is_unavailable)
{
    RelayFleet fleet(3, Peers::Connected);
    auto &drainingTarget = fleet.addTarget("app");
    fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await fleet.waitUntilConnected();
        fleet.store.failure = StoreFailure::Unavailable;
        drainingTarget.draining = true;
        const auto first = co_await sendInTurn(fleet, safeRequest(), 20, 1);
        BOOST_TEST(first.at(200) == 20);
        BOOST_TEST(countSentBy(drainingTarget, 0) == 1U);
        co_await net::sleepFor(ReportTime);
        const auto others = co_await sendInTurn(fleet, safeRequest(), 60, 3);
        BOOST_TEST(others.at(200) == 60);
        BOOST_TEST(drainingTarget.arrivals().size() == 1U);
    });
}

BOOST_AUTO_TEST_CASE(a_draining_target_is_used_again_only_after_a_restart_even_if_the_list_says_ready)
{
    constexpr std::int64_t FirstStartMs = 1'700'000'000'000;
    RelayFleet fleet;
    auto &drainingTarget = fleet.addTarget("app");
    fleet.addTarget("app");
    const auto writeEntry = [&](std::int64_t startMs) {
        fleet.store.put("servers", drainingTarget.id(), RelayFleet::makeEntry(drainingTarget, "app", "ready", startMs));
    };
    writeEntry(FirstStartMs);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await net::sleepFor(PropagationTime);
        drainingTarget.draining = true;
        co_await sendInTurn(fleet, safeRequest(), 20, 1);
        BOOST_TEST(drainingTarget.arrivals().size() == 1U);
        writeEntry(FirstStartMs);
        co_await net::sleepFor(PropagationTime);
        fleet.store.remove("servers", drainingTarget.id()); // The entry expires and is written again.
        co_await net::sleepFor(PropagationTime);
        writeEntry(FirstStartMs);
        co_await net::sleepFor(PropagationTime);
        co_await sendInTurn(fleet, safeRequest(), 20, 1);
        BOOST_TEST(drainingTarget.arrivals().size() == 1U);
        drainingTarget.draining = false;
        writeEntry(FirstStartMs + 1);
        co_await net::sleepFor(PropagationTime);
        co_await sendInTurn(fleet, safeRequest(), 20, 1);
        BOOST_TEST(drainingTarget.arrivals().size() > 1U);
    });
}

BOOST_AUTO_TEST_CASE(requests_are_refused_at_once_if_all_targets_of_a_service_are_draining)
{
    RelayFleet fleet;
    auto &drainingTarget = fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        fleet.store.failure = StoreFailure::Unavailable;
        drainingTarget.draining = true;
        const auto last = co_await sendTo(fleet, safeRequest(), 0);
        BOOST_TEST(last.status == 200);
        const auto refused = co_await sendTo(fleet, safeRequest(), 0);
        BOOST_TEST(refused.status == 503);
        BOOST_TEST(refused.head.headers.find("Retry-After") != nullptr);
        BOOST_TEST(drainingTarget.arrivals().size() == 1U);
    });
}

BOOST_AUTO_TEST_CASE(an_announcement_of_another_target_at_the_address_is_ignored)
{
    RelayFleet fleet;
    FakeTarget otherTarget(fleet.loop, "i-stranger");
    otherTarget.draining = true; // It answers requests for the other target with 421.
    auto entry = RelayFleet::makeEntry(otherTarget, "app");
    fleet.store.put("servers", "i-known", entry);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await sendTo(fleet, safeRequest(), 0);
        BOOST_TEST(otherTarget.arrivals().size() >= 1U);
        const auto reports = co_await fleet.metric("leaving_told_total");
        BOOST_TEST(reports == 0);
    });
}

BOOST_AUTO_TEST_CASE(an_engine_that_requested_a_cooldown_gets_no_requests_from_that_daemon_meanwhile)
{
    constexpr std::size_t DaemonCount = 3;
    RelayFleet fleet(DaemonCount, Peers::Connected);
    auto &coolingDown = addEngine(fleet);
    coolingDown.behaviour = refusing("3");
    addEngine(fleet);
    addEngine(fleet);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await fleet.waitUntilConnected();
        co_await net::sleepFor(RetryDelayAfterStart);
        const auto statuses = co_await sendInTurn(fleet, chatRequest(), 60, DaemonCount);
        BOOST_TEST(statuses.at(200) == 60);
        for (std::size_t daemon = 0; daemon < DaemonCount; ++daemon) {
            BOOST_TEST(countRepeatsWithin(coolingDown, daemon, absl::Seconds(3)) == 0U);
        }
    });
}

BOOST_AUTO_TEST_CASE(a_plain_target_that_requested_a_cooldown_is_used_again_only_afterwards)
{
    RelayFleet fleet(2);
    auto &coolingDown = fleet.addTarget("app");
    coolingDown.behaviour = refusing("1.5");
    fleet.addTarget("app");
    fleet.addTarget("app");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        const auto statuses = co_await sendInTurn(fleet, safeRequest(), 60, 2);
        BOOST_TEST(statuses.at(200) == 60);
        for (std::size_t daemon = 0; daemon < 2; ++daemon) {
            BOOST_TEST(countSentBy(coolingDown, daemon) >= 1U); // A cooldown binds only the daemon that was asked.
            BOOST_TEST(countRepeatsWithin(coolingDown, daemon, absl::Milliseconds(1500)) == 0U);
        }
        coolingDown.behaviour = {};
        co_await net::sleepFor(absl::Milliseconds(1600));
        co_await sendInTurn(fleet, safeRequest(), 40, 2);
        BOOST_TEST(countSentBy(coolingDown, 0) > 1U);
        BOOST_TEST(countSentBy(coolingDown, 1) > 1U);
    });
}

BOOST_AUTO_TEST_CASE(if_all_targets_cool_down_retry_after_tells_when_the_first_one_is_available)
{
    RelayFleet fleet;
    auto &first = fleet.addTarget("app");
    auto &second = fleet.addTarget("app");
    first.behaviour = refusing("3");
    second.behaviour = refusing("8");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await sendInTurn(fleet, safeRequest(), 2, 1); // Both targets have refused a request of this daemon now.
        const auto refused = co_await sendTo(fleet, safeRequest(), 0);
        BOOST_TEST(refused.status == 503);
        const auto retryAfter = std::stod("0" + std::string(refused.head.headers.value("Retry-After")));
        const auto elapsed = core::now() - std::min(first.arrivals().front().at, second.arrivals().front().at);
        BOOST_TEST(retryAfter + absl::ToDoubleSeconds(elapsed) >= 3);
        BOOST_TEST(retryAfter < 4);
        BOOST_TEST(first.arrivals().size() + second.arrivals().size() == 2U);
    });
}

BOOST_AUTO_TEST_CASE(an_invalid_retry_after_causes_no_cooldown)
{
    for (const auto *retryAfter : {"soon", "-3", "0", "nan", "inf", "Fri, 31 Dec 1999 23:59:59 GMT", ""}) {
        RelayFleet fleet;
        auto &target = fleet.addTarget("app");
        target.script = {refusing(retryAfter)};
        fleet.run([&]() -> net::Task<> {
            co_await fleet.waitUntilReady();
            co_await sendTo(fleet, safeRequest(), 0);
            co_await net::sleepFor(absl::Milliseconds(300)); // A target that refused a request gets none for 200 ms.
            const auto answer = co_await sendTo(fleet, safeRequest(), 0);
            BOOST_TEST(answer.status == 200, "with " << retryAfter << ": " << answer.status);
            BOOST_TEST(target.arrivals().size() == 2U);
        });
    }
}

BOOST_AUTO_TEST_CASE(retry_after_is_parsed_as_seconds_or_as_a_date)
{
    const platform::RequestCodec codec;
    const auto parseAnswer = [&](const std::string &text, const std::string &date) {
        net::ResponseHead head;
        head.status = 503;
        head.headers.add("Retry-After", text);
        if (!date.empty()) {
            head.headers.add("Date", date);
        }
        return codec.readAnswer(head);
    };
    const std::string date = "Thu, 03 Dec 2026 05:00:00 GMT";
    BOOST_TEST((parseAnswer("2.5", "").retryAfter == absl::Milliseconds(2500)));
    BOOST_TEST((parseAnswer("Thu, 03 Dec 2026 05:00:07 GMT", date).retryAfter == absl::Seconds(7)));
    BOOST_TEST((parseAnswer("Thu, 03 Dec 2026 04:00:00 GMT", date).retryAfter == absl::ZeroDuration()));
    for (const auto *unreadable : {"soon", "-1", "nan", "inf", "Thu, 03 Dec 2026 05:00:07 GMT"}) {
        const auto answer = parseAnswer(unreadable, ""); // A date is only valid relative to the answer's Date header.
        BOOST_TEST(!answer.retryAfter.has_value(), unreadable);
        BOOST_TEST(answer.retryAfterInvalid, unreadable);
    }
}

BOOST_AUTO_TEST_CASE(an_attempt_that_is_withheld_after_connecting_writes_no_request)
{
    core::ByteBudget budget;
    RelayFleet fleet;
    FakeTarget target(fleet.loop, "i-1");
    fleet.run([&]() -> net::Task<> {
        const auto inbox = core::makeRef<relay::RequestInbox>(fleet.loop);
        auto attempt = core::makeRef<relay::Attempt>(fleet.loop, fleet.targetConnector(), inbox, budget, 1);
        relay::TargetEntry entry;
        entry.id = target.id();
        entry.address = target.address();
        CallerRequest request;
        attempt->start(core::makeRef<relay::Target>(entry), fleet.makeRequest(request),
                       std::make_shared<const std::string>(request.body), absl::Seconds(1),
                       core::now() + absl::Seconds(3), [] { return false; });
        const auto event = co_await inbox->events.take(core::now() + absl::Seconds(3));
        BOOST_REQUIRE(event.has_value());
        const auto *end = std::get_if<relay::AttemptEnded>(&*event);
        BOOST_REQUIRE(end != nullptr);
        BOOST_TEST((end->stage == relay::AttemptStage::Cancelled));
        co_await net::sleepFor(absl::Milliseconds(50));
        BOOST_TEST(target.arrivals().empty());
    });
}

// Guards against requests to a draining target after open connections to the store fell silent (review case 3): the
// wait for changes that carried the entry was noticed as dead only after 5 s.
BOOST_AUTO_TEST_CASE(a_draining_target_gets_no_requests_after_connections_to_the_store_fell_silent)
{
    constexpr auto ContactTime = absl::Seconds(3); // Daemons count as in contact again this long after the silence.
    constexpr std::size_t DaemonCount = 2;
    constexpr int RequestCount = 20;
    RelayFleet fleet(DaemonCount, Peers::Connected);
    auto &draining = fleet.addTarget("app");
    fleet.addTarget("app");
    std::size_t arrivalsBefore = 0;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await fleet.waitUntilConnected();
        co_await net::sleepFor(PropagationTime);
        fleet.store.silenceConnections();
        co_await net::sleepFor(absl::Milliseconds(100));
        fleet.writeEntry(draining, "app", "draining");
        co_await net::sleepFor(ContactTime);
        arrivalsBefore = draining.arrivals().size();
        const auto statuses = co_await sendInTurn(fleet, CallerRequest(), RequestCount, DaemonCount);
        BOOST_TEST(statuses.at(200) == RequestCount);
    });
    BOOST_TEST(draining.arrivals().size() == arrivalsBefore);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
