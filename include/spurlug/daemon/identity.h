//----------------------------------------------------------------------------------------------------------------------
// spurlug: name, location and addresses of this daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"

#include <cstdint>
#include <string>

namespace spurlug::daemon
{

/// \brief Name, location, start time and bound addresses of a running daemon.
struct Identity
{
    std::string vm;
    std::string failureDomain;
    std::string region;
    std::uint64_t incarnation = 0; ///< Wall-clock time of the start, in microseconds since the Unix epoch.
    core::Address callerAddress;
    core::Address adminAddress;
    core::Address peerAddress;
    core::Address rpcAddress;
};

} // namespace spurlug::daemon
