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

constexpr std::int64_t FirstStartMs = 1'700'000'000'000;
constexpr auto PropagationTime
    = absl::Milliseconds(250); // Time within which a daemon knows of a change of the target list.

/// Returns a store object whose `spec` may be any bytes.
std::string makeObjectText(const std::string &name, const std::string &spec)
{
    return core::cat(R"({"metadata":{"name":")", name, R"(","revision":1},"spec":)", spec, "}");
}

constexpr std::int64_t LongPromptTokens = 210'000; ///< In tokens; an engine of these tests has memory for 200,000.
constexpr std::size_t EngineCount = 8;

/// Adds engines that accept requests and never answer.
void addHangingEngines(RelayFleet &fleet)
{
    for (std::size_t i = 0; i < EngineCount; ++i) {
        fleet.addTarget("model").behaviour.fault = Behaviour::Fault::Hang;
    }
    for (auto &route : fleet.configuration["routes"]) {
        route["max_attempts"] = 1;
        route["timeout_ms"] = 10'000;
    }
    fleet.writeConfiguration();
}

/// Returns the engine that got a request to answer; null if there is none.
FakeTarget *findAnsweringEngine(const RelayFleet &fleet)
{
    const auto found = std::find_if(fleet.targets.begin(), fleet.targets.end(),
                                    [](const auto &target) { return !target->startedRequests().empty(); });
    return found == fleet.targets.end() ? nullptr : found->get();
}

/// Returns how many memory reservations exist at all engines.
std::size_t countReservations(const RelayFleet &fleet)
{
    std::size_t reservations = 0;
    for (const auto &target : fleet.targets) {
        reservations += target->reservations().size();
    }
    return reservations;
}

CallerRequest longPromptRequest()
{
    CallerRequest request;
    request.path = "/chat/1";
    request.deadlineMs = 10'000;
    request.promptTokens = LongPromptTokens;
    return request;
}

net::Task<int> sendOnce(RelayFleet &fleet, std::size_t daemon = 0)
{
    CallerRequest request; // GCC 12 destroys temporaries twice around co_await.
    const auto answer = co_await fleet.send(request, daemon);
    co_return answer.status;
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_life)

// A target that had announced its shutdown and restarted under the same id got no more requests: daemons kept its state
// by id, and a draining target stays draining.
BOOST_AUTO_TEST_CASE(a_draining_target_that_restarts_under_its_id_gets_requests)
{
    RelayFleet fleet;
    auto &target = fleet.addTarget("app");
    fleet.store.put("servers", target.id(), RelayFleet::makeEntry(target, "app", "ready", FirstStartMs));
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await net::sleepFor(PropagationTime);
        fleet.store.put("servers", target.id(), RelayFleet::makeEntry(target, "app", "draining", FirstStartMs));
        co_await net::sleepFor(PropagationTime);
        const auto whileDraining = co_await sendOnce(fleet);
        BOOST_TEST(whileDraining == 503);
        fleet.store.put("servers", target.id(), RelayFleet::makeEntry(target, "app", "ready", FirstStartMs + 1));
        co_await net::sleepFor(PropagationTime);
        const auto afterRestart = co_await sendOnce(fleet);
        BOOST_TEST(afterRestart == 200);
        // The entry of the earlier incarnation changes nothing when it is written again.
        fleet.store.put("servers", target.id(), RelayFleet::makeEntry(target, "app", "draining", FirstStartMs));
        co_await net::sleepFor(PropagationTime);
        const auto afterOldEntry = co_await sendOnce(fleet);
        BOOST_TEST(afterOldEntry == 200);
    });
}

