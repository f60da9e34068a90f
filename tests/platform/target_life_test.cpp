//----------------------------------------------------------------------------------------------------------------------
// spurlug: targets that start again under their id, and entries that other programs wrote
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"

#include "spurlug/core/text.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>

namespace spurlug::test
{

namespace
{

constexpr std::int64_t FirstStart = 1'700'000'000'000;
constexpr auto Spread = absl::Milliseconds(250); // A change of the list is known at a daemon by then.

/// An object of the store around a `spec` that may be any bytes.
std::string objectText(const std::string &name, const std::string &spec)
{
    return core::cat(R"({"metadata":{"name":")", name, R"(","revision":1},"spec":)", spec, "}");
}

constexpr std::int64_t OverOneEngine = 210'000; ///< Tokens; an engine of these tests has memory for 200,000.
constexpr std::size_t Engines = 8;

/// Engines that take requests and never answer.
void addHangingEngines(RelayFleet &fleet)
{
    for (std::size_t i = 0; i < Engines; ++i) {
        fleet.addTarget("model").behaviour.fault = Behaviour::Fault::Hang;
    }
    for (auto &route : fleet.configuration["routes"]) {
        route["max_attempts"] = 1;
        route["timeout_ms"] = 10'000;
    }
    fleet.configure();
}

/// The engine that was given a request to answer; null when none was.
FakeTarget *answeringEngine(const RelayFleet &fleet)
{
    const auto found = std::find_if(fleet.targets.begin(), fleet.targets.end(),
                                    [](const auto &target) { return !target->ran().empty(); });
    return found == fleet.targets.end() ? nullptr : found->get();
}

/// How many reservations engines hold.
std::size_t heldIn(const RelayFleet &fleet)
{
    std::size_t held = 0;
    for (const auto &target : fleet.targets) {
        held += target->held().size();
    }
    return held;
}

Ask longAsk()
{
    Ask ask;
    ask.path = "/chat/1";
    ask.deadlineMs = 10'000;
    ask.promptTokens = OverOneEngine;
    return ask;
}

net::Task<int> askOnce(RelayFleet &fleet, std::size_t daemon = 0)
{
    Ask ask; // GCC 12 destroys temporaries twice around co_await.
    const auto got = co_await fleet.ask(ask, daemon);
    co_return got.status;
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_life)

// Seen: a target that had said that it was leaving and started again under its id got no request any more. Cause: its
// state was kept by id, and a leaving target stays so. Proof: this test fails where starts are not read.
BOOST_AUTO_TEST_CASE(a_target_that_was_leaving_and_starts_again_under_its_id_gets_requests)
{
    RelayFleet fleet;
    auto &target = fleet.addTarget("app");
    fleet.store.put("servers", target.id(), RelayFleet::entryOf(target, "app", "ready", FirstStart));
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        co_await net::sleepFor(Spread);
        fleet.store.put("servers", target.id(), RelayFleet::entryOf(target, "app", "draining", FirstStart));
        co_await net::sleepFor(Spread);
        const auto leaving = co_await askOnce(fleet);
        BOOST_TEST(leaving == 503);
        fleet.store.put("servers", target.id(), RelayFleet::entryOf(target, "app", "ready", FirstStart + 1));
        co_await net::sleepFor(Spread);
        const auto again = co_await askOnce(fleet);
        BOOST_TEST(again == 200);
        // Old news: whoever repeats the entry of the earlier life changes nothing.
        fleet.store.put("servers", target.id(), RelayFleet::entryOf(target, "app", "draining", FirstStart));
        co_await net::sleepFor(Spread);
        const auto still = co_await askOnce(fleet);
        BOOST_TEST(still == 200);
    });
}

