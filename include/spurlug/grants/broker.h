//----------------------------------------------------------------------------------------------------------------------
// spurlug: queue and engine grants for the long prompts of one pool and failure domain
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/targets/target_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spurlug::grants
{

/// \brief A long prompt's request for engines.
struct GrantRequest
{
    std::string requestId;
    std::string organisation;
    double weight = 1.0; ///< Of the organisation.
    std::int64_t tokens = 0; ///< Length of the prompt.
    int engines = 1; ///< Number of engines needed at the same time.
    core::Time waitingSince; ///< When the request started to wait, whichever broker it asked first.
};

/// \brief Engines granted to one request.
struct Grant
{
    std::uint64_t id = 0;
    std::string requestId;
    std::vector<std::string> targets; ///< Ids of the engines.
    core::Time expiresAt;
};

/// \brief Parameters of the broker.
struct BrokerRule
{
    core::Duration grantTtl = absl::Seconds(6); ///< A grant that is not renewed expires after this time.
    core::Duration requestTtl = absl::Seconds(4); ///< A request that is not repeated expires after this time.
    core::Duration maxReportAge = absl::Seconds(3); ///< Engines with an older report are not granted.
    double agingTokensPerSecond = 20'000; ///< Weighted tokens that a second of waiting takes off a request's rank.
};

/// \brief State machine of the broker of one pool in one failure domain; does no I/O.
///
/// Requests are served by weighted fair queueing over organisations: the request whose organisation was served the
/// fewest tokens relative to its weight comes first, and waiting improves the rank, so that no request starves. A
/// smaller request never overtakes the first one in that order: engines that become free are kept for it. All state is
/// soft: waiting daemons repeat their requests, and the engines' own reservations are authoritative for memory.
class Broker
{
public:
    /// \param firstGrant Id of the first grant; should be chosen so that the ids of two brokers do not collide.
    explicit Broker(BrokerRule rule = {}, std::uint64_t firstGrant = 1);

    /// \name Commands
    /// @{

    /// \brief Queues a request, or refreshes it if it is already queued. Ignored if the request has a grant.
    void enqueue(const GrantRequest &ask, core::Time now);

    /// \brief Removes a request from the queue.
    void dequeue(const std::string &requestId);

    /// \brief Removes expired requests and grants, then grants engines to as many requests as possible, in order.
    /// \param engines The pool's engines in this failure domain.
    /// \param maxLongFraction Maximum fraction of the usable engines that long prompts may occupy. A group that needs
    /// more is granted only while no other grant exists.
    void grantEngines(const std::vector<targets::TargetView> &engines, double maxLongFraction, core::Time now);

    /// \brief Extends a grant by its TTL.
    /// \returns False if there is no such grant.
    bool renew(std::uint64_t grantId, core::Time now);

    /// \brief Ends a grant.
    void release(std::uint64_t grantId);

    /// @}
    /// \name Queries
    /// @{

    /// \brief The grant of a request, if it has one.
    [[nodiscard]] std::optional<Grant> grantOf(const std::string &requestId) const;

    /// \brief Number of requests ahead of this request's; the number of all requests if it is not queued.
    [[nodiscard]] std::size_t queuePosition(const std::string &requestId, core::Time now) const;

    /// \brief Number of queued requests.
    [[nodiscard]] std::size_t queuedCount() const noexcept;

    /// \brief Number of engines occupied by grants.
    [[nodiscard]] std::size_t occupiedEngines() const noexcept;

    /// @}

private:
    struct QueuedRequest
    {
        GrantRequest request;
        core::Time refreshedAt;
    };

    void expire(core::Time now);
    [[nodiscard]] double rank(const GrantRequest &request, core::Time now) const;
    [[nodiscard]] std::vector<const QueuedRequest *> rankedQueue(core::Time now) const;
    [[nodiscard]] std::vector<std::string> freeEngines(const std::vector<targets::TargetView> &engines) const;
    void issueGrant(const GrantRequest &request, std::vector<std::string> targets, core::Time now);

    BrokerRule m_rule;
    std::map<std::string, QueuedRequest> m_queue;
    std::map<std::uint64_t, Grant> m_grants;
    std::map<std::string, double> m_servedTokens; ///< Granted tokens divided by weight, by organisation.
    std::uint64_t m_nextGrant;
};

} // namespace spurlug::grants
