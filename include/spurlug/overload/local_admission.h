//----------------------------------------------------------------------------------------------------------------------
// spurlug: admission by a daemon that decides without a scheduler
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/overload/load_view.h"

#include <array>
#include <optional>

namespace spurlug::overload
{

/// \brief Limits the requests that a daemon admits without a scheduler to its part of the drain rate of the fleet.
///
/// Each kind has a bucket that gains drain rate / daemons. A request is admitted while the level is positive, and its
/// whole cost is then subtracted, so that the level may become negative: in a large fleet the part of a daemon is less
/// than one request a second, and a long prompt must not wait behind small ones for ever. Time without requests counts
/// for 0.8 s at most, except that it repays the debt of a large prompt. The first level is between minus the cost of
/// the first request and 0, by the daemon's phase; otherwise all daemons would admit one request at the same time,
/// several times the capacity of the fleet.
class LocalAdmission
{
public:
    /// \param phase Of this daemon, 0 to 1, evenly distributed over the fleet.
    explicit LocalAdmission(double phase) noexcept;

    /// \brief Whether a request may be admitted now. True without a view, if the view has no drain rate, and if nothing
    /// of its kind waits: the daemon then decides by its own work alone.
    /// \param cost Of the request in units of KindLoad::drainPerSecond: 1, or engine ms of prefill.
    [[nodiscard]] bool mayAdmit(Kind kind, double cost, const std::optional<LoadView> &view, core::Time now);

    /// \brief Charges a request that was admitted after `mayAdmit` and found a target.
    void noteAdmitted(Kind kind, double cost, const std::optional<LoadView> &view);

private:
    struct Bucket
    {
        double level = 0;
        core::Time checkedAt = absl::InfinitePast();
    };

    const double m_phase;
    std::array<Bucket, KindCount> m_buckets; ///< By kind.
};

} // namespace spurlug::overload
