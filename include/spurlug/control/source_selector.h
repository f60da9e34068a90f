//----------------------------------------------------------------------------------------------------------------------
// spurlug: choice of the source of configuration and target list
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/control/messages.h"
#include "spurlug/control/roster.h"
#include "spurlug/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace spurlug::control
{

/// \brief A query to another daemon about how recent its data is.
struct SourceQuery
{
    Member source; ///< Daemon to ask.
    std::uint64_t queryNumber = 0; ///< Identifies the query in its reply.
};

/// \brief Decides whether this daemon reads the directory itself, and which daemon it asks otherwise.
///
/// If every daemon of a large fleet polled the directory, the number of calls would grow with the fleet, and their cost
/// per request would rise the fewer requests each daemon sees. Instead, a few readers in each failure domain poll the
/// directory, and the other daemons ask one of them several times a second. The age of a reply is counted from the
/// sending of its query, so a paused reader or a late datagram cannot make data look newer than it is.
///
/// A daemon asks the readers of its own failure domain first, then one reader of each other failure domain. A reader
/// that does not answer, or whose data is old, is skipped for a while. If all are skipped, the daemon reads the
/// directory itself after a random delay, so that a fleet that lost its readers does not overload the directory.
class SourceSelector
{
public:
    /// \param seed Of the random delay.
    /// \param startedAt Start time of this daemon.
    SourceSelector(const Roster &roster, std::string failureDomain, int readersPerDomain, std::uint64_t seed,
                   core::Time startedAt);

    /// \name Commands
    /// @{

    /// \brief Returns the query that is due now, if any.
    /// \param lastDirectoryContact When this daemon sent its last directory request that was answered.
    [[nodiscard]] std::optional<SourceQuery> nextQuery(core::Time lastDirectoryContact, core::Time now);

    /// \brief Processes a reply.
    /// \returns When its query was sent; nothing if the reply is not expected or no longer expected.
    [[nodiscard]] std::optional<core::Time> handleReply(const FreshnessReply &reply, core::Time now);

    /// @}

    /// \brief Whether this daemon should read the directory itself.
    [[nodiscard]] bool readsDirectory(core::Time now) const;

    /// \brief Whether this daemon seems to be partitioned off: the last queries, sent to different daemons, all timed
    /// out.
    [[nodiscard]] bool isolated() const noexcept;

    /// \brief Whether this daemon is one of the readers of its failure domain.
    [[nodiscard]] bool isReader() const;

private:
    struct PendingQuery
    {
        std::string vm;
        std::uint64_t number = 0;
        core::Time sentAt = absl::InfinitePast();
        bool pending = false;
    };

    void skipSource(const std::string &vm, core::Time now);
    [[nodiscard]] std::optional<Member> chooseSource(core::Time now) const;
    [[nodiscard]] std::vector<Member> candidates() const;

    const Roster &m_roster;
    const std::string m_failureDomain;
    const std::size_t m_readersPerDomain;
    std::mt19937_64 m_random;
    const core::Time m_startedAt;
    PendingQuery m_query;
    int m_timeouts = 0; ///< Consecutive queries that timed out.
    std::map<std::string, core::Time> m_skippedUntil;
    core::Time m_freshAt; ///< Latest time as of which another daemon's data was current.
    core::Duration m_takeoverAge; ///< Age of `m_freshAt` at which this daemon reads the directory itself.
};

} // namespace spurlug::control
