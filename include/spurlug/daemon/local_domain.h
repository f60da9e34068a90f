//----------------------------------------------------------------------------------------------------------------------
// spurlug: queries on this daemon's own failure domain
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

/// \brief Read-only queries on the daemon's own failure domain.
class LocalDomain
{
public:
    LocalDomain(const Identity &identity, const config::Store &store, const membership::Fleet &fleet,
                const targets::TargetTable &targets);

    /// \brief Targets of a pool in this failure domain that accept requests, ordered by queued tokens, lowest first.
    [[nodiscard]] std::vector<targets::TargetView> servingTargets(const std::string &pool, core::Time now) const;

    /// \brief RPC address of the broker that grants engines of a pool.
    ///
    /// The broker of another failure domain is returned if fewer than `engines` targets accept requests in this one and
    /// enough do there.
    /// \returns An address with port 0 if no broker is known.
    [[nodiscard]] core::Address brokerFor(const std::string &pool, int engines, core::Time now) const;

    /// \brief Summary of this failure domain that is sent to the other failure domains.
    [[nodiscard]] membership::DomainSummary summary(core::Time now) const;

private:
    const Identity &m_identity;
    const config::Store &m_store;
    const membership::Fleet &m_fleet;
    const targets::TargetTable &m_targets;
};

} // namespace spurlug::daemon
