//----------------------------------------------------------------------------------------------------------------------
// spurlug: which suspects explain the crashes of targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/crash_attribution.h"

#include <algorithm>
#include <tuple>

namespace spurlug::relay
{

namespace
{

/// Candidates of lower rank come first.
std::tuple<std::ptrdiff_t, bool, SuspectKind> rankOf(const AttributionCandidate &candidate)
{
    const auto &suspect = *candidate.suspect;
    return {-std::ssize(suspect.crashes), candidate.everSucceeded, suspect.kind};
}

bool isExplained(const AttributionCandidate &candidate, const std::set<std::uint32_t> &explainedTargets)
{
    const auto &crashes = candidate.suspect->crashes;
    const auto unexplained
        = static_cast<std::size_t>(std::count_if(crashes.begin(), crashes.end(), [&](const TargetCrash &crash) {
              return !explainedTargets.contains(crash.target);
          }));
    // What never succeeded is spared only if nothing speaks against it: if it was the cause, targets would go on to
    // crash.
    return candidate.everSucceeded ? unexplained < crashesToQuarantine(candidate.suspect->kind) : unexplained == 0;
}

} // namespace

std::set<core::Digest> attributeCrashes(std::vector<AttributionCandidate> candidates)
{
    std::sort(candidates.begin(), candidates.end(),
              [](const auto &left, const auto &right) { return rankOf(left) < rankOf(right); });
    std::set<core::Digest> quarantined;
    std::set<std::uint32_t> explainedTargets;
    for (auto group = candidates.begin(); group != candidates.end();) {
        const auto rank = rankOf(*group);
        const auto groupEnd
            = std::find_if(group, candidates.end(), [&](const auto &candidate) { return rankOf(candidate) != rank; });
        const auto firstSpared = std::partition(
            group, groupEnd, [&](const auto &candidate) { return !isExplained(candidate, explainedTargets); });
        for (auto chosen = group; chosen != firstSpared; ++chosen) {
            quarantined.insert(chosen->suspect->digest);
            for (const auto &crash : chosen->suspect->crashes) {
                explainedTargets.insert(crash.target);
            }
        }
        group = groupEnd;
    }
    return quarantined;
}

} // namespace spurlug::relay
