//----------------------------------------------------------------------------------------------------------------------
// spurlug: fuzz tests of the decoders of platform documents and peer states
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "property.h"

#include "document_codec.h"
#include "item_list.h"

#include "spurlug/core/error.h"
#include "spurlug/core/text.h"
#include "spurlug/relay/peer_state.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

using namespace spurlug;

namespace
{

constexpr int Objects = 5;

nlohmann::json goodEntry()
{
    return {{"service", "app"},
            {"address", "10.0.0.1:80"},
            {"zone", "hall-a"},
            {"version", "v1"},
            {"slots", 12},
            {"state", "ready"},
            {"call_seq", 3},
            {"cold_remaining_ms", 0},
            {"born", 1'700'000'000'000}};
}

std::string objectText(int number, const std::string &spec)
{
    return core::cat(R"({"metadata":{"name":"i-)", number, R"(","revision":1},"spec":)", spec, "}");
}

/// Replaces some bytes at random, but neither removes nor inserts JSON structure characters.
std::string withOtherBytes(std::string text)
{
    const std::string structure = "{}[]\"\\,:";
    const auto changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto byte = *rc::gen::arbitrary<char>();
        const bool kept = structure.find(text[at]) != std::string::npos || structure.find(byte) != std::string::npos;
        text[at] = kept ? text[at] : byte;
    }
    return text;
}

/// Replaces some bytes at random, including JSON structure characters.
std::string withAnyBytes(std::string text)
{
    const auto changes = *rc::gen::inRange(1, 20);
    for (int i = 0; i < changes; ++i) {
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    }
    return text;
}

std::string bodyOf(const std::vector<std::string> &objects)
{
    std::string items;
    for (const auto &object : objects) {
        core::append(items, items.empty() ? "" : ",", object);
    }
    return core::cat(R"({"items":[)", items, R"(],"more":false,"at":9})");
}

/// Returns the names of the objects whose entries are valid targets.
std::set<std::string> targetsIn(const nlohmann::json &body)
{
    std::set<std::string> names;
    for (const auto &object : body.at("items")) {
        try {
            const std::string name = object.at("metadata").at("name");
            static_cast<void>(platform::readTarget(name, object.at("spec")));
            names.insert(name);
        } catch (const core::InvalidDocument &) {
        } catch (const nlohmann::json::exception &) { }
    }
    return names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(decoders)

BOOST_AUTO_TEST_CASE(an_entry_with_other_bytes_spoils_no_other_entry)
{
    CHECK_PROPERTY("the other entries stay readable", [] {
        const auto good = goodEntry().dump();
        const auto spoilt = *rc::gen::inRange(0, Objects);
        std::vector<std::string> objects;
        for (int i = 0; i < Objects; ++i) {
            objects.push_back(objectText(i, i == spoilt ? withOtherBytes(good) : good));
        }
        const auto found = targetsIn(platform::readItemList(bodyOf(objects), "items"));
        for (int i = 0; i < Objects; ++i) {
            RC_ASSERT(i == spoilt || found.contains(core::cat("i-", i)));
        }
    });
}

BOOST_AUTO_TEST_CASE(no_bytes_end_the_process)
{
    CHECK_PROPERTY("bodies are decoded or rejected", [] {
        const auto good = goodEntry().dump();
        const auto body = withAnyBytes(bodyOf({objectText(0, good), objectText(1, good), objectText(2, good)}));
        const auto read = platform::readItemList(body, "items");
        if (read.is_object() && read.contains("items") && read["items"].is_array()) {
            static_cast<void>(targetsIn(read));
        }
    });
}

BOOST_AUTO_TEST_CASE(a_text_without_bad_bytes_is_utf_8_and_a_good_one_is_unchanged)
{
    CHECK_PROPERTY("the text can be written as JSON", [](const std::string &bytes) {
        const auto clean = platform::withoutBadBytes(bytes);
        static_cast<void>(nlohmann::json(clean).dump()); // Throws if the text is not valid UTF-8.
        RC_ASSERT(platform::withoutBadBytes(clean) == clean);
    });
    const std::string good = "a \xC3\xA9 \xE2\x82\xAC \xF0\x9F\x9A\xA2";
    BOOST_TEST(platform::withoutBadBytes(good) == good);
}

BOOST_AUTO_TEST_CASE(a_peer_s_state_of_any_bytes_is_read_or_refused)
{
    CHECK_PROPERTY("peer states are decoded or rejected", [] {
        relay::PeerState state;
        relay::TargetChange change;
        change.entry = platform::readTarget("i-1", goodEntry());
        state.targets.assign(3, change);
        const auto text = withAnyBytes(relay::writePeerState(state));
        try {
            static_cast<void>(relay::readPeerState(text));
        } catch (const core::InvalidDocument &) { }
    });
}

BOOST_AUTO_TEST_CASE(a_field_of_another_type_or_none_makes_an_entry_unusable)
{
    const auto good = goodEntry();
    for (const auto &[field, value] : good.items()) {
        auto without = good;
        without.erase(field);
        const bool mayMiss = field == "born"; // Targets of earlier platform releases do not send it.
        if (!mayMiss) {
            BOOST_CHECK_THROW(static_cast<void>(platform::readTarget("i", without)), core::InvalidDocument);
        }
        std::vector<nlohmann::json> others{nullptr, nlohmann::json::array(), -1, true, ""};
        if (field != "cold_remaining_ms") { // A duration may have a fraction; counts and times are integers.
            others.emplace_back(1.5);
        }
        for (const auto &other : others) {
            auto changed = good;
            changed[field] = other;
            BOOST_CHECK_THROW(static_cast<void>(platform::readTarget("i", changed)), core::InvalidDocument);
        }
    }
    BOOST_TEST(platform::readTarget("i", goodEntry()).startMs == 1'700'000'000'000);
}

BOOST_AUTO_TEST_SUITE_END()
