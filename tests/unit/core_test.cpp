//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the core library
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/address.h"
#include "spurlug/core/error.h"
#include "spurlug/core/hash.h"
#include "spurlug/core/json_document.h"
#include "spurlug/core/json_reader.h"
#include "spurlug/core/reason.h"
#include "spurlug/core/rendezvous.h"
#include "spurlug/core/text.h"
#include "spurlug/core/worker_pool.h"
#include "spurlug/net/io.h"

#include <absl/synchronization/notification.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <ctime>
#include <set>

using namespace spurlug;

BOOST_AUTO_TEST_SUITE(core_tests)

BOOST_AUTO_TEST_CASE(every_reason_has_a_unique_name)
{
    std::set<std::string_view> names;
    for (const auto &row : core::EnumNames<core::Reason>::table) {
        names.insert(row.name);
        BOOST_TEST((core::enumFromName<core::Reason>(row.name) == row.value));
    }
    BOOST_TEST(names.size() == static_cast<std::size_t>(core::Reason::PathLost) + 1);
}

BOOST_AUTO_TEST_CASE(addresses_are_parsed_and_formatted)
{
    BOOST_TEST(core::parseAddress("10.0.0.1:80").text() == "10.0.0.1:80");
    for (const auto *wrong : {"", "host", ":80", "host:", "host:70000", "host:8x"}) {
        BOOST_CHECK_THROW(static_cast<void>(core::parseAddress(wrong)), core::InvalidDocument);
    }
}

BOOST_AUTO_TEST_CASE(tokens_have_no_blanks_separators_or_control_bytes)
{
    for (const auto *text : {"Content-Length", "x", "!#$%&'*+-.^_`|~09azAZ"}) {
        BOOST_TEST(core::isToken(text));
    }
    for (const std::string text : {"", "a b", "a\t", "a:", "a\x7f", "a\r", "(a)", "a/b", "\xc3\xa4"}) {
        BOOST_TEST(!core::isToken(text));
    }
    BOOST_TEST(!core::isToken(std::string_view("a\0b", 3)));
}

BOOST_AUTO_TEST_CASE(removing_a_node_moves_only_its_items)
{
    const std::vector<std::string> nodes{"a", "b", "c", "d"};
    const std::vector<std::string> fewer{"a", "b", "d"};
    int moved = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto item = std::to_string(i);
        const auto before = core::rankByRendezvous(item, nodes);
        const auto after = core::rankByRendezvous(item, fewer);
        if (before.front() != "c") {
            BOOST_TEST(before.front() == after.front());
        } else {
            BOOST_TEST(before[1] == after.front());
            ++moved;
        }
    }
    BOOST_TEST(moved > 200);
    BOOST_TEST(moved < 300);
}

BOOST_AUTO_TEST_CASE(items_are_assigned_evenly_and_few_move)
{
    std::vector<std::string> items;
    for (int i = 0; i < 60; ++i) {
        items.push_back("target-" + std::to_string(i));
    }
    std::vector<std::string> nodes;
    for (int i = 0; i < 42; ++i) {
        nodes.push_back("vm-" + std::to_string(i));
    }
    const auto before = core::assignByRendezvous(items, nodes, 2);
    std::map<std::string, int> counts;
    for (const auto &[item, node] : before) {
        BOOST_TEST(++counts[node] <= 2);
    }
    BOOST_TEST(before.size() == 60);
    const auto removedNode = nodes.back();
    nodes.pop_back();
    const auto after = core::assignByRendezvous(items, nodes, 2);
    int moved = 0;
    for (const auto &[item, node] : before) {
        moved += after.at(item) != node ? 1 : 0;
    }
    BOOST_TEST(moved <= 8);
    BOOST_TEST(core::assignByRendezvous(items, {"a"}, 2).size() == 60);
    BOOST_TEST(core::assignByRendezvous(items, {}, 2).empty());
}

