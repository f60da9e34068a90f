//----------------------------------------------------------------------------------------------------------------------
// spurlug: reservation and renewal of engine groups
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/grants/group_keeper.h"

#include <algorithm>
#include <utility>

namespace spurlug::grants
{

namespace
{

constexpr auto ReservationTtl = absl::Seconds(6);
constexpr auto RenewInterval = absl::Seconds(1);
constexpr std::size_t BackgroundThreads = 8;
constexpr std::size_t MostBackgroundTasks = 65536;

} // namespace

Group::Group(GroupKeeper &keeper, std::vector<GroupMember> members, targets::Reservation reservation,
             GrantTicket ticket)
    : m_keeper(keeper)
    , m_members(std::move(members))
    , m_reservation(std::move(reservation))
    , m_ticket(std::move(ticket))
{ }

Group::~Group()
{
    m_keeper.forget(*this);
    m_keeper.giveBack(m_members, m_reservation.id, m_ticket);
}

const std::vector<GroupMember> &Group::members() const noexcept
{
    return m_members;
}

const std::string &Group::reservationId() const noexcept
{
    return m_reservation.id;
}

GroupKeeper::GroupKeeper(std::string vm, std::uint64_t incarnation, GrantHooks hooks)
    : m_vm(std::move(vm))
    , m_incarnation(incarnation)
    , m_hooks(std::move(hooks))
    , m_background(BackgroundThreads, MostBackgroundTasks)
    , m_renewer(std::make_unique<core::Periodic>("reservations", [this] { return renewRound(); }))
{ }

GroupKeeper::~GroupKeeper()
{
    m_renewer.reset();
    m_background.stop();
}

core::Ref<Group> GroupKeeper::reserve(std::vector<GroupMember> members, const std::string &reservationId,
                                      std::int64_t tokensEach, const GrantTicket &ticket)
{
    std::sort(members.begin(), members.end(), [](const auto &left, const auto &right) { return left.id < right.id; });
    const targets::Reservation reservation{reservationId, m_vm, m_incarnation, tokensEach, ReservationTtl};
    for (const auto &member : members) {
        if (!targets::EngineControl(member.address).reserve(reservation)) {
            giveBack(members, reservationId, ticket);
            return nullptr;
        }
    }
    core::Ref<Group> group(new Group(*this, std::move(members), reservation, ticket));
    absl::MutexLock lock(&m_mutex);
    m_groups.push_back(*group);
    return group;
}

std::size_t GroupKeeper::size() const
{
    absl::MutexLock lock(&m_mutex);
    return m_groups.size();
}

core::Duration GroupKeeper::renewRound()
{
    absl::MutexLock lock(&m_mutex);
    for (const auto &group : m_groups) {
        for (const auto &member : group.m_members) {
            [[maybe_unused]] const bool queued
                = m_background.tryRun([address = member.address, reservation = group.m_reservation] {
                      [[maybe_unused]] const bool kept = targets::EngineControl(address).reserve(reservation);
                  });
        }
        [[maybe_unused]] const bool queued
            = m_background.tryRun([this, ticket = group.m_ticket] { m_hooks.renew(ticket); });
    }
    return RenewInterval;
}

void GroupKeeper::forget(Group &group)
{
    absl::MutexLock lock(&m_mutex);
    if (group.is_linked()) {
        m_groups.erase(m_groups.iterator_to(group));
    }
}

void GroupKeeper::giveBack(const std::vector<GroupMember> &members, const std::string &reservationId,
                           const GrantTicket &ticket)
{
    m_background.run([this, members, reservationId, ticket] {
        for (const auto &member : members) {
            targets::EngineControl(member.address).release(reservationId);
        }
        m_hooks.release(ticket);
    });
}

} // namespace spurlug::grants
