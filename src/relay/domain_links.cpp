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
constexpr std::size_t EnoughTargets = 2;
/// A link that is down is tried again this long after the last failure; the next failure marks it down again at once.
constexpr auto TriedAgainAfter = absl::Milliseconds(1500);
/// Failures further apart than this are treated as unrelated.
constexpr auto RememberedFor = absl::Seconds(4);

} // namespace

DomainLinks::Pair DomainLinks::pairOf(const std::string &left, const std::string &right)
{
    return left < right ? Pair{left, right} : Pair{right, left};
}

void DomainLinks::failed(const std::string &from, const std::string &to, std::uint32_t target, core::Time now)
{
    if (from == to) {
        return;
    }
    auto &failures = m_failures[pairOf(from, to)];
    if (now - failures.lastAt > RememberedFor) {
        failures.targets.clear();
    }
    failures.lastAt = now;
    auto &targets = failures.targets;
    const bool known = std::find(targets.begin(), targets.end(), target) != targets.end();
    if (!known && targets.size() < EnoughTargets) {
        targets.push_back(target);
    }
}

void DomainLinks::reached(const std::string &from, const std::string &to)
{
    m_failures.erase(pairOf(from, to));
}

bool DomainLinks::parted(const std::string &from, const std::string &to, core::Time now) const
{
    const auto found = m_failures.find(pairOf(from, to));
    return found != m_failures.end() && found->second.targets.size() >= EnoughTargets
        && now - found->second.lastAt < TriedAgainAfter;
}

} // namespace spurlug::relay
