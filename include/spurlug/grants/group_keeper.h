//----------------------------------------------------------------------------------------------------------------------
// spurlug: holds groups of engines and keeps them alive
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/counted.h"
#include "spurlug/core/periodic.h"
#include "spurlug/core/worker_pool.h"
#include "spurlug/fwd.h"
#include "spurlug/targets/engine_control.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace spurlug::grants
{

/// \brief An engine of a group.
struct GroupMember
{
    std::string id;
    core::Address address;
};

/// \brief Where a grant came from, so that it can be renewed and given back.
struct GrantTicket
{
    core::Address broker; ///< RPC address of the broker; port 0 without a grant.
    std::uint64_t grant = 0;
};

/// \brief Engines reserved for one attempt. The last reference gives the memory and the grant back.
class Group : public core::Counted<Group>, public boost::intrusive::list_base_hook<>
{
public:
    ~Group();
    Group(const Group &) = delete;
    Group &operator=(const Group &) = delete;

    /// \brief Members in the fixed order in which they were reserved; the first one leads.
    [[nodiscard]] const std::vector<GroupMember> &members() const noexcept;

    /// \brief Name of the reservation at each member.
    [[nodiscard]] const std::string &reservationId() const noexcept;

private:
    friend class GroupKeeper;
    Group(GroupKeeper &keeper, std::vector<GroupMember> members, targets::Reservation reservation, GrantTicket ticket);

    GroupKeeper &m_keeper;
    const std::vector<GroupMember> m_members;
    const targets::Reservation m_reservation;
    const GrantTicket m_ticket;
};

/// \brief Reserves groups all or nothing and renews those that live. Safe to use from several threads.
///
/// Outlives every group it made.
class GroupKeeper
{
public:
    /// \brief What the keeper asks of grants; called from its own threads.
    struct GrantHooks
    {
        std::function<void(const GrantTicket &)> renew;
        std::function<void(const GrantTicket &)> release;
    };

    /// \param vm Owner of all reservations.
    /// \param incarnation Of the owner.
    GroupKeeper(std::string vm, std::uint64_t incarnation, GrantHooks hooks);
    ~GroupKeeper();
    GroupKeeper(const GroupKeeper &) = delete;
    GroupKeeper &operator=(const GroupKeeper &) = delete;

    /// \brief Reserves memory at each member, in the order of their ids.
    /// \param tokensEach KV memory at each member.
    /// \returns Null when a member refused; what others had given is given back, and the grant too.
    [[nodiscard]] core::Ref<Group> reserve(std::vector<GroupMember> members, const std::string &reservationId,
                                           std::int64_t tokensEach, const GrantTicket &ticket)
        ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Groups that live.
    [[nodiscard]] std::size_t size() const ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    friend class Group;
    using Groups = boost::intrusive::list<Group, boost::intrusive::constant_time_size<true>>;

    core::Duration renewRound() ABSL_LOCKS_EXCLUDED(m_mutex);
    void forget(Group &group) ABSL_LOCKS_EXCLUDED(m_mutex);
    void giveBack(const std::vector<GroupMember> &members, const std::string &reservationId, const GrantTicket &ticket);

    const std::string m_vm;
    const std::uint64_t m_incarnation;
    const GrantHooks m_hooks;
    mutable absl::Mutex m_mutex;
    Groups m_groups ABSL_GUARDED_BY(m_mutex);
    core::WorkerPool m_background;
    std::unique_ptr<core::Periodic> m_renewer;
};

} // namespace spurlug::grants
