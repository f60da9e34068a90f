//----------------------------------------------------------------------------------------------------------------------
// spurlug: failure domains that the operator evacuates
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/relay/directory_position.h"

#include <set>
#include <string>
#include <string_view>

namespace spurlug::relay
{

struct RelayContext;

/// \brief Failure domains whose targets must get no new work, as of a directory position.
struct Evacuations
{
    DirectoryPosition position;
    std::set<std::string> domains;
};

/// \brief Applies the state reported by the directory or a peer unless it is older than the known one. The last known
/// state stays in force while no newer one is available.
/// \param from Source of the state, for logging.
void applyEvacuations(RelayContext &context, const Evacuations &reported, std::string_view from, core::Time now);

/// \brief Applies the list of a new directory era. Evacuations that were lost with the old era are written again; until
/// they can have been, the known ones stay in force, and the directory's next list replaces this one.
void applyRestoredEvacuations(RelayContext &context, Evacuations restored, core::Time now);

/// \brief Whether the evacuated failure domains are known, so that requests may be sent.
[[nodiscard]] bool evacuationsKnown(const RelayContext &context) noexcept;

} // namespace spurlug::relay
