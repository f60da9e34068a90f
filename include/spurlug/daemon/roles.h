//----------------------------------------------------------------------------------------------------------------------
// spurlug: names of the roles that rendezvous hashing assigns
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <string>
#include <string_view>

namespace spurlug::daemon
{

/// \brief Role of the two daemons of a failure domain that watch the platform for a new configuration.
inline constexpr std::string_view WatcherRole = "configuration-watcher";

/// \brief Number of daemons of a failure domain that hold the watcher role at the same time.
inline constexpr std::size_t WatcherCount = 2;

/// \brief Role of the daemon that commits the claims of a failure domain.
inline constexpr std::string_view ClaimOwnerRole = "claim-owner";

/// \brief Role of the daemon of a failure domain that grants the engines of a pool.
[[nodiscard]] inline std::string brokerRole(std::string_view pool)
{
    return std::string("broker:").append(pool);
}

} // namespace spurlug::daemon
