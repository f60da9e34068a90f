//----------------------------------------------------------------------------------------------------------------------
// spurlug: gRPC server for calls from other daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/claims/claim_committer.h"
#include "spurlug/config/store.h"
#include "spurlug/core/address.h"
#include "spurlug/daemon/decision_finder.h"
#include "spurlug/grants/broker_host.h"
#include "spurlug/membership/fleet.h"
#include "spurlug/metrics/metrics.h"

#include <memory>

namespace spurlug::daemon
{

/// \brief Components that calls from peers use; all must outlive the server.
struct PeerServerComponents
{
    grants::BrokerHost &brokers;
    claims::ClaimCommitter &claims;
    membership::Fleet &fleet;
    config::Store &store;
    const DecisionFinder &finder;
    metrics::Metrics &metrics;
};

/// \brief The gRPC server of a daemon.
class PeerServer
{
public:
    /// \param address Port 0 lets the kernel choose a free port.
    /// \throws NetworkError if the address cannot be bound.
    PeerServer(const core::Address &address, PeerServerComponents components);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// \brief The bound address.
    [[nodiscard]] const core::Address &address() const noexcept;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
    core::Address m_address;
};

} // namespace spurlug::daemon
