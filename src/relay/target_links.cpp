//----------------------------------------------------------------------------------------------------------------------
// spurlug: state of this daemon's own links to targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/target_links.h"

#include <algorithm>

namespace spurlug::relay
{

namespace
{

/// A single link that is down may concern its target's host only.
constexpr std::ptrdiff_t MinDownLinks = 2;
/// How long a link counts as down without a further failure.
constexpr auto DownLinkRetention = absl::Seconds(10);
/// Interval between trials of a link that is down. A trial delays no request: the peer is asked at the same time.
constexpr auto TrialInterval = absl::Milliseconds(250);
/// Targets that must have been tried by all paths before requests are refused: fewer may have failed themselves.
constexpr std::size_t MinUnreachedTargets = 3;
/// Bytes that arrive so much later than a link went down were not in transit then.
constexpr auto TransitTime = absl::Milliseconds(300);
/// How long requests are refused without a further trial.
constexpr auto UnreachedRetention = absl::Seconds(1);

} // namespace

void TargetLinks::noteConnected(const TargetEntry &target, core::Time now)
{
    auto &links = m_services[target.service];
    links.lastConnectedAt = std::max(links.lastConnectedAt, now);
    links.downSince = absl::InfiniteFuture();
    links.downLinks.erase(target.address.text());
    links.unreachedTargets.clear();
}

void TargetLinks::noteBytes(const TargetEntry &target, core::Time now)
{
    m_services[target.service].lastBytesAt = now;
}

void TargetLinks::noteBypassed(const TargetEntry &target, core::Time now)
{
    auto &links = m_services[target.service];
    std::erase_if(links.downLinks, [now](const auto &item) { return now - item.second.notedAt > DownLinkRetention; });
    links.downLinks[target.address.text()] = {now, now};
    links.triedAt = now;
    links.downSince = std::min(links.downSince, now);
}

void TargetLinks::noteUnreached(const TargetEntry &target, core::Time now)
{
    auto &links = m_services[target.service];
    if (now - links.unreachedAt > UnreachedRetention) {
        links.unreachedTargets.clear();
    }
    links.unreachedTargets.insert(target.address.text());
    links.unreachedAt = now;
}

void TargetLinks::noteReachedThroughPeer(const TargetEntry &target)
{
    m_services[target.service].unreachedTargets.clear();
}

bool TargetLinks::startTrial(const TargetEntry &target, core::Time now)
{
    auto &links = m_services[target.service];
    const auto found = links.downLinks.find(target.address.text());
    const bool allDown = areAllDown(links, now);
    auto &triedAt = found == links.downLinks.end() || allDown ? links.triedAt : found->second.triedAt;
    if (now - triedAt < TrialInterval) {
        return false;
    }
    triedAt = now;
    return true;
}

bool TargetLinks::refusesRequest(const std::string &service, core::Time now)
{
    if (!isNothingReachable(service, now)) {
        return false;
    }
    auto &links = m_services[service];
    if (now - links.requestPassedAt >= TrialInterval) {
        links.requestPassedAt = now;
        return false;
    }
    return true;
}

const TargetLinks::ServiceLinks *TargetLinks::find(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

bool TargetLinks::areAllDown(const ServiceLinks &links, core::Time now)
{
    const auto count = std::count_if(links.downLinks.begin(), links.downLinks.end(), [&](const auto &item) {
        const auto notedAt = item.second.notedAt;
        return notedAt > links.lastConnectedAt && now - notedAt <= DownLinkRetention;
    });
    return count >= MinDownLinks;
}

bool TargetLinks::areAllDown(const std::string &service, core::Time now) const
{
    const auto *links = find(service);
    return links != nullptr && areAllDown(*links, now);
}

bool TargetLinks::isDown(const TargetEntry &target, core::Time now) const
{
    const auto *links = find(target.service);
    if (links == nullptr || links->downLinks.empty()) {
        return false;
    }
    const auto found = links->downLinks.find(target.address.text());
    const bool known = found != links->downLinks.end() && now - found->second.notedAt <= DownLinkRetention;
    return known || areAllDown(*links, now);
}

bool TargetLinks::isNothingReachable(const std::string &service, core::Time now) const
{
    const auto *links = find(service);
    return links != nullptr && links->unreachedTargets.size() >= MinUnreachedTargets
        && now - links->unreachedAt <= UnreachedRetention;
}

bool TargetLinks::openConnectionsWork(const std::string &service) const
{
    const auto *links = find(service);
    return links != nullptr && links->lastBytesAt > links->downSince + TransitTime;
}

core::Time TargetLinks::lastConnectedAt(const std::string &service) const
{
    const auto *links = find(service);
    return links == nullptr ? absl::InfinitePast() : links->lastConnectedAt;
}

} // namespace spurlug::relay
