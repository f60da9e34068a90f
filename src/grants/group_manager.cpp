//----------------------------------------------------------------------------------------------------------------------
// spurlug: reservation and renewal of engine groups
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/grants/group_manager.h"

#include <algorithm>
#include <utility>

namespace spurlug::grants
{

namespace
{

constexpr auto ReservationTtl = absl::Seconds(6);
constexpr auto RenewInterval = absl::Seconds(1);
constexpr std::size_t BackgroundThreads = 8;
constexpr std::size_t MaxBackgroundTasks = 65536;

} // namespace

Group::Group(GroupManager &manager, std::vector<GroupMember> members, targets::Reservation reservation,
             GrantTicket ticket)
    : m_manager(manager)
    , m_members(std::move(members))
    , m_reservation(std::move(reservation))
    , m_ticket(std::move(ticket))
{ }

Group::~Group()
{
    m_manager.unregister(*this);
    m_manager.releaseAll(m_members, m_reservation.id, m_ticket);
}

const std::vector<GroupMember> &Group::members() const noexcept
{
    return m_members;
}

const std::string &Group::reservationId() const noexcept
{
    return m_reservation.id;
}

GroupManager::GroupManager(std::string vm, std::uint64_t incarnation, GrantCallbacks callbacks)
    : m_vm(std::move(vm))
    , m_incarnation(incarnation)
    , m_callbacks(std::move(callbacks))
    , m_backgroundPool(BackgroundThreads, MaxBackgroundTasks)
    , m_renewer(std::make_unique<core::PeriodicThread>("reservations", [this] { return renewRound(); }))
{ }

GroupManager::~GroupManager()
{
    m_renewer.reset();
    m_backgroundPool.stop();
}

core::Ref<Group> GroupManager::reserve(std::vector<GroupMember> members, const std::string &reservationId,
                                       std::int64_t tokensPerMember, const GrantTicket &ticket)
{
    std::sort(members.begin(), members.end(), [](const auto &left, const auto &right) { return left.id < right.id; });
    const targets::Reservation reservation{reservationId, m_vm, m_incarnation, tokensPerMember, ReservationTtl};
    for (const auto &member : members) {
        if (!targets::EngineControl(member.address).reserve(reservation)) {
            releaseAll(members, reservationId, ticket);
            return nullptr;
        }
    }
    core::Ref<Group> group(new Group(*this, std::move(members), reservation, ticket));
    absl::MutexLock lock(&m_mutex);
    m_groups.push_back(*group);
    return group;
}

std::size_t GroupManager::size() const
{
    absl::MutexLock lock(&m_mutex);
    return m_groups.size();
}

core::Duration GroupManager::renewRound()
{
    absl::MutexLock lock(&m_mutex);
    for (const auto &group : m_groups) {
        for (const auto &member : group.m_members) {
            [[maybe_unused]] const bool queued
                = m_backgroundPool.trySubmit([address = member.address, reservation = group.m_reservation] {
                      [[maybe_unused]] const bool renewed = targets::EngineControl(address).reserve(reservation);
                  });
        }
        [[maybe_unused]] const bool queued
            = m_backgroundPool.trySubmit([this, ticket = group.m_ticket] { m_callbacks.renew(ticket); });
    }
    return RenewInterval;
}

void GroupManager::unregister(Group &group)
{
    absl::MutexLock lock(&m_mutex);
    if (group.is_linked()) {
        m_groups.erase(m_groups.iterator_to(group));
    }
}

void GroupManager::releaseAll(const std::vector<GroupMember> &members, const std::string &reservationId,
                              const GrantTicket &ticket)
{
    m_backgroundPool.submit([this, members, reservationId, ticket] {
        for (const auto &member : members) {
            targets::EngineControl(member.address).release(reservationId);
        }
        m_callbacks.release(ticket);
    });
}

} // namespace spurlug::grants
