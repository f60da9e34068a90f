//----------------------------------------------------------------------------------------------------------------------
// spurlug: failure domains that the operator asks to be left alone
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace spurlug::relay
{

struct RelayContext;

/// \brief Failure domains whose targets must get nothing new, as of a revision of the directory.
struct Evacuations
{
    std::int64_t revision = 0; ///< 0: nothing was heard yet.
    std::set<std::string> domains;
};

/// \brief Takes what the directory or a peer says, unless it is older than what is known. The last word holds while
/// none can be had.
/// \param from Where it came from, for logs.
void takeEvacuations(RelayContext &context, const Evacuations &told, std::string_view from, core::Time now);

/// \brief Whether requests may be sent: it is known which failure domains must get nothing.
[[nodiscard]] bool evacuationsKnown(const RelayContext &context) noexcept;

} // namespace spurlug::relay
