//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the order of waiting requests, fair shares and floors
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/hash.h"
#include "spurlug/core/text.h"
#include "spurlug/overload/fair_queue.h"
#include "spurlug/overload/grant_round.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

namespace
{

using namespace spurlug;
using namespace spurlug::overload;

constexpr double LongestPromptMs = 28'000; // A prompt of 600,000 tokens.

QueueItem shortPrompt(std::uint32_t organisation, double costMs = 30)
{
    QueueItem item;
    item.organisation = organisation;
    item.costMs = costMs;
    return item;
}

QueueItem longPrompt(std::uint32_t organisation, bool late = false, double costMs = 3400)
{
    auto item = shortPrompt(organisation, costMs);
    item.shortGaps = false;
    item.late = late;
    return item;
}

/// Serves one request after the other.
struct Server
{
    explicit Server(const settings::OverloadSettings &settings = {})
        : queue(settings)
        , floors(settings.floorShare)
    { }

    /// Grants one of the requests that fit and removes it.
    template<typename Fits>
    QueueItem grant(Fits fits)
    {
        std::vector<QueueItem> ordered;
        for (const auto i : queue.order(items)) {
            ordered.push_back(items[i]);
        }
        items = ordered;
        GrantRound round(items, &floors);
        while (const auto index = round.next()) {
            if (fits(items[*index])) {
                const auto granted = items[*index];
                queue.noteGrant(granted);
                round.noteGrant();
                items.erase(items.begin() + static_cast<std::ptrdiff_t>(*index));
                return granted;
            }
        }
        BOOST_FAIL("No request fits.");
        return {};
    }

    QueueItem grant()
    {
        return grant([](const QueueItem & /*item*/) { return true; });
    }

