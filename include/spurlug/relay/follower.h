//----------------------------------------------------------------------------------------------------------------------
// spurlug: reads configuration, targets and evacuations from the directory and watches them for changes
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/control/source_choice.h"
#include "spurlug/relay/backoff.h"
#include "spurlug/relay/context.h"
#include "spurlug/relay/directory.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace spurlug::relay
{

/// Time after the directory has recovered during which entries that it lost or let expire may still be written again.
inline constexpr auto LapseTime = absl::Seconds(2);

/// \brief Tracks whether calls to the directory succeed, and since when. Logs each change.
class DirectoryLink
{
public:
    /// \param what Name of the data that is read, for logs.
    DirectoryLink(RelayContext &context, std::string what);

    /// \brief Records the result of a call.
    /// \returns Time to wait before the next call.
    [[nodiscard]] core::Duration ended(DirectoryStatus status, const std::string &detail, core::Time now);

    /// \brief Records the era given in an answer.
    /// \returns Whether the directory has lost a part of its history since the last answer. This counts as a recovery
    /// of the directory at `now`.
    bool noteEra(std::int64_t era, core::Time now);

    /// \brief Records that the directory recovered at `at`, as reported by another daemon.
    void noteRegained(core::Time at) noexcept
    {
        m_regainedAt = std::max(m_regainedAt, at);
    }

    /// \brief Whether the last call failed, other than with `HistoryGone`.
    [[nodiscard]] bool lost() const noexcept
    {
        return m_status != DirectoryStatus::Ok;
    }

    /// \brief When the directory last recovered; in the infinite past if it never failed.
    [[nodiscard]] core::Time regainedAt() const noexcept
    {
        return m_regainedAt;
    }

private:
    RelayContext &m_context;
    const std::string m_what;
    Backoff m_backoff;
    DirectoryStatus m_status = DirectoryStatus::Ok; ///< Result of the last call; Ok also after `HistoryGone`.
    std::int64_t m_era = 0; ///< 0: no era received yet.
    core::Time m_lostAt = absl::InfinitePast();
    core::Time m_regainedAt = absl::InfinitePast();
};

/// \brief Applies target lists and changes from the directory or a peer to the known targets.
///
/// Entries that expired while the directory was unavailable are written again when their targets reach it. A target
/// that is missing shortly after an outage is therefore kept a little longer, unless it had announced that it drains.
///
/// Each entry is checked on its own. An entry that cannot be read, for example one written by a program that does not
/// know the format, adds no target; a target that is already known by that id gets no requests until its next valid
/// entry. Entries of an earlier incarnation than the known one are ignored, whatever their source.
class TargetIntake
{
public:
    TargetIntake(RelayContext &context, const DirectoryLink &link);

    /// \brief Applies a full list as of a position: targets that are not in it are removed. A list that is older than
    /// the known one is ignored because it would bring back targets that have left.
    /// \param from Source of the list, for logs.
    void whole(const std::vector<TargetChange> &list, const DirectoryPosition &position, std::string_view from,
               core::Time now);
    /// \brief Applies the changes up to a position. They are ignored if the known position is newer or belongs to
    /// another era.
    void changes(const std::vector<TargetChange> &changes, const DirectoryPosition &position, std::string_view from,
                 core::Time now);

private:
    [[nodiscard]] bool isNews(const DirectoryPosition &position, std::string_view from);
    void take(const TargetChange &change, std::string_view from, core::Time now);
    void put(const TargetEntry &entry, std::string_view from, core::Time now);
    /// Holds back requests from a target that a restored copy of the directory lists again after it was gone. A change
    /// that is not part of a full list lifts this; reading the list again doesn't.
    void judgeCopy(Target &target, bool wasGone, core::Time now) const;
    /// Ends the earlier of two incarnations that are listed with the same address, if it is known which one is earlier.
    void judgeLivesAt(const core::Ref<Target> &added, EntryNews news);
    void withdraw(const std::string &id, const std::string &fault, std::string_view from);
    void drop(const TargetLife &life, std::string_view from, core::Time now);

    RelayContext &m_context;
    const DirectoryLink &m_link;
    /// Ids that were added or restarted by the full list that is being applied. A full list has no order, so it doesn't
    /// show which of two such targets at one address is the later one.
    std::set<std::string> m_newInList;
    bool m_inOneList = false;
    bool m_inNewEra = false; ///< While the first list of a new era of the directory is applied.
    /// Newest incarnation at each address, for configured services only.
    std::map<std::string, core::Ref<Target>> m_lifeAt;
    std::map<std::string, std::string> m_faults; ///< Of unusable entries, by id; each is logged once.
};

/// \brief Runs the loops that read the directory and wait for its changes, while this daemon is to read it itself.
template<Directory D>
class Follower
{
public:
    Follower(RelayContext &context, D &directory, const control::SourceChoice &sources)
        : m_context(context)
        , m_directory(directory)
        , m_sources(sources)
        , m_configurationLink(context, "configuration")
        , m_targetsLink(context, "targets")
        , m_evacuationsLink(context, "evacuations")
        , m_intake(context, m_targetsLink)
    { }

    /// \brief Keeps the configuration up to date and confirms that it is the newest one.
    [[nodiscard]] net::Task<> followConfiguration();
    /// \brief Keeps the list of targets up to date.
    [[nodiscard]] net::Task<> followTargets();
    /// \brief Keeps the set of evacuated failure domains up to date.
    [[nodiscard]] net::Task<> followEvacuations();

    [[nodiscard]] TargetIntake &intake() noexcept
    {
        return m_intake;
    }

    [[nodiscard]] DirectoryLink &targetsLink() noexcept
    {
        return m_targetsLink;
    }

private:
    /// Each answered wait confirms the configuration as of the time when the wait was requested, so a confirmation
    /// reaches an age of two waits. There is one call per wait.
    static constexpr auto ConfigurationWait = absl::Milliseconds(1200);
    /// Wait while other daemons ask this one: they add a third of a second to the age of a confirmation.
    static constexpr auto ConfigurationWaitForOthers = absl::Milliseconds(600);
    /// Between checks whether this daemon is to read the directory.
    static constexpr auto RolePause = absl::Milliseconds(50);
    static constexpr auto TargetsWait = absl::Milliseconds(4000);
    static constexpr auto ShortestWait = absl::Milliseconds(1);
    /// Changes that follow each other within `ChangesInARow`, as in a release, are read as a batch after this pause;
    /// the first ones are read at once.
    static constexpr auto TargetsPause = absl::Milliseconds(150);
    static constexpr auto ChangesInARow = absl::Milliseconds(600);
    /// Targets and evacuations are read only if the directory answered for the configuration within this time: one loop
    /// is enough to find out that the directory is available again.
    static constexpr auto HeardOfLate = absl::Milliseconds(2500);
    static constexpr auto StartPause = absl::Milliseconds(20); ///< Between checks for the first configuration.

    /// Whether an answer to a wait belongs to another era than the position that the wait started from. The changes
    /// between the two are lost.
    template<typename Answer>
    [[nodiscard]] static bool isOtherEra(const Answer &answer, const DirectoryPosition &known)
    {
        return answer.status == DirectoryStatus::Ok && answer.position.era != known.era;
    }

    [[nodiscard]] core::Duration configurationWait() const;
    /// Reads the targets of a new era at once: a wait that was started in the old era may not be notified before it
    /// ends.
    [[nodiscard]] net::Task<> listTargetsAnew();
    /// \param restoredUntil Latest time at which the evacuations that the directory lost are written again; in the
    /// infinite future if nothing was lost.
    void takeEvacuationsOf(const Evacuations &told, core::Time restoredUntil, core::Time now);
    void noteCallers();
    /// Whether this daemon is to read targets and evacuations now: it reads the directory itself, which answered for
    /// the configuration recently.
    [[nodiscard]] bool readsNow(core::Time now) const;

    RelayContext &m_context;
    D &m_directory;
    const control::SourceChoice &m_sources;
    DirectoryLink m_configurationLink;
    DirectoryLink m_targetsLink;
    DirectoryLink m_evacuationsLink;
    TargetIntake m_intake;
};

template<Directory D>
core::Duration Follower<D>::configurationWait() const
{
    const bool others = m_context.roster.size() > m_context.directoryCallers;
    return others ? ConfigurationWaitForOthers : ConfigurationWait;
}

template<Directory D>
void Follower<D>::noteCallers()
{
    const auto readers = static_cast<std::size_t>(m_context.settings.readersPerDomain)
        * std::max<std::size_t>(m_context.roster.failureDomains().size(), 1);
    m_context.directoryCallers = m_sources.isReader() ? readers : m_context.daemons;
}

template<Directory D>
net::Task<> Follower<D>::followConfiguration()
{
    DirectoryPosition known;
    for (;;) {
        const auto askedAt = core::now();
        if (!m_sources.readsItself(askedAt)) {
            known = {};
            co_await net::sleepFor(RolePause);
            continue;
        }
        noteCallers();
        ConfigurationAnswer answer; // No `?:`: GCC 12 destroys its temporaries twice around co_await.
        if (!known.known()) {
            answer = co_await m_directory.readConfiguration();
        } else {
            answer = co_await m_directory.awaitConfiguration(known.revision, configurationWait());
        }
        m_context.metrics.count(metrics::Counter::PlatformReads);
        const auto now = core::now();
        m_context.proofTriedAt = now;
        const bool restored = m_configurationLink.noteEra(answer.position.era, now);
        if (restored) {
            co_await listTargetsAnew();
        }
        if (known.known() && isOtherEra(answer, known)) {
            known = {};
            continue;
        }
        const bool answered = answer.status == DirectoryStatus::Ok || answer.status == DirectoryStatus::Missing;
        if (answered) {
            m_context.configurationHeardAt = now;
        }
        if (answer.status == DirectoryStatus::Missing) {
            known = answer.position; // The next wait starts here.
        } else if (answer.status == DirectoryStatus::Ok) {
            known = answer.position;
            const auto version
                = answer.table ? answer.table->version : (m_context.table ? m_context.table->version : 0);
            m_context.configurationProof.confirm(version, askedAt);
            if (answer.table) {
                m_context.adopt(std::move(answer.table), std::move(answer.document), "directory", now);
            }
        } else {
            known = {};
        }
        auto wait = m_configurationLink.ended(answer.status, answer.detail, now);
        if (answer.status == DirectoryStatus::Missing && known.known()) {
            wait = absl::ZeroDuration();
        }
        if (wait > absl::ZeroDuration()) {
            co_await net::sleepFor(wait);
        }
    }
}

template<Directory D>
net::Task<> Follower<D>::listTargetsAnew()
{
    const auto askedAt = core::now();
    const auto answer = co_await m_directory.listTargets();
    m_context.metrics.count(metrics::Counter::PlatformReads);
    if (answer.status == DirectoryStatus::Ok) {
        const auto now = core::now();
        static_cast<void>(m_targetsLink.noteEra(answer.position.era, now));
        m_context.targetsKnownAt = std::max(m_context.targetsKnownAt, askedAt);
        m_intake.whole(answer.changes, answer.position, "directory", now);
    }
}

template<Directory D>
bool Follower<D>::readsNow(core::Time now) const
{
    return m_sources.readsItself(now) && now - m_context.configurationHeardAt <= HeardOfLate;
}

template<Directory D>
net::Task<> Follower<D>::followEvacuations()
{
    Evacuations told;
    auto listAgainAt = absl::InfiniteFuture();
    for (;;) {
        if (!m_context.table || !readsNow(core::now())) {
            told = {};
            co_await net::sleepFor(m_context.table ? RolePause : StartPause);
            continue;
        }
        const auto untilList = std::max(listAgainAt - core::now(), core::Duration(ShortestWait));
        EvacuationsAnswer answer;
        if (!told.position.known()) {
            answer = co_await m_directory.listEvacuations();
        } else {
            const auto span = m_evacuationsLink.lost() ? core::Duration(ShortestWait) : core::Duration(TargetsWait);
            answer = co_await m_directory.awaitEvacuations(told.position.revision, std::min(span, untilList));
        }
        m_context.metrics.count(metrics::Counter::PlatformReads);
        const auto now = core::now();
        const auto &before = m_context.evacuations.position;
        const bool restored = m_evacuationsLink.noteEra(answer.position.era, now)
            || (answer.status == DirectoryStatus::Ok && before.known() && answer.position.era > before.era);
        if (restored) {
            listAgainAt = now + LapseTime;
        }
        if (told.position.known() && isOtherEra(answer, told.position)) {
            told = {};
            continue;
        }
        const auto wait = m_evacuationsLink.ended(answer.status, answer.detail, now);
        if (answer.status == DirectoryStatus::Ok) {
            m_context.evacuationsHeardAt = now;
            told.position = answer.position;
            for (const auto &change : answer.changes) {
                if (change.gone) {
                    told.domains.erase(change.failureDomain);
                } else {
                    told.domains.insert(change.failureDomain);
                }
            }
            takeEvacuationsOf(told, listAgainAt, now);
        } else if (answer.status == DirectoryStatus::HistoryGone) {
            told = {}; // The full list covers the changes that the history no longer has.
        }
        if (now >= listAgainAt) {
            told = {};
            listAgainAt = absl::InfiniteFuture();
        }
        if (wait > absl::ZeroDuration()) {
            co_await net::sleepFor(wait);
        }
    }
}

template<Directory D>
void Follower<D>::takeEvacuationsOf(const Evacuations &told, core::Time restoredUntil, core::Time now)
{
    if (restoredUntil != absl::InfiniteFuture()) {
        takeRestoredEvacuations(m_context, told, now);
    } else {
        takeEvacuations(m_context, told, "directory", now);
    }
}

template<Directory D>
net::Task<> Follower<D>::followTargets()
{
    // No request is routed before there is a configuration, and a single list then replaces the separate changes for
    // all targets that start.
    while (!m_context.table) {
        co_await net::sleepFor(StartPause);
    }
    DirectoryPosition known;
    core::Time changedAt = absl::InfinitePast();
    for (;;) {
        const auto askedAt = core::now();
        if (!readsNow(askedAt)) {
            known = {};
            co_await net::sleepFor(RolePause);
            continue;
        }
        const bool whole = !known.known();
        TargetsAnswer answer;
        if (whole) {
            answer = co_await m_directory.listTargets();
        } else {
            // After a failure the wait is short, so that the answer shows when the directory recovered: targets that
            // are missing then may still return.
            const auto span = m_targetsLink.lost() ? core::Duration(ShortestWait) : core::Duration(TargetsWait);
            answer = co_await m_directory.awaitTargets(known.revision, span);
        }
        m_context.metrics.count(metrics::Counter::PlatformReads);
        const auto now = core::now();
        static_cast<void>(m_targetsLink.noteEra(answer.position.era, now));
        if (!whole && isOtherEra(answer, known)) {
            known = {};
            continue;
        }
        auto wait = m_targetsLink.ended(answer.status, answer.detail, now);
        if (answer.status == DirectoryStatus::Ok) {
            if (!whole && !answer.changes.empty()) {
                wait = now - changedAt < ChangesInARow ? core::Duration(TargetsPause) : absl::ZeroDuration();
                changedAt = now;
            }
            known = answer.position;
            m_context.targetsHeardAt = now;
            m_context.targetsKnownAt = std::max(m_context.targetsKnownAt, askedAt);
            if (whole) {
                m_intake.whole(answer.changes, known, "directory", now);
            } else {
                m_intake.changes(answer.changes, known, "directory", now);
            }
        } else if (answer.status == DirectoryStatus::HistoryGone) {
            known = {};
        }
        if (wait > absl::ZeroDuration()) {
            co_await net::sleepFor(wait);
        }
    }
}

} // namespace spurlug::relay
