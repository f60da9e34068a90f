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
    const bool serves = role != Role::Scheduler || member.state == membership::DaemonState::Serving;
    const auto ordered = role == Role::Registrar ? Role::Scheduler : role;
    return {serves, member.processorShare, core::rendezvousWeight(core::nameOf(ordered), member.vm)};
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
std::vector<Member> Roster::ranked(Role role, std::size_t most, Wanted wanted) const
{
    std::vector<std::pair<Rank, const Member *>> order;
    for (const auto &member : m_members) {
        const bool leaves = member.state == membership::DaemonState::Leaving;
        if (!leaves && wanted(member)) {
            order.emplace_back(rankOf(member, role), &member);
        }
    }
    const auto count = std::min(most, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(),
                      [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<Member> holders;
    for (std::size_t i = 0; i < count; ++i) {
        holders.push_back(*order[i].second);
    }
    return holders;
}

std::vector<Member> Roster::holders(Role role, std::size_t most) const
{
    return ranked(role, most, [](const Member &) { return true; });
}

std::vector<Member> Roster::holdersIn(const std::string &failureDomain, Role role, std::size_t most) const
{
    return ranked(role, most, [&failureDomain](const Member &member) { return member.failureDomain == failureDomain; });
}

bool Roster::holdsAtHome(Role role, std::size_t most) const
{
    const auto *own = find(m_self);
    if (own == nullptr) {
        return true; // No members are known yet, so this daemon performs the role for itself.
    }
    const auto holders = holdersIn(own->failureDomain, role, most);
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
