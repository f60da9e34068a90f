//----------------------------------------------------------------------------------------------------------------------
// spurlug: observed speed of the targets of a service, compared with each other
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/target_speed.h"

#include "spurlug/core/log.h"
#include "spurlug/relay/context.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <vector>

namespace spurlug::relay
{

namespace
{

/// Targets are compared this often; a median of some thousand targets takes some tens of us.
constexpr auto ComparisonInterval = absl::Milliseconds(200);
constexpr std::size_t MinKnownTargets = 3; // Of fewer, a single slow one would be the median target.
constexpr double SlowRatio = 2; // By the median target.
constexpr double NormalRatio = 1.5; // Lower than SlowRatio, so that a target near it is not logged again and again.
/// Connections and scheduling take some ms, which would be taken for the engine's time.
constexpr auto MinPublishedTtft = absl::Milliseconds(20);
constexpr int MinPasses = 3;
constexpr double MinGapShare = 0.25; // Of a pass.
constexpr double MeanWeight = 0.02; // Of the newest answer time; the last fifty count.
constexpr int MinMeanSamples = 20;

void logChange(Target &target, double ratio)
{
    const bool isSlow = ratio > (target.reportedSlow ? NormalRatio : SlowRatio);
    if (isSlow == target.reportedSlow) {
        return;
    }
    target.reportedSlow = isSlow;
    core::log(core::LogLevel::Info, isSlow ? "target_slow" : "target_normal",
              {{"target", target.entry.id}, {"ratio", ratio}, {"samples", target.speed.samples()}});
}

} // namespace

void GapMeter::add(core::Duration gap, core::Duration pass) noexcept
{
    if (gap >= pass * MinGapShare) {
        m_sum += gap;
        ++m_count;
    }
}

std::optional<double> GapMeter::ratio(core::Duration pass) const noexcept
{
    if (m_count < MinPasses || pass <= absl::ZeroDuration()) {
        return std::nullopt;
    }
    return absl::FDivDuration(m_sum, pass * m_count);
}

std::optional<double> firstEventRatio(core::Duration observed, const PublishedTimes &published) noexcept
{
    return published.ttft < MinPublishedTtft ? std::nullopt
                                             : std::optional(absl::FDivDuration(observed, published.ttft));
}

std::optional<double> AnswerTimeMean::add(core::Duration time) noexcept
{
    if (time <= absl::ZeroDuration()) {
        return std::nullopt;
    }
    const auto logMs = std::log(absl::ToDoubleMilliseconds(time));
    const auto known = m_logMs;
    ++m_samples;
    m_logMs += (logMs - known) * std::max(MeanWeight, 1.0 / m_samples);
    return m_samples <= MinMeanSamples ? std::nullopt : std::optional(std::exp(logMs - known));
}

void applySpeedSamples(RelayContext &context, Target &target, const SpeedSamples &samples, core::Time now)
{
    if (!context.features().targetFeedback || (!samples.first && !samples.gap)) {
        return;
    }
    const bool firstValid = !samples.first || target.speed.addFirst(*samples.first, now);
    const bool gapValid = !samples.gap || target.speed.addGap(*samples.gap, now);
    if (!firstValid || !gapValid) {
        context.metrics.count(metrics::Counter::SpeedSamplesDropped);
    }
    static_cast<void>(serviceSpeed(context, target.entry.service, now));
}

const ServiceSpeed &serviceSpeed(RelayContext &context, const std::string &service, core::Time now)
{
    auto &known = context.speeds[service];
    if (now - known.computedAt < ComparisonInterval) {
        return known;
    }
    const auto targets = context.targets.availableTargets(service, now);
    std::vector<double> ratios;
    for (const auto &target : targets) {
        if (target->speed.isKnown(now)) {
            ratios.push_back(target->speed.ratio(now));
        }
    }
    known = {1, now, 0};
    if (ratios.size() >= MinKnownTargets) {
        const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
        std::nth_element(ratios.begin(), middle, ratios.end());
        known.median = std::max(*middle, 1.0);
    }
    for (const auto &target : targets) {
        logChange(*target, target->speed.isKnown(now) ? target->speed.ratio(now) / known.median : 1);
        known.slowTargets += target->reportedSlow ? 1 : 0;
    }
    std::int64_t slowTargets = 0;
    for (const auto &[name, speed] : context.speeds) {
        slowTargets += speed.slowTargets;
    }
    context.metrics.setGauge("slow_targets", static_cast<double>(slowTargets));
    return known;
}

} // namespace spurlug::relay
