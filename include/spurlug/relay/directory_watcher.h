//----------------------------------------------------------------------------------------------------------------------
// spurlug: reads configuration, targets and evacuations from the directory and watches them for changes
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/control/source_selector.h"
#include "spurlug/relay/backoff.h"
#include "spurlug/relay/context.h"
#include "spurlug/relay/directory.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace spurlug::relay
{

/// Time after the directory has recovered during which entries that it lost or let expire may still be written again.
inline constexpr auto EntryRestorePeriod = absl::Seconds(2);

/// \brief Tracks whether calls to the directory succeed, and since when. Logs each change.
class DirectoryAvailability
{
public:
    /// \param dataName Name of the data that is read, for logs.
    DirectoryAvailability(RelayContext &context, std::string dataName);

    /// \brief Records the result of a call.
    /// \returns Time to wait before the next call.
    [[nodiscard]] core::Duration recordResult(DirectoryStatus status, const std::string &detail, core::Time now);

    /// \brief Records that a wait for changes was cut before it ended. This is an outage only if the next call fails
    /// too.
    /// \returns Time to wait before the next call.
    [[nodiscard]] core::Duration recordCutWait(const std::string &detail);

    /// \brief Records the era given in an answer.
    /// \returns Whether the directory has lost a part of its history since the last answer. This counts as a recovery
    /// of the directory at `now`.
    bool updateEra(std::int64_t era, core::Time now);

    /// \brief Records that the directory recovered at `at`, as reported by another daemon.
    void noteRecovered(core::Time at) noexcept
    {
        m_recoveredAt = std::max(m_recoveredAt, at);
    }

    /// \brief Whether the last call failed, other than with `HistoryGone`.
    [[nodiscard]] bool isUnavailable() const noexcept
    {
        return m_status != DirectoryStatus::Ok || m_waitWasCut;
    }

    /// \brief When the directory last recovered; in the infinite past if it never failed.
    [[nodiscard]] core::Time recoveredAt() const noexcept
    {
        return m_recoveredAt;
    }

private:
    RelayContext &m_context;
    const std::string m_dataName;
    Backoff m_backoff;
    DirectoryStatus m_status = DirectoryStatus::Ok; ///< Result of the last call; Ok also after `HistoryGone`.
    bool m_waitWasCut = false; ///< Whether the last call was a wait that was cut.
    std::int64_t m_era = 0; ///< 0: no era received yet.
    core::Time m_unavailableSince = absl::InfinitePast();
    core::Time m_recoveredAt = absl::InfinitePast();
};

/// \brief Applies target lists and changes from the directory or a peer to the known targets.
///
/// Entries that expired while the directory was unavailable are written again when their targets reach it. A target
/// that is missing shortly after an outage is therefore kept a little longer, unless it had announced that it drains.
///
/// Each entry is checked on its own. An entry that cannot be read, for example one written by a program that does not
/// know the format, adds no target; a target that is already known by that id gets no requests until its next valid
/// entry. Entries of an earlier incarnation than the known one are ignored, whatever their source.
class TargetListUpdater
{
public:
    TargetListUpdater(RelayContext &context, const DirectoryAvailability &availability);

    /// \brief Applies a full list as of a position: targets that are not in it are removed. A list that is older than
    /// the known one is ignored because it would bring back targets that have left.
    /// \param from Source of the list, for logs.
    void applyFullList(const std::vector<TargetChange> &list, const DirectoryPosition &position, std::string_view from,
                       core::Time now);
    /// \brief Applies the changes up to a position. They are ignored if the known position is newer or belongs to
    /// another era.
    void applyChanges(const std::vector<TargetChange> &changes, const DirectoryPosition &position,
                      std::string_view from, core::Time now);

private:
    [[nodiscard]] bool isCurrentPosition(const DirectoryPosition &position, std::string_view from);
    void applyChange(const TargetChange &change, std::string_view from, core::Time now);
    void applyEntry(const TargetEntry &entry, std::string_view from, core::Time now);
    /// Holds back requests from a target that a restored copy of the directory lists again after it was gone. A change
    /// that is not part of a full list lifts this; reading the list again doesn't.
    void checkRestoredEntry(Target &target, bool wasRemoved, core::Time now) const;
    /// Ends the earlier of two incarnations that are listed with the same address, if it is known which one is earlier.
    void resolveAddressConflict(const core::Ref<Target> &added, EntryChange result);
    void markUnusable(const std::string &id, const std::string &fault, std::string_view from);
    void removeTarget(const TargetIncarnation &life, std::string_view from, core::Time now);

    RelayContext &m_context;
    const DirectoryAvailability &m_availability;
    /// Ids that were added or restarted by the full list that is being applied. A full list has no order, so it doesn't
    /// show which of two such targets at one address is the later one.
    std::set<std::string> m_addedByList;
    bool m_applyingFullList = false;
    bool m_applyingNewEra = false; ///< While the first list of a new era of the directory is applied.
    /// Newest incarnation at each address, for configured services only.
    std::map<std::string, core::Ref<Target>> m_newestAtAddress;
    std::map<std::string, std::string> m_entryFaults; ///< Of unusable entries, by id; each is logged once.
};

/// \brief Runs the loops that read the directory and wait for its changes, while this daemon is to read it itself.
template<Directory D>
class DirectoryWatcher
{
public:
    DirectoryWatcher(RelayContext &context, D &directory, const control::SourceSelector &sources)
        : m_context(context)
        , m_directory(directory)
        , m_sources(sources)
        , m_configurationAvailability(context, "configuration")
        , m_targetsAvailability(context, "targets")
        , m_evacuationsAvailability(context, "evacuations")
        , m_targetListUpdater(context, m_targetsAvailability)
    { }

    /// \brief Keeps the configuration up to date and confirms that it is the newest one.
    [[nodiscard]] net::Task<> watchConfiguration();
    /// \brief Keeps the list of targets up to date.
    [[nodiscard]] net::Task<> watchTargets();
    /// \brief Keeps the set of evacuated failure domains up to date.
    [[nodiscard]] net::Task<> watchEvacuations();

    [[nodiscard]] TargetListUpdater &targetListUpdater() noexcept
    {
        return m_targetListUpdater;
    }

    [[nodiscard]] DirectoryAvailability &targetsAvailability() noexcept
    {
        return m_targetsAvailability;
    }

private:
    /// Each answered wait confirms the configuration as of the time when the wait was requested, so a confirmation
    /// reaches an age of two waits. There is one call per wait.
    static constexpr auto ConfigurationWatchTimeout = absl::Milliseconds(1200);
    /// Wait while other daemons ask this one: they add a third of a second to the age of a confirmation.
    static constexpr auto ReaderConfigurationWatchTimeout = absl::Milliseconds(600);
    /// Between checks whether this daemon is to read the directory.
    static constexpr auto RoleCheckInterval = absl::Milliseconds(50);
    static constexpr auto TargetsWatchTimeout = absl::Milliseconds(4000);
    static constexpr auto MinWatchTimeout = absl::Milliseconds(1);
    /// Time that a change takes at most from the directory to this daemon over a connection that works.
    static constexpr auto MaxChangeDelay = absl::Milliseconds(250);
    /// Changes that follow each other within `TargetsBatchWindow`, as in a release, are read as a batch after this
    /// pause; the first ones are read at once.
    static constexpr auto TargetsBatchDelay = absl::Milliseconds(150);
    static constexpr auto TargetsBatchWindow = absl::Milliseconds(600);
    /// Targets and evacuations are read only if the directory answered for the configuration within this time: one loop
    /// is enough to find out that the directory is available again.
    static constexpr auto MaxDirectorySilence = absl::Milliseconds(2500);
    /// Consecutive failures that show an outage: a single one may be of its connection only.
    static constexpr int FailedCallsInOutage = 2;
    static constexpr auto StartupCheckInterval
        = absl::Milliseconds(20); ///< Between checks for the first configuration.

    /// Whether an answer to a wait belongs to another era than the position that the wait started from. The changes
    /// between the two are lost.
    template<typename Answer>
    [[nodiscard]] static bool isOtherEra(const Answer &answer, const DirectoryPosition &known)
    {
        return answer.status == DirectoryStatus::Ok && answer.position.era != known.era;
    }

    [[nodiscard]] core::Duration configurationWatchTimeout() const;
    /// Records the position of an answer for the configuration. The wait for targets, if it is older, must then report
    /// the changes up to that position.
    /// \param isFullRead Whether the configuration was read; it is then in the answer without a change.
    void updateNewestPosition(const ConfigurationAnswer &answer, bool isFullRead, core::Time now);
    /// Whether the directory has changes since the position of the wait for targets that it should have reported, if
    /// they are of targets. The connection may have gone silent.
    [[nodiscard]] bool targetsWaitLags() const;
    /// Reads the targets of a new era at once: a wait that was started in the old era may not be notified before it
    /// ends.
    [[nodiscard]] net::Task<> relistTargets();
    /// \param restoredUntil Latest time at which the evacuations that the directory lost are written again; in the
    /// infinite future if nothing was lost.
    void applyEvacuationList(const Evacuations &reported, core::Time restoredUntil, core::Time now);
    void updateDirectoryReaders();
    /// Whether this daemon is to read targets and evacuations now: it reads the directory itself, which answered for
    /// the configuration recently.
    [[nodiscard]] bool readsDirectoryNow(core::Time now) const;

    RelayContext &m_context;
    D &m_directory;
    const control::SourceSelector &m_sources;
    DirectoryAvailability m_configurationAvailability;
    DirectoryAvailability m_targetsAvailability;
    DirectoryAvailability m_evacuationsAvailability;
    TargetListUpdater m_targetListUpdater;
    DirectoryPosition m_newestPosition; ///< Of the directory, as of the answers for the configuration.
    DirectoryPosition m_changedPosition; ///< Of the last change that may be of targets.
    core::Time m_changeKnownAt = absl::InfinitePast(); ///< When that change became known.
    int m_failedConfigurationCalls = 0; ///< Consecutive ones.
    core::Time m_targetsWaitSince = absl::InfiniteFuture(); ///< Start of the wait for targets that is in progress.
};

template<Directory D>
core::Duration DirectoryWatcher<D>::configurationWatchTimeout() const
{
    const bool servesOthers = m_context.roster.size() > m_context.directoryReaders;
    return servesOthers ? ReaderConfigurationWatchTimeout : ConfigurationWatchTimeout;
}

template<Directory D>
void DirectoryWatcher<D>::updateNewestPosition(const ConfigurationAnswer &answer, bool isFullRead, core::Time now)
{
    if (answer.position <= m_newestPosition) {
        return;
    }
    const auto known = std::max(m_newestPosition, m_context.targetsPosition);
    const bool onlyConfigurationChanged = !isFullRead && answer.table != nullptr && answer.position.era == known.era
        && answer.position.revision == known.revision + 1;
    m_newestPosition = answer.position;
    if (!onlyConfigurationChanged) {
        m_changedPosition = answer.position;
        m_changeKnownAt = now;
    }
}

template<Directory D>
bool DirectoryWatcher<D>::targetsWaitLags() const
{
    return m_targetsWaitSince < m_changeKnownAt && m_context.targetsPosition.era == m_changedPosition.era
        && m_context.targetsPosition < m_changedPosition;
}

template<Directory D>
void DirectoryWatcher<D>::updateDirectoryReaders()
{
    const auto readers = static_cast<std::size_t>(m_context.settings.readersPerDomain)
        * std::max<std::size_t>(m_context.roster.failureDomains().size(), 1);
    m_context.directoryReaders = m_sources.isReader() ? readers : m_context.daemonCount;
}

template<Directory D>
net::Task<> DirectoryWatcher<D>::watchConfiguration()
{
    DirectoryPosition knownPosition;
    for (;;) {
        const auto askedAt = core::now();
        if (!m_sources.readsDirectory(askedAt)) {
            knownPosition = {};
            co_await net::sleepFor(RoleCheckInterval);
            continue;
        }
        updateDirectoryReaders();
        ConfigurationAnswer answer; // No `?:`: GCC 12 destroys its temporaries twice around co_await.
        if (!knownPosition.isKnown()) {
            answer = co_await m_directory.readConfiguration();
        } else {
            const auto watchTimeout = targetsWaitLags()
                ? std::min(configurationWatchTimeout(), core::Duration(MaxChangeDelay))
                : configurationWatchTimeout();
            answer = co_await m_directory.awaitConfiguration(knownPosition.revision, watchTimeout);
        }
        m_context.metrics.count(metrics::Counter::PlatformReads);
        const auto now = core::now();
        m_context.confirmationTriedAt = now;
        const bool restored = m_configurationAvailability.updateEra(answer.position.era, now);
        if (restored) {
            co_await relistTargets();
        }
        if (knownPosition.isKnown() && isOtherEra(answer, knownPosition)) {
            knownPosition = {};
            continue;
        }
        const bool answered = answer.status == DirectoryStatus::Ok || answer.status == DirectoryStatus::Missing;
        if (answered) {
            m_context.configurationAnsweredAt = now;
            if (std::exchange(m_failedConfigurationCalls, 0) >= FailedCallsInOutage) {
                m_targetsAvailability.noteRecovered(now);
            }
            updateNewestPosition(answer, !knownPosition.isKnown(), now);
            // What cut or silenced the connection of a failed call may have silenced the others.
            const bool mayBeSilent
                = m_configurationAvailability.isUnavailable() || now - m_changeKnownAt >= MaxChangeDelay;
            if (targetsWaitLags() && mayBeSilent) {
                m_directory.abandonWaits();
            }
        } else if (answer.status != DirectoryStatus::HistoryGone
                   && ++m_failedConfigurationCalls >= FailedCallsInOutage) {
            m_targetsAvailability.noteRecovered(now); // Not before now: the wait for targets may outlast the outage.
        }
        if (answer.status == DirectoryStatus::Missing) {
            knownPosition = answer.position; // The next wait starts here.
        } else if (answer.status == DirectoryStatus::Ok) {
            knownPosition = answer.position;
            const auto version
                = answer.table ? answer.table->version : (m_context.table ? m_context.table->version : 0);
            m_context.configurationFreshness.confirm(version, askedAt);
            if (answer.table) {
                m_context.activateConfiguration(std::move(answer.table), std::move(answer.document), "directory", now);
            }
        } else {
            knownPosition = {};
        }
        auto delay = m_configurationAvailability.recordResult(answer.status, answer.detail, now);
        if (answer.status == DirectoryStatus::Missing && knownPosition.isKnown()) {
            delay = absl::ZeroDuration();
        }
        if (delay > absl::ZeroDuration()) {
            co_await net::sleepFor(delay);
        }
    }
}

template<Directory D>
net::Task<> DirectoryWatcher<D>::relistTargets()
{
    const auto askedAt = core::now();
    const auto answer = co_await m_directory.listTargets();
    m_context.metrics.count(metrics::Counter::PlatformReads);
    if (answer.status == DirectoryStatus::Ok) {
        const auto now = core::now();
        static_cast<void>(m_targetsAvailability.updateEra(answer.position.era, now));
        m_context.targetsConfirmedAt = std::max(m_context.targetsConfirmedAt, askedAt);
        m_targetListUpdater.applyFullList(answer.changes, answer.position, "directory", now);
    }
}

template<Directory D>
bool DirectoryWatcher<D>::readsDirectoryNow(core::Time now) const
{
    return m_sources.readsDirectory(now) && now - m_context.configurationAnsweredAt <= MaxDirectorySilence;
}

template<Directory D>
net::Task<> DirectoryWatcher<D>::watchEvacuations()
{
    Evacuations current;
    auto relistAt = absl::InfiniteFuture();
    for (;;) {
        if (!m_context.table || !readsDirectoryNow(core::now())) {
            current = {};
            co_await net::sleepFor(m_context.table ? RoleCheckInterval : StartupCheckInterval);
            continue;
        }
        const auto untilRelist = std::max(relistAt - core::now(), core::Duration(MinWatchTimeout));
        EvacuationsAnswer answer;
        if (!current.position.isKnown()) {
            answer = co_await m_directory.listEvacuations();
        } else {
            const auto watchTimeout = m_evacuationsAvailability.isUnavailable() ? core::Duration(MinWatchTimeout)
                                                                                : core::Duration(TargetsWatchTimeout);
            answer
                = co_await m_directory.awaitEvacuations(current.position.revision, std::min(watchTimeout, untilRelist));
        }
        m_context.metrics.count(metrics::Counter::PlatformReads);
        if (answer.status == DirectoryStatus::Abandoned) {
            continue;
        }
        const auto now = core::now();
        const auto &previousPosition = m_context.evacuations.position;
        const bool restored = m_evacuationsAvailability.updateEra(answer.position.era, now)
            || (answer.status == DirectoryStatus::Ok && previousPosition.isKnown()
                && answer.position.era > previousPosition.era);
        if (restored) {
            relistAt = now + EntryRestorePeriod;
        }
        if (current.position.isKnown() && isOtherEra(answer, current.position)) {
            current = {};
            continue;
        }
        const auto delay = m_evacuationsAvailability.recordResult(answer.status, answer.detail, now);
        if (answer.status == DirectoryStatus::Ok) {
            m_context.evacuationsAnsweredAt = now;
            current.position = answer.position;
            for (const auto &change : answer.changes) {
                if (change.cancelled) {
                    current.domains.erase(change.failureDomain);
                } else {
                    current.domains.insert(change.failureDomain);
                }
            }
            applyEvacuationList(current, relistAt, now);
        } else if (answer.status == DirectoryStatus::HistoryGone || answer.status == DirectoryStatus::Malformed) {
            current = {}; // The full list covers the changes that the history no longer has, or that cannot be read.
        }
        if (now >= relistAt) {
            current = {};
            relistAt = absl::InfiniteFuture();
        }
        if (delay > absl::ZeroDuration()) {
            co_await net::sleepFor(delay);
        }
    }
}

template<Directory D>
void DirectoryWatcher<D>::applyEvacuationList(const Evacuations &reported, core::Time restoredUntil, core::Time now)
{
    if (restoredUntil != absl::InfiniteFuture()) {
        applyRestoredEvacuations(m_context, reported, now);
    } else {
        applyEvacuations(m_context, reported, "directory", now);
    }
}

template<Directory D>
net::Task<> DirectoryWatcher<D>::watchTargets()
{
    // No request is routed before there is a configuration, and a single list then replaces the separate changes for
    // all targets that start.
    while (!m_context.table) {
        co_await net::sleepFor(StartupCheckInterval);
    }
    DirectoryPosition knownPosition;
    core::Time lastChangeAt = absl::InfinitePast();
    for (;;) {
        const auto askedAt = core::now();
        if (!readsDirectoryNow(askedAt)) {
            knownPosition = {};
            co_await net::sleepFor(RoleCheckInterval);
            continue;
        }
        const bool isFullList = !knownPosition.isKnown();
        const bool wasUnavailable = m_targetsAvailability.isUnavailable();
        TargetsAnswer answer;
        if (isFullList) {
            answer = co_await m_directory.listTargets();
        } else {
            // After a failure the wait is short, so that the answer shows when the directory recovered: targets that
            // are missing then may still return.
            const auto watchTimeout
                = wasUnavailable ? core::Duration(MinWatchTimeout) : core::Duration(TargetsWatchTimeout);
            m_targetsWaitSince = askedAt;
            answer = co_await m_directory.awaitTargets(knownPosition.revision, watchTimeout);
            m_targetsWaitSince = absl::InfiniteFuture();
        }
        m_context.metrics.count(metrics::Counter::PlatformReads);
        if (answer.status == DirectoryStatus::Abandoned) {
            continue;
        }
        const auto now = core::now();
        static_cast<void>(m_targetsAvailability.updateEra(answer.position.era, now));
        if (!isFullList && isOtherEra(answer, knownPosition)) {
            knownPosition = {};
            continue;
        }
        const bool wasCut = answer.status == DirectoryStatus::Unreachable && now - askedAt < TargetsWatchTimeout;
        if (wasCut && !isFullList && !wasUnavailable) {
            co_await net::sleepFor(m_targetsAvailability.recordCutWait(answer.detail));
            continue;
        }
        auto delay = m_targetsAvailability.recordResult(answer.status, answer.detail, now);
        if (answer.status == DirectoryStatus::Ok) {
            if (!isFullList && !answer.changes.empty()) {
                delay = now - lastChangeAt < TargetsBatchWindow ? core::Duration(TargetsBatchDelay)
                                                                : absl::ZeroDuration();
                lastChangeAt = now;
            }
            knownPosition = answer.position;
            m_context.targetsAnsweredAt = now;
            m_context.targetsConfirmedAt = std::max(m_context.targetsConfirmedAt, askedAt);
            if (isFullList) {
                m_targetListUpdater.applyFullList(answer.changes, knownPosition, "directory", now);
            } else {
                m_targetListUpdater.applyChanges(answer.changes, knownPosition, "directory", now);
            }
        } else if (answer.status == DirectoryStatus::HistoryGone || answer.status == DirectoryStatus::Malformed) {
            knownPosition = {}; // Changes that cannot be read, or are too many for an answer, are read as a list.
        }
        if (delay > absl::ZeroDuration()) {
            co_await net::sleepFor(delay);
        }
    }
}

} // namespace spurlug::relay
