//----------------------------------------------------------------------------------------------------------------------
// spurlug: live daemons and the assignment of roles to them
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/enum_names.h"
#include "spurlug/membership/peer_table.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

namespace spurlug::control
{

/// \brief A task that a few daemons perform for the others.
enum class Role
{
    Scheduler, ///< Chooses engines for prompts.
    DirectoryReader, ///< Reads the directory on behalf of its failure domain.
    Registrar, ///< Keeps the complete list of the daemons of its failure domain.
};

/// \brief Number of registrars in a failure domain; each receives the heartbeats of all its daemons.
inline constexpr std::size_t RegistrarsPerDomain = 3;

/// \brief A live daemon with the properties that determine its roles.
struct Member
{
    std::string vm; ///< Name of its VM.
    std::string failureDomain;
    double processorShare = 0; ///< Fraction of a core; 0 if not known.
    membership::DaemonState state = membership::DaemonState::Serving;
    core::Address datagramAddress; ///< Address for datagrams.
    core::Address controlAddress; ///< Address for requests of other daemons.
};

/// \brief Live daemons, including this one, and the order in which they hold roles.
///
/// There is no election: daemons that know the same members compute the same order, and a temporary disagreement costs
/// only efficiency. VMs with a larger processor share come first, because a role costs processor time that small VMs
/// need for callers. Rendezvous hashing breaks ties, so that few roles move when a daemon joins or leaves. Leaving
/// daemons hold no role. A scheduler must know the work in progress, so serving daemons come before those that have
/// just started. Readers and registrars need no such history, and must not change while a fleet starts to serve.
/// Registrars are ordered like schedulers, and are the first candidates for that role once all daemons serve.
class Roster
{
public:
    /// \param self Name of this daemon's VM.
    explicit Roster(std::string self);

    /// \brief Replaces the members, which include this daemon.
    void replace(std::vector<Member> members);
    /// \brief Sets the total number of live daemons; of a large fleet, most are known only as part of this count.
    void setFleetSize(std::size_t size) noexcept
    {
        m_fleetSize = size;
    }

    /// \brief Name of this daemon's VM.
    [[nodiscard]] const std::string &self() const noexcept
    {
        return m_self;
    }

    /// \brief Number of live daemons, including this one and those that are not listed in `members`.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return std::max(m_fleetSize, m_members.size());
    }

    /// \brief Holders of a role in all failure domains, in order of rank.
    /// \param maxCount Maximum number of holders to return.
    [[nodiscard]] std::vector<Member> holders(Role role, std::size_t maxCount) const;
    /// \brief Holders of a role in one failure domain, in order of rank.
    [[nodiscard]] std::vector<Member> holdersIn(const std::string &failureDomain, Role role,
                                                std::size_t maxCount) const;
    /// \brief Whether this daemon is among the first `most` holders of a role in its failure domain. Also true while
    /// this daemon is not yet a member.
    [[nodiscard]] bool holdsLocally(Role role, std::size_t maxCount) const;

    /// \brief Whether this daemon is a registrar of its failure domain.
    [[nodiscard]] bool isRegistrar() const
    {
        return holdsLocally(Role::Registrar, RegistrarsPerDomain);
    }

    /// \brief Failure domains that have members.
    [[nodiscard]] std::vector<std::string> failureDomains() const;
    /// \brief Number of members for which a predicate holds.
    template<typename Predicate>
    [[nodiscard]] std::size_t count(Predicate predicate) const
    {
        return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), predicate));
    }
    /// \brief Members known by name, including this daemon: the holders of roles and the next candidates and, if this
    /// daemon is a registrar, all daemons of its failure domain.
    [[nodiscard]] const std::vector<Member> &members() const noexcept
    {
        return m_members;
    }
    /// \brief Finds a member by VM name; null if there is none.
    [[nodiscard]] const Member *find(const std::string &vm) const;

private:
    template<typename Wanted>
    [[nodiscard]] std::vector<Member> rankedMembers(Role role, std::size_t maxCount, Wanted accepts) const;

    std::string m_self;
    std::vector<Member> m_members;
    std::size_t m_fleetSize = 0;
};

} // namespace spurlug::control

namespace spurlug::core
{

template<>
struct EnumNames<control::Role>
{
    using Role = control::Role;
    static constexpr std::array table{
        EnumName<Role>{Role::Scheduler, "scheduler"},
        EnumName<Role>{Role::DirectoryReader, "reader"},
        EnumName<Role>{Role::Registrar, "registrar"},
    };
};

} // namespace spurlug::core
