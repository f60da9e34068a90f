//----------------------------------------------------------------------------------------------------------------------
// spurlug: reachability between failure domains, derived from the outcome of requests
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/domain_links.h"

#include <algorithm>

namespace spurlug::relay
{

namespace
{

/// A single unreachable target is taken to have failed itself.
constexpr std::size_t MinFailedTargets = 2;
/// A link that is down is tried again this long after the last failure; the next failure marks it down again at once.
constexpr auto RetryDelay = absl::Milliseconds(1500);
/// Failures further apart than this are treated as unrelated.
constexpr auto FailureRetention = absl::Seconds(4);

} // namespace

DomainLinks::DomainPair DomainLinks::domainPair(const std::string &left, const std::string &right)
{
    return left < right ? DomainPair{left, right} : DomainPair{right, left};
}

void DomainLinks::noteFailure(const std::string &from, const std::string &to, std::uint32_t target, core::Time now)
{
    if (from == to) {
        return;
    }
    auto &failures = m_failures[domainPair(from, to)];
    if (now - failures.lastAt > FailureRetention) {
        failures.targets.clear();
    }
    failures.lastAt = now;
    auto &targets = failures.targets;
    const bool known = std::find(targets.begin(), targets.end(), target) != targets.end();
    if (!known && targets.size() < MinFailedTargets) {
        targets.push_back(target);
    }
}

void DomainLinks::noteSuccess(const std::string &from, const std::string &to)
{
    m_failures.erase(domainPair(from, to));
}

bool DomainLinks::isDown(const std::string &from, const std::string &to, core::Time now) const
{
    const auto found = m_failures.find(domainPair(from, to));
    return found != m_failures.end() && found->second.targets.size() >= MinFailedTargets
        && now - found->second.lastAt < RetryDelay;
}

} // namespace spurlug::relay
