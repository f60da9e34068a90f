//----------------------------------------------------------------------------------------------------------------------
// spurlug: live daemons and the assignment of roles to them
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/control/roster.h"

#include "spurlug/core/rendezvous.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace spurlug::control
{

namespace
{

/// Sort key of a member; the largest comes first.
using Rank = std::tuple<bool, double, std::uint64_t>;

Rank rankOf(const Member &member, Role role)
{
    const bool preferred = role != Role::Scheduler || member.state == membership::DaemonState::Serving;
    const auto rankingRole = role == Role::Registrar ? Role::Scheduler : role;
    return {preferred, member.processorShare, core::rendezvousWeight(core::nameOf(rankingRole), member.vm)};
}

} // namespace

Roster::Roster(std::string self)
    : m_self(std::move(self))
{ }

void Roster::replace(std::vector<Member> members)
{
    m_members = std::move(members);
}

template<typename Wanted>
std::vector<Member> Roster::rankedMembers(Role role, std::size_t maxCount, Wanted accepts) const
{
    std::vector<std::pair<Rank, const Member *>> candidates;
    for (const auto &member : m_members) {
        const bool isLeaving = member.state == membership::DaemonState::Draining;
        if (!isLeaving && accepts(member)) {
            candidates.emplace_back(rankOf(member, role), &member);
        }
    }
    const auto count = std::min(maxCount, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(),
                      [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<Member> holders;
    for (std::size_t i = 0; i < count; ++i) {
        holders.push_back(*candidates[i].second);
    }
    return holders;
}

std::vector<Member> Roster::holders(Role role, std::size_t maxCount) const
{
    return rankedMembers(role, maxCount, [](const Member &) { return true; });
}

std::vector<Member> Roster::holdersIn(const std::string &failureDomain, Role role, std::size_t maxCount) const
{
    return rankedMembers(role, maxCount,
                         [&failureDomain](const Member &member) { return member.failureDomain == failureDomain; });
}

bool Roster::holdsLocally(Role role, std::size_t maxCount) const
{
    const auto *ownMember = find(m_self);
    if (ownMember == nullptr) {
        return true; // No members are known yet, so this daemon performs the role for itself.
    }
    const auto holders = holdersIn(ownMember->failureDomain, role, maxCount);
    return std::any_of(holders.begin(), holders.end(), [this](const Member &member) { return member.vm == m_self; });
}

std::vector<std::string> Roster::failureDomains() const
{
    std::set<std::string> domains;
    for (const auto &member : m_members) {
        domains.insert(member.failureDomain);
    }
    return {domains.begin(), domains.end()};
}

const Member *Roster::find(const std::string &vm) const
{
    const auto found
        = std::find_if(m_members.begin(), m_members.end(), [&vm](const Member &member) { return member.vm == vm; });
    return found == m_members.end() ? nullptr : &*found;
}

} // namespace spurlug::control
