//----------------------------------------------------------------------------------------------------------------------
// spurlug: reads configuration, targets and evacuations from the directory and watches them for changes
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/directory_watcher.h"

#include "spurlug/core/log.h"
#include "spurlug/relay/target_notice.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace spurlug::relay
{

namespace
{

constexpr auto MinRetryDelay = absl::Milliseconds(50);
constexpr auto MaxRetryDelay = absl::Milliseconds(500);
/// Wait of a daemon between failed calls, per daemon that reads the directory. It is shortened at random by up to half;
/// all daemons together make some hundred calls a second.
constexpr auto RetryDelayPerReader = absl::Milliseconds(10);
/// Up to this many daemons need no longer waits: the readers of a fleet, or a small fleet.
constexpr std::size_t MaxUnspreadReaders = 20;

/// The directory removes the entry of a target that is gone after three missed heartbeats; one more allows for transit.
constexpr double HeartbeatsUntilExpiry = 4;
/// Share of the shorter of `EntryRestorePeriod` and the drain bound for which a target missing from the directory is
/// still used.
constexpr double MissingTargetKeepShare = 0.8;

/// Wait that spreads the calls of many daemons over time.
/// \param draw Random number from 0 to 1.
core::Duration spreadDelay(std::size_t readers, double randomValue)
{
    if (readers <= MaxUnspreadReaders) {
        return absl::ZeroDuration();
    }
    return RetryDelayPerReader * static_cast<double>(readers) * (1 + randomValue) / 2;
}

} // namespace

DirectoryAvailability::DirectoryAvailability(RelayContext &context, std::string dataName)
    : m_context(context)
    , m_dataName(std::move(dataName))
    , m_backoff(MinRetryDelay, MaxRetryDelay)
{ }

core::Duration DirectoryAvailability::recordResult(DirectoryStatus status, const std::string &detail, core::Time now)
{
    m_waitWasCut = false;
    const bool answered = status == DirectoryStatus::Ok || status == DirectoryStatus::HistoryGone;
    if (answered) {
        m_backoff.reset();
        if (std::exchange(m_status, DirectoryStatus::Ok) != DirectoryStatus::Ok) {
            m_recoveredAt = now;
            core::log(core::LogLevel::Info, "directory_regained",
                      {{"what", m_dataName}, {"afterMs", core::toMs(now - m_unavailableSince)}});
        }
        return absl::ZeroDuration();
    }
    m_context.metrics.count(metrics::Counter::PlatformFailures);
    if (m_status == DirectoryStatus::Ok) {
        m_unavailableSince = now;
    }
    if (std::exchange(m_status, status) != status) {
        core::log(core::LogLevel::Warning, "directory_lost",
                  {{"what", m_dataName}, {"status", core::nameOf(status)}, {"detail", detail}});
    }
    std::uniform_real_distribution<double> uniform(0, 1);
    const auto retryDelay = m_backoff.nextDelay(uniform(m_context.random));
    return std::max(retryDelay, spreadDelay(m_context.directoryReaders, uniform(m_context.random)));
}

core::Duration DirectoryAvailability::recordCutWait(const std::string &detail)
{
    m_waitWasCut = true;
    m_context.metrics.count(metrics::Counter::PlatformFailures);
    core::log(core::LogLevel::Info, "directory_wait_cut", {{"what", m_dataName}, {"detail", detail}});
    std::uniform_real_distribution<double> uniform(0, 1);
    return m_backoff.nextDelay(uniform(m_context.random));
}

bool DirectoryAvailability::updateEra(std::int64_t era, core::Time now)
{
    if (era <= m_era) {
        return false;
    }
    const auto previousEra = std::exchange(m_era, era);
    if (previousEra == 0) {
        return false;
    }
    m_recoveredAt = now;
    m_context.metrics.count(metrics::Counter::DirectoryRestored);
    core::log(core::LogLevel::Warning, "directory_restored",
              {{"what", m_dataName}, {"era", era}, {"before", previousEra}});
    return true;
}

TargetListUpdater::TargetListUpdater(RelayContext &context, const DirectoryAvailability &availability)
    : m_context(context)
    , m_availability(availability)
{ }

void TargetListUpdater::applyChange(const TargetChange &change, std::string_view from, core::Time now)
{
    if (change.removed) {
        removeTarget(change.entry.incarnation(), from, now);
    } else if (!change.fault.empty()) {
        markUnusable(change.entry.id, change.fault, from);
    } else {
        applyEntry(change.entry, from, now);
    }
}

void TargetListUpdater::applyEntry(const TargetEntry &entry, std::string_view from, core::Time now)
{
    const auto known = m_context.targets.find(entry.id);
    if (known && known->entry.startMs > 0 && entry.startMs == 0) {
        markUnusable(entry.id, "the entry has no start time, although an earlier entry had one", from);
        return;
    }
    const bool wasUnusable = known && (known->servesUntil != absl::InfiniteFuture() || !known->entryError.empty());
    const bool changed = known && (known->entry.draining != entry.draining || known->entry.service != entry.service);
    const bool wasRemoved = known && known->servesUntil != absl::InfiniteFuture();
    const auto result = m_context.targets.put(entry);
    if (result == EntryChange::Outdated) {
        return;
    }
    m_entryFaults.erase(entry.id);
    if (m_applyingFullList && result != EntryChange::Updated) {
        m_addedByList.insert(entry.id);
    }
    const auto target = m_context.targets.find(entry.id);
    checkRestoredEntry(*target, wasRemoved && result == EntryChange::Updated, now);
    noteWarmUp(m_context, *target, entry.remainingWarmUp, from, now);
    resolveAddressConflict(target, result);
    if (result == EntryChange::Restarted) {
        m_context.metrics.count(metrics::Counter::TargetsRestarted);
    }
    if (result != EntryChange::Updated || wasUnusable || changed) {
        core::log(core::LogLevel::Info, "target_listed",
                  {{"target", entry.id},
                   {"startMs", entry.startMs},
                   {"restarted", result == EntryChange::Restarted},
                   {"service", entry.service},
                   {"address", entry.address.text()},
                   {"draining", entry.draining},
                   {"doubted", now < target->unconfirmedUntil},
                   {"from", from}});
    }
}

void TargetListUpdater::checkRestoredEntry(Target &target, bool wasRemoved, core::Time now) const
{
    if (m_applyingNewEra && wasRemoved) {
        target.unconfirmedUntil = now + m_context.settings.bounds.targetHeartbeat * HeartbeatsUntilExpiry;
    } else if (!m_applyingFullList) {
        target.unconfirmedUntil = absl::InfinitePast(); // The target has written its entry since the copy was made.
    }
}

void TargetListUpdater::resolveAddressConflict(const core::Ref<Target> &added, EntryChange result)
{
    if (!m_context.table || m_context.table->serviceNamed(added->entry.service) == nullptr) {
        return; // Entries of unconfigured services come from other programs and may contain any address.
    }
    auto &newest = m_newestAtAddress[added->entry.address.text()];
    if (!newest) {
        newest = added;
    }
    if (newest == added || result == EntryChange::Updated) {
        return;
    }
    const bool haveStartTimes = newest->entry.startMs > 0 && added->entry.startMs > 0;
    if (!haveStartTimes && (m_applyingNewEra || m_addedByList.contains(newest->entry.id))) {
        return; // It is unknown which one is later: a restored copy may list a target that has ended.
    }
    auto later = haveStartTimes && newest->entry.startMs > added->entry.startMs ? newest : added;
    endIncarnation(m_context, later == added ? *newest : *added, "another incarnation is listed at its address");
    newest = std::move(later);
}

void TargetListUpdater::markUnusable(const std::string &id, const std::string &fault, std::string_view from)
{
    m_context.targets.invalidateEntry(id, fault);
    auto &knownFault = m_entryFaults[id];
    if (std::exchange(knownFault, fault) == fault) {
        return;
    }
    m_context.metrics.count(metrics::Counter::TargetEntriesInvalid);
    core::log(core::LogLevel::Warning, "target_entry_unusable",
              {{"target", id}, {"fault", fault}, {"known", m_context.targets.find(id) != nullptr}, {"from", from}});
}

void TargetListUpdater::removeTarget(const TargetIncarnation &life, std::string_view from, core::Time now)
{
    m_entryFaults.erase(life.id);
    const auto known = m_context.targets.find(life.id);
    if (!known || known->servesUntil != absl::InfiniteFuture()) {
        return;
    }
    if (life.startMs > 0 && life.startMs < known->entry.startMs) {
        return; // The end of an earlier incarnation.
    }
    const bool isAfterOutage = m_applyingNewEra || now - m_availability.recoveredAt() < EntryRestorePeriod;
    const bool mayReturn = isAfterOutage && !known->isDraining();
    const auto keepDuration
        = std::min(core::Duration(EntryRestorePeriod), m_context.settings.bounds.drain) * MissingTargetKeepShare;
    const auto dropAt = mayReturn ? now + keepDuration : now;
    m_context.targets.expire(life.id, dropAt);
    core::log(core::LogLevel::Info, "target_gone",
              {{"target", life.id}, {"from", from}, {"keptMs", core::toMs(dropAt - now)}});
}

bool TargetListUpdater::isCurrentPosition(const DirectoryPosition &position, std::string_view from)
{
    const auto &known = m_context.targetsPosition;
    if (position >= known) {
        return true;
    }
    core::log(core::LogLevel::Info, "targets_outdated",
              {{"era", position.era},
               {"revision", position.revision},
               {"knownEra", known.era},
               {"knownRevision", known.revision},
               {"from", from}});
    return false;
}

void TargetListUpdater::applyFullList(const std::vector<TargetChange> &list, const DirectoryPosition &position,
                                      std::string_view from, core::Time now)
{
    if (!isCurrentPosition(position, from)) {
        return;
    }
    const auto previousPosition = std::exchange(m_context.targetsPosition, position);
    m_applyingNewEra = previousPosition.isKnown() && position.era > previousPosition.era;
    std::set<std::string> listedIds;
    m_addedByList.clear();
    m_applyingFullList = true;
    for (const auto &change : list) {
        listedIds.insert(change.entry.id);
        applyChange(change, from, now);
    }
    m_applyingFullList = false;
    m_addedByList.clear();
    std::vector<std::string> missingIds;
    for (const auto &[id, target] : m_context.targets.all()) {
        if (!listedIds.contains(id)) {
            missingIds.push_back(id);
        }
    }
    for (const auto &id : missingIds) {
        removeTarget({id, 0}, from, now);
    }
    m_applyingNewEra = false;
    std::erase_if(m_entryFaults, [&listedIds](const auto &item) { return !listedIds.contains(item.first); });
    m_context.targetLog.reset(position);
    m_context.targets.removeExpired(now);
}

void TargetListUpdater::applyChanges(const std::vector<TargetChange> &changes, const DirectoryPosition &position,
                                     std::string_view from, core::Time now)
{
    if (!isCurrentPosition(position, from) || position.era != m_context.targetsPosition.era) {
        return;
    }
    m_context.targetsPosition = position;
    for (const auto &change : changes) {
        applyChange(change, from, now);
    }
    if (!changes.empty()) {
        m_context.targetLog.add(position, changes);
    }
    m_context.targets.removeExpired(now);
}

} // namespace spurlug::relay
