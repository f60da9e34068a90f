//----------------------------------------------------------------------------------------------------------------------
// spurlug: how a daemon divides the requests of a plain service among failure domains
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace spurlug::overload
{

/// \brief Daemons of a failure domain and its usable targets of one service.
struct DomainSize
{
    std::size_t daemons = 0;
    std::size_t targets = 0;
    std::int64_t slots = 0; ///< Of all these targets.
};

/// \brief By failure domain.
using DomainSizes = std::map<std::string, DomainSize>;

/// \brief Share of the requests of one daemon, 0 to 1, by failure domain; the sum is 1. Empty if there is no target.
using Shares = std::map<std::string, double>;

/// \brief Shares by which all targets have an equal expected load per slot and as few requests as possible leave their
/// domain, if all daemons have equally many requests.
///
/// A daemon that knows no other one uses its own domain, or all others by their slots if its own has no targets.
[[nodiscard]] Shares steadyShares(const std::string &ownDomain, const DomainSizes &domains);

/// \brief Change of the share that is reached in the end.
struct ShareChange
{
    std::string domain;
    double from = 0;
    double to = 0;
};

/// \brief What an update of the shares changed.
struct ShareUpdate
{
    std::vector<ShareChange> changes; ///< Changes that are larger than those by single daemons.
    bool startsRamp = false; ///< Whether shares begin to move gradually.
};

/// \brief Shares of one service at one daemon, which move gradually: a share that grows does so linearly in 2 s, while
/// a domain without usable targets is left at once.
class DomainShares
{
public:
    /// \brief Sets what is known of the domains now. The first shares apply at once.
    ShareUpdate update(const std::string &ownDomain, const DomainSizes &domains, core::Time now);

    /// \brief The shares that apply now. Domains with usable targets are listed, also those with a share of 0.
    [[nodiscard]] Shares shares(core::Time now) const;

private:
    Shares m_from; ///< At `m_startedAt`.
    Shares m_target; ///< At `m_endsAt`.
    core::Time m_startedAt = absl::InfinitePast();
    core::Time m_endsAt = absl::InfinitePast();
};

} // namespace spurlug::overload
