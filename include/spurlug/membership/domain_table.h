//----------------------------------------------------------------------------------------------------------------------
// spurlug: what other failure domains tell
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

/// \brief One target's load on the wire.
struct ObservedLoad
{
    std::uint32_t target = 0; ///< targets::targetHash of its id.
    targets::LoadReport report;
    core::Duration age; ///< Age of the report when it was sent.
};

/// \brief One pool of a failure domain.
struct PoolSummary
{
    std::uint32_t pool = 0; ///< targets::targetHash of its name.
    std::int64_t usable = 0; ///< Targets that can take work.
    std::vector<ObservedLoad> best; ///< Some of the least loaded ones.
    core::Address broker; ///< Port 0: none.
};

/// \brief What a failure domain tells the others.
struct DomainSummary
{
    std::string failureDomain;
    std::int64_t lowestGeneration = 0; ///< In force at every daemon of the domain.
    std::int64_t daemons = 0; ///< Daemons that serve.
    std::vector<PoolSummary> pools;
    core::Address rpcAddress; ///< Of a daemon that answers for the domain.
    core::Duration age; ///< When it was sent, or as of the present time where a query says so.
};

/// \brief Keeps the newest summary of each other failure domain: a pure state machine.
///
/// Summaries are never forgotten, so that limits keep counting the daemons of a domain that cannot be heard; their age
/// tells what they are still good for.
class DomainTable
{
public:
    /// \param own Failure domain of this daemon; summaries of it are dropped.
    explicit DomainTable(std::string own);

    /// \brief Takes a summary, unless a newer one is known.
    /// \param direct Whether a daemon of that failure domain sent it itself.
    /// \returns Whether it was news.
    bool hear(const DomainSummary &summary, bool direct, core::Time now);

    /// \brief All summaries; ages as of `now`.
    [[nodiscard]] std::vector<DomainSummary> known(core::Time now) const;

    /// \brief Summaries heard directly and not long ago: this daemon repeats them to its own failure domain.
    [[nodiscard]] std::vector<DomainSummary> toRepeat(core::Time now) const;

    /// \brief Age of a domain's summary; infinite when there is none.
    [[nodiscard]] core::Duration age(const std::string &failureDomain, core::Time now) const;

private:
    struct Entry
    {
        DomainSummary summary;
        core::Time madeAt;
        core::Time heardDirectlyAt = absl::InfinitePast();
    };

    [[nodiscard]] static DomainSummary aged(const Entry &entry, core::Time now);

    std::string m_own;
    std::map<std::string, Entry> m_entries;
};

} // namespace spurlug::membership
