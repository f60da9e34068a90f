//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of admission, routing, limits and dispatch
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/admission/admission.h"
#include "spurlug/admission/byte_budget.h"
#include "spurlug/admission/request_body.h"
#include "spurlug/core/error.h"
#include "spurlug/dispatch/retry.h"
#include "spurlug/dispatch/sse.h"
#include "spurlug/limits/organisation_limiter.h"
#include "spurlug/routing/choose.h"

#include <boost/test/unit_test.hpp>

using namespace spurlug;

namespace
{

const core::Time Start = absl::FromUnixSeconds(1000);

targets::TargetView view(const std::string &id, std::int64_t queued)
{
    targets::TargetView target;
    target.id = id;
    target.report.condition = targets::TargetCondition::Serving;
    target.report.queuedTokens = queued;
    target.report.urgentTokens = queued;
    target.report.prefillRate = 10'000;
    target.reportAge = absl::Milliseconds(100);
    return target;
}

core::Reason refusalOf(const std::function<void()> &work)
{
    try {
        work();
    } catch (const core::Refused &refused) {
        return refused.reason();
    }
    return core::Reason::None;
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_tests)

BOOST_AUTO_TEST_CASE(a_body_is_parsed_without_a_tree)
{
    const auto body = admission::parseRequestBody(
        R"({"model":"m","stream":true,"stream_options":{"include_usage":true},"max_tokens":7,
            "messages":[{"role":"user","content":"hello"},{"role":"user","content":[{"type":"text","text":"you"}]}],
            "metadata":{"content":"not a prompt","model":"x","stream":false}})");
    BOOST_TEST(body.model == "m");
    BOOST_TEST(body.stream);
    BOOST_TEST(body.includeUsage);
    BOOST_TEST(body.maxTokens == 7);
    BOOST_TEST(body.promptBytes == 8);
    for (const auto *wrong :
         {"", "[", "[]", "{}", R"({"model":"m"})", R"({"model":3,"prompt":"x"})",
          R"({"model":"m","prompt":"x"} trailing)", R"({"model":"m","prompt":"x","max_tokens":-1})"}) {
        BOOST_TEST(
            (refusalOf([&] { static_cast<void>(admission::parseRequestBody(wrong)); }) == core::Reason::MalformedBody),
            wrong);
    }
}

