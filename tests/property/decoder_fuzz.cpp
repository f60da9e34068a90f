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

constexpr int ObjectCount = 5;

nlohmann::json makeValidEntry()
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

std::string makeObject(int number, const std::string &spec)
{
    return core::cat(R"({"metadata":{"name":"i-)", number, R"(","revision":1},"spec":)", spec, "}");
}

/// Replaces some bytes at random, but neither removes nor inserts JSON structure characters.
std::string replaceNonStructureBytes(std::string text)
{
    const std::string structure = "{}[]\"\\,:";
    const auto changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto byte = *rc::gen::arbitrary<char>();
        const bool isStructure
            = structure.find(text[at]) != std::string::npos || structure.find(byte) != std::string::npos;
        text[at] = isStructure ? text[at] : byte;
    }
    return text;
}

/// Replaces some bytes at random, including JSON structure characters.
std::string replaceAnyBytes(std::string text)
{
    const auto changes = *rc::gen::inRange(1, 20);
    for (int i = 0; i < changes; ++i) {
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    }
    return text;
}

std::string makeListBody(const std::vector<std::string> &objects)
{
    std::string items;
    for (const auto &object : objects) {
        core::append(items, items.empty() ? "" : ",", object);
    }
    return core::cat(R"({"items":[)", items, R"(],"more":false,"at":9})");
}

