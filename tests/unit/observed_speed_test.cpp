//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the observed speed of targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_state.h"

#include "spurlug/core/text.h"
#include "spurlug/relay/target_speed.h"
#include "spurlug/targets/observed_speed.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>

namespace
{

using namespace spurlug;
using namespace spurlug::relay;
using namespace spurlug::test;

/// A daemon with six engines.
struct SpeedState : RelayState
{
    SpeedState()
    {
        settings.overload.targetFeedback = settings::FeatureMode::On;
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

BOOST_AUTO_TEST_SUITE_END()
