//----------------------------------------------------------------------------------------------------------------------
// spurlug: settings of a relaying daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/log.h"
#include "spurlug/core/time.h"
#include "spurlug/settings/overload_settings.h"
#include "spurlug/settings/placement_weights.h"

#include <string>
#include <vector>

namespace spurlug::settings
{

/// \brief Guarantees of the operator to callers and targets that the relay must keep.
struct RelayBounds
{
    core::Duration drain = absl::Seconds(2); ///< Time after which a target that shuts down gets no new work.
    core::Duration targetHeartbeat = absl::Milliseconds(1200); ///< Interval at which targets write their entries.
    core::Duration grace = absl::Seconds(8); ///< Time from the request to stop until the process is killed.
    core::Duration revoke = absl::Seconds(5); ///< Maximum time for which a revoked key still works.
    bool failClosed = true; ///< Whether keys are rejected when their validity cannot be confirmed.
    double retryRatio = 0.2; ///< Retries per request, over all daemons.
    core::Duration retryWindow = absl::Seconds(10);
    double retrySlack = 100; ///< Retries of all daemons in a window beyond the ratio.
    core::Duration longestHold = absl::Seconds(20); ///< Maximum duration of a KV memory reservation.
    /// Time after which targets of an evacuated failure domain get no new work. 0 if the file has no value: failure
    /// domains are not evacuated.
    core::Duration evacuate = absl::ZeroDuration();
    core::Duration freeAfter = absl::Seconds(4); ///< Reserved memory is released this long after its last use.
};

/// \brief Contents of the settings file of a relaying daemon.
struct RelaySettings
{
    std::string vm; ///< Name of this VM, unique in the fleet.
    std::string failureDomain;
    std::vector<std::string> failureDomains; ///< All of the fleet. If empty, all daemons count as one domain.
    std::string region;
    core::Address callerAddress; ///< Port 0 lets the kernel choose.
    core::Address readinessAddress;
    core::Address controlAddress; ///< HTTP, for other daemons.
    core::Address peerAddress; ///< UDP, for heartbeats.
    core::Address metricsAddress;
    core::Address store; ///< Holds the configuration and the targets.
    std::vector<core::Address> seeds; ///< Control addresses of some daemons.
    double processorShare = 1; ///< CPU cores of this VM, may be a fraction; larger VMs hold roles for the others.
    std::int64_t memory = 0; ///< Memory that the process may use, bytes; 0: not limited.
    /// Number of daemons of a failure domain that read the store for it. Readers in other domains take over if one
    /// fails.
    int readersPerDomain = 1;
    core::LogLevel logLevel = core::LogLevel::Info;
    RelayBounds bounds;
    PlacementWeights placement;
    OverloadSettings overload;

    /// \brief Whether this daemon shares its part of the fleet's limits with the daemons of a failure domain.
    [[nodiscard]] bool sharesLimitsWith(const std::string &domain) const
    {
        return failureDomains.empty() || domain == failureDomain;
    }
};

/// \brief Reads and validates a settings file.
/// \throws InvalidDocument with one line per error: file, JSON pointer and what was expected.
[[nodiscard]] RelaySettings loadRelaySettings(const std::string &path);

} // namespace spurlug::settings
