//----------------------------------------------------------------------------------------------------------------------
// spurlug: admission of waiting prompts by the predicted time of their first event
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

namespace spurlug::overload
{

/// \brief What admission decides about a prompt that finds no free engine.
enum class Verdict
{
    InTime, ///< Waits; its first event can meet the objective.
    Late, ///< Waits behind all that can be in time; its first event comes before its caller leaves.
    Refuse, ///< Its first event would come after its caller has left.
};

/// \brief A waiting prompt, as far as admission depends on it.
struct WaitingPrompt
{
    core::Time arrivedAt; ///< When the request arrived at its daemon.
    core::Time leavesAt = absl::InfiniteFuture(); ///< When its caller gives up, or its deadline if that is earlier.
    core::Duration ttftObjective = absl::ZeroDuration(); ///< Counted from `arrivedAt`.
    core::Duration leastTtft = absl::ZeroDuration(); ///< Time to its first event on free engines.
};

/// \brief Work that is placed before a prompt: requests (short gaps) or engine ms of prefill (long gaps).
struct WorkAhead
{
    double inTime = 0; ///< Of prompts that can be in time.
    double late = 0; ///< Of prompts that will be late.
};

/// \brief Result of a prediction.
struct Prediction
{
    Verdict verdict = Verdict::InTime;
    core::Duration wait = absl::ZeroDuration(); ///< Until the prompt gets its engines; infinite if it never does.
};

/// \brief Predicts when waiting prompts of one service and kind get their engines.
///
/// Measures the rates at which work is granted and at which work that can be in time arrives, each as a moving average
/// over 2 s that advances only while something waits: grants that nobody waited for say nothing about the capacity.
/// Without a known drain rate, nothing is late and nothing is refused.
class Admission
{
public:
    /// Least share of the drain rate that is expected to be left to late prompts. Bounds predictions; the capacity is
    /// never used completely by the prompts that are in time.
    static constexpr double MinLateShare = 0.02;

    /// \param initialDrainPerSecond Assumed until the first measurement, work/s; 0 if it is not known.
    /// \param lateShare Share of the grants that late prompts get in any case; `MinLateShare` if it is less.
    /// \param averagingTime Over which the rates are averaged. The default is about the time in which the answers of
    /// all slots end once.
    explicit Admission(double initialDrainPerSecond, double lateShare = MinLateShare,
                       core::Duration averagingTime = absl::Seconds(2));

    /// \name Commands
    /// @{

    /// \brief Notes whether any prompt waits from now on.
    void setWaiting(bool waiting, core::Time now);
    /// \brief Notes the arrival of work that can be in time.
    void noteArrival(double work, core::Time now);
    /// \brief Notes that work was granted.
    /// \param excessTtft By how much the expected time to the first event exceeds that on free engines.
    void noteGrant(double work, core::Duration excessTtft, core::Time now);

    /// @}
    /// \name Queries
    /// @{

    /// \brief Rate at which work is granted while something waits, work/s; 0 if it is not known.
    [[nodiscard]] double drainPerSecond(core::Time now) const;
    /// \brief Arrival rate of work that can be in time, work/s.
    [[nodiscard]] double arrivalPerSecond(core::Time now) const;
    /// \brief Decides about a prompt with this work ahead of it.
    [[nodiscard]] Prediction predict(const WaitingPrompt &prompt, const WorkAhead &ahead, core::Time now) const;
    /// \brief Whether the first event of a prompt that gets its engines after `wait` meets the objective.
    [[nodiscard]] bool canBeInTime(const WaitingPrompt &prompt, core::Duration wait, core::Time now) const;

    /// @}

private:
    /// Moving sums over the time in which something waited.
    struct Measurement
    {
        core::Time updatedAt = absl::InfinitePast();
        bool waiting = false;
        double seconds = 0; ///< Time that the sums cover, s; at most the averaging time.
        double granted = 0; ///< Work.
        double arrived = 0; ///< Work.
        double history = 0; ///< Measured time since the last reset, s.
    };

    /// The measurement as of `now`.
    [[nodiscard]] Measurement advanced(core::Time now) const;
    [[nodiscard]] Measurement initialMeasurement() const;
    /// Drain rate that the arrivals that can be in time leave to late prompts, work/s.
    [[nodiscard]] double rateForLate(const Measurement &measurement) const;

    const double m_initialDrainPerSecond;
    const double m_lateShare;
    const double m_averagingSeconds;
    Measurement m_measurement;
    double m_excessMs = 0; ///< Moving average of the excess of granted prompts.
};

} // namespace spurlug::overload
