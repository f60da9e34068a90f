//----------------------------------------------------------------------------------------------------------------------
// spurlug: whom a daemon learns configuration and targets from
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/control/messages.h"
#include "spurlug/control/roster.h"
#include "spurlug/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace spurlug::control
{

/// \brief A question to a source of knowledge.
struct SourceQuestion
{
    Member source;
    std::uint64_t number = 0;
};

/// \brief Decides whether this daemon reads the directory itself, and which daemon it asks otherwise.
///
/// Answers the pattern in which each daemon of a large fleet waits on the directory for itself: its calls then grow
/// with the fleet, and cost the more the fewer requests each daemon sees. A few readers a failure domain wait on it
/// instead; the others ask one of them several times a second. An answer counts from the moment of its question, so a
/// reader that is paused, or a datagram that is late, makes nothing look newer than it is.
///
/// A daemon asks the readers at home first, then one of each other failure domain. One that does not answer, or whose
/// own knowledge is old, is passed over for a while. When all are, the daemon reads the directory itself, after a wait
/// that is drawn at random, so that a fleet that lost its readers does not fall on the directory at once.
class SourceChoice
{
public:
    /// \param seed Of the random wait.
    /// \param startedAt When this daemon's life began.
    SourceChoice(const Roster &roster, std::string failureDomain, int readersPerDomain, std::uint64_t seed,
                 core::Time startedAt);

    /// \name Commands
    /// @{

    /// \brief The question that is due now, if any.
    /// \param ownContact When the directory was last asked by this daemon for what it answered.
    [[nodiscard]] std::optional<SourceQuestion> next(core::Time ownContact, core::Time now);

    /// \brief Takes an answer.
    /// \returns When its question was sent; nothing when it is not awaited (any more).
    [[nodiscard]] std::optional<core::Time> answered(const ProofAnswer &answer, core::Time now);

    /// @}

    /// \brief Whether this daemon should read the directory itself.
    [[nodiscard]] bool readsItself(core::Time now) const;

    /// \brief Whether the last questions, to different daemons, all stayed without an answer: this daemon is cut off.
    [[nodiscard]] bool isolated() const noexcept;

    /// \brief Whether this daemon is one of the readers of its failure domain.
    [[nodiscard]] bool isReader() const;

private:
    struct Asked
    {
        std::string vm;
        std::uint64_t number = 0;
        core::Time at = absl::InfinitePast();
        bool open = false;
    };

    void passOver(const std::string &vm, core::Time now);
    [[nodiscard]] std::optional<Member> source(core::Time now) const;
    [[nodiscard]] std::vector<Member> sources() const;

    const Roster &m_roster;
    const std::string m_failureDomain;
    const std::size_t m_readersPerDomain;
    std::mt19937_64 m_random;
    const core::Time m_startedAt;
    Asked m_asked;
    int m_unanswered = 0; ///< Questions in a row.
    std::map<std::string, core::Time> m_passedOverUntil;
    core::Time m_freshAt; ///< When some other daemon's knowledge was the directory's.
    core::Duration m_patience; ///< Age of that at which this daemon reads the directory itself.
};

} // namespace spurlug::control
