//----------------------------------------------------------------------------------------------------------------------
// spurlug: observed speed of the targets of a service, compared with each other
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/relay/published_times.h"
#include "spurlug/relay/target_set.h"

#include <cstdint>
#include <optional>
#include <string>

namespace spurlug::relay
{

struct RelayContext;

/// \brief Ratios of observed to expected times of one attempt; empty if not known.
struct SpeedSamples
{
    std::optional<double> first; ///< Time to the first event.
    std::optional<double> gap; ///< Time between events, or until the whole answer of a plain target.
};

/// \brief Observed speed of a service's targets.
struct ServiceSpeed
{
    /// Median ratio of the targets with recent samples, at least 1; 1 if fewer than three have some. Above 1 the
    /// published costs are off for all: nothing is slow then, but everything takes longer.
    double median = 1;
    core::Time computedAt = absl::InfinitePast();
    std::int64_t slowTargets = 0;
};

/// \brief Measures the times between the events of one answer of an engine.
class GapMeter
{
public:
    /// \brief Notes the time between two consecutive events. Events of the same batch pass come together, so only gaps
    /// of at least a quarter of a pass count.
    void add(core::Duration gap, core::Duration pass) noexcept;
    /// \brief Mean gap by the duration of a pass; empty if too few passes were seen.
    [[nodiscard]] std::optional<double> ratio(core::Duration pass) const noexcept;

private:
    core::Duration m_sum = absl::ZeroDuration();
    int m_count = 0;
};

/// \brief Ratio of the observed to the published time to the first event; empty if the published time is not known, or
/// so short that the network takes a considerable part of it.
[[nodiscard]] std::optional<double> firstEventRatio(core::Duration observed, const PublishedTimes &published) noexcept;

/// \brief Moving geometric mean of the answer times of a plain service over all its targets.
class AnswerTimeMean
{
public:
    /// \brief Adds a time.
    /// \returns Its ratio to the mean before; empty until the mean is known well enough.
    std::optional<double> add(core::Duration time) noexcept;

private:
    double m_logMs = 0;
    int m_samples = 0;
};

/// \brief Adds what an attempt showed to the target's observed speed; drops and counts impossible values. Does nothing
/// while the feature is off.
void applySpeedSamples(RelayContext &context, Target &target, const SpeedSamples &samples, core::Time now);

/// \brief The speed of a service's targets, computed anew every 200 ms. Logs targets that became slow or normal.
const ServiceSpeed &serviceSpeed(RelayContext &context, const std::string &service, core::Time now);

} // namespace spurlug::relay