// Seen: entries that lacked fields, or held ones of other types, were used; one with a state that is not known made its
// target leave for good. Cause: missing fields had defaults. Proof: this test fails with them.
BOOST_AUTO_TEST_CASE(an_entry_that_no_target_wrote_names_no_target_and_the_others_hold)
{
    RelayFleet fleet;
    auto &good = fleet.addTarget("app");
    FakeTarget other(fleet.loop, "i-other");
    const auto whole = RelayFleet::entryOf(other, "app", "ready", FirstStart);
    std::vector<nlohmann::json> bad;
    for (const auto *field : {"service", "address", "zone", "version", "slots", "state", "call_seq"}) {
        bad.push_back(whole);
        bad.back().erase(field);
    }
    const std::vector<std::pair<std::string, nlohmann::json>> wrong{
        {"born", "yesterday"}, {"born", 1.5},
        {"born", -1},          {"call_seq", "4"},
        {"slots", 0},          {"slots", "12"},
        {"state", "?"},        {"address", "here"},
        {"zone", 3},           {"service", nlohmann::json::array()}};
    for (const auto &[field, value] : wrong) {
        bad.push_back(whole);
        bad.back()[field] = value;
    }
    bad.insert(bad.end(), {nullptr, "a text", 7, nlohmann::json::array()});
    for (std::size_t i = 0; i < bad.size(); ++i) {
        fleet.store.put("servers", core::cat("i-bad-", i), bad[i]);
    }
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        co_await net::sleepFor(Spread);
        for (int i = 0; i < 10; ++i) {
            const auto status = co_await askOnce(fleet);
            BOOST_TEST(status == 200);
        }
        BOOST_TEST(good.ran().size() == 10U);
        BOOST_TEST(other.ran().empty());
    });
}

// Seen: one entry with a byte that is no UTF-8, or one object without a name, lost the whole list. Cause: the body was
// read as one document. Proof: this test fails so.
BOOST_AUTO_TEST_CASE(bytes_that_cannot_be_read_spoil_only_their_own_entry)
{
    const std::vector<std::string> objects{
        objectText("i-bad", "{\"service\":\"a\xFFpp\"}"),
        objectText("i-bad", "{\"service\":\"app\",\"slots\":1e999}"),
        objectText("i-bad", "garbage"),
        "{\"spec\":{\"service\":\"app\"}}",
        "{}",
        "null",
        "\"text with \\\" and ] and }\"",
    };
    for (const auto &object : objects) {
        RelayFleet fleet;
        auto &first = fleet.addTarget("app");
        fleet.store.putText("servers", "i-bad", object); // In the list that is read at the start.
        fleet.run([&]() -> net::Task<> {
            co_await fleet.ready();
            co_await net::sleepFor(Spread);
            const auto atStart = co_await askOnce(fleet);
            BOOST_TEST(atStart == 200, "list with " << object);
            fleet.store.putText("servers", "i-worse", object); // In a change, beside a good one.
            fleet.announce(first, "app", "draining");
            fleet.addTarget("app");
            co_await net::sleepFor(Spread);
            const auto afterwards = co_await askOnce(fleet);
            BOOST_TEST(afterwards == 200, "change with " << object);
            BOOST_TEST(fleet.targets.back()->ran().size() == 1U);
        });
    }
}

// Seen (read in the code): a target whose entry came to be unreadable stayed in use with its old one. Wanted: it gets
// nothing until its next good entry.
BOOST_AUTO_TEST_CASE(a_target_whose_entry_was_overwritten_gets_nothing_until_its_next_good_entry)
{
    RelayFleet fleet;
    auto &target = fleet.addTarget("app");
    auto &other = fleet.addTarget("app");
    const auto entry = RelayFleet::entryOf(target, "app", "ready", FirstStart);
    fleet.store.put("servers", target.id(), entry);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        auto withoutStart = entry;
        withoutStart.erase("born"); // It had told one.
        const std::vector<std::string> overwritten{objectText(target.id(), "\"\xC3\""), objectText(target.id(), "[]"),
                                                   objectText(target.id(), withoutStart.dump())};
        for (const auto &object : overwritten) {
            fleet.store.putText("servers", target.id(), object);
            co_await net::sleepFor(Spread);
            const auto before = target.ran().size();
            for (int i = 0; i < 6; ++i) {
                const auto status = co_await askOnce(fleet);
                BOOST_TEST(status == 200);
            }
            BOOST_TEST(target.ran().size() == before, object);
            fleet.store.put("servers", target.id(), entry);
            fleet.announce(other, "app", "draining"); // The good entry alone is left.
            co_await net::sleepFor(Spread);
            const auto back = co_await askOnce(fleet);
            BOOST_TEST(back == 200);
            BOOST_TEST(target.ran().size() == before + 1);
            fleet.store.remove("servers", other.id());
            co_await net::sleepFor(Spread);
            fleet.store.put("servers", other.id(),
                            RelayFleet::entryOf(other, "app", "ready",
                                                FirstStart + static_cast<std::int64_t>(target.ran().size())));
            co_await net::sleepFor(Spread);
        }
    });
}

