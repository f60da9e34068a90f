//----------------------------------------------------------------------------------------------------------------------
// spurlug: follows the directory's configuration and list of targets
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

/// How long after the directory is back what it lost, or let lapse, may still be written again.
inline constexpr auto LapseTime = absl::Seconds(2);

/// \brief Whether calls to the directory get answers, and since when. Logs each change.
class DirectoryLink
{
public:
    /// \param what What is read over it, for logs.
    DirectoryLink(RelayContext &context, std::string what);

    /// \brief Notes how a call ended.
    /// \returns Wait before the next call.
    [[nodiscard]] core::Duration ended(DirectoryStatus status, const std::string &detail, core::Time now);

    /// \brief Notes the era that an answer named.
    /// \returns Whether the directory lost a part of its history since the last answer. It is as if it was regained
    /// then.
    bool noteEra(std::int64_t era, core::Time now);

    /// \brief Notes that the directory was regained elsewhere, as another daemon tells.
    void noteRegained(core::Time at) noexcept
    {
        m_regainedAt = std::max(m_regainedAt, at);
    }

    /// \brief Whether the last call got no answer.
    [[nodiscard]] bool lost() const noexcept
    {
        return m_status != DirectoryStatus::Ok;
    }

    /// \brief When the directory was last regained; in the infinite past when it was never lost.
    [[nodiscard]] core::Time regainedAt() const noexcept
    {
        return m_regainedAt;
    }

private:
    RelayContext &m_context;
    const std::string m_what;
    Backoff m_backoff;
    DirectoryStatus m_status = DirectoryStatus::Ok; ///< How the last call ended.
    std::int64_t m_era = 0; ///< 0: none was named yet.
    core::Time m_lostAt = absl::InfinitePast();
    core::Time m_regainedAt = absl::InfinitePast();
};

/// \brief Takes in what the directory says of targets.
///
/// Entries that lapsed while the directory was away come back when their targets reach it again. So what is missing
/// just after such a time is kept a little longer, unless the target had said that it was leaving.
///
/// Each entry is judged alone. One that cannot be read, as from a program that does not know their form, names no
/// target; one that was known by its id gets nothing until its next good entry. Entries of an earlier life than the
/// known one change nothing, whoever tells them.
class TargetIntake
{
public:
    TargetIntake(RelayContext &context, const DirectoryLink &link);

    /// \brief Takes the whole list as of a position: what is not in it is gone. An older list than the known one is
    /// dropped: it would bring back targets that have left.
    void whole(const std::vector<TargetChange> &list, const DirectoryPosition &position, std::string_view from,
               core::Time now);
    /// \brief Takes the changes up to a position, unless more is known, or less than what they begin from.
    void changes(const std::vector<TargetChange> &changes, const DirectoryPosition &position, std::string_view from,
                 core::Time now);

private:
    [[nodiscard]] bool isNews(const DirectoryPosition &position, std::string_view from);
    void take(const TargetChange &change, std::string_view from, core::Time now);
    void put(const TargetEntry &entry, std::string_view from, core::Time now);
    /// Doubts a target that a copy of the directory brings back; a list read again says nothing more of it.
    void judgeCopy(Target &target, bool wasGone, core::Time now) const;
    /// Ends the earlier one of two lives that are listed with one address, where it can be told.
    void judgeLivesAt(const core::Ref<Target> &added, EntryNews news);
    void withdraw(const std::string &id, const std::string &fault, std::string_view from);
    void drop(const TargetLife &life, std::string_view from, core::Time now);

    RelayContext &m_context;
    const DirectoryLink &m_link;
    /// While a whole list is read, the ids that were not known before it: such a list has no order, so of two of them
    /// at one address it does not tell which is later.
    std::set<std::string> m_newInList;
    bool m_inOneList = false;
    bool m_inNewEra = false; ///< While the first list of an era of the directory is read.
    std::map<std::string, core::Ref<Target>> m_lifeAt; ///< The newest life at each address, of services that there are.
    std::map<std::string, std::string> m_faults; ///< Of entries that cannot be used, by id: each is logged once.
};

/// \brief Runs the two loops that read a directory and wait on it, while this daemon should read it itself.
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

    /// \brief Keeps the configuration and the proof that it is the newest.
    [[nodiscard]] net::Task<> followConfiguration();
    /// \brief Keeps the list of targets.
    [[nodiscard]] net::Task<> followTargets();
    /// \brief Keeps the evacuated failure domains.
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
    /// Each answered wait proves the configuration anew from the moment it was asked for, so a proof gets two waits
    /// old. One call a wait.
    static constexpr auto ConfigurationWait = absl::Milliseconds(1200);
    /// The same where others follow: they add a third of a second to the age of a proof.
    static constexpr auto ConfigurationWaitForOthers = absl::Milliseconds(600);
    static constexpr auto RolePause = absl::Milliseconds(50); ///< Between looks whether to read.
    static constexpr auto TargetsWait = absl::Milliseconds(4000);
    static constexpr auto ShortestWait = absl::Milliseconds(1);
    /// Changes that follow each other within `ChangesInARow`, as in a release, are read together after a pause; the
    /// first ones are read at once.
    static constexpr auto TargetsPause = absl::Milliseconds(150);
    static constexpr auto ChangesInARow = absl::Milliseconds(600);
    /// The targets are read while the directory answers for the configuration: one of the two finds it again.
    static constexpr auto HeardOfLate = absl::Milliseconds(2500);
    static constexpr auto StartPause = absl::Milliseconds(20); ///< Between looks for a first configuration.

    /// Whether an answer to a wait is of another era than the position that was waited from. What lies between is lost.
    template<typename Answer>
    [[nodiscard]] static bool isOtherEra(const Answer &answer, const DirectoryPosition &known)
    {
        return answer.status == DirectoryStatus::Ok && answer.position.era != known.era;
    }

    [[nodiscard]] core::Duration configurationWait() const;
    /// Reads the targets of a new era at once: a wait that was begun before it may hear of nothing until it ends.
    [[nodiscard]] net::Task<> listTargetsAnew();
    /// \param restoredUntil When what the directory lost is written again at the latest; in the infinite future:
    /// nothing is lost.
    void takeEvacuationsOf(const Evacuations &told, core::Time restoredUntil, core::Time now);
    void noteCallers();
    /// Whether this daemon should read the directory now, which answers for the configuration.
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
        ConfigurationAnswer answer; // Not `?:`, whose temporaries the compiler destroys twice around co_await (GCC 12).
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
            known = answer.position; // It is waited for from here.
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
            told = {}; // The list tells what the history hides.
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
    // Nobody is sent anywhere before there is a configuration, and one list then replaces the news of all that start.
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
            // After a failure an answer at once tells when the directory is back: what is missing then may still
            // return.
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
