//----------------------------------------------------------------------------------------------------------------------
// spurlug: targets that start again under their id, and entries that other programs wrote
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"

#include "spurlug/core/text.h"

#include <boost/test/unit_test.hpp>

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

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
