//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of where prompts go, and which engines help to read them
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fixtures.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>

namespace spurlug::test
{

BOOST_AUTO_TEST_SUITE(placement)

BOOST_AUTO_TEST_CASE(a_short_prompt_stays_in_one_place_and_joins_others_of_its_kind)
{
    auto candidates = idle(6);
    candidates[4].load.requests = candidates[4].load.writers = candidates[4].load.tightRequests = 3;
    const auto placement = placePrompt(engine(), prompt(2000), candidates, {}, 1);
    BOOST_REQUIRE(placement.has_value());
    BOOST_TEST(placement->target == 4U);
    BOOST_TEST(placement->helpers.empty());
}

BOOST_AUTO_TEST_CASE(a_long_prompt_is_read_in_parts_away_from_tight_streams_and_from_engines_kept_free)
{
    auto candidates = idle(8);
    candidates[0].tightOnly = true;
    candidates[1].load.requests = candidates[1].load.writers = candidates[1].load.tightRequests = 10;
    const auto placement = placePrompt(engine(), prompt(130'000, false), candidates, {}, 1);
    BOOST_REQUIRE(placement.has_value());
    BOOST_TEST(!placement->helpers.empty());
    for (const std::size_t avoided : {0, 1}) {
        BOOST_TEST(placement->target != avoided);
        BOOST_TEST(std::count(placement->helpers.begin(), placement->helpers.end(), avoided) == 0);
    }
}

BOOST_AUTO_TEST_CASE(a_prompt_beyond_one_memory_gets_the_rest_reserved_elsewhere_or_nothing)
{
    auto request = prompt(450'000, false);
    request.mayQueue = true; // Its passes are long everywhere: it has waited for calm engines.
    const auto placement = placePrompt(engine(), request, idle(4), {}, 1);
    BOOST_REQUIRE(placement.has_value());
    std::int64_t held = 0;
    for (const auto &holding : placement->holdings) {
        held += holding.tokens;
    }
    BOOST_TEST(held + 200'000 >= 450'500);
    request.prompt.promptTokens = 900'000;
    BOOST_TEST(!placePrompt(engine(), request, idle(4), {}, 1).has_value());
}

BOOST_AUTO_TEST_CASE(a_long_prompt_is_read_evenly_by_all_engines_so_that_no_pass_is_long)
{
    const auto placement = placePrompt(engine(), prompt(130'000, false), idle(8), {}, 1);
    BOOST_REQUIRE(placement.has_value());
    BOOST_TEST(placement->helpers.size() == 7U);
}

BOOST_AUTO_TEST_CASE(engines_with_tight_streams_read_small_parts_but_after_a_wait_those_kept_free_read_none)
{
    auto candidates = idle(8);
    candidates[0].tightOnly = true;
    candidates[0].load.requests = candidates[0].load.writers = candidates[0].load.tightRequests = 5;
    const auto small = placePrompt(engine(), prompt(45'000, false), candidates, {}, 1);
    BOOST_REQUIRE(small.has_value());
    BOOST_TEST(std::count(small->helpers.begin(), small->helpers.end(), 0) == 1);
    auto waited = prompt(45'000, false);
    waited.mayQueue = true;
    const auto later = placePrompt(engine(), waited, candidates, {}, 1);
    BOOST_REQUIRE(later.has_value());
    BOOST_TEST(std::count(later->helpers.begin(), later->helpers.end(), 0) == 0);
}

BOOST_AUTO_TEST_CASE(an_engine_that_is_not_asked_for_help_may_still_answer_a_long_prompt)
{
    auto candidates = idle(2);
    candidates[0].load.requests = 16;
    candidates[1].mayHelp = false;
    const auto placement = placePrompt(engine(), prompt(40'000, false), candidates, {}, 1);
    BOOST_REQUIRE(placement.has_value());
    BOOST_TEST(placement->target == 1U);
    BOOST_TEST((placement->helpers == std::vector<std::size_t>{0}));
}

BOOST_AUTO_TEST_CASE(a_long_prompt_waits_while_all_engines_are_in_long_passes)
{
    auto candidates = idle(4);
    for (auto &candidate : candidates) {
        candidate.load.requests = candidate.load.writers = 1;
        candidate.load.partMicros = 500'000;
    }
    auto request = prompt(130'000, false);
    BOOST_TEST(!placePrompt(engine(), request, candidates, {}, 1).has_value());
    request.mayQueue = true;
    BOOST_TEST(placePrompt(engine(), request, candidates, {}, 1).has_value());
}

BOOST_AUTO_TEST_CASE(memory_for_a_long_prompt_is_not_taken_where_tight_streams_would_wait_for_its_parts)
{
    auto candidates = idle(6);
    candidates[5].load.requests = candidates[5].load.writers = candidates[5].load.tightRequests = 8;
    const auto placement = placePrompt(engine(), prompt(450'000, false), candidates, {}, 1);
    BOOST_TEST(!placement.has_value()); // Its parts make every pass too long, so it waits for the time it may queue.
    auto waited = prompt(450'000, false);
    waited.mayQueue = true;
    candidates[5].tightOnly = true;
    const auto later = placePrompt(engine(), waited, candidates, {}, 1);
    BOOST_REQUIRE(later.has_value());
    BOOST_TEST(later->target != 5U);
    BOOST_TEST(std::count(later->helpers.begin(), later->helpers.end(), 5) == 0);
}

BOOST_AUTO_TEST_CASE(a_short_prompt_does_not_queue_for_a_slot_where_another_engine_has_one)
{
    auto costs = engine();
    costs.usualAnswer = 1400;
    auto candidates = idle(2);
    candidates[0].tightOnly = true;
    candidates[0].load.requests = candidates[0].load.writers = candidates[0].load.tightRequests = 18;
    candidates[1].load.readMicros = 150'000;
    auto request = prompt(2000);
    request.mayQueue = true;
    const auto placement = placePrompt(costs, request, candidates, {}, 1);
    BOOST_REQUIRE(placement.has_value());
    BOOST_TEST(placement->target == 1U);
}

BOOST_AUTO_TEST_CASE(engines_kept_for_tight_streams_grow_with_the_requests_that_wait_as_well)
{
    TargetSet targets;
    targets.put(entry("a"));
    std::vector<std::unique_ptr<Share>> shares;
    for (int i = 0; i < 20; ++i) {
        Outstanding work;
        work.requests = 1;
        shares.push_back(std::make_unique<Share>(targets.find("a"), Share::Kind::Request, work, at(0), at(100), true));
    }
    const std::vector<Outstanding> loads{targets.find("a")->own(at(0)), {}, {}, {}, {}};
    BOOST_TEST(loads[0].tightRequests == 20); // None of them generates yet.
    BOOST_TEST(enginesForTight(loads, 16, {}) == 2U);
    BOOST_TEST(enginesForTight({{}, {}, {}, {}, {}}, 16, {}) == 1U);
}

BOOST_AUTO_TEST_CASE(full_engines_get_nothing_also_when_others_may_have_filled_them_unseen)
{
    auto candidates = idle(1);
    candidates[0].load.requests = 10;
    BOOST_TEST(placePrompt(engine(), prompt(2000), candidates, {}, 1).has_value());
    candidates[0].unseen.requests = 6;
    BOOST_TEST(!placePrompt(engine(), prompt(2000), candidates, {}, 1).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
