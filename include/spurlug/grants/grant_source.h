//----------------------------------------------------------------------------------------------------------------------
// spurlug: where a request gets its grant from
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/grants/broker.h"
#include "spurlug/grants/group_keeper.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace spurlug::grants
{

/// \brief A grant and the way back to its broker.
struct Granted
{
    GrantTicket ticket;
    std::vector<std::string> targets;
};

/// \brief Asks the pool's broker, wherever it is.
///
/// Arguments: pool, ask, longest wait. The result is empty when the wait passed without a grant.
/// \throws NetworkError when the broker does not answer.
using AcquireGrant = std::function<std::optional<Granted>(const std::string &, const Ask &, core::Duration)>;

} // namespace spurlug::grants
