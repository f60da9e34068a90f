//----------------------------------------------------------------------------------------------------------------------
// spurlug: which daemon holds which role
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

/// \brief A duty that few daemons have for the others.
enum class Role
{
    Scheduler, ///< Chooses engines for prompts.
    Reader, ///< Reads the directory for its failure domain.
    Registrar, ///< Keeps the list of its failure domain's daemons.
};

/// Daemons of a failure domain that keep its list and hear all of it.
inline constexpr std::size_t Registrars = 3;

/// \brief A daemon that lives, as far as roles depend on it.
struct Member
{
    std::string vm;
    std::string failureDomain;
    double processorShare = 0; ///< Of a core; 0: not known.
    membership::DaemonState state = membership::DaemonState::Serving;
    core::Address datagrams; ///< Where it takes datagrams.
    core::Address control; ///< Where it takes requests of other daemons.
};

/// \brief Daemons that live, this one included, and the order in which they hold roles.
///
/// Nobody is elected: daemons that hear the same others come to the same order, and two that disagree for a moment cost
/// efficiency only. VMs with a larger share of a processor come before smaller ones (a role costs processor time that
/// small VMs need for callers), then rendezvous hashing decides, so that a daemon that comes or goes moves few roles.
/// Daemons that stop hold none. As schedulers, which must know of work, those that serve come before those that have
/// just started. Readers and registrars need no past, and must not change while a fleet begins to serve; registrars are
/// the first that may schedule once all do.
class Roster
{
public:
    /// \param self Name of this daemon's VM.
    explicit Roster(std::string self);

    /// \brief Replaces the members; this daemon is one of them.
    void replace(std::vector<Member> members);
    /// \brief Notes how many daemons live in all: most of a large fleet are known by their number only.
    void noteSize(std::size_t size) noexcept
    {
        m_size = size;
    }

    [[nodiscard]] const std::string &self() const noexcept
    {
        return m_self;
    }

    /// \brief Daemons that live, this one included, whether they are members by name or not.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return std::max(m_size, m_members.size());
    }

    /// \brief Holders of a role in order, over all failure domains.
    /// \param most Most of them.
    [[nodiscard]] std::vector<Member> holders(Role role, std::size_t most) const;
    /// \brief Holders of a role in one failure domain.
    [[nodiscard]] std::vector<Member> holdersIn(const std::string &failureDomain, Role role, std::size_t most) const;
    /// \brief Whether this daemon is among the first `most` of its failure domain.
    [[nodiscard]] bool holdsAtHome(Role role, std::size_t most) const;

    /// \brief Whether this daemon keeps the list of its failure domain.
    [[nodiscard]] bool isRegistrar() const
    {
        return holdsAtHome(Role::Registrar, Registrars);
    }

    /// \brief Failure domains that have members.
    [[nodiscard]] std::vector<std::string> failureDomains() const;
    /// \brief How many members a predicate holds for.
    template<typename Predicate>
    [[nodiscard]] std::size_t count(Predicate holds) const
    {
        return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), holds));
    }
    /// \brief The members by name, this daemon included: those that hold roles or would be next, and in a failure
    /// domain whose list this daemon keeps all.
    [[nodiscard]] const std::vector<Member> &members() const noexcept
    {
        return m_members;
    }
    /// \brief A member; null when there is none of that name.
    [[nodiscard]] const Member *find(const std::string &vm) const;

private:
    template<typename Wanted>
    [[nodiscard]] std::vector<Member> ranked(Role role, std::size_t most, Wanted wanted) const;

    std::string m_self;
    std::vector<Member> m_members;
    std::size_t m_size = 0;
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
        EnumName<Role>{Role::Reader, "reader"},
        EnumName<Role>{Role::Registrar, "registrar"},
    };
};

} // namespace spurlug::core
