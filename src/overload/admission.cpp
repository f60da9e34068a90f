//----------------------------------------------------------------------------------------------------------------------
// spurlug: admission of waiting prompts by the predicted time of their first event
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/overload/admission.h"

#include <algorithm>
#include <cmath>

namespace spurlug::overload
{

namespace
{

/// Weight of the assumed drain rate, as if it had been measured for this long.
constexpr double InitialSeconds = 0.5;
/// The arrival rate is used only after this share of the averaging time: a shorter measurement may consist of one group
/// of arrivals, and prompts would be refused for it.
constexpr double MinHistoryShare = 0.5;
/// A measurement is discarded after this long without waiting prompts; the engines and prompts may have changed.
constexpr auto MaxIdle = absl::Seconds(10);
constexpr double ExcessStep = 0.1; ///< Weight of one grant in the average of the excess.
/// Maximum share of the objective that the excess may take, so that slow engines make not every prompt late.
constexpr double MaxExcessShare = 0.5;

} // namespace

Admission::Admission(double initialDrainPerSecond, double lateShare, core::Duration averagingTime)
    : m_initialDrainPerSecond(std::max(initialDrainPerSecond, 0.0))
    , m_lateShare(std::max(lateShare, MinLateShare))
    , m_averagingSeconds(absl::ToDoubleSeconds(averagingTime))
    , m_measurement(initialMeasurement())
{ }

Admission::Measurement Admission::initialMeasurement() const
{
    Measurement measurement;
    if (m_initialDrainPerSecond > 0) {
        measurement.seconds = InitialSeconds;
        measurement.granted = m_initialDrainPerSecond * InitialSeconds;
    }
    return measurement;
}

Admission::Measurement Admission::advanced(core::Time now) const
{
    auto measurement = m_measurement;
    if (now <= measurement.updatedAt) {
        return measurement;
    }
    const auto elapsed = now - measurement.updatedAt;
    if (!measurement.waiting) {
        if (elapsed > MaxIdle) {
            measurement = initialMeasurement();
        }
        measurement.updatedAt = now;
        return measurement;
    }
    measurement.updatedAt = now;
    const auto seconds = absl::ToDoubleSeconds(elapsed);
    const auto decay = std::exp(-seconds / m_averagingSeconds);
    measurement.seconds = measurement.seconds * decay + m_averagingSeconds * (1 - decay);
    measurement.granted *= decay;
    measurement.arrived *= decay;
    measurement.history += seconds;
    return measurement;
}

void Admission::setWaiting(bool waiting, core::Time now)
{
    m_measurement = advanced(now);
    m_measurement.waiting = waiting;
}

void Admission::noteArrival(double work, core::Time now)
{
    m_measurement = advanced(now);
    m_measurement.arrived += m_measurement.waiting ? work : 0;
}

void Admission::noteGrant(double work, core::Duration excessTtft, core::Time now)
{
    m_measurement = advanced(now);
    if (!m_measurement.waiting) {
        return;
    }
    m_measurement.granted += work;
    m_excessMs += (std::max(absl::ToDoubleMilliseconds(excessTtft), 0.0) - m_excessMs) * ExcessStep;
}

double Admission::drainPerSecond(core::Time now) const
{
    const auto measurement = advanced(now);
    return measurement.seconds > 0 ? measurement.granted / measurement.seconds : 0;
}

double Admission::arrivalPerSecond(core::Time now) const
{
    const auto measurement = advanced(now);
    return measurement.seconds > 0 ? measurement.arrived / measurement.seconds : 0;
}

double Admission::rateForLate(const Measurement &measurement) const
{
    const auto drain = measurement.granted / measurement.seconds;
    if (measurement.history < m_averagingSeconds * MinHistoryShare) {
        return drain;
    }
    return std::max(drain - measurement.arrived / measurement.seconds, drain * m_lateShare);
}

Prediction Admission::predict(const WaitingPrompt &prompt, const WorkAhead &ahead, core::Time now) const
{
    const auto measurement = advanced(now);
    if (measurement.seconds <= 0 || measurement.granted <= 0) {
        return {}; // In doubt it waits.
    }
    const auto wait = absl::Seconds(ahead.inTime * measurement.seconds / measurement.granted);
    if (canBeInTime(prompt, wait, now)) {
        return {Verdict::InTime, wait};
    }
    const auto lateWait = absl::Seconds((ahead.inTime + ahead.late) / rateForLate(measurement));
    const bool leavesBefore = now + lateWait + prompt.leastTtft > prompt.leavesAt;
    return {leavesBefore ? Verdict::Refuse : Verdict::Late, lateWait};
}

bool Admission::canBeInTime(const WaitingPrompt &prompt, core::Duration wait, core::Time now) const
{
    const auto excess = std::min(core::Duration(absl::Milliseconds(m_excessMs)), prompt.ttftObjective * MaxExcessShare);
    return now + wait + prompt.leastTtft + excess <= prompt.arrivedAt + prompt.ttftObjective;
}

} // namespace spurlug::overload
