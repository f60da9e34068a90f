//----------------------------------------------------------------------------------------------------------------------
// spurlug: which requests end the targets that run them
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/hash.h"
#include "spurlug/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace spurlug::relay
{

/// \brief A life of a target that ended while a request ran there.
struct TargetEnd
{
    std::uint32_t target = 0; ///< lifeHash of that life.
    core::Time at;
};

/// \brief A piece of work and the targets that ended under it.
struct CrashSuspect
{
    core::Digest work; ///< As RequestProgress::digest.
    std::vector<TargetEnd> ends{}; ///< Those that count: not refuted by `ranWellAt`.
    core::Time ranWellAt = absl::InfinitePast(); ///< When it ran to an end last and its target lived.
    std::size_t mostEnds = 0; ///< Most ends that this daemon ever knew of at once.

    [[nodiscard]] core::Time lastEndAt() const noexcept;
};

/// \brief Counts the targets that ended under each piece of work, and quarantines work that ended several.
///
/// A request that crashes its target takes everything with it that runs there, and its caller sends it again under
/// another id, to any daemon. So work is told apart by its content, and what daemons know is a set of facts, which life
/// ended under which work, and when the work last ran well: words between them may come twice, late or in any order,
/// and the sum is the same.
///
/// A target ends with all requests that run there. What keeps innocent work out: only ends count, no broken connections
/// (the caller makes sure of that); three of them are needed, and a request with its caller's second try sees four
/// targets at most; and work that ran well refutes the ends known of it and those of some seconds after, wherever it
/// did: what many callers ask is at all targets of a rack that is lost, and runs well a moment before.
class CrashLedger
{
public:
    /// Ends until work is quarantined. A rack that is lost ends one target under most of its requests, two under some;
    /// 64 of 264 requests beside the crashing ones of an incident lost two engines, none of them three.
    static constexpr std::size_t EndsToQuarantine = 3;
    /// From the last end until quarantined work is tried again, by one daemon; doubles with each further end. Engines
    /// are mended by releases, which take minutes.
    static constexpr auto FirstTrialAfter = absl::Seconds(60);
    /// Work is forgotten this long after the last end under it.
    static constexpr auto Memory = absl::Hours(1);
    /// Work that ran well within this time before a target ended did not end it. Copies of popular work come more
    /// often, and a new version of an engine that some work ends is out for longer.
    static constexpr auto SurvivalSpan = absl::Seconds(10);
    static constexpr std::size_t MostSuspects = 256; ///< Some 50 KB.
    static constexpr std::size_t MostEnds = 16; ///< Kept of one piece of work; further ones change nothing.

    CrashLedger();

    /// \name Commands
    /// @{

    /// \brief Notes that a target ended while work ran there.
    /// \returns Whether that is news that counts.
    bool targetEnded(const core::Digest &work, std::uint32_t target, core::Time now);
    /// \brief Notes that work ran to an end and its target lives.
    /// \returns Whether that refuted ends.
    bool survived(const core::Digest &work, core::Time now);
    /// \brief What came of another daemon's word.
    struct Merged
    {
        bool news = false; ///< Some of it was not known.
        bool refuted = false; ///< This daemon knows better: the work ran well here. The others must be told.
    };

    /// \brief Takes what another daemon knows of one piece of work.
    Merged merge(const CrashSuspect &told, core::Time now);
    /// \brief Takes the next trial of quarantined work, if it is due.
    [[nodiscard]] bool takeTrial(const core::Digest &work, core::Time now);
    /// \brief Work of which something changed since the last call.
    [[nodiscard]] std::vector<CrashSuspect> takeChanges();

    /// @}
    /// \name Queries
    /// @{

    /// \brief Whether the work must not be sent to a target.
    [[nodiscard]] bool quarantined(const core::Digest &work) const;
    /// \brief Ends that count against the work.
    [[nodiscard]] std::size_t ends(const core::Digest &work) const;
    /// \brief Quarantined work, and other work whose last end is younger than `span`; in a random order.
    /// \param pick A random number.
    [[nodiscard]] std::vector<CrashSuspect> recent(core::Duration span, std::size_t most, std::uint64_t pick,
                                                   core::Time now) const;
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_suspects.size();
    }

    /// @}

private:
    struct Known
    {
        CrashSuspect suspect;
        core::Time triedAt = absl::InfinitePast();
    };

    /// When some work ran well last. Work that shares a slot with newer work is forgotten: popular work is back soon.
    struct Survival
    {
        core::Digest work;
        core::Time at = absl::InfinitePast();
    };

    [[nodiscard]] CrashSuspect &suspect(const core::Digest &work, core::Time now);
    /// When work ran well here last.
    [[nodiscard]] core::Time ranWellHere(const core::Digest &work) const;
    void forgetOld(core::Time now);
    void makeRoom();

    std::map<core::Digest, Known> m_suspects;
    std::set<core::Digest> m_changed;
    std::vector<Survival> m_survivals; ///< By digest, modulo its size.
};

} // namespace spurlug::relay
