//----------------------------------------------------------------------------------------------------------------------
// spurlug: who this daemon is
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"

#include <cstdint>
#include <string>

namespace spurlug::daemon
{

/// \brief Name, start and bound addresses of a running daemon.
struct Identity
{
    std::string vm;
    std::string failureDomain;
    std::string region;
    std::uint64_t incarnation = 0; ///< Microseconds of wall-clock time at the start.
    core::Address callerAddress;
    core::Address adminAddress;
    core::Address peerAddress;
    core::Address rpcAddress;
};

} // namespace spurlug::daemon
