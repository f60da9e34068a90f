//----------------------------------------------------------------------------------------------------------------------
// spurlug: reachability between failure domains, derived from the outcome of requests
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace spurlug::relay
{

/// \brief Tracks between which failure domains connections fail.
///
/// When a failure domain is partitioned, the target list still names its engines for some seconds. Each of them would
/// have to be detected alone, and a prompt with fifteen helpers would meet one refusal per try. The link between two
/// domains is therefore considered down, in both directions, once two different targets could not be reached across it
/// and no connection has succeeded since. Before this, three of four days with partitions of 5 to 6 s lost 2 to 3 % of
/// their credit. The class does no network I/O.
class DomainLinks
{
public:
    /// \name Commands
    /// @{

    /// \brief Records that a daemon or engine in one domain could not reach a target in another.
    /// \param target Hash of the target incarnation.
    void noteFailure(const std::string &from, const std::string &to, std::uint32_t target, core::Time now);
    /// \brief Records that a connection between two domains succeeded.
    void noteSuccess(const std::string &from, const std::string &to);

    /// @}

    /// \brief Whether the link between two domains is considered down. Never true for a domain and itself.
    [[nodiscard]] bool isDown(const std::string &from, const std::string &to, core::Time now) const;

private:
    struct Failures
    {
        std::vector<std::uint32_t> targets; ///< Distinct targets that failed since the last success.
        core::Time lastAt = absl::InfinitePast();
    };
    using DomainPair = std::pair<std::string, std::string>;

    [[nodiscard]] static DomainPair domainPair(const std::string &left, const std::string &right);

    std::map<DomainPair, Failures> m_failures;
};

} // namespace spurlug::relay