// Daemons used entries with missing fields or fields of the wrong type, because missing fields had defaults. An entry
// with an unknown state made its target draining for good.
BOOST_AUTO_TEST_CASE(an_invalid_entry_is_ignored_and_the_others_stay_valid)
{
    RelayFleet fleet;
    auto &good = fleet.addTarget("app");
    FakeTarget other(fleet.loop, "i-other");
    const auto validEntry = RelayFleet::makeEntry(other, "app", "ready", FirstStartMs);
    std::vector<nlohmann::json> invalidEntries;
    for (const auto *field : {"service", "address", "zone", "version", "slots", "state", "call_seq"}) {
        invalidEntries.push_back(validEntry);
        invalidEntries.back().erase(field);
    }
    const std::vector<std::pair<std::string, nlohmann::json>> invalidFields{
        {"born", "yesterday"}, {"born", 1.5},
        {"born", -1},          {"call_seq", "4"},
        {"slots", 0},          {"slots", "12"},
        {"state", "?"},        {"address", "here"},
        {"zone", 3},           {"service", nlohmann::json::array()}};
    for (const auto &[field, value] : invalidFields) {
        invalidEntries.push_back(validEntry);
        invalidEntries.back()[field] = value;
    }
    invalidEntries.insert(invalidEntries.end(), {nullptr, "a text", 7, nlohmann::json::array()});
    for (std::size_t i = 0; i < invalidEntries.size(); ++i) {
        fleet.store.put("servers", core::cat("i-bad-", i), invalidEntries[i]);
    }
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await net::sleepFor(PropagationTime);
        for (int i = 0; i < 10; ++i) {
            const auto status = co_await sendOnce(fleet);
            BOOST_TEST(status == 200);
        }
        BOOST_TEST(good.startedRequests().size() == 10U);
        BOOST_TEST(other.startedRequests().empty());
    });
}

// One entry with a byte that is not UTF-8, or one object without a name, made the whole list unreadable, because the
// body was parsed as one document.
BOOST_AUTO_TEST_CASE(unreadable_bytes_invalidate_only_their_own_entry)
{
    const std::vector<std::string> objects{
        makeObjectText("i-bad", "{\"service\":\"a\xFFpp\"}"),
        makeObjectText("i-bad", "{\"service\":\"app\",\"slots\":1e999}"),
        makeObjectText("i-bad", "garbage"),
        "{\"spec\":{\"service\":\"app\"}}",
        "{}",
        "null",
        "\"text with \\\" and ] and }\"",
    };
    for (const auto &object : objects) {
        RelayFleet fleet;
        auto &first = fleet.addTarget("app");
        fleet.store.putRaw("servers", "i-bad", object); // In the list that the daemon reads at its start.
        fleet.run([&]() -> net::Task<> {
            co_await fleet.waitUntilReady();
            co_await net::sleepFor(PropagationTime);
            const auto atStart = co_await sendOnce(fleet);
            BOOST_TEST(atStart == 200, "list with " << object);
            fleet.store.putRaw("servers", "i-worse", object); // The object comes in a change, beside a valid one.
            fleet.writeEntry(first, "app", "draining");
            fleet.addTarget("app");
            co_await net::sleepFor(PropagationTime);
            const auto afterwards = co_await sendOnce(fleet);
            BOOST_TEST(afterwards == 200, "change with " << object);
            BOOST_TEST(fleet.targets.back()->startedRequests().size() == 1U);
        });
    }
}

// A target whose entry became unreadable stayed in use with its old entry. It must get no requests until its next valid
// entry.
BOOST_AUTO_TEST_CASE(a_target_with_an_overwritten_entry_gets_no_requests_until_its_next_valid_entry)
{
    RelayFleet fleet;
    auto &target = fleet.addTarget("app");
    auto &other = fleet.addTarget("app");
    const auto entry = RelayFleet::makeEntry(target, "app", "ready", FirstStartMs);
    fleet.store.put("servers", target.id(), entry);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        auto withoutStart = entry;
        withoutStart.erase("born"); // The earlier entry had a start time.
        const std::vector<std::string> overwritten{makeObjectText(target.id(), "\"\xC3\""),
                                                   makeObjectText(target.id(), "[]"),
                                                   makeObjectText(target.id(), withoutStart.dump())};
        for (const auto &object : overwritten) {
            fleet.store.putRaw("servers", target.id(), object);
            co_await net::sleepFor(PropagationTime);
            const auto before = target.startedRequests().size();
            for (int i = 0; i < 6; ++i) {
                const auto status = co_await sendOnce(fleet);
                BOOST_TEST(status == 200);
            }
            BOOST_TEST(target.startedRequests().size() == before, object);
            fleet.store.put("servers", target.id(), entry);
            fleet.writeEntry(other, "app", "draining"); // Only the target with the restored entry is left.
            co_await net::sleepFor(PropagationTime);
            const auto afterRecovery = co_await sendOnce(fleet);
            BOOST_TEST(afterRecovery == 200);
            BOOST_TEST(target.startedRequests().size() == before + 1);
            fleet.store.remove("servers", other.id());
            co_await net::sleepFor(PropagationTime);
            fleet.store.put(
                "servers", other.id(),
                RelayFleet::makeEntry(other, "app", "ready",
                                      FirstStartMs + static_cast<std::int64_t>(target.startedRequests().size())));
            co_await net::sleepFor(PropagationTime);
        }
    });
}

