//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the observed speed of targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_state.h"

#include "spurlug/control/messages.h"
#include "spurlug/core/text.h"
#include "spurlug/relay/request_progress.h"
#include "spurlug/relay/target_choice.h"
#include "spurlug/relay/target_speed.h"
#include "spurlug/targets/observed_speed.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <memory>
#include <vector>

namespace
{

using namespace spurlug;
using namespace spurlug::relay;
using namespace spurlug::test;

/// A daemon with six engines.
struct SpeedState : RelayState
{
    explicit SpeedState(settings::FeatureMode mode = settings::FeatureMode::On)
    {
        settings.overload.targetFeedback = mode;
        context.random.seed(7);
        context.activateConfiguration(chatTable(), "{}", "test", at(0));
        for (int i = 0; i < Engines; ++i) {
            context.targets.put(entry(core::cat("e", i)));
        }
    }

    [[nodiscard]] Target &engine(int number) const
    {
        return *context.targets.find(core::cat("e", number));
    }

    /// Adds eight samples in two seconds.
    void observe(int engineNumber, double ratio, std::int64_t fromMs)
    {
        for (std::int64_t i = 0; i < 8; ++i) {
            applySpeedSamples(context, engine(engineNumber), {ratio, ratio}, at(fromMs + i * 250));
        }
    }

