//----------------------------------------------------------------------------------------------------------------------
// spurlug: reservation and renewal of engine groups
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/counted.h"
#include "spurlug/core/periodic_thread.h"
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
    std::string id; ///< Of the engine.
    core::Address address;
};

/// \brief Identifies a grant and its broker, for renewal and release.
struct GrantTicket
{
    core::Address broker; ///< RPC address of the broker; port 0 if there is no grant.
    std::uint64_t grant = 0; ///< Id of the grant.
};

/// \brief Engines reserved for one attempt. Dropping the last reference releases the memory and the grant.
class Group : public core::RefCounted<Group>, public boost::intrusive::list_base_hook<>
{
public:
    ~Group();
    Group(const Group &) = delete;
    Group &operator=(const Group &) = delete;

    /// \brief Members in the order of their reservation, by id; the first one is the leader.
    [[nodiscard]] const std::vector<GroupMember> &members() const noexcept;

    /// \brief Id of the reservation, the same at each member.
    [[nodiscard]] const std::string &reservationId() const noexcept;

private:
    friend class GroupManager;
    Group(GroupManager &manager, std::vector<GroupMember> members, targets::Reservation reservation,
          GrantTicket ticket);

    GroupManager &m_manager;
    const std::vector<GroupMember> m_members;
    const targets::Reservation m_reservation;
    const GrantTicket m_ticket;
};

/// \brief Reserves groups of engines, all members or none, and renews the existing ones. Thread-safe.
///
/// Must outlive every group that it created.
class GroupManager
{
public:
    /// \brief Callbacks that renew and release grants; called from the keeper's own threads.
    struct GrantCallbacks
    {
        std::function<void(const GrantTicket &)> renew;
        std::function<void(const GrantTicket &)> release;
    };

    /// \param vm Name of the VM that owns all reservations.
    /// \param incarnation Incarnation of the owner.
    GroupManager(std::string vm, std::uint64_t incarnation, GrantCallbacks callbacks);
    ~GroupManager();
    GroupManager(const GroupManager &) = delete;
    GroupManager &operator=(const GroupManager &) = delete;

    /// \brief Reserves memory at each member, in the order of their ids.
    /// \param tokensPerMember KV memory at each member.
    /// \returns Null if a member refused or did not answer; all reservations and the grant are then released.
    [[nodiscard]] core::Ref<Group> reserve(std::vector<GroupMember> members, const std::string &reservationId,
                                           std::int64_t tokensPerMember, const GrantTicket &ticket)
        ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Number of existing groups.
    [[nodiscard]] std::size_t size() const ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    friend class Group;
    using Groups = boost::intrusive::list<Group, boost::intrusive::constant_time_size<true>>;

    core::Duration renewRound() ABSL_LOCKS_EXCLUDED(m_mutex);
    void unregister(Group &group) ABSL_LOCKS_EXCLUDED(m_mutex);
    void releaseAll(const std::vector<GroupMember> &members, const std::string &reservationId,
                    const GrantTicket &ticket);

    const std::string m_vm;
    const std::uint64_t m_incarnation;
    const GrantCallbacks m_callbacks;
    mutable absl::Mutex m_mutex;
    Groups m_groups ABSL_GUARDED_BY(m_mutex);
    core::WorkerPool m_backgroundPool;
    std::unique_ptr<core::PeriodicThread> m_renewer;
};

} // namespace spurlug::grants
