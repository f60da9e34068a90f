//----------------------------------------------------------------------------------------------------------------------
// spurlug: what this daemon knows of its own failure domain
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/store.h"
#include "spurlug/daemon/identity.h"
#include "spurlug/membership/domain_table.h"
#include "spurlug/membership/fleet.h"
#include "spurlug/targets/target_table.h"

#include <string>
#include <vector>

namespace spurlug::daemon
{

/// \brief Answers questions about the daemon's own failure domain; changes nothing.
class HomeDomain
{
public:
    HomeDomain(const Identity &identity, const config::Store &store, const membership::Fleet &fleet,
               const targets::TargetTable &targets);

    /// \brief Targets of a pool here that can take work, the least loaded first.
    [[nodiscard]] std::vector<targets::TargetView> serving(const std::string &pool, core::Time now) const;

    /// \brief RPC address of the broker to ask for engines of a pool.
    ///
    /// That of another failure domain when fewer than `engines` targets serve here and it has enough.
    /// \returns Port 0 when no broker is known.
    [[nodiscard]] core::Address brokerFor(const std::string &pool, int engines, core::Time now) const;

    /// \brief What other failure domains are told.
    [[nodiscard]] membership::DomainSummary summary(core::Time now) const;

private:
    const Identity &m_identity;
    const config::Store &m_store;
    const membership::Fleet &m_fleet;
    const targets::TargetTable &m_targets;
};

} // namespace spurlug::daemon