/// Returns the names of the objects whose entries are valid targets.
std::set<std::string> decodableTargets(const nlohmann::json &body)
{
    std::set<std::string> names;
    for (const auto &object : body.at("items")) {
        try {
            const std::string name = object.at("metadata").at("name");
            static_cast<void>(platform::parseTarget(name, object.at("spec")));
            names.insert(name);
        } catch (const core::InvalidDocument &) {
        } catch (const nlohmann::json::exception &) { }
    }
    return names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(decoders)

BOOST_AUTO_TEST_CASE(a_corrupt_entry_does_not_affect_other_entries)
{
    CHECK_PROPERTY("the other entries stay readable", [] {
        const auto good = makeValidEntry().dump();
        const auto spoilt = *rc::gen::inRange(0, ObjectCount);
        std::vector<std::string> objects;
        for (int i = 0; i < ObjectCount; ++i) {
            objects.push_back(makeObject(i, i == spoilt ? replaceNonStructureBytes(good) : good));
        }
        const auto found = decodableTargets(platform::parseItemList(makeListBody(objects), "items"));
        for (int i = 0; i < ObjectCount; ++i) {
            RC_ASSERT(i == spoilt || found.contains(core::cat("i-", i)));
        }
    });
}

BOOST_AUTO_TEST_CASE(random_bytes_do_not_crash_the_list_decoder)
{
    CHECK_PROPERTY("bodies are decoded or rejected", [] {
        const auto good = makeValidEntry().dump();
        const auto body
            = replaceAnyBytes(makeListBody({makeObject(0, good), makeObject(1, good), makeObject(2, good)}));
        const auto read = platform::parseItemList(body, "items");
        if (read.is_object() && read.contains("items") && read["items"].is_array()) {
            static_cast<void>(decodableTargets(read));
        }
    });
}

BOOST_AUTO_TEST_CASE(sanitized_text_is_valid_utf_8_and_valid_text_is_unchanged)
{
    CHECK_PROPERTY("the text can be written as JSON", [](const std::string &bytes) {
        const auto clean = platform::replaceInvalidUtf8(bytes);
        static_cast<void>(nlohmann::json(clean).dump()); // Throws if the text is not valid UTF-8.
        RC_ASSERT(platform::replaceInvalidUtf8(clean) == clean);
    });
    const std::string validText = "a \xC3\xA9 \xE2\x82\xAC \xF0\x9F\x9A\xA2";
    BOOST_TEST(platform::replaceInvalidUtf8(validText) == validText);
}

BOOST_AUTO_TEST_CASE(a_peer_state_with_random_bytes_is_decoded_or_rejected)
{
    CHECK_PROPERTY("peer states are decoded or rejected", [] {
        relay::PeerState state;
        relay::TargetChange change;
        change.entry = platform::parseTarget("i-1", makeValidEntry());
        state.targets.assign(3, change);
        const auto text = replaceAnyBytes(relay::writePeerState(state));
        try {
            static_cast<void>(relay::readPeerState(text));
        } catch (const core::InvalidDocument &) { }
    });
}

// Guards against entries that name no target: port 0, or a host that is no IP address, cannot be connected to.
BOOST_AUTO_TEST_CASE(an_entry_whose_address_names_no_target_is_invalid)
{
    const std::string withNul{"10.0.0.1\0:80", 12};
    const std::vector<std::string> invalidAddresses{"10.0.0.1:0",    "10.0.0.1:99999",  "10.0.0.1:4294967377",
                                                    "10.0.0.1:-80",  "10.0.0.1",        "10.0.0.1:",
                                                    ":80",           "engine-1:80",     "10.0.0:80",
                                                    "10.0.0.256:80", "0.0.0.0:80",      "224.0.0.1:80",
                                                    withNul,         "10.0.0.1\r\n:80", std::string(100'000, 'x')};
    for (const auto &address : invalidAddresses) {
        auto entry = makeValidEntry();
        entry["address"] = address;
        BOOST_CHECK_THROW(static_cast<void>(platform::parseTarget("i", entry)), core::InvalidDocument);
    }
}

// Guards against names that add header fields to requests, or fill logs and messages.
BOOST_AUTO_TEST_CASE(names_with_control_characters_or_of_excessive_length_are_invalid)
{
    for (const auto &name : {std::string("a\r\nX: y"), std::string("a\0b", 3), std::string(100'000, 'x')}) {
        BOOST_TEST(!platform::isTargetId(name));
        for (const auto *member : {"service", "zone"}) {
            auto entry = makeValidEntry();
            entry[member] = name;
            BOOST_CHECK_THROW(static_cast<void>(platform::parseTarget("i", entry)), core::InvalidDocument);
        }
    }
    BOOST_TEST(!platform::isTargetId(""));
    BOOST_TEST(!platform::isTargetId("a b"));
    BOOST_TEST(platform::isTargetId("i-7f3a91c2"));
}

// Guards against a daemon that refuses all that a peer knows over one invalid address.
BOOST_AUTO_TEST_CASE(an_invalid_address_in_a_peer_state_invalidates_only_its_own_entry)
{
    relay::PeerState state;
    relay::TargetChange change;
    change.entry = platform::parseTarget("i-1", makeValidEntry());
    state.targets.assign(2, change);
    state.targets.front().entry.address.host.clear();
    const auto read = relay::readPeerState(relay::writePeerState(state));
    BOOST_TEST_REQUIRE(read.targets.size() == 2U);
    BOOST_TEST(!read.targets.front().fault.empty());
    BOOST_TEST(read.targets.back().fault.empty());
    BOOST_TEST(read.targets.back().entry.address.text() == "10.0.0.1:80");
}

BOOST_AUTO_TEST_CASE(a_missing_or_invalid_field_makes_an_entry_invalid)
{
    const auto validEntry = makeValidEntry();
    for (const auto &[field, value] : validEntry.items()) {
        auto incomplete = validEntry;
        incomplete.erase(field);
        const bool isOptional = field == "born"; // Targets of earlier platform releases do not send it.
        if (!isOptional) {
            BOOST_CHECK_THROW(static_cast<void>(platform::parseTarget("i", incomplete)), core::InvalidDocument);
        }
        std::vector<nlohmann::json> invalidValues{nullptr, nlohmann::json::array(), -1, true, ""};
        if (field != "cold_remaining_ms") { // A duration may have a fraction; counts and times are integers.
            invalidValues.emplace_back(1.5);
        }
        for (const auto &invalidValue : invalidValues) {
            auto changed = validEntry;
            changed[field] = invalidValue;
            BOOST_CHECK_THROW(static_cast<void>(platform::parseTarget("i", changed)), core::InvalidDocument);
        }
    }
    BOOST_TEST(platform::parseTarget("i", makeValidEntry()).startMs == 1'700'000'000'000);
}

BOOST_AUTO_TEST_SUITE_END()
