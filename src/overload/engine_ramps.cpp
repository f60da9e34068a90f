//----------------------------------------------------------------------------------------------------------------------
// spurlug: gradual use of the engines of a failure domain that returns
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/overload/engine_ramps.h"

#include <algorithm>

namespace spurlug::overload
{

namespace
{

constexpr auto RampTime = absl::Seconds(2);
/// A ramp starts if at least this part of the available engines, and one at least, is new: one engine of many that
/// restarts or ends its ejection doesn't move the load of its domain.
constexpr double MinNewShare = 0.25;

} // namespace

std::size_t EngineRamps::update(const EngineCounts &available, core::Time now)
{
    const bool isFirst = m_updatedAt == absl::InfinitePast();
    const auto progress = isFirst ? 0 : absl::FDivDuration(now - m_updatedAt, RampTime);
    m_updatedAt = now;
    for (const auto &[domain, count] : available) {
        m_domains.try_emplace(domain, Domain{isFirst ? count : 0, isFirst ? static_cast<double>(count) : 0.0, false});
    }
    std::size_t begun = 0;
    for (auto &[domain, state] : m_domains) {
        // Growth since the last update concerns the engines that were available then.
        const auto before = static_cast<double>(state.available);
        state.allowed = std::min(state.allowed + std::max(before - 1, 1.0) * progress, before);
        const auto found = available.find(domain);
        state.available = found == available.end() ? 0 : found->second;
        const auto count = static_cast<double>(state.available);
        state.allowed = std::clamp(state.allowed, std::min(1.0, count), count);
        const auto missing = count - state.allowed;
        const bool starts = !state.isRamping && missing >= std::max(1.0, count * MinNewShare);
        begun += starts ? 1 : 0;
        state.isRamping = starts || (state.isRamping && missing > 0);
    }
    return begun;
}

EngineCounts EngineRamps::limits() const
{
    EngineCounts counts;
    for (const auto &[domain, state] : m_domains) {
        if (state.isRamping) {
            counts[domain] = static_cast<std::size_t>(state.allowed);
        }
    }
    return counts;
}

} // namespace spurlug::overload
