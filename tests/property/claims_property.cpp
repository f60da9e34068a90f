//----------------------------------------------------------------------------------------------------------------------
// spurlug: property tests of idempotency keys against an oracle
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "fake_object_api.h"
#include "property.h"

#include "spurlug/claims/commit.h"

#include <map>
#include <set>

using namespace spurlug;
using property::FakeObjectApi;
using property::FakeState;
using property::generateFaults;

BOOST_AUTO_TEST_SUITE(claims_properties)

/// With two committing owners, lost answers and an unavailable platform, no two requests acquire the same key within
/// its retention time unless the first one released it. A request that finds a key held is told which request holds it.
BOOST_AUTO_TEST_CASE(a_key_is_acquired_by_one_request_at_a_time)
{
    CHECK_PROPERTY("claims", [] {
        FakeState state;
        const FakeObjectApi api(state);
        int number = 0;
        std::int64_t now = 1'000'000;
        std::map<std::string, std::string> holder; // Oracle: the request that may run, by key.
        // Requests that were told "unavailable" or released their key and so do not run.
        std::set<std::string> uncertain;
        std::set<std::string> inFlight; // Requests whose answer is not known yet.
        const auto mayRun = [&](const std::string &key, const std::string &requestId) {
            const auto found = holder.find(key);
            return found != holder.end() && found->second == requestId;
        };
        const auto round = [&] {
            std::vector<claims::ClaimWish> wishes;
            const auto count = *rc::gen::inRange(1, 4);
            for (int i = 0; i < count; ++i) {
                const auto key = "k" + std::to_string(*rc::gen::inRange(0, 3));
                const bool giveBack = holder.contains(key) && *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
                wishes.push_back({key, giveBack ? holder[key] : "r" + std::to_string(++number), giveBack});
            }
            for (const auto &wish : wishes) {
                inFlight.insert(wish.requestId);
                if (wish.giveBack && mayRun(wish.name, wish.requestId)) {
                    holder.erase(wish.name); // It will not run, whether or not the release reaches the store.
                    uncertain.insert(wish.requestId);
                }
            }
            const auto answers = claims::commit(api, 0, wishes, now);
            RC_ASSERT(answers.size() == wishes.size());
            for (std::size_t i = 0; i < wishes.size(); ++i) {
                const auto &wish = wishes[i];
                inFlight.erase(wish.requestId);
                if (wish.giveBack) {
                    continue;
                }
                if (answers[i].result == claims::ClaimResult::Won) {
                    RC_ASSERT(!holder.contains(wish.name));
                    holder[wish.name] = wish.requestId;
                } else if (answers[i].result == claims::ClaimResult::Taken) {
                    RC_ASSERT(answers[i].holder != wish.requestId);
                    const auto &other = answers[i].holder;
                    RC_ASSERT(mayRun(wish.name, other) || uncertain.contains(other) || inFlight.contains(other));
                } else {
                    uncertain.insert(wish.requestId);
                }
            }
        };
        // The other owner commits in the middle of this owner's round, between its read and its update.
        state.concurrentWrite = [&] {
            const auto faults = std::exchange(state.faults, {});
            round();
            state.faults = faults;
        };
        const auto rounds = *rc::gen::inRange(1, 12);
        for (int i = 0; i < rounds; ++i) {
            state.faults = *generateFaults();
            now += *rc::gen::inRange(0, 5);
            round();
        }
    });
}

BOOST_AUTO_TEST_CASE(old_claims_are_dropped)
{
    claims::ClaimTable table{{"a", {"r1", 1000}}, {"b", {"r2", 1500}}};
    claims::dropExpired(table, 1000 + claims::ClaimLifetimeSeconds + 1);
    BOOST_TEST(table.size() == 1);
    BOOST_TEST(claims::parseShard(claims::serialiseShard(table)).at("b").requestId == "r2");
}

BOOST_AUTO_TEST_SUITE_END()
