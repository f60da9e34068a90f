//----------------------------------------------------------------------------------------------------------------------
// spurlug: interface for acquiring a grant from a broker
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/grants/broker.h"
#include "spurlug/grants/group_manager.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace spurlug::grants
{

/// \brief A grant and the ticket for its renewal and release.
struct TicketedGrant
{
    GrantTicket ticket;
    std::vector<std::string> targets; ///< Ids of the granted engines.
};

/// \brief Acquires a grant from the pool's broker, local or remote.
///
/// The arguments are the pool, the request and the maximum wait. The result is empty if the wait ended without a grant.
/// \throws NetworkError if the broker does not answer.
using AcquireGrant
    = std::function<std::optional<TicketedGrant>(const std::string &, const GrantRequest &, core::Duration)>;

} // namespace spurlug::grants
