//----------------------------------------------------------------------------------------------------------------------
// spurlug: heartbeat messages and their encoding
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/membership/domain_table.h"
#include "spurlug/membership/peer_table.h"
#include "spurlug/overload/load_view.h"
#include "spurlug/targets/load_report.h"
#include "spurlug/targets/outstanding.h"
#include "spurlug/targets/rate_report.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spurlug::membership
{

/// \brief Daemons of a failure domain as reported in a heartbeat.
struct DomainRoster
{
    std::string failureDomain;
    std::size_t daemonCount = 0; ///< Number of live daemons.
    core::Duration age = absl::ZeroDuration(); ///< Time since a registrar of the domain reported this.
    std::vector<PeerReport> members; ///< Role holders and next candidates; empty if the receiver knows them already.
};

/// \brief Content of a heartbeat.
struct Heartbeat
{
    PeerReport sender;
    std::vector<ObservedLoad> loads;
    std::vector<DomainSummary> summaries;
    std::vector<targets::TargetWork> work; ///< Work of the sender itself.
    std::vector<std::uint32_t> unreachableTargets; ///< `targets::targetHash` of targets that do not answer the sender.
    /// `relay::incarnationHash` of draining targets whose entries do not say so yet.
    std::vector<std::uint32_t> drainingTargets;
    std::vector<targets::RateReport> rateReports; ///< Rate limits that targets have set or lifted.
    std::vector<core::Address> knownPeers; ///< Addresses of some daemons that the sender receives heartbeats from.
    bool wantsReply = false; ///< Whether the receiver should answer with a heartbeat of its own.
    std::uint32_t rostersDigest = 0; ///< Digest of the members that the sender knows.
    std::vector<DomainRoster> rosters;
    /// Largest number of daemons of its failure domain that the sender ever knew at once.
    std::size_t largestDomainSize = 0;
    bool wantsLoad = false; ///< Whether the sender lacks a recent load view; the reply then has one.
    std::optional<overload::LoadView> load; ///< Newest load view that the sender knows.
};

/// \brief Encodes and signs a heartbeat as one datagram.
/// \param key Shared secret; empty leaves the datagram unsigned.
[[nodiscard]] std::string writeHeartbeat(const Heartbeat &heartbeat, std::string_view key);

/// \brief Verifies and decodes a datagram.
/// \returns Nothing if the signature is wrong or the bytes are not a valid heartbeat.
[[nodiscard]] std::optional<Heartbeat> readHeartbeat(std::string_view datagram, std::string_view key);

} // namespace spurlug::membership
