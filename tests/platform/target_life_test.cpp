//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of targets that restart under their id, and of store entries that other programs wrote
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
constexpr auto Spread = absl::Milliseconds(250); // Time within which a daemon knows of a change of the target list.

/// Returns a store object whose `spec` may be any bytes.
std::string objectText(const std::string &name, const std::string &spec)
{
    return core::cat(R"({"metadata":{"name":")", name, R"(","revision":1},"spec":)", spec, "}");
}

constexpr std::int64_t OverOneEngine = 210'000; ///< In tokens; an engine of these tests has memory for 200,000.
constexpr std::size_t Engines = 8;

/// Adds engines that accept requests and never answer.
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

/// Returns the engine that got a request to answer; null if there is none.
FakeTarget *answeringEngine(const RelayFleet &fleet)
{
    const auto found = std::find_if(fleet.targets.begin(), fleet.targets.end(),
                                    [](const auto &target) { return !target->ran().empty(); });
    return found == fleet.targets.end() ? nullptr : found->get();
}

/// Returns how many memory reservations exist at all engines.
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

// A target that had announced its shutdown and restarted under the same id got no more requests: daemons kept its state
// by id, and a draining target stays draining.
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
        // The entry of the earlier incarnation changes nothing when it is written again.
        fleet.store.put("servers", target.id(), RelayFleet::entryOf(target, "app", "draining", FirstStart));
        co_await net::sleepFor(Spread);
        const auto still = co_await askOnce(fleet);
        BOOST_TEST(still == 200);
    });
}

// Daemons used entries with missing fields or fields of the wrong type, because missing fields had defaults. An entry
// with an unknown state made its target draining for good.
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

// One entry with a byte that is not UTF-8, or one object without a name, made the whole list unreadable, because the
// body was parsed as one document.
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
        fleet.store.putText("servers", "i-bad", object); // In the list that the daemon reads at its start.
        fleet.run([&]() -> net::Task<> {
            co_await fleet.ready();
            co_await net::sleepFor(Spread);
            const auto atStart = co_await askOnce(fleet);
            BOOST_TEST(atStart == 200, "list with " << object);
            fleet.store.putText("servers", "i-worse", object); // The object comes in a change, beside a valid one.
            fleet.announce(first, "app", "draining");
            fleet.addTarget("app");
            co_await net::sleepFor(Spread);
            const auto afterwards = co_await askOnce(fleet);
            BOOST_TEST(afterwards == 200, "change with " << object);
            BOOST_TEST(fleet.targets.back()->ran().size() == 1U);
        });
    }
}

// A target whose entry became unreadable stayed in use with its old entry. It must get no requests until its next valid
// entry.
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
        withoutStart.erase("born"); // The earlier entry had a start time.
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
            fleet.announce(other, "app", "draining"); // Only the target with the restored entry is left.
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

// An engine stopped responding while it had a prompt of 520,000 tokens, after its failure domain lost power. The list
// named a new incarnation at its address 3 s later, but the daemon went on waiting for the old one and renewed memory
// at three other engines for ten more seconds, because the attempt was not notified that the incarnation had ended.
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
        fleet.announce(*engine, "model"); // The list still has the entry of the earlier incarnation.
        co_await net::sleepFor(Spread);
        BOOST_REQUIRE(got.has_value());
        BOOST_TEST(got->status == 502); // The request may have run.
        BOOST_TEST(heldIn(fleet) == 0U);
    });
}

// As above, but before the list names the new incarnation: each check of the silent engine succeeded because the next
// incarnation accepted connections at the same address. The check must name the incarnation that it asks for.
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
        engine->beginAnew("i-later"); // The list does not name the new incarnation.
        for (int i = 0; i < 40 && !got; ++i) {
            co_await net::sleepFor(absl::Milliseconds(50));
        }
        BOOST_REQUIRE(got.has_value()); // Checks begin after 0.8 s here, the deadline is at 10 s.
        BOOST_TEST(got->status == 502);
        co_await net::sleepFor(absl::Milliseconds(50));
        BOOST_TEST(heldIn(fleet) == 0U);
    });
}

// A renewal that names only an address reserves memory at a later incarnation there; no request uses that memory, and
// it is not released before it expires. Reserve requests must name the incarnation that they are for.
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
