//----------------------------------------------------------------------------------------------------------------------
// spurlug: finds a recorded decision at the daemon that has it
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/daemon/decision_finder.h"

#include "spurlug/core/error.h"

#include <nlohmann/json.hpp>

namespace spurlug::daemon
{

namespace
{

/// Returns the VM that a request id names: the text before the second last dot.
std::string vmOf(const std::string &requestId)
{
    const auto last = requestId.rfind('.');
    if (last == std::string::npos || last == 0) {
        return {};
    }
    const auto before = requestId.rfind('.', last - 1);
    return before == std::string::npos ? std::string() : requestId.substr(0, before);
}

} // namespace

DecisionFinder::DecisionFinder(const explain::DecisionRing &decisions, const membership::Fleet &fleet,
                               PeerClient &peers)
    : m_decisions(decisions)
    , m_fleet(fleet)
    , m_peers(peers)
{ }

std::optional<std::string> DecisionFinder::find(const std::string &requestId, SearchScope scope, core::Time now) const
{
    if (const auto decision = m_decisions.find(requestId)) {
        return toJson(*decision).dump();
    }
    const auto vm = vmOf(requestId);
    if (scope == SearchScope::ThisDaemon || vm == m_fleet.self()) {
        return std::nullopt;
    }
    if (const auto peer = m_fleet.find(vm)) {
        return query(peer->report.rpcAddress, requestId, true);
    }
    if (scope == SearchScope::LocalDomain) {
        return std::nullopt;
    }
    for (const auto &domain : m_fleet.domainSummaries(now)) {
        if (auto decision = query(domain.rpcAddress, requestId, false)) {
            return decision;
        }
    }
    return std::nullopt;
}

std::optional<std::string> DecisionFinder::query(const core::Address &peer, const std::string &requestId,
                                                 bool forwarded) const
{
    try {
        return m_peers.explain(peer, requestId, forwarded);
    } catch (const core::NetworkError &) {
        return std::nullopt;
    }
}

} // namespace spurlug::daemon