    FairQueue queue;
    FloorCredits floors;
    std::vector<QueueItem> items;
};

/// Serves `grants` requests while each organisation keeps `waiting[organisation]` requests of a cost waiting.
/// \returns Engine time that each organisation got, ms.
std::map<std::uint32_t, double> serve(Server &server, const std::map<std::uint32_t, int> &waiting,
                                      const std::map<std::uint32_t, double> &costMs, int grants)
{
    for (const auto &[organisation, count] : waiting) {
        for (int i = 0; i < count; ++i) {
            server.items.push_back(shortPrompt(organisation, costMs.at(organisation)));
        }
    }
    std::map<std::uint32_t, double> engineMs;
    for (int i = 0; i < grants; ++i) {
        const auto granted = server.grant();
        engineMs[granted.organisation] += granted.costMs;
        server.items.push_back(granted);
    }
    return engineMs;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fair_queue)

// Guards against an organisation whose callers retry at once and take the slots of all others.
BOOST_AUTO_TEST_CASE(an_organisation_with_ten_times_its_share_delays_others_by_one_request)
{
    Server server;
    auto engineMs = serve(server, {{1, 20}, {2, 2}, {3, 2}}, {{1, 30}, {2, 30}, {3, 30}}, 300);
    for (const std::uint32_t organisation : {1, 2, 3}) {
        BOOST_TEST(std::abs(engineMs[organisation] - 3000) <= 30);
    }
    server.items.push_back(shortPrompt(4)); // It waits behind no more than one request of each other organisation.
    int ahead = 0;
    while (server.grant().organisation != 4) {
        ++ahead;
    }
    BOOST_TEST(ahead <= 3);
}

// Guards against shares by the number of requests: an organisation with prompts of 600,000 tokens would get almost all
// engine time.
BOOST_AUTO_TEST_CASE(shares_are_by_engine_time_and_weight)
{
    Server byCost;
    auto engineMs = serve(byCost, {{1, 3}, {2, 3}}, {{1, LongestPromptMs}, {2, 30}}, 5000);
    BOOST_TEST(std::abs(engineMs[1] - engineMs[2]) <= LongestPromptMs);

    settings::OverloadSettings settings;
    settings.weights = {{"large", 3}};
    const auto large = static_cast<std::uint32_t>(core::fastHash("large"));
    Server byWeight(settings);
    engineMs = serve(byWeight, {{large, 9}, {2, 9}}, {{large, 30}, {2, 30}}, 400);
    BOOST_TEST(std::abs(engineMs[large] - 3 * engineMs[2]) <= 120);
}

// Guards against an organisation that was idle for long and then takes all engines until its share is made up.
BOOST_AUTO_TEST_CASE(idle_time_is_not_saved_up)
{
    Server server;
    std::ignore = serve(server, {{1, 5}, {2, 5}}, {{1, 30}, {2, 30}}, 1000);
    const auto engineMs = serve(server, {{3, 50}}, {{3, 30}}, 300);
    for (const auto &[organisation, ms] : engineMs) {
        BOOST_TEST(std::abs(ms - 3000) <= 30, organisation << " got " << ms << " ms");
    }
}

BOOST_AUTO_TEST_CASE(urgency_precedes_shares)
{
    auto lessUrgent = shortPrompt(6);
    lessUrgent.priority = 1;
    auto lateShort = shortPrompt(5);
    lateShort.late = true;
    auto returning = shortPrompt(2);
    returning.returnsOnTime = true;
    Server server;
    server.items = {lessUrgent, longPrompt(7, true), lateShort, longPrompt(4), shortPrompt(3), returning};
    std::vector<std::uint32_t> organisations;
    while (!server.items.empty()) {
        organisations.push_back(server.grant().organisation);
    }
    BOOST_TEST((organisations == std::vector<std::uint32_t>{2, 3, 4, 5, 7, 6}));
}

// Guards against a flood of short prompts, or of prompts that can be in time, that stops all others.
BOOST_AUTO_TEST_CASE(each_less_urgent_group_gets_its_floor_and_late_short_prompts_none)
{
    for (const double floorShare : {0.1, 0.0}) {
        settings::OverloadSettings settings;
        settings.floorShare = floorShare;
        Server server(settings);
        auto lessUrgent = shortPrompt(4);
        lessUrgent.priority = 1;
        auto lateShort = shortPrompt(5);
        lateShort.late = true;
        server.items = {shortPrompt(1), shortPrompt(1), longPrompt(2), lessUrgent, lateShort};
        std::map<std::uint32_t, int> grants;
        for (int i = 0; i < 1000; ++i) {
            const auto granted = server.grant();
            ++grants[granted.organisation];
            server.items.push_back(granted);
        }
        // A group gets one grant after ten to more urgent ones, some of which go to the other group.
        BOOST_TEST(std::abs(grants[2] - 1000 * floorShare) <= 20);
        BOOST_TEST(std::abs(grants[4] - 1000 * floorShare) <= 20);
        BOOST_TEST(grants[5] == 0);
    }
}

// Guards against late long prompts that never run while others that can be in time keep coming.
BOOST_AUTO_TEST_CASE(late_long_prompts_get_their_floor_behind_those_in_time)
{
    Server server;
    server.items = {longPrompt(1), longPrompt(1), longPrompt(2, true)};
    int late = 0;
    for (int i = 0; i < 110; ++i) {
        const auto granted = server.grant();
        late += granted.late ? 1 : 0;
        server.items.push_back(granted);
    }
    BOOST_TEST(late == 10);
}

// Guards against a prompt that fits nowhere and holds up those behind it, also when its floor is due.
BOOST_AUTO_TEST_CASE(the_longest_prompt_stops_no_other_kind)
{
    Server server;
    server.items = {longPrompt(1, false, LongestPromptMs), longPrompt(2), shortPrompt(3)};
    server.items.front().slack = absl::Seconds(-1);
    std::map<std::uint32_t, int> grants;
    for (int i = 0; i < 200; ++i) {
        const auto granted = server.grant([](const QueueItem &item) { return item.costMs < LongestPromptMs; });
        ++grants[granted.organisation];
        server.items.push_back(granted);
    }
    BOOST_TEST(grants[2] >= 18);
    BOOST_TEST(grants[3] >= 170);
}

// Guards against memory that grows with the names that callers use.
BOOST_AUTO_TEST_CASE(the_number_of_tracked_organisations_is_bounded)
{
    Server server;
    for (std::uint32_t organisation = 1; organisation <= 1000; ++organisation) {
        server.items.push_back(shortPrompt(organisation));
    }
    for (int i = 0; i < 990; ++i) {
        std::ignore = server.grant();
        BOOST_REQUIRE(server.queue.size() <= FairQueue::MaxOrganisations);
    }
    BOOST_TEST(server.queue.excesses().size() <= LoadView::MaxExcesses);
    server.queue.reset();
    BOOST_TEST(server.queue.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
