//----------------------------------------------------------------------------------------------------------------------
// spurlug: failure domains that the operator asks to be left alone
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

/// \brief Failure domains whose targets must get nothing new, as of a position of the directory.
struct Evacuations
{
    DirectoryPosition position;
    std::set<std::string> domains;
};

/// \brief Takes what the directory or a peer says, unless it is older than what is known. The last word holds while
/// none can be had.
/// \param from Where it came from, for logs.
void takeEvacuations(RelayContext &context, const Evacuations &told, std::string_view from, core::Time now);

/// \brief Takes a list of a new era of the directory. An evacuation that was lost with the old one is written again:
/// until it can have been, what was evacuated stays so, and the next list of the directory replaces this one.
void takeRestoredEvacuations(RelayContext &context, Evacuations told, core::Time now);

/// \brief Whether requests may be sent: it is known which failure domains must get nothing.
[[nodiscard]] bool evacuationsKnown(const RelayContext &context) noexcept;

} // namespace spurlug::relay