// An engine stopped responding while it had a prompt of 520,000 tokens, after its failure domain lost power. The list
// named a new incarnation at its address 3 s later, but the daemon went on waiting for the old one and renewed memory
// at three other engines for ten more seconds, because the attempt was not notified that the incarnation had ended.
BOOST_AUTO_TEST_CASE(a_request_ends_when_the_list_names_a_later_incarnation_at_its_target_s_address)
{
    RelayFleet fleet;
    addHangingEngines(fleet);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await net::sleepFor(PropagationTime);
        std::optional<CallerAnswer> answer;
        net::asio::co_spawn(
            fleet.loop, [&]() -> net::Task<> { answer = co_await fleet.send(longPromptRequest()); },
            net::asio::detached);
        co_await net::sleepFor(PropagationTime);
        auto *engine = findAnsweringEngine(fleet);
        BOOST_REQUIRE(engine != nullptr);
        BOOST_TEST(countReservations(fleet) > 0U);
        engine->replaceIncarnation("i-later");
        fleet.writeEntry(*engine, "model"); // The list still has the entry of the earlier incarnation.
        co_await net::sleepFor(PropagationTime);
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST(answer->status == 502); // The request may have run.
        BOOST_TEST(countReservations(fleet) == 0U);
    });
}

// As above, but before the list names the new incarnation: each check of the silent engine succeeded because the next
// incarnation accepted connections at the same address. The check must name the incarnation that it asks for.
BOOST_AUTO_TEST_CASE(a_check_of_a_silent_target_names_its_incarnation)
{
    RelayFleet fleet;
    addHangingEngines(fleet);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await net::sleepFor(PropagationTime);
        std::optional<CallerAnswer> answer;
        net::asio::co_spawn(
            fleet.loop, [&]() -> net::Task<> { answer = co_await fleet.send(longPromptRequest()); },
            net::asio::detached);
        co_await net::sleepFor(PropagationTime);
        auto *engine = findAnsweringEngine(fleet);
        BOOST_REQUIRE(engine != nullptr);
        engine->replaceIncarnation("i-later"); // The list does not name the new incarnation.
        for (int i = 0; i < 40 && !answer; ++i) {
            co_await net::sleepFor(absl::Milliseconds(50));
        }
        BOOST_REQUIRE(answer.has_value()); // Checks begin after 0.8 s here, the deadline is at 10 s.
        BOOST_TEST(answer->status == 502);
        co_await net::sleepFor(absl::Milliseconds(50));
        BOOST_TEST(countReservations(fleet) == 0U);
    });
}

// A renewal that names only an address reserves memory at a later incarnation there; no request uses that memory, and
// it is not released before it expires. Reserve requests must name the incarnation that they are for.
BOOST_AUTO_TEST_CASE(memory_is_not_renewed_at_a_later_incarnation_and_its_request_ends)
{
    RelayFleet fleet;
    addHangingEngines(fleet);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await net::sleepFor(PropagationTime);
        std::optional<CallerAnswer> answer;
        net::asio::co_spawn(
            fleet.loop, [&]() -> net::Task<> { answer = co_await fleet.send(longPromptRequest()); },
            net::asio::detached);
        co_await net::sleepFor(PropagationTime);
        const auto holder = std::find_if(fleet.targets.begin(), fleet.targets.end(),
                                         [](const auto &target) { return !target->reservations().empty(); });
        BOOST_REQUIRE((holder != fleet.targets.end()));
        (*holder)->replaceIncarnation("i-later");
        for (int i = 0; i < 40 && !answer; ++i) { // Memory is renewed after 1 s.
            co_await net::sleepFor(absl::Milliseconds(50));
        }
        BOOST_TEST((*holder)->misdirectedMemoryRequests() > 0);
        BOOST_TEST((*holder)->reservations().empty());
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST(answer->status == 502);
        co_await net::sleepFor(absl::Milliseconds(50));
        BOOST_TEST(countReservations(fleet) == 0U);
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
