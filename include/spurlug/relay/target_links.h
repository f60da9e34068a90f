//----------------------------------------------------------------------------------------------------------------------
// spurlug: state of this daemon's own links to targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/relay/target_set.h"

#include <map>
#include <set>
#include <string>

namespace spurlug::relay
{

/// \brief Distinguishes a failed link of this daemon from a failed target.
///
/// A connection that fails says nothing about which of the two is at fault. If a peer reaches the target, the link is
/// down; it is then tried again from time to time, and used again once it works. Targets of one service are taken to
/// share their fate: a link to a plain service does not show that engines are reachable. The class does no network I/O.
class TargetLinks
{
public:
    /// \name Commands
    /// @{

    /// \brief Notes that this daemon connected to a target over its own link.
    void noteConnected(const TargetEntry &target, core::Time now);
    /// \brief Notes that bytes of a target arrived over this daemon's own link.
    void noteBytes(const TargetEntry &target, core::Time now);
    /// \brief Notes that a peer reached a target which this daemon did not reach over its own link.
    void noteBypassed(const TargetEntry &target, core::Time now);
    /// \brief Notes that a target was reached by no path, although nothing shows that the target is at fault.
    void noteUnreached(const TargetEntry &target, core::Time now);
    /// \brief Notes that a target was reached through a peer.
    void noteReachedThroughPeer(const TargetEntry &target);
    /// \brief Whether to try the link to a target although it is down; if so, the next trial is due after an interval.
    [[nodiscard]] bool startTrial(const TargetEntry &target, core::Time now);
    /// \brief Whether to refuse a request because no path has led to any target of its service lately. From time to
    /// time a request is let through, to find out whether one does again.
    [[nodiscard]] bool refusesRequest(const std::string &service, core::Time now);

    /// @}
    /// \name Queries
    /// @{

    /// \brief Whether the link to a target is down.
    [[nodiscard]] bool isDown(const TargetEntry &target, core::Time now) const;
    /// \brief Whether the links to all targets of a service are assumed to be down.
    [[nodiscard]] bool areAllDown(const std::string &service, core::Time now) const;
    /// \brief Whether connections that are open carry bytes although the links to targets of the service are down, so
    /// that a silent connection is not a dead one.
    [[nodiscard]] bool openConnectionsWork(const std::string &service) const;
    /// \brief Whether no path has led to any target of a service lately, peers included.
    [[nodiscard]] bool isNothingReachable(const std::string &service, core::Time now) const;
    /// \brief When this daemon last connected to any target of a service over its own link.
    [[nodiscard]] core::Time lastConnectedAt(const std::string &service) const;

    /// @}

private:
    struct DownLink
    {
        core::Time notedAt = absl::InfinitePast();
        core::Time triedAt = absl::InfinitePast();
    };

    /// The links to the targets of one service.
    struct ServiceLinks
    {
        std::map<std::string, DownLink> downLinks; ///< By the target's address.
        core::Time lastConnectedAt = absl::InfinitePast();
        core::Time lastBytesAt = absl::InfinitePast();
        core::Time downSince = absl::InfiniteFuture(); ///< First failure since the last connection.
        core::Time triedAt = absl::InfinitePast(); ///< Last trial while all links are down.
        std::set<std::string> unreachedTargets; ///< Addresses, since any target was reached.
        core::Time unreachedAt = absl::InfinitePast(); ///< When a target was last not reached.
        core::Time requestPassedAt = absl::InfinitePast(); ///< When `refusesRequest` last let a request through.
    };

    [[nodiscard]] static bool areAllDown(const ServiceLinks &links, core::Time now);
    [[nodiscard]] const ServiceLinks *find(const std::string &service) const;

    std::map<std::string, ServiceLinks> m_services;
};

} // namespace spurlug::relay