    [[nodiscard]] double slowTargets()
    {
        return static_cast<double>(serviceSpeed(context, "model", at(60'000)).slowTargets);
    }

    static constexpr int Engines = 6;
};

/// Sends a short prompt each `stepMs` for 20 s to engines of which some are slow, and reports what they show.
/// Returns how many requests each engine got in the second half.
std::vector<int> requestsByEngine(SpeedState &state, const std::vector<double> &slowness, std::int64_t stepMs)
{
    struct Run
    {
        ChosenTargets chosen;
        std::unique_ptr<LocalWork> work;
        std::int64_t endMs;
        double ratio;
    };
    std::vector<Run> runs;
    std::vector<int> requests(slowness.size());
    TargetQuery query;
    query.service = "model";
    query.prompt = promptRequest(4'000);
    for (std::int64_t ms = 0; ms < 20'000; ms += stepMs) {
        std::erase_if(runs, [&](const Run &run) {
            if (run.endMs <= ms) {
                applySpeedSamples(state.context, *run.chosen.target, {run.ratio, run.ratio}, at(ms));
            }
            return run.endMs <= ms;
        });
        const auto chosen = chooseTargets(state.context, query, at(ms));
        if (!chosen) {
            continue;
        }
        const auto number = static_cast<std::size_t>(chosen->target->entry.id[1] - '0');
        requests[number] += ms >= 10'000 ? 1 : 0;
        auto work = std::make_unique<LocalWork>(chosen->target, LocalWork::Kind::Request,
                                                addedWork(*chosen, query.prompt->prompt).back().second, at(ms),
                                                at(ms) + chosen->expectedTtft, true);
        runs.push_back(
            {*chosen, std::move(work), ms + static_cast<std::int64_t>(400 * slowness[number]), slowness[number]});
    }
    return requests;
}

} // namespace

BOOST_AUTO_TEST_SUITE(observed_speed)

// Guards against a target that loses its share of the requests by one slow answer.
BOOST_AUTO_TEST_CASE(one_slow_answer_changes_the_ratio_by_a_quarter_and_eight_show_it)
{
    targets::ObservedSpeed speed;
    BOOST_TEST(speed.ratio(at(0)) == 1);
    BOOST_TEST(speed.addFirst(500, at(0)));
    BOOST_TEST(speed.ratio(at(0)) <= 1.25 + 1e-9);
    targets::ObservedSpeed slow;
    for (std::int64_t i = 0; i < 8; ++i) {
        slow.addFirst(5, at(i * 1000));
    }
    BOOST_TEST(slow.ratio(at(7000)) >= 4);
    BOOST_TEST(slow.ratio(at(7000)) <= 6);
}

// Guards against a target that is taken for slow after it has recovered, with and without requests.
BOOST_AUTO_TEST_CASE(a_target_recovers_by_samples_and_by_time)
{
    targets::ObservedSpeed speed;
    for (std::int64_t i = 0; i < 30; ++i) {
        speed.addGap(5, at(i * 100));
    }
    const auto known = speed.ratio(at(2900));
    BOOST_TEST(std::abs(known - 5) < 0.2);
    BOOST_TEST(std::abs(speed.ratio(at(12'900)) - std::sqrt(known)) < 0.01);
    BOOST_TEST(!speed.isStale(at(7900)));
    BOOST_TEST(speed.isStale(at(7901)));
    for (std::int64_t i = 0; i < 10; ++i) {
        speed.addGap(1, at(3000 + i * 100));
    }
    BOOST_TEST(speed.ratio(at(3900)) < 1.25);
}

// Guards against reports that are wrong, by mistake or on purpose.
BOOST_AUTO_TEST_CASE(impossible_values_change_nothing_and_are_counted)
{
    SpeedState state;
    for (const auto ratio :
         {-1.0, 0.0, 1001.0, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN()}) {
        applySpeedSamples(state.context, state.engine(0), {ratio, std::nullopt}, at(0));
    }
    BOOST_TEST(state.engine(0).speed.samples() == 0);
    BOOST_TEST(state.metrics.value(metrics::Counter::SpeedSamplesDropped) == 5);
    state.observe(0, 900, 0);
    BOOST_TEST(state.engine(0).speed.ratio(at(2000)) <= 16);
}

// Guards against a new process that inherits the speed of the one before.
BOOST_AUTO_TEST_CASE(a_new_incarnation_starts_as_published)
{
    SpeedState state;
    state.observe(0, 5, 0);
    auto restarted = state.engine(0).entry;
    restarted.startMs = 1;
    state.context.targets.put(restarted);
    BOOST_TEST(state.engine(0).speed.ratio(at(2000)) == 1);
}

// Guards against published costs that are off, which would make all targets look slow.
BOOST_AUTO_TEST_CASE(targets_are_compared_with_the_median_of_their_service)
{
    SpeedState state;
    for (int i = 0; i < SpeedState::Engines; ++i) {
        state.observe(i, 2, 0);
    }
    const auto &allSlow = serviceSpeed(state.context, "model", at(2500));
    BOOST_TEST(std::abs(allSlow.median - 2) < 0.2);
    BOOST_TEST(allSlow.slowTargets == 0);

    SpeedState third;
    for (int i = 0; i < SpeedState::Engines; ++i) {
        third.observe(i, i < 2 ? 5 : 1, 0);
    }
    const auto &speed = serviceSpeed(third.context, "model", at(2500));
    BOOST_TEST(std::abs(speed.median - 1) < 0.1);
    BOOST_TEST(speed.slowTargets == 2);
    BOOST_TEST(third.engine(0).reportedSlow);
    BOOST_TEST(third.slowTargets() == 0); // After a minute without samples all are normal again.
}

// Guards against gaps within a batch pass, and times of the network, that are taken for the engine's.
BOOST_AUTO_TEST_CASE(samples_compare_passes_and_answers_with_what_is_published)
{
    GapMeter gaps;
    for (int i = 0; i < 4; ++i) {
        gaps.add(absl::Microseconds(100), absl::Milliseconds(40));
        gaps.add(absl::Milliseconds(80), absl::Milliseconds(40));
    }
    BOOST_TEST(gaps.ratio(absl::Milliseconds(40)).value_or(0) == 2);
    BOOST_TEST(!gaps.ratio(absl::ZeroDuration()).has_value());
    BOOST_TEST(!firstEventRatio(absl::Milliseconds(30), {absl::Milliseconds(5), {}}).has_value());
    BOOST_TEST(firstEventRatio(absl::Milliseconds(300), {absl::Milliseconds(100), {}}).value_or(0) == 3);
    AnswerTimeMean mean;
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(!mean.add(absl::Milliseconds(10)).has_value());
    }
    BOOST_TEST(std::abs(mean.add(absl::Milliseconds(50)).value_or(0) - 5) < 0.01);
}

// Guards against equal shares for engines of which a third are five times slower, and against slow ones that idle.
BOOST_AUTO_TEST_CASE(slow_engines_get_a_smaller_share_and_not_none)
{
    SpeedState state;
    SpeedState withoutFeature(settings::FeatureMode::Off);
    const auto slowRequests = [](SpeedState &of) {
        const auto requests = requestsByEngine(of, {5, 5, 1, 1, 1, 1}, 7);
        return requests[0] + requests[1];
    };
    const auto slow = slowRequests(state);
    BOOST_TEST(slow > 0);
    BOOST_TEST(slow * 4 < slowRequests(withoutFeature) * 3);
    BOOST_TEST(state.engine(0).reportedSlow);
}

// Guards against engines that are left out, or refused work, because all are slower than published.
BOOST_AUTO_TEST_CASE(engines_that_are_all_slower_are_used_alike_with_longer_times)
{
    SpeedState state;
    SpeedState slowState;
    const auto requests = requestsByEngine(state, {1, 1, 1, 1, 1, 1}, 20);
    const auto slowRequests = requestsByEngine(slowState, {2, 2, 2, 2, 2, 2}, 20);
    BOOST_TEST(*std::min_element(slowRequests.begin(), slowRequests.end())
               >= *std::min_element(requests.begin(), requests.end()) / 2);
    TargetQuery query;
    query.service = "model";
    query.prompt = promptRequest(4'000);
    const auto usual = chooseTargets(state.context, query, at(60'000));
    slowState.observe(0, 2, 60'000);
    for (int i = 1; i < SpeedState::Engines; ++i) {
        slowState.observe(i, 2, 60'000);
    }
    const auto slow = chooseTargets(slowState.context, query, at(62'000));
    BOOST_REQUIRE((usual && slow));
    BOOST_TEST(std::abs(absl::FDivDuration(slow->expectedTtft, usual->expectedTtft) - 2) < 0.3);
    BOOST_TEST(std::abs(absl::FDivDuration(slow->published.ttft, usual->published.ttft) - 1) < 0.1);
}

// Guards against samples of broken answers, and against blame for a target whose helper may be the slow one.
BOOST_AUTO_TEST_CASE(whole_answers_give_samples_and_the_first_event_only_without_helpers)
{
    SpeedState state;
    const auto run = [&state](int engine, std::vector<core::Ref<Target>> helpers, std::optional<TargetFault> fault) {
        RequestProgress request(state.context, shortPrompt(), at(0));
        BOOST_REQUIRE(!request.authorise(at(0)));
        static_cast<void>(request.query(at(0))); // Chooses the service.
        ChosenTargets chosen;
        chosen.target = core::Ref<Target>(&state.engine(engine));
        chosen.helpers = std::move(helpers);
        chosen.published = {absl::Milliseconds(100), absl::Milliseconds(40)};
        request.beginAttempt(chosen, "", at(0));
        for (const auto ms : {300, 420, 420, 540, 660}) {
            request.recordAnswer(at(ms));
        }
        request.endAttempt(fault ? core::Outcome::MayHaveRun : core::Outcome::Completed, core::Reason::None, fault, "",
                           at(660));
        return state.engine(engine).speed.samples();
    };
    BOOST_TEST(run(0, {}, std::nullopt) == 2); // Three times the published times.
    BOOST_TEST(std::abs(state.engine(0).speed.ratio(at(660)) - 1.25) < 0.01);
    BOOST_TEST(run(1, {core::Ref<Target>(&state.engine(2))}, std::nullopt) == 1);
    BOOST_TEST(run(3, {}, TargetFault::ConnectionLost) == 0);

    control::PlacementReply sent;
    sent.published = {absl::Milliseconds(100), absl::Milliseconds(40)};
    const auto received = control::readMessage(control::writeMessage(sent));
    BOOST_REQUIRE(received.has_value());
    const auto &published = std::get<control::PlacementReply>(*received).published;
    BOOST_TEST((published.ttft == sent.published.ttft && published.pass == sent.published.pass));
}

// Guards against a target that is known to be slow for ever because it gets no requests.
BOOST_AUTO_TEST_CASE(some_requests_go_to_targets_without_recent_samples)
{
    SpeedState state;
    state.observe(0, 16, 0);
    state.observe(0, 16, 2000);
    int sampling = 0;
    for (std::int64_t ms = 9100; ms < 9900; ++ms) {
        for (int i = 1; i < SpeedState::Engines; ++i) {
            applySpeedSamples(state.context, state.engine(i), {1, std::nullopt}, at(ms));
        }
        TargetQuery query;
        query.service = "model";
        query.prompt = promptRequest(4'000);
        const auto chosen = chooseTargets(state.context, query, at(ms));
        sampling += chosen && chosen->target->entry.id == "e0" ? 1 : 0;
    }
    BOOST_TEST(sampling >= 4); // 16 in the mean.
    BOOST_TEST(sampling <= 40);
}

// Guards against requests that fill a slow target until the first of them has given a sample.
BOOST_AUTO_TEST_CASE(a_target_with_requests_is_not_sampled)
{
    SpeedState state;
    state.observe(0, 16, 0);
    state.observe(0, 16, 2000);
    std::vector<std::unique_ptr<LocalWork>> works;
    for (std::int64_t ms = 9100; ms < 9900; ++ms) {
        for (int i = 1; i < SpeedState::Engines; ++i) {
            applySpeedSamples(state.context, state.engine(i), {1, std::nullopt}, at(ms));
        }
        TargetQuery query;
        query.service = "model";
        query.prompt = promptRequest(4'000);
        const auto chosen = chooseTargets(state.context, query, at(ms));
        if (chosen && chosen->target->entry.id == "e0") {
            works.push_back(std::make_unique<LocalWork>(chosen->target, LocalWork::Kind::Request,
                                                        addedWork(*chosen, query.prompt->prompt).back().second, at(ms),
                                                        at(ms) + chosen->expectedTtft, true));
        }
    }
    BOOST_TEST(works.size() == 1U);
}

// Guards against a few targets that look slow, and others that look fast, because only the few have samples yet.
BOOST_AUTO_TEST_CASE(targets_without_samples_do_not_count_in_the_median)
{
    SpeedState state;
    state.context.targets.put(entry("e6")); // Fewer than half of the targets get samples.
    state.context.targets.put(entry("e7"));
    state.observe(0, 5, 0);
    state.observe(1, 5, 0);
    BOOST_TEST(serviceSpeed(state.context, "model", at(2500)).median == 1); // Two show nothing about the service.
    state.observe(0, 5, 3000);
    state.observe(1, 5, 3000);
    state.observe(2, 5, 3000);
    state.observe(2, 5, 5000);
    const auto &speed = serviceSpeed(state.context, "model", at(7500));
    BOOST_TEST(speed.median > 2);
    BOOST_TEST(speed.slowTargets == 0);
}

// Guards against a hung engine that is detected only after the caller has left, because it was known to be slow.
BOOST_AUTO_TEST_CASE(observed_speed_extends_silence_timeouts_up_to_a_limit)
{
    for (const auto mode : {settings::FeatureMode::Off, settings::FeatureMode::On}) {
        SpeedState state(mode);
        RequestProgress request(state.context, shortPrompt(), at(0));
        BOOST_REQUIRE(!request.authorise(at(0)));
        ChosenTargets chosen;
        chosen.target = core::Ref<Target>(&state.engine(0));
        chosen.expectedTtft = request.callerTimeout();
        const bool limited = mode == settings::FeatureMode::On;
        BOOST_TEST((request.silenceTimeout(chosen, false) < request.callerTimeout()) == limited);
        BOOST_TEST((request.silenceCheckDelay(chosen, false) < request.callerTimeout() / 2) == limited);
    }
}

// Guards against prefill that is counted in published time and ends in real time.
BOOST_AUTO_TEST_CASE(prefill_at_a_slow_engine_is_due_at_the_published_time)
{
    SpeedState state;
    RequestProgress request(state.context, shortPrompt(), at(0));
    BOOST_REQUIRE(!request.authorise(at(0)));
    static_cast<void>(request.query(at(0))); // Chooses the service.
    ChosenTargets chosen;
    chosen.target = core::Ref<Target>(&state.engine(0));
    chosen.expectedTtft = absl::Milliseconds(400);
    BOOST_TEST((chosen.publishedTtft() == chosen.expectedTtft));
    chosen.published.ttft = absl::Milliseconds(100);
    request.beginAttempt(chosen, "", at(0));
    BOOST_TEST((state.engine(0).localPrefillDueAt() == at(100)));
}

// Guards against plain targets that are used alike whatever their speed.
BOOST_AUTO_TEST_CASE(a_slow_plain_target_is_used_less)
{
    auto candidates = idleCandidates(2);
    candidates[0].isLocalDomain = true;
    candidates[1].isLocalDomain = true;
    candidates[0].speed = 4;
    candidates[0].load.requests = 2;
    candidates[1].load.requests = 4;
    BOOST_TEST(placePlain(candidates, {}, 1)->target == 1U);
    candidates[1].load.requests = 12;
    BOOST_TEST(placePlain(candidates, {}, 1)->target == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
