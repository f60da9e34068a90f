//----------------------------------------------------------------------------------------------------------------------
// spurlug: queue and grants for long prompts of one failure domain
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

/// \brief A request for engines.
struct Ask
{
    std::string requestId;
    std::string organisation;
    double weight = 1.0;
    std::int64_t tokens = 0; ///< Prompt length.
    int engines = 1; ///< Engines needed at once.
    core::Time askedAt; ///< When the request began to wait, at whatever broker.
};

/// \brief Engines given to one request.
struct Grant
{
    std::uint64_t id = 0;
    std::string requestId;
    std::vector<std::string> targets;
    core::Time expiresAt;
};

/// \brief How the broker shares engines out.
struct BrokerRule
{
    core::Duration grantTtl = absl::Seconds(6); ///< A grant lapses without renewal.
    core::Duration askTtl = absl::Seconds(4); ///< An ask lapses when its daemon does not ask again.
    core::Duration reportStale = absl::Seconds(3); ///< Engines with an older report get no grants.
    double agingTokensPerSecond = 20'000; ///< Weighted tokens by which a second of waiting advances an ask.
};

/// \brief Pure state machine of the broker of one pool in one failure domain.
///
/// Asks are served by weighted fairness over organisations: the one whose organisation was served the fewest tokens
/// for its weight goes first, and waiting advances it, so that every ask comes first in the end. The first ask in that
/// order is never overtaken by a smaller one behind it: engines that fall free are kept for it. All state is soft: asks
/// are repeated by the daemons that wait, and engines' own reservations are the truth about memory.
class Broker
{
public:
    /// \param firstGrant Number of the first grant; chosen so that two brokers' numbers do not meet.
    explicit Broker(BrokerRule rule = {}, std::uint64_t firstGrant = 1);

    /// \name Commands
    /// @{

    /// \brief Queues an ask, or keeps it alive when it waits already.
    void ask(const Ask &ask, core::Time now);

    /// \brief Takes an ask out of the queue.
    void withdraw(const std::string &requestId);

    /// \brief Grants engines to as many asks as can be served.
    /// \param engines The pool's engines in this failure domain.
    /// \param longShare Largest share of them that long prompts may occupy; a group that needs more may have it alone.
    void serve(const std::vector<targets::TargetView> &engines, double longShare, core::Time now);

    /// \brief Keeps a grant alive.
    /// \returns False when there is no such grant.
    bool renew(std::uint64_t grantId, core::Time now);

    /// \brief Takes a grant back.
    void release(std::uint64_t grantId);

    /// @}
    /// \name Queries
    /// @{

    /// \brief The grant of a request, once it has one.
    [[nodiscard]] std::optional<Grant> grantOf(const std::string &requestId) const;

    /// \brief Asks that come before this one; the number of all when it does not wait.
    [[nodiscard]] std::size_t place(const std::string &requestId, core::Time now) const;

    [[nodiscard]] std::size_t waiting() const noexcept;

    /// \brief Engines occupied by grants.
    [[nodiscard]] std::size_t occupied() const noexcept;

    /// @}

private:
    struct Waiting
    {
        Ask ask;
        core::Time refreshedAt;
    };

    void expire(core::Time now);
    [[nodiscard]] double rank(const Ask &ask, core::Time now) const;
    [[nodiscard]] std::vector<const Waiting *> inOrder(core::Time now) const;
    [[nodiscard]] std::vector<std::string> freeEngines(const std::vector<targets::TargetView> &engines) const;
    void grant(const Ask &ask, std::vector<std::string> targets, core::Time now);

    BrokerRule m_rule;
    std::map<std::string, Waiting> m_waiting;
    std::map<std::uint64_t, Grant> m_grants;
    std::map<std::string, double> m_served; ///< Tokens by weight, by organisation.
    std::uint64_t m_nextGrant;
};

} // namespace spurlug::grants