// Seen (LEAK): an engine went dark with a prompt of 520,000 tokens; the list named a new life at its address 3 s later,
// and the daemon waited on for the old one and renewed memory at three other engines for ten more seconds. How: four of
// seven plays of a day with domains without power. Cause: nothing told an attempt that the life it waits for is over.
// Proof: where no watcher is told of a life's end, the request waits for its deadline.
BOOST_AUTO_TEST_CASE(a_request_lets_go_when_the_list_names_a_later_life_at_its_target_s_address)
{
    RelayFleet fleet;
    addHangingEngines(fleet);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        co_await net::sleepFor(Spread);
        std::optional<Got> got;
        net::asio::co_spawn(
            fleet.loop, [&]() -> net::Task<> { got = co_await fleet.ask(longAsk()); }, net::asio::detached);
        co_await net::sleepFor(Spread);
        auto *engine = answeringEngine(fleet);
        BOOST_REQUIRE(engine != nullptr);
        BOOST_TEST(heldIn(fleet) > 0U);
        engine->beginAnew("i-later");
        fleet.announce(*engine, "model"); // Of the earlier life the list still has its entry.
        co_await net::sleepFor(Spread);
        BOOST_REQUIRE(got.has_value());
        BOOST_TEST(got->status == 502); // It may have run.
        BOOST_TEST(heldIn(fleet) == 0U);
    });
}

// Seen (LEAK): as above, and before the list told: each check of the silent engine found that its address takes
// connections, those of the next life. Cause: the check asked for an address. Proof: this test fails where the check
// does not name the life it asks for.
BOOST_AUTO_TEST_CASE(a_check_of_a_silent_target_asks_for_its_life)
{
    RelayFleet fleet;
    addHangingEngines(fleet);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        co_await net::sleepFor(Spread);
        std::optional<Got> got;
        net::asio::co_spawn(
            fleet.loop, [&]() -> net::Task<> { got = co_await fleet.ask(longAsk()); }, net::asio::detached);
        co_await net::sleepFor(Spread);
        auto *engine = answeringEngine(fleet);
        BOOST_REQUIRE(engine != nullptr);
        engine->beginAnew("i-later"); // And no list says so.
        for (int i = 0; i < 40 && !got; ++i) {
            co_await net::sleepFor(absl::Milliseconds(50));
        }
        BOOST_REQUIRE(got.has_value()); // Checks begin after 0.8 s here, the deadline is at 10 s.
        BOOST_TEST(got->status == 502);
        co_await net::sleepFor(absl::Milliseconds(50));
        BOOST_TEST(heldIn(fleet) == 0U);
    });
}

// Read in the code: a renewal went to an address, so it set memory aside at a later life there, which no request uses
// and which nobody gives back before it lapses. Proof: this test fails where orders do not name the life they are for.
BOOST_AUTO_TEST_CASE(memory_is_not_renewed_at_a_later_life_and_the_request_that_needs_it_lets_go)
{
    RelayFleet fleet;
    addHangingEngines(fleet);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.ready();
        co_await net::sleepFor(Spread);
        std::optional<Got> got;
        net::asio::co_spawn(
            fleet.loop, [&]() -> net::Task<> { got = co_await fleet.ask(longAsk()); }, net::asio::detached);
        co_await net::sleepFor(Spread);
        const auto holder = std::find_if(fleet.targets.begin(), fleet.targets.end(),
                                         [](const auto &target) { return !target->held().empty(); });
        BOOST_REQUIRE((holder != fleet.targets.end()));
        (*holder)->beginAnew("i-later");
        for (int i = 0; i < 40 && !got; ++i) { // Memory is renewed after 1 s.
            co_await net::sleepFor(absl::Milliseconds(50));
        }
        BOOST_TEST((*holder)->misdirectedOrders() > 0);
        BOOST_TEST((*holder)->held().empty());
        BOOST_REQUIRE(got.has_value());
        BOOST_TEST(got->status == 502);
        co_await net::sleepFor(absl::Milliseconds(50));
        BOOST_TEST(heldIn(fleet) == 0U);
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
