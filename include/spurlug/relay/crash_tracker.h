//----------------------------------------------------------------------------------------------------------------------
// spurlug: detection and quarantine of content and prompt parts that crash targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/hash.h"
#include "spurlug/core/time.h"
#include "spurlug/relay/crash_suspect.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace spurlug::relay
{

/// \brief Counts the targets that crashed while running requests with certain content or with certain prompt parts, and
/// quarantines what crashes targets.
///
/// A request that crashes its target takes down all requests running there, and its caller resends it under another id
/// to any daemon; others may have the same part in their prompts. Crashes are therefore counted by content and by part.
/// Daemons share a set of facts: which incarnation crashed under which suspect, and when such a request last went well.
/// Messages about them may be duplicated, late or reordered without changing the result.
///
/// A crash of a target affects all requests that run there. Four rules keep harmless requests out of quarantine. Only
/// crashes count, not broken connections (ensured by the caller). Several crashes are needed (`crashesToQuarantine`). A
/// run that goes well refutes the known crashes and those of the following seconds on any target (`successSpan`):
/// popular content runs on all targets of a rack that is lost, and succeeded shortly before. What others explain is not
/// blamed (`attributeCrashes`).
class CrashTracker
{
public:
    /// Time from the last crash until one daemon tries quarantined content again; doubles with each further crash.
    /// Engines are fixed by releases, which take minutes.
    static constexpr auto FirstTrialDelay = absl::Seconds(60);
    /// Content is forgotten this long after its last crash or completed run.
    static constexpr auto Retention = absl::Hours(1);
    static constexpr std::size_t MaxSuspects = 1024; ///< With their crashes at most 700 KB.
    /// Crashes kept for one suspect. Further ones would only help to spare what ran beside it.
    static constexpr std::size_t MaxCrashes = 32;

    CrashTracker();

    /// \name Commands
    /// @{

    /// \brief Records that a target crashed while a request with this content or part ran there.
    /// \returns Whether the crash is new and counts.
    bool noteCrash(const core::Digest &digest, std::uint32_t target, core::Time now,
                   SuspectKind kind = SuspectKind::Content);
    /// \brief Records that a request with this content or part went well and its target is alive.
    /// \param at The time for which that is known. A part goes well from the time of the first event.
    /// \returns Whether that refuted any crashes.
    bool noteSuccess(const core::Digest &digest, core::Time at);
    /// \brief Result of merging the facts of another daemon.
    struct MergeResult
    {
        bool changed = false; ///< Some facts were unknown before.
        bool refuted = false; ///< A success that others do not know of was seen here; they must be told.
    };

    /// \brief Merges what another daemon knows about one suspect.
    MergeResult merge(const CrashSuspect &reported, core::Time now);
    /// \brief Starts the next trial of a quarantined suspect if it is due.
    [[nodiscard]] bool tryStartTrial(const core::Digest &digest, core::Time now);
    /// \brief Starts a trial that may show which of several quarantined prompt parts crashes targets.
    ///
    /// Parts that came together from their first use on have the same crashes, and no success tells them apart. A
    /// request with some of them, but not all, does. Any daemon may send one shortly after the crashes, before the
    /// others rely on the quarantine; afterwards only one daemon may. \param suspects Everything in the request that
    /// may be quarantined. \param uniform Random number from 0 to 1, so that few of all daemons do so at the same time.
    /// \param sendsTrials Whether this daemon is the one that makes the trials of the fleet.
    [[nodiscard]] bool tryStartComparison(const std::vector<core::Digest> &suspects, double uniform, bool sendsTrials,
                                          core::Time now);
    /// \brief Entries that changed since the last call.
    [[nodiscard]] std::vector<CrashSuspect> takeChanges();

    /// \brief A suspect that was put into quarantine or released.
    struct QuarantineChange
    {
        CrashSuspect suspect;
        bool quarantined = false;
    };

    /// \brief Suspects that were put into quarantine or released since the last call.
    [[nodiscard]] std::vector<QuarantineChange> takeQuarantineChanges();

    /// @}
    /// \name Queries
    /// @{

    /// \brief Whether requests with this content or part must not be sent to any target.
    [[nodiscard]] bool isQuarantined(const core::Digest &digest) const
    {
        return m_quarantined.contains(digest);
    }
    /// \brief Whether a trial of a quarantined suspect is due.
    [[nodiscard]] bool isTrialDue(const core::Digest &digest, core::Time now) const;
    /// \brief Number of crashes that count against a suspect.
    [[nodiscard]] std::size_t crashCount(const core::Digest &digest) const;
    /// \brief Quarantined suspects, and others with a crash or a success within `span`. If there are more than the
    /// given number: those with most crashes, a random selection among equals.
    [[nodiscard]] std::vector<CrashSuspect> recent(core::Duration span, std::size_t maxCount, std::uint64_t randomValue,
                                                   core::Time now) const;
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_suspects.size();
    }

    /// @}

private:
    struct Record
    {
        CrashSuspect suspect;
        core::Time lastTrialAt = absl::InfinitePast();
    };

    /// Last success of a content or part. An entry is overwritten by a newer one with the same index; what is popular
    /// is soon recorded again.
    struct Success
    {
        core::Digest digest;
        core::Time at = absl::InfinitePast();
    };

    [[nodiscard]] CrashSuspect &suspect(const core::Digest &digest, SuspectKind kind, core::Time now);
    /// When such a request last went well here.
    [[nodiscard]] core::Time lastLocalSuccess(const core::Digest &digest) const;
    void removeExpired(core::Time now);
    void evictLeastRelevant();
    /// Whether a quarantined part may be sent in a comparison now.
    [[nodiscard]] bool allowsComparison(const CrashSuspect &suspect, core::Time lastTrialAt, double uniform,
                                        bool sendsTrials, core::Time now) const;
    /// Whether a part that is not among these may be the cause instead: it never succeeded, and has the same crashes,
    /// or all but one, which may have had another reason.
    [[nodiscard]] bool hasTwinOutside(const CrashSuspect &suspect, const std::vector<core::Digest> &suspects) const;
    /// Whether such a request is known to have gone well at any time.
    [[nodiscard]] bool everSucceeded(const CrashSuspect &suspect) const;
    /// Decides anew which suspects are in quarantine.
    void updateQuarantine();

    std::map<core::Digest, Record> m_suspects;
    std::set<core::Digest> m_changed;
    std::set<core::Digest> m_quarantined;
    std::vector<QuarantineChange> m_quarantineChanges;
    std::vector<Success> m_successes; ///< Indexed by digest modulo its size.
};

} // namespace spurlug::relay
