//----------------------------------------------------------------------------------------------------------------------
// spurlug: which suspects explain the crashes of targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/relay/crash_suspect.h"

#include <set>
#include <vector>

namespace spurlug::relay
{

/// \brief A suspect with enough crashes for a quarantine.
struct AttributionCandidate
{
    const CrashSuspect *suspect = nullptr;
    bool everSucceeded = false; ///< Whether such a request is known to have gone well at any time.
};

/// \brief Chooses the suspects that are to be quarantined.
///
/// A crash counts against everything that ran on the target, most of it harmless. What causes the crashes is there each
/// time; what runs beside it is there for some of them only. Candidates are therefore considered in the order of their
/// crashes, and one whose crashes are all explained by others before it is spared. Among those with as many crashes,
/// what never succeeded comes before what did, and single contents before parts, which affect more requests. Candidates
/// that cannot be told apart are all chosen.
///
/// The result depends on the facts only, so that daemons that know the same choose the same.
[[nodiscard]] std::set<core::Digest> attributeCrashes(std::vector<AttributionCandidate> candidates);

} // namespace spurlug::relay