BOOST_AUTO_TEST_CASE(a_reader_records_every_fault_with_its_pointer)
{
    const auto document = nlohmann::json::parse(R"({"name": 3, "port": 99999, "extra": 1, "list": [{"id": ""}]})");
    std::vector<core::Fault> faults;
    core::ObjectReader reader(document, "", faults);
    static_cast<void>(reader.string("name"));
    static_cast<void>(reader.integer("port", 1, 65535));
    reader.forEachObject("list", [](core::ObjectReader &child) { static_cast<void>(child.string("id")); });
    reader.rejectUnknownMembers();
    std::vector<std::string> pointers;
    for (const auto &fault : faults) {
        pointers.push_back(fault.pointer);
    }
    const std::vector<std::string> expected{"/name", "/port", "/list/0/id", "/extra"};
    BOOST_TEST(pointers == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(nesting_is_measured_outside_strings)
{
    BOOST_TEST(core::jsonDepth("7") == 0);
    BOOST_TEST(core::jsonDepth(R"({"a":[{}],"b":{}})") == 3);
    BOOST_TEST(core::jsonDepth(R"({"[[[":"\"{{{","b":1})") == 1);
}

// Guards against documents whose copy or dump overflows the stack.
BOOST_AUTO_TEST_CASE(documents_nested_too_deeply_are_not_parsed)
{
    const auto arrays = [](int depth) {
        const auto count = static_cast<std::size_t>(depth);
        return std::string(count, '[') + std::string(count, ']');
    };
    BOOST_TEST(core::parseJson(arrays(core::MaxJsonDepth)).is_array());
    BOOST_TEST(core::parseJson(arrays(core::MaxJsonDepth + 1)).is_discarded());
    BOOST_TEST(core::parseJson(arrays(1'000'000)).is_discarded());
    BOOST_TEST(core::parseJson("[1e999]").is_discarded());
    BOOST_TEST(core::parseJson("[").is_discarded());
}

// Guards against unsigned values above the signed range that are read as negative ones.
BOOST_AUTO_TEST_CASE(integers_out_of_range_are_faults)
{
    const auto document = core::parseJson(R"({"large":18446744073709551615,"small":-2,"whole":9223372036854775807})");
    std::vector<core::Fault> faults;
    core::ObjectReader reader(document, "", faults);
    BOOST_TEST(reader.integer("large", -1, 10) == -1);
    BOOST_TEST(reader.integer("small", -1, 10) == -1);
    BOOST_TEST(faults.size() == 2U);
    BOOST_TEST(reader.integer("whole", 0, INT64_MAX) == INT64_MAX);
    BOOST_TEST(faults.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_pool_rejects_tasks_beyond_its_limits_and_runs_accepted_ones)
{
    absl::Notification release;
    std::atomic<int> executed{0};
    core::WorkerPool pool(2, 1);
    int accepted = 0;
    for (int i = 0; i < 5; ++i) {
        accepted += pool.trySubmit([&] {
            release.WaitForNotification();
            ++executed;
        })
            ? 1
            : 0;
    }
    BOOST_TEST(accepted >= 3);
    BOOST_TEST(accepted < 5);
    release.Notify();
    pool.stop();
    BOOST_TEST(executed == accepted);
    BOOST_TEST(!pool.trySubmit([] {}));
}

// While a VM is suspended, its steady clock stops and its boot clock advances. Timeouts must follow the boot clock.
BOOST_AUTO_TEST_CASE(timers_use_the_clock_that_advances_during_suspension)
{
    const auto before = core::now();
    const auto timerTime = absl::UnixEpoch() + absl::FromChrono(net::Timer::clock_type::now().time_since_epoch());
    const auto after = core::now();
    BOOST_TEST((before <= timerTime && timerTime <= after));
    timespec boot{};
    clock_gettime(CLOCK_BOOTTIME, &boot);
    BOOST_TEST((absl::TimeFromTimespec(boot) >= after));
}

BOOST_AUTO_TEST_SUITE_END()
