//----------------------------------------------------------------------------------------------------------------------
// spurlug: admission by a daemon that decides without a scheduler
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/overload/local_admission.h"

#include <algorithm>

namespace spurlug::overload
{

namespace
{

/// Time without requests that a bucket makes up for. After a quiet time the fleet admits the requests of this time at
/// once, and then the drain rate. A whole second would allow twice the capacity in the next one, and more because the
/// phases of the daemons are not evenly distributed (211 requests in 1.01 s at 100 a second).
constexpr auto BucketTime = absl::Milliseconds(800);

/// Whether a view limits the requests of a kind.
bool isLimited(Kind kind, const std::optional<LoadView> &view) noexcept
{
    if (!view || view->daemons == 0) {
        return false;
    }
    const auto &load = view->kinds[static_cast<std::size_t>(kind)];
    return load.waiting > 0 && load.drainPerSecond > 0;
}

} // namespace

LocalAdmission::LocalAdmission(double phase) noexcept
    : m_phase(std::clamp(phase, 0.0, 1.0))
{ }

bool LocalAdmission::mayAdmit(Kind kind, double cost, const std::optional<LoadView> &view, core::Time now)
{
    if (!isLimited(kind, view)) {
        return true;
    }
    const auto index = static_cast<std::size_t>(kind);
    const auto rate = view->kinds[index].drainPerSecond / view->daemons;
    const auto capacity = rate * absl::ToDoubleSeconds(BucketTime);
    auto &bucket = m_buckets[index];
    if (bucket.checkedAt == absl::InfinitePast()) {
        bucket = {-m_phase * cost, now};
    }
    const auto elapsed = std::max(now - bucket.checkedAt, absl::ZeroDuration());
    const auto credit = rate * absl::ToDoubleSeconds(std::min(elapsed, core::Duration(BucketTime)));
    // Any time reduces the debt of a large prompt to about that of this request; the phase keeps the daemons apart.
    const auto repaid = std::min(bucket.level + rate * absl::ToDoubleSeconds(elapsed), -(1 + m_phase) * cost);
    bucket.level = std::min(std::max(bucket.level + credit, repaid), capacity);
    bucket.checkedAt = std::max(bucket.checkedAt, now);
    return bucket.level > 0;
}

void LocalAdmission::noteAdmitted(Kind kind, double cost, const std::optional<LoadView> &view)
{
    if (isLimited(kind, view)) { // Requests that nothing waits behind must not use up what is needed later.
        m_buckets[static_cast<std::size_t>(kind)].level -= cost;
    }
}

} // namespace spurlug::overload