BOOST_AUTO_TEST_CASE(deep_nesting_is_refused)
{
    const std::string deep = R"({"model":"m","prompt":"x","a":)" + std::string(100'000, '[');
    BOOST_TEST(
        (refusalOf([&] { static_cast<void>(admission::parseRequestBody(deep)); }) == core::Reason::MalformedBody));
}

BOOST_AUTO_TEST_CASE(bytes_are_allocated_until_destruction)
{
    admission::ByteBudget budget(100);
    auto first = budget.allocate(60);
    BOOST_TEST(static_cast<bool>(first));
    BOOST_TEST(!static_cast<bool>(budget.allocate(41)));
    {
        const auto moved = std::move(first);
        BOOST_TEST(budget.used() == 60);
    }
    BOOST_TEST(budget.used() == 0);
}

BOOST_AUTO_TEST_CASE(a_prompt_needs_as_many_engines_as_its_memory_fills)
{
    config::Pool pool;
    pool.engineKvTokens = 400'000;
    pool.maxGroupSize = 3;
    BOOST_TEST(admission::enginesNeeded(pool, 1) == 1);
    BOOST_TEST(admission::enginesNeeded(pool, 400'001) == 2);
    BOOST_TEST(admission::enginesNeeded(pool, 1'200'000) == 3);
    BOOST_TEST((refusalOf([&] { static_cast<void>(admission::enginesNeeded(pool, 1'200'001)); })
                == core::Reason::PromptTooLong));
}

BOOST_AUTO_TEST_CASE(the_shortest_expected_wait_is_chosen)
{
    const std::vector targets{view("a", 50'000), view("b", 100), view("c", 30'000)};
    const auto choice = routing::chooseTarget({1000, true, 0}, targets, {}, {}, 0);
    BOOST_TEST(choice.chosen.value() == 1);
}

BOOST_AUTO_TEST_CASE(a_short_prompt_avoids_a_target_in_the_middle_of_a_long_one)
{
    auto busyWithLong = view("a", 0);
    busyWithLong.report.queuedTokens = 300'000;
    BOOST_TEST(routing::chooseTarget({1000, true, 0}, {busyWithLong, view("b", 1000)}, {}, {}, 0).chosen.value() == 1);
    BOOST_TEST(routing::chooseTarget({1000, true, 0}, {busyWithLong, view("b", 20'000)}, {}, {}, 0).chosen.value()
               == 0);
}

BOOST_AUTO_TEST_CASE(own_dispatches_count_before_the_next_report_shows_them)
{
    auto busy = view("a", 0);
    busy.ownPrefillTokens = 40'000;
    const auto choice = routing::chooseTarget({1000, true, 0}, {busy, view("b", 10'000)}, {}, {}, 0);
    BOOST_TEST(choice.chosen.value() == 1);
}

BOOST_AUTO_TEST_CASE(equal_targets_share_requests)
{
    const std::vector targets{view("a", 0), view("b", 0), view("c", 0)};
    std::vector<int> counts(3);
    for (std::uint64_t randomValue = 0; randomValue < 300; ++randomValue) {
        ++counts[routing::chooseTarget({1000, true, 0}, targets, {}, {}, randomValue).chosen.value()];
    }
    BOOST_TEST(counts[0] == 100);
    BOOST_TEST(counts[2] == 100);
}

BOOST_AUTO_TEST_CASE(baseline_strategies_choose_as_named)
{
    std::vector targets{view("a", 0), view("b", 0), view("c", 0)};
    targets[0].ownStreams = 4;
    targets[1].ownStreams = 2;
    targets[2].ownStreams = 9;
    routing::RouteRule rule;
    const auto choose = [&](config::RoutingStrategy strategy, std::uint64_t randomValue) {
        rule.strategy = strategy;
        return routing::chooseTarget({1000, true, 0}, targets, {}, rule, randomValue).chosen.value();
    };
    for (std::uint64_t turn = 0; turn < 6; ++turn) {
        BOOST_TEST(choose(config::RoutingStrategy::RoundRobin, turn) == turn % 3);
        BOOST_TEST(choose(config::RoutingStrategy::LeastOutstanding, turn) == 1);
    }
    BOOST_TEST(choose(config::RoutingStrategy::PowerOfTwo, 0 + 3 * 2) == 0);
    BOOST_TEST(choose(config::RoutingStrategy::PowerOfTwo, 2 + 3 * 2) == 2);
}

BOOST_AUTO_TEST_CASE(draining_ejected_and_tried_targets_are_skipped)
{
    auto draining = view("a", 0);
    draining.report.condition = targets::TargetCondition::Draining;
    auto ejected = view("b", 0);
    ejected.ejected = true;
    const std::vector targets{draining, ejected, view("c", 0), view("d", 90'000)};
    BOOST_TEST(routing::chooseTarget({1, true, 0}, targets, {"c"}, {}, 0).chosen.value() == 3);
    BOOST_TEST(!routing::chooseTarget({1, true, 0}, {draining}, {}, {}, 0).chosen.has_value());
    BOOST_TEST(routing::chooseTarget({1, true, 0}, {view("c", 0)}, {"c"}, {}, 0).chosen.value() == 0);
}

BOOST_AUTO_TEST_CASE(an_ejected_target_is_chosen_if_there_is_no_other)
{
    auto ejected = view("a", 0);
    ejected.ejected = true;
    auto draining = view("b", 0);
    draining.report.condition = targets::TargetCondition::Draining;
    BOOST_TEST(routing::chooseTarget({1, true, 0}, {ejected, draining}, {}, {}, 0).chosen.value() == 0);
}

// Guards against ignoring a target's Retry-After: the time was decoded and passed to the caller, but the choice of a
// target did not use it, so the next request went to the same target.
BOOST_AUTO_TEST_CASE(a_target_that_requested_a_cooldown_is_skipped_until_it_ends_even_without_another)
{
    config::Configuration configuration;
    config::Pool pool;
    pool.name = "chat";
    pool.targets.push_back({"a", {"127.0.0.1", 1}, "home"});
    configuration.pools.push_back(pool);
    targets::TargetTable table;
    table.configure(configuration);
    const auto chosen = [&](core::Time now) {
        return routing::chooseTarget({1, true, 0}, table.views(pool.targets, now), {}, {}, 0).chosen.has_value();
    };
    const auto start = absl::FromUnixSeconds(1000);
    BOOST_TEST(chosen(start));
    table.recordCooldown("a", absl::Seconds(3), start);
    table.recordCooldown("a", absl::Seconds(1), start); // A shorter cooldown does not replace a longer one.
    BOOST_TEST(!chosen(start + absl::Milliseconds(2999)));
    BOOST_TEST(chosen(start + absl::Seconds(3)));
    table.recordCooldown("a", absl::Hours(24), start + absl::Seconds(3));
    BOOST_TEST(!chosen(start + absl::Minutes(4)));
    BOOST_TEST(chosen(start + absl::Minutes(6)));
}

BOOST_AUTO_TEST_CASE(a_request_stays_in_the_local_domain_unless_it_is_busy_or_unreachable)
{
    const auto at = [](targets::TargetView target, const std::string &domain, core::Duration age) {
        target.failureDomain = domain;
        target.reportAge = age;
        return target;
    };
    const auto fresh = absl::Seconds(1);
    const auto near = at(view("near", 1000), "home", fresh);
    const auto busy = at(view("near", 90'000), "home", fresh);
    const auto far = at(view("far", 0), "away", fresh);
    const auto silent = at(view("far", 0), "away", absl::Minutes(5));
    auto gone = near;
    gone.report.condition = targets::TargetCondition::Unreachable;
    const auto choose = [](const std::vector<targets::TargetView> &targets) {
        return routing::chooseAcrossDomains({1000, true, 0}, targets, "home", {}, {}, 0).chosen.value();
    };
    BOOST_TEST(choose({near, far}) == 0);
    BOOST_TEST(choose({busy, far}) == 1);
    BOOST_TEST(choose({busy, silent}) == 0);
    BOOST_TEST(choose({gone, far}) == 1);
    BOOST_TEST(choose({gone, silent}) == 1);
}

BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_is_not_sent_again_unless_it_may_be)
{
    const dispatch::AttemptResult end{core::Outcome::MayHaveRun, core::Reason::StreamInterrupted};
    const dispatch::RetryState notRepeatable{false, 1, Start + absl::Seconds(10)};
    const dispatch::RetryState repeatable{true, 1, Start + absl::Seconds(10)};
    BOOST_TEST(!dispatch::decideRetry(notRepeatable, end, {}, 0, Start).retry);
    BOOST_TEST((dispatch::decideRetry(notRepeatable, end, {}, 0, Start).refusalReason == core::Reason::NotRepeatable));
    BOOST_TEST(dispatch::decideRetry(repeatable, end, {}, 0, Start).retry);
}

BOOST_AUTO_TEST_CASE(no_retry_exceeds_the_deadline_or_the_maximum_attempts)
{
    const dispatch::AttemptResult end{core::Outcome::NotRun, core::Reason::ConnectFailed};
    BOOST_TEST(!dispatch::decideRetry({true, 1, Start}, end, {}, 0, Start).retry);
    BOOST_TEST(!dispatch::decideRetry({true, 4, Start + absl::Seconds(10)}, end, {}, 0, Start).retry);
}

BOOST_AUTO_TEST_CASE(a_spent_budget_refuses_retries)
{
    dispatch::RetryBudget budget(0.5, 2);
    BOOST_TEST(budget.withdraw());
    BOOST_TEST(budget.withdraw());
    BOOST_TEST(!budget.withdraw());
    budget.deposit();
    BOOST_TEST(!budget.withdraw());
    budget.deposit();
    BOOST_TEST(budget.withdraw());
}

BOOST_AUTO_TEST_CASE(events_are_parsed_from_any_split_of_the_bytes)
{
    const std::string text = ": note\n\nid: 3\ndata: a\n\nevent: finish\nid: 4\ndata: {}\n\n";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        dispatch::SseParser parser;
        std::vector<dispatch::SseEvent> events;
        for (const auto &part : {text.substr(0, cut), text.substr(cut)}) {
            parser.feed(part);
            while (auto event = parser.next()) {
                events.push_back(*event);
            }
        }
        BOOST_REQUIRE(events.size() == 2);
        BOOST_TEST(events[0].id == "3");
        BOOST_TEST(events[1].name == "finish");
    }
}

BOOST_AUTO_TEST_CASE(an_organisation_gets_its_rate_divided_by_the_daemons)
{
    limits::OrganisationLimiter limiter;
    limiter.setDaemonCount(4);
    config::Organisation organisation;
    organisation.name = "o";
    organisation.maxRequestsPerSecond = 40;
    int accepted = 0;
    for (int ms = 0; ms < 10'000; ms += 10) {
        accepted += refusalOf([&] {
                        static_cast<void>(limiter.admit(organisation, 1, false, Start + absl::Milliseconds(ms)));
                    })
                == core::Reason::None
            ? 1
            : 0;
    }
    BOOST_TEST(accepted >= 100);
    BOOST_TEST(accepted <= 111);
}

BOOST_AUTO_TEST_CASE(a_long_prompt_releases_its_slot)
{
    limits::OrganisationLimiter limiter;
    config::Organisation organisation;
    organisation.name = "o";
    organisation.maxConcurrentLongPrompts = 1;
    {
        const auto slot = limiter.admit(organisation, 1, true, Start);
        BOOST_TEST((refusalOf([&] { static_cast<void>(limiter.admit(organisation, 1, true, Start)); })
                    == core::Reason::LongPrompts));
    }
    BOOST_TEST(
        (refusalOf([&] { static_cast<void>(limiter.admit(organisation, 1, true, Start)); }) == core::Reason::None));
}

BOOST_AUTO_TEST_SUITE_END()
