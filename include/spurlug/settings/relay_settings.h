//----------------------------------------------------------------------------------------------------------------------
// spurlug: settings of a daemon that relays
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/log.h"
#include "spurlug/core/time.h"
#include "spurlug/settings/placement_rule.h"

#include <string>
#include <vector>

namespace spurlug::settings
{

/// \brief What the operator promises callers and targets; the relay keeps within it.
struct RelayBounds
{
    core::Duration drain = absl::Seconds(2); ///< A leaving target gets nothing new after this.
    core::Duration targetHeartbeat = absl::Milliseconds(1200); ///< Targets write their entries so often.
    core::Duration grace = absl::Seconds(8); ///< From the request to stop until the process is killed.
    core::Duration revoke = absl::Seconds(5); ///< A key that was taken away works no longer than this.
    bool failClosed = true; ///< Whether keys stop working when it cannot be known that they are still valid.
    double retryRatio = 0.2; ///< Repeated sends of all daemons for each request.
    core::Duration retryWindow = absl::Seconds(10);
    double retrySlack = 100; ///< Repeated sends of all daemons beyond the ratio, in a window.
    core::Duration longestHold = absl::Seconds(20); ///< Longest reservation of KV memory.
    /// Targets of an evacuated failure domain get nothing new after this; 0, where the file names none: none is
    /// evacuated.
    core::Duration evacuate = absl::ZeroDuration();
    core::Duration freeAfter = absl::Seconds(4); ///< Reserved memory is free again this long after its last use.
};

/// \brief What a relaying daemon reads from its settings file.
struct RelaySettings
{
    std::string vm; ///< Name of this VM, unique in the fleet.
    std::string failureDomain;
    std::vector<std::string> failureDomains; ///< All of the fleet. Empty: all daemons count as one.
    std::string region;
    core::Address callerAddress; ///< Port 0 lets the kernel choose.
    core::Address readinessAddress;
    core::Address controlAddress; ///< HTTP, for other daemons.
    core::Address peerAddress; ///< UDP, for heartbeats.
    core::Address metricsAddress;
    core::Address store; ///< Configuration and targets.
    std::vector<core::Address> seeds; ///< Control addresses of some daemons.
    double processorShare = 1; ///< Of a core that this VM has; larger VMs hold roles for the others.
    /// Daemons of a failure domain that read the store for it. Readers of other domains stand in for one that is gone.
    int readersPerDomain = 1;
    core::LogLevel logLevel = core::LogLevel::Info;
    RelayBounds bounds;
    PlacementRule placement;

    /// \brief Whether this daemon shares its part of the fleet's limits with those of a failure domain.
    [[nodiscard]] bool countsTogether(const std::string &domain) const
    {
        return failureDomains.empty() || domain == failureDomain;
    }
};

/// \brief Reads and checks a settings file.
/// \throws InvalidDocument with one line for each fault: file, JSON pointer, what was expected.
[[nodiscard]] RelaySettings loadRelaySettings(const std::string &path);

} // namespace spurlug::settings
