//----------------------------------------------------------------------------------------------------------------------
// spurlug: summaries of other failure domains
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/time.h"
#include "spurlug/targets/load_report.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace spurlug::membership
{

/// \brief Load of a target as sent in heartbeats.
struct ObservedLoad
{
    std::uint32_t target = 0; ///< `targets::targetHash` of its id.
    targets::LoadReport report;
    core::Duration age; ///< Age of the report when it was sent.
};

/// \brief Summary of a pool in a failure domain.
struct PoolSummary
{
    std::uint32_t pool = 0; ///< `targets::targetHash` of its name.
    std::int64_t usableTargets = 0; ///< Number of targets that can accept work.
    std::vector<ObservedLoad> leastLoaded; ///< Some of the least loaded targets.
    core::Address broker; ///< Port 0: none.
};

/// \brief Summary that a failure domain sends to the others.
struct DomainSummary
{
    std::string failureDomain;
    std::int64_t lowestGeneration = 0; ///< Lowest configuration generation that any daemon of the domain uses.
    std::int64_t daemonCount = 0; ///< Number of serving daemons.
    std::vector<PoolSummary> pools;
    core::Address rpcAddress; ///< RPC address of a daemon that answers for the domain.
    core::Duration age; ///< Age when it was sent; queries that take `now` return the age as of then.
};

/// \brief Keeps the newest summary of each other failure domain. Has no I/O and no clock.
///
/// Summaries never expire, so that limits still count the daemons of an unreachable domain; callers check their age.
class DomainTable
{
public:
    /// \param ownDomain Failure domain of this daemon; summaries of it are dropped.
    explicit DomainTable(std::string ownDomain);

    /// \brief Stores a summary unless an equally recent or newer one is known.
    /// \param isDirect Whether it came directly from a daemon of that failure domain.
    /// \returns Whether it was stored.
    bool update(const DomainSummary &summary, bool isDirect, core::Time now);

    /// \brief All summaries, with ages as of `now`.
    [[nodiscard]] std::vector<DomainSummary> summaries(core::Time now) const;

    /// \brief Summaries recently received directly, which this daemon forwards to its own failure domain.
    [[nodiscard]] std::vector<DomainSummary> summariesToForward(core::Time now) const;

    /// \brief Age of a domain's summary; infinite if there is none.
    [[nodiscard]] core::Duration age(const std::string &failureDomain, core::Time now) const;

private:
    struct Entry
    {
        DomainSummary summary;
        core::Time createdAt;
        core::Time directlyReceivedAt = absl::InfinitePast();
    };

    [[nodiscard]] static DomainSummary withCurrentAge(const Entry &entry, core::Time now);

    std::string m_ownDomain;
    std::map<std::string, Entry> m_entries;
};

} // namespace spurlug::membership
