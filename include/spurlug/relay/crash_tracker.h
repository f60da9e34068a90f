//----------------------------------------------------------------------------------------------------------------------
// spurlug: detection and quarantine of requests that crash their targets
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

/// \brief An incarnation of a target that crashed while a request ran there.
struct TargetCrash
{
    std::uint32_t target = 0; ///< incarnationHash of the incarnation.
    core::Time at;
};

/// \brief A request content and the targets that crashed while running it.
struct CrashSuspect
{
    core::Digest content; ///< Content digest as in RequestProgress::digest.
    std::vector<TargetCrash> crashes{}; ///< Crashes that count, that is, not refuted by `lastSuccessAt`.
    core::Time lastSuccessAt = absl::InfinitePast(); ///< When it last completed while its target stayed alive.
    std::size_t maxCrashes = 0; ///< Largest number of crashes that this daemon ever knew at once.

    [[nodiscard]] core::Time lastCrashAt() const noexcept;
};

/// \brief Counts the targets that crashed while running each request content and quarantines content with
/// several crashes.
///
/// A request that crashes its target takes down all requests running there, and its caller resends it under another id
/// to any daemon. Requests are therefore identified by their content. Daemons share a set of facts: which incarnation
/// crashed under which content, and when the content last completed. Messages about them may be duplicated, late or
/// reordered without changing the result.
///
/// A crash of a target affects all requests that run there. Three rules keep harmless requests out of quarantine. Only
/// crashes count, not broken connections (ensured by the caller). Three crashes are needed, while a request including
/// its caller's second try reaches at most four targets. A completed run refutes the known crashes and those of the
/// following seconds on any target: popular content runs on all targets of a rack that is lost, and completed shortly
/// before.
class CrashTracker
{
public:
    /// Number of crashes that puts content into quarantine. The loss of a rack ends one target under most of its
    /// requests and two under some: in one incident 64 of 264 requests beside the crashing ones lost two engines, and
    /// none lost three.
    static constexpr std::size_t CrashesToQuarantine = 3;
    /// Time from the last crash until one daemon tries quarantined content again; doubles with each further crash.
    /// Engines are fixed by releases, which take minutes.
    static constexpr auto FirstTrialDelay = absl::Seconds(60);
    /// Content is forgotten this long after its last crash or completed run.
    static constexpr auto Retention = absl::Hours(1);
    /// Content that completed within this time before a target crashed did not cause the crash. Popular content recurs
    /// more often than this, and a new engine version that some content crashes stays down for longer.
    static constexpr auto SuccessSpan = absl::Seconds(10);
    static constexpr std::size_t MaxSuspects = 256; ///< About 50 KB.
    static constexpr std::size_t MaxCrashes = 16; ///< Crashes kept for one content; further ones have no effect.

    CrashTracker();

    /// \name Commands
    /// @{

    /// \brief Records that a target crashed while a request with this content ran there.
    /// \returns Whether the crash is new and counts.
    bool noteCrash(const core::Digest &content, std::uint32_t target, core::Time now);
    /// \brief Records that a request with this content completed and its target is alive.
    /// \returns Whether that refuted any crashes.
    bool noteSuccess(const core::Digest &content, core::Time now);
    /// \brief Result of merging the facts of another daemon.
    struct MergeResult
    {
        bool changed = false; ///< Some facts were unknown before.
        bool refuted
            = false; ///< The content completed here, which refutes reported crashes; other daemons must be told.
    };

    /// \brief Merges what another daemon knows about one request content.
    MergeResult merge(const CrashSuspect &reported, core::Time now);
    /// \brief Starts the next trial of quarantined content if it is due.
    [[nodiscard]] bool tryStartTrial(const core::Digest &content, core::Time now);
    /// \brief Entries that changed since the last call.
    [[nodiscard]] std::vector<CrashSuspect> takeChanges();

    /// @}
    /// \name Queries
    /// @{

    /// \brief Whether requests with this content must not be sent to any target.
    [[nodiscard]] bool isQuarantined(const core::Digest &content) const;
    /// \brief Number of crashes that count against the content.
    [[nodiscard]] std::size_t crashCount(const core::Digest &content) const;
    /// \brief Quarantined content, and other content with a crash or a completed run within `span`. A random selection
    /// if there are more than the given number.
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

    /// Last completed run of a content. An entry is overwritten by newer content with the same index; popular content
    /// is soon recorded again.
    struct Success
    {
        core::Digest content;
        core::Time at = absl::InfinitePast();
    };

    [[nodiscard]] CrashSuspect &suspect(const core::Digest &content, core::Time now);
    /// When the content last completed here.
    [[nodiscard]] core::Time lastLocalSuccess(const core::Digest &content) const;
    void removeExpired(core::Time now);
    void evictLeastRelevant();

    std::map<core::Digest, Record> m_suspects;
    std::set<core::Digest> m_changed;
    std::vector<Success> m_successes; ///< Indexed by digest modulo its size.
};

} // namespace spurlug::relay
