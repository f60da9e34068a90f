//----------------------------------------------------------------------------------------------------------------------
// spurlug: choice of the peer through which a target is reached
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/tunnel_peers.h"

#include <algorithm>
#include <utility>

namespace spurlug::relay
{

namespace
{

/// How long a peer that opened no tunnel is avoided; doubles with each further failure.
constexpr auto FirstAvoidance = absl::Milliseconds(250);
constexpr int MaxDoublings = 3;

} // namespace

TunnelPeers::TunnelPeers(const control::Roster &roster, std::string failureDomain)
    : m_roster(roster)
    , m_failureDomain(std::move(failureDomain))
{ }

core::Ref<TunnelUse> TunnelPeers::noteOpened(const std::string &vm)
{
    const auto peer = findOrAdd(vm);
    peer->consecutiveFailures = 0;
    peer->avoidedUntil = absl::InfinitePast();
    return core::makeRef<TunnelUse>(peer);
}

void TunnelPeers::noteFailed(const std::string &vm, core::Time now)
{
    const auto peer = findOrAdd(vm);
    if (now < peer->avoidedUntil) {
        return; // Requests that were sent to it at the same time are one failure.
    }
    peer->avoidedUntil = now + FirstAvoidance * (1 << std::min(peer->consecutiveFailures, MaxDoublings));
    ++peer->consecutiveFailures;
}

core::Ref<TunnelPeer> TunnelPeers::find(const std::string &vm) const
{
    const auto found = m_peers.find(vm);
    return found == m_peers.end() ? nullptr : found->second;
}

core::Ref<TunnelPeer> TunnelPeers::findOrAdd(const std::string &vm)
{
    if (auto known = find(vm)) {
        return known;
    }
    std::erase_if(m_peers, [this](const auto &item) { return m_roster.find(item.first) == nullptr; });
    return m_peers[vm] = core::makeRef<TunnelPeer>();
}

int TunnelPeers::openTunnels(const std::string &vm) const
{
    const auto peer = find(vm);
    return peer ? peer->openTunnels : 0;
}

TunnelPeers::Preference TunnelPeers::preference(const control::Member &member, const std::string &targetDomain,
                                                core::Time now) const
{
    const auto peer = find(member.vm);
    if (peer && now < peer->avoidedUntil) {
        return Preference::Avoided;
    }
    const bool isNear = member.failureDomain == m_failureDomain || member.failureDomain == targetDomain;
    return isNear ? Preference::Near : Preference::Far;
}

std::optional<control::Member> TunnelPeers::choose(const std::string &targetDomain,
                                                   const std::vector<std::string> &tried, std::mt19937_64 &random,
                                                   core::Time now) const
{
    std::vector<const control::Member *> candidates;
    auto best = Preference::Avoided;
    for (const auto &member : m_roster.members()) {
        const bool usable = member.vm != m_roster.self() && member.state != membership::DaemonState::Draining
            && std::find(tried.begin(), tried.end(), member.vm) == tried.end();
        if (!usable) {
            continue;
        }
        const auto rank = preference(member, targetDomain, now);
        if (candidates.empty() || rank < best) {
            candidates.clear();
            best = rank;
        }
        if (rank == best) {
            candidates.push_back(&member);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
    const auto *first = candidates[draw(random)];
    const auto *second = candidates[draw(random)];
    return openTunnels(second->vm) < openTunnels(first->vm) ? *second : *first;
}

bool TunnelPeers::hasPeers() const
{
    return m_roster.members().size() > 1;
}

} // namespace spurlug::relay
