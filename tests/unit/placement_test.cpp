//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the placement of prompts and the choice of helper engines
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fixtures.h"
#include "spurlug/relay/engine_estimate.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <memory>
#include <random>
#include <vector>

namespace spurlug::test
{

BOOST_AUTO_TEST_SUITE(placement)

// Guards against an uneven choice among equal targets: one of two idle targets got 84 of a hundred requests, one of
// three got 68, and the first six of 18 engines got three times as many as the others. The random numbers of two
// candidates differed by a constant, so they were not independent. In two of thirty runs, one of two targets got none
// of twenty requests.
BOOST_AUTO_TEST_CASE(equal_targets_are_chosen_equally_often)
{
    constexpr int Requests = 30'000;
    std::mt19937_64 random(1);
    for (const std::size_t count : {2U, 3U, 6U, 18U}) {
        std::vector<int> chosen(count);
        for (int i = 0; i < Requests; ++i) {
            ++chosen[placePlain(idleCandidates(count), {}, random())->target];
        }
        const auto expected = static_cast<double>(Requests) / static_cast<double>(count);
        // Five standard deviations of a uniform choice.
        const auto bound = 5 * std::sqrt(expected * (1 - 1 / static_cast<double>(count)));
        for (const auto times : chosen) {
            BOOST_TEST(std::abs(times - expected) < bound, count << " targets, one chosen " << times << " times");
        }
    }
}

BOOST_AUTO_TEST_CASE(a_short_prompt_runs_on_one_engine_together_with_other_short_ones)
{
    auto candidates = idleCandidates(6);
    candidates[4].reservedForShortGaps = true;
    candidates[4].load.requests = candidates[4].load.decodingRequests = candidates[4].load.shortGapRequests = 3;
    const auto placement = placePrompt(engineCosts(), promptRequest(2000), candidates, {}, 1);
    BOOST_REQUIRE(placement.has_value());
    BOOST_TEST(placement->target == 4U);
    BOOST_TEST(placement->helpers.empty());
}

BOOST_AUTO_TEST_CASE(a_long_prompt_is_prefilled_in_parts_away_from_short_gap_streams_and_reserved_engines)
{
    auto candidates = idleCandidates(8);
    candidates[0].reservedForShortGaps = true;
    candidates[1].load.requests = candidates[1].load.decodingRequests = candidates[1].load.shortGapRequests = 10;
    const auto placement = placePrompt(engineCosts(), promptRequest(130'000, false), candidates, {}, 1);
    BOOST_REQUIRE(placement.has_value());
    BOOST_TEST(!placement->helpers.empty());
    for (const std::size_t avoided : {0, 1}) {
        BOOST_TEST(placement->target != avoided);
        BOOST_TEST(std::count(placement->helpers.begin(), placement->helpers.end(), avoided) == 0);
    }
}

BOOST_AUTO_TEST_CASE(a_prompt_beyond_one_memory_gets_the_rest_reserved_elsewhere_or_nothing)
{
    auto request = promptRequest(450'000, false);
    const auto placement = placePrompt(engineCosts(), request, idleCandidates(4), {}, 1);
    BOOST_REQUIRE(placement.has_value());
    std::int64_t reserved = 0;
    for (const auto &holding : placement->reservations) {
        reserved += holding.tokens;
    }
    BOOST_TEST(reserved + 200'000 >= 450'500);
    request.prompt.promptTokens = 900'000;
    BOOST_TEST(!placePrompt(engineCosts(), request, idleCandidates(4), {}, 1).has_value());
}

BOOST_AUTO_TEST_CASE(a_long_prompt_is_prefilled_evenly_by_all_engines_so_that_no_pass_is_long)
{
    const auto placement = placePrompt(engineCosts(), promptRequest(130'000, false), idleCandidates(8), {}, 1);
    BOOST_REQUIRE(placement.has_value());
    BOOST_TEST(placement->helpers.size() == 7U);
}

BOOST_AUTO_TEST_CASE(engines_with_short_gap_streams_prefill_small_parts_but_never_large_ones)
{
    auto candidates = idleCandidates(8);
    candidates[0].reservedForShortGaps = true;
    candidates[0].load.requests = candidates[0].load.decodingRequests = candidates[0].load.shortGapRequests = 5;
    const auto small = placePrompt(engineCosts(), promptRequest(45'000, false), candidates, {}, 1);
    BOOST_REQUIRE(small.has_value());
    BOOST_TEST(std::count(small->helpers.begin(), small->helpers.end(), 0) == 1);
    for (const auto waitedMs : {0, 1000, 4000}) {
        auto large = promptRequest(190'000, false);
        large.waited = absl::Milliseconds(waitedMs);
        large.mayQueue = waitedMs > 0;
        const auto placement = placePrompt(engineCosts(), large, candidates, {}, 1);
        BOOST_REQUIRE(placement.has_value());
        BOOST_TEST(placement->target != 0U);
        BOOST_TEST(std::count(placement->helpers.begin(), placement->helpers.end(), 0) == 0);
    }
}

BOOST_AUTO_TEST_CASE(a_very_long_prompt_is_prefilled_where_no_stream_waits_for_its_passes)
{
    auto candidates = idleCandidates(8);
    for (const std::size_t busy : {2, 5}) {
        candidates[busy].load.requests = candidates[busy].load.decodingRequests = 1;
    }
    auto request = promptRequest(190'000, false);
    request.toleratedGaps.otherStreams = absl::Milliseconds(400); // With eight engines, a part takes 356 ms.
    const auto placement = placePrompt(engineCosts(), request, candidates, {}, 1);
    BOOST_REQUIRE(placement.has_value());
    BOOST_TEST(placement->helpers.size() == 5U);
    for (const std::size_t busy : {2, 5}) {
        BOOST_TEST(placement->target != busy);
        BOOST_TEST(std::count(placement->helpers.begin(), placement->helpers.end(), busy) == 0);
    }
}

BOOST_AUTO_TEST_CASE(a_prompt_that_more_engines_would_prefill_in_time_waits_for_them)
{
    auto candidates = idleCandidates(8);
    for (std::size_t i = 2; i < candidates.size(); ++i) {
        candidates[i].load.partPrefillMicros = 600'000;
    }
    auto request = promptRequest(190'000, false);
    request.ttftObjective = absl::Milliseconds(1200); // Two engines take 1.4 s, eight engines a third of a second.
    BOOST_TEST(!placePrompt(engineCosts(), request, candidates, {}, 1).has_value());
    request.ttftObjective = absl::Milliseconds(2500);
    BOOST_TEST(placePrompt(engineCosts(), request, candidates, {}, 1).has_value());
}

BOOST_AUTO_TEST_CASE(a_late_prompt_does_not_occupy_few_engines_for_long_nor_exceed_the_caller_timeout)
{
    auto candidates = idleCandidates(8);
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        candidates[i].load.partPrefillMicros = 600'000;
    }
    auto request = promptRequest(190'000, false);
    request.waited = absl::Seconds(4); // The objective is 2.5 s.
    BOOST_TEST(!placePrompt(engineCosts(), request, candidates, {}, 1).has_value()); // One engine takes 2.9 s.
    BOOST_TEST(placePrompt(engineCosts(), request, idleCandidates(8), {}, 1).has_value());
    request.waited = absl::Milliseconds(9800); // The caller gives up after 10 s.
    BOOST_TEST(!placePrompt(engineCosts(), request, idleCandidates(8), {}, 1).has_value());
}

BOOST_AUTO_TEST_CASE(a_prompt_too_long_to_be_in_time_is_placed_anyway)
{
    auto costs = engineCosts();
    costs.kvMemoryTokens = 1'200'000;
    auto request = promptRequest(900'000, false); // Eight engines take 5.7 s; the objective is 2.5 s.
    request.callerTimeout = absl::Seconds(12);
    BOOST_TEST(placePrompt(costs, request, idleCandidates(8), {}, 1).has_value());
}

BOOST_AUTO_TEST_CASE(an_engine_that_is_not_asked_for_help_may_still_answer_a_long_prompt)
{
    auto candidates = idleCandidates(2);
    candidates[0].load.requests = 16;
    candidates[1].mayHelp = false;
    const auto placement = placePrompt(engineCosts(), promptRequest(40'000, false), candidates, {}, 1);
    BOOST_REQUIRE(placement.has_value());
    BOOST_TEST(placement->target == 1U);
    BOOST_TEST((placement->helpers == std::vector<std::size_t>{0}));
}

BOOST_AUTO_TEST_CASE(a_long_prompt_is_placed_also_while_no_engine_may_help)
{
    auto candidates = idleCandidates(8);
    for (auto &candidate : candidates) {
        candidate.mayHelp = false;
    }
    auto request = promptRequest(190'000, false); // One engine takes 2.9 s; the objective is 2.5 s.
    const auto placement = placePrompt(engineCosts(), request, candidates, {}, 1);
    BOOST_REQUIRE(placement.has_value());
    BOOST_TEST(placement->helpers.empty());
}

BOOST_AUTO_TEST_CASE(a_long_prompt_waits_while_all_engines_are_in_long_passes)
{
    auto candidates = idleCandidates(4);
    for (auto &candidate : candidates) {
        candidate.load.requests = candidate.load.decodingRequests = 1;
        candidate.load.partPrefillMicros = 500'000;
    }
    auto request = promptRequest(130'000, false);
    for (const auto waitedMs : {0, 600, 2000, 6000}) {
        request.waited = absl::Milliseconds(waitedMs);
        request.mayQueue = waitedMs > 0;
        BOOST_TEST(!placePrompt(engineCosts(), request, candidates, {}, 1).has_value());
    }
    for (auto &candidate : candidates) {
        candidate.load.partPrefillMicros = 0;
    }
    request.waited = absl::Milliseconds(600);
    BOOST_TEST(placePrompt(engineCosts(), request, candidates, {}, 1).has_value());
}

BOOST_AUTO_TEST_CASE(memory_for_a_long_prompt_is_not_reserved_where_short_gap_streams_would_wait_for_its_parts)
{
    auto candidates = idleCandidates(6);
    candidates[5].load.requests = candidates[5].load.decodingRequests = candidates[5].load.shortGapRequests = 8;
    for (const bool kept : {false, true}) {
        candidates[5].reservedForShortGaps = kept;
        auto request = promptRequest(450'000, false);
        request.ttftObjective = absl::Seconds(4); // Five engines take 2.5 s.
        const auto placement = placePrompt(engineCosts(), request, candidates, {}, 1);
        BOOST_REQUIRE(placement.has_value());
        BOOST_TEST(placement->target != 5U);
        BOOST_TEST(std::count(placement->helpers.begin(), placement->helpers.end(), 5) == 0);
    }
}

// Guards against streams of long prompts that spread over too many engines. Forty requests with prompts of 40,000
// tokens were in the decode phase, two at each of twenty engines of sixty. Prompts of 300,000 tokens, whose parts are
// too long to run beside streams, then found only one or two engines. Running one and a half passes beside streams was
// rated more costly than using another engine.
BOOST_AUTO_TEST_CASE(streams_of_long_prompts_share_engines_so_that_others_prefill_parts_of_any_length)
{
    auto engines = idleCandidates(20);
    for (int request = 0; request < 12; ++request) {
        const auto placed = placePrompt(engineCosts(), promptRequest(40'000, false), engines, {},
                                        static_cast<std::uint64_t>(request));
        BOOST_REQUIRE(placed.has_value());
        auto &load = engines[placed->target].load;
        ++load.requests;
        ++load.decodingRequests;
        load.decodingContextTokens += 40'500;
        load.memoryTokens += 40'500;
    }
    const auto usedEngines = std::count_if(engines.begin(), engines.end(),
                                           [](const auto &candidate) { return candidate.load.requests > 0; });
    BOOST_TEST(usedEngines == 3); // The memory of an engine holds four of these requests.
    const auto longest = placePrompt(engineCosts(), promptRequest(150'000, false), engines, {}, 1);
    BOOST_REQUIRE(longest.has_value());
    BOOST_TEST(longest->helpers.size() == 15U);
}

BOOST_AUTO_TEST_CASE(a_short_prompt_goes_to_an_engine_reserved_for_short_ones)
{
    auto candidates = idleCandidates(6);
    candidates[0].reservedForShortGaps = true;
    candidates[0].load.requests = candidates[0].load.decodingRequests = candidates[0].load.shortGapRequests = 6;
    candidates[4].load.requests = candidates[4].load.decodingRequests = candidates[4].load.shortGapRequests = 1;
    const auto placement = placePrompt(engineCosts(), promptRequest(2000), candidates, {}, 1);
    BOOST_REQUIRE(placement.has_value());
    BOOST_TEST(placement->target == 0U);
}

BOOST_AUTO_TEST_CASE(short_prompts_use_another_engine_before_the_reserved_slots_run_out)
{
    auto candidates = idleCandidates(6);
    candidates[0].reservedForShortGaps = true;
    auto &load = candidates[0].load;
    load.requests = load.decodingRequests = load.shortGapRequests = 12;
    BOOST_TEST(placePrompt(engineCosts(), promptRequest(2000), candidates, {}, 1)->target == 0U);
    load.requests = load.decodingRequests = load.shortGapRequests = 15;
    BOOST_TEST(placePrompt(engineCosts(), promptRequest(2000), candidates, {}, 1)->target != 0U);
}

BOOST_AUTO_TEST_CASE(a_short_prompt_does_not_queue_for_a_slot_where_another_engine_has_one)
{
    auto costs = engineCosts();
    costs.meanAnswerTokens = 1400;
    auto candidates = idleCandidates(2);
    candidates[0].reservedForShortGaps = true;
    candidates[0].load.requests = candidates[0].load.decodingRequests = candidates[0].load.shortGapRequests = 18;
    candidates[1].load.prefillMicros = 150'000;
    auto request = promptRequest(2000);
    request.mayQueue = true;
    const auto placement = placePrompt(costs, request, candidates, {}, 1);
    BOOST_REQUIRE(placement.has_value());
    BOOST_TEST(placement->target == 1U);
}

BOOST_AUTO_TEST_CASE(engines_reserved_for_short_gap_streams_grow_with_waiting_requests_as_well)
{
    TargetSet targets;
    targets.put(entry("a"));
    std::vector<std::unique_ptr<LocalWork>> localWork;
    for (int i = 0; i < 20; ++i) {
        Outstanding work;
        work.requests = 1;
        localWork.push_back(
            std::make_unique<LocalWork>(targets.find("a"), LocalWork::Kind::Request, work, at(0), at(100), true));
    }
    const std::vector<Outstanding> loads{targets.find("a")->localWork(at(0)), {}, {}, {}, {}};
    BOOST_TEST(loads[0].shortGapRequests == 20); // None of these requests is in the decode phase yet.
    BOOST_TEST(enginesForShortGaps(loads, 16, {}) == 2U);
    BOOST_TEST(enginesForShortGaps({{}, {}, {}, {}, {}}, 16, {}) == 1U);
}

BOOST_AUTO_TEST_CASE(daemons_with_outdated_loads_do_not_all_choose_the_engine_that_was_free)
{
    auto candidates = idleCandidates(20);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].reservedForShortGaps = true;
        candidates[i].load.prefillMicros = i == 3 ? 0 : 200'000;
    }
    const auto timesChosen = [&](core::Duration loadAge) {
        int times = 0;
        for (std::uint64_t randomValue = 1; randomValue <= 100; ++randomValue) {
            auto request = promptRequest(2000);
            request.loadAge = loadAge;
            const auto placement = placePrompt(engineCosts(), request, candidates, {}, randomValue * 7919);
            BOOST_REQUIRE(placement.has_value());
            times += placement->target == 3U ? 1 : 0;
        }
        return times;
    };
    BOOST_TEST(timesChosen(absl::Milliseconds(70)) == 100);
    BOOST_TEST(timesChosen(absl::Milliseconds(350)) < 50); // A fifth of the engines is considered.
}

BOOST_AUTO_TEST_CASE(full_engines_get_nothing)
{
    auto candidates = idleCandidates(1);
    candidates[0].load.requests = 10;
    BOOST_TEST(placePrompt(engineCosts(), promptRequest(2000), candidates, {}, 1).has_value());
    candidates[0].load.requests = 16;
    BOOST_TEST(!placePrompt(engineCosts(), promptRequest(2000), candidates, {}, 1).has_value());
}

/// Returns engines each of which decodes one stream.
std::vector<Candidate> decodingCandidates(std::size_t count, bool longGap)
{
    auto candidates = idleCandidates(count);
    for (auto &candidate : candidates) {
        candidate.load.requests = candidate.load.decodingRequests = 1;
        candidate.load.longGapRequests = longGap ? 1 : 0;
    }
    return candidates;
}

/// Returns a prompt of `tokens` tokens at a service with gaps of 250, 600 and 1,000 ms.
PromptRequest contendedRequest(std::int64_t tokens, bool longGap)
{
    auto request = promptRequest(tokens, false);
    request.gapsByEngine = true;
    request.longGap = longGap;
    request.toleratedGaps.longestGap = absl::Milliseconds(1000);
    return request;
}

// Guards against long prompts that wait although only streams with the longest gap run: every engine with a stream
// accepted parts as if it had a stream of the strictest route with longer gaps.
BOOST_AUTO_TEST_CASE(an_engine_with_only_longest_gap_streams_accepts_parts_up_to_that_gap)
{
    const auto request = contendedRequest(130'000, true); // Parts of 551 ms on three engines; 468 and 780 ms fit.
    BOOST_TEST(placePrompt(engineCosts(), request, decodingCandidates(3, true), {}, 1).has_value());
    BOOST_TEST(!placePrompt(engineCosts(), request, decodingCandidates(3, false), {}, 1).has_value());
    auto mixed = decodingCandidates(3, true);
    for (auto &candidate : mixed) {
        ++candidate.load.requests; // A stream with a middle gap that is not in the decode phase yet.
    }
    BOOST_TEST(!placePrompt(engineCosts(), request, mixed, {}, 1).has_value());
    auto withoutFeature = request;
    withoutFeature.gapsByEngine = false;
    BOOST_TEST(!placePrompt(engineCosts(), withoutFeature, decodingCandidates(3, true), {}, 1).has_value());
}

// Guards against one middle stream on each engine, which halves the parts that all of them accept.
BOOST_AUTO_TEST_CASE(middle_streams_gather_on_engines_that_have_one)
{
    auto candidates = decodingCandidates(8, true);
    candidates[5].load.longGapRequests = 0;
    const auto middle = placePrompt(engineCosts(), contendedRequest(45'000, false), candidates, {}, 1);
    BOOST_REQUIRE(middle.has_value());
    BOOST_TEST(middle->target == 5U);
}

// Guards against a choice of engines that leaves out some that would accept parts of the size in use.
BOOST_AUTO_TEST_CASE(a_long_prompt_uses_the_largest_number_of_engines_that_accept_its_parts)
{
    const auto costs = engineCosts();
    const PlacementWeights weights;
    std::mt19937_64 random(1);
    for (int round = 0; round < 200; ++round) {
        const auto request = contendedRequest(60'000 + static_cast<std::int64_t>(random() % 120'000), true);
        auto candidates = decodingCandidates(12, true);
        for (auto &candidate : candidates) {
            candidate.load.longGapRequests = static_cast<std::int64_t>(random() % 2);
            candidate.load.partPrefillMicros = static_cast<std::int64_t>(random() % 500'000);
        }
        const EngineEstimate engines(costs, request, candidates, weights, 1);
        std::size_t largest = 0;
        for (std::size_t parts = 1; parts <= candidates.size(); ++parts) {
            const auto part = prefillPartMs(costs, request.prompt.promptTokens, parts);
            std::size_t accepting = 0;
            for (std::size_t i = 0; i < candidates.size(); ++i) {
                accepting += engines.staysInTime(i, part) ? 1 : 0;
            }
            largest = accepting >= parts ? parts : largest;
        }
        const auto placement = placePrompt(costs, request, candidates, weights, 1);
        BOOST_TEST((placement ? placement->helpers.size() + 1 : 0) == largest);
    }
}

// Guards against idle engines while late prompts wait: they are placed if their callers are still there at the first
// event, unless a prompt that can be in time needs the engines.
BOOST_AUTO_TEST_CASE(a_late_prompt_takes_few_engines_when_no_prompt_in_time_waits)
{
    auto candidates = idleCandidates(8);
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        candidates[i].load.partPrefillMicros = 600'000;
    }
    auto request = contendedRequest(190'000, true);
    request.waited = absl::Seconds(4);
    BOOST_TEST(!placePrompt(engineCosts(), request, candidates, {}, 1).has_value());
    request.inTimePromptWaits = false;
    BOOST_TEST(placePrompt(engineCosts(), request, candidates, {}, 1).has_value()); // 2.9 s of the 6 s left.
    request.waited = absl::Milliseconds(7000);
    BOOST_TEST(!placePrompt(engineCosts(), request, candidates, {}, 1).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
