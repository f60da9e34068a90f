//----------------------------------------------------------------------------------------------------------------------
// spurlug: heartbeats on the wire
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/membership/domain_table.h"
#include "spurlug/membership/peer_table.h"
#include "spurlug/targets/load_report.h"
#include "spurlug/targets/outstanding.h"
#include "spurlug/targets/rate_news.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spurlug::membership
{

/// \brief What is told of the daemons of a failure domain.
struct DomainRoster
{
    std::string failureDomain;
    std::size_t daemons = 0; ///< That live there.
    core::Duration age = absl::ZeroDuration(); ///< Since a daemon that keeps the domain's list said so.
    std::vector<PeerNews> members; ///< Those that hold roles or would be next; none: as the receiver knows.
};

/// \brief A whole heartbeat.
struct Heartbeat
{
    PeerNews news;
    std::vector<ObservedLoad> loads;
    std::vector<DomainSummary> summaries;
    std::vector<targets::TargetWork> work; ///< Of the sender itself.
    std::vector<std::uint32_t> unreachable; ///< targets::targetHash of targets that do not answer the sender.
    std::vector<std::uint32_t> leaving; ///< Targets that leave though their entries do not say so, by relay::lifeHash.
    std::vector<targets::RateNews> rates; ///< Of targets that named a rate, or no longer do.
    std::vector<core::Address> knownPeers; ///< Of some daemons that the sender hears.
    bool wantsAnswer = false; ///< Whether the receiver should answer with a heartbeat of its own.
    std::uint32_t rostersDigest = 0; ///< Of the members that the sender was told of.
    std::vector<DomainRoster> rosters;
    std::size_t largestDomain = 0; ///< Most daemons of its own failure domain that the sender ever knew of at once.
};

/// \brief Writes and signs a heartbeat as one datagram.
/// \param key Shared secret; empty leaves the datagram unsigned.
[[nodiscard]] std::string writeHeartbeat(const Heartbeat &heartbeat, std::string_view key);

/// \brief Checks and reads a datagram.
/// \returns Nothing when the signature is wrong or the bytes are no heartbeat.
[[nodiscard]] std::optional<Heartbeat> readHeartbeat(std::string_view datagram, std::string_view key);

} // namespace spurlug::membership
