//----------------------------------------------------------------------------------------------------------------------
// spurlug: reads configuration, targets and evacuations from the directory and watches them for changes
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/follower.h"

#include "spurlug/core/log.h"
#include "spurlug/relay/target_notice.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace spurlug::relay
{

namespace
{

constexpr auto FirstWait = absl::Milliseconds(50);
constexpr auto LongestWait = absl::Milliseconds(500);
/// Wait of a daemon between failed calls, per daemon that reads the directory. It is shortened at random by up to half;
/// all daemons together make some hundred calls a second.
constexpr auto WaitForEach = absl::Milliseconds(10);
/// Up to this many daemons need no longer waits: the readers of a fleet, or a small fleet.
constexpr std::size_t FewCallers = 20;

/// The directory removes the entry of a target that is gone after three missed heartbeats; one more allows for transit.
constexpr double HeartbeatsMissed = 4;
/// Share of the shorter of `LapseTime` and the drain bound for which a target missing from the directory is still used.
constexpr double KeepShare = 0.8;

/// Wait that spreads the calls of many daemons over time.
/// \param draw Random number from 0 to 1.
core::Duration spread(std::size_t callers, double draw)
{
    if (callers <= FewCallers) {
        return absl::ZeroDuration();
    }
    return WaitForEach * static_cast<double>(callers) * (1 + draw) / 2;
}

} // namespace

DirectoryLink::DirectoryLink(RelayContext &context, std::string what)
    : m_context(context)
    , m_what(std::move(what))
    , m_backoff(FirstWait, LongestWait)
{ }

core::Duration DirectoryLink::ended(DirectoryStatus status, const std::string &detail, core::Time now)
{
    const bool answered = status == DirectoryStatus::Ok || status == DirectoryStatus::HistoryGone;
    if (answered) {
        m_backoff.succeeded();
        if (std::exchange(m_status, DirectoryStatus::Ok) != DirectoryStatus::Ok) {
            m_regainedAt = now;
            core::log(core::LogLevel::Info, "directory_regained",
                      {{"what", m_what}, {"afterMs", core::toMs(now - m_lostAt)}});
        }
        return absl::ZeroDuration();
    }
    m_context.metrics.count(metrics::Counter::PlatformFailures);
    if (m_status == DirectoryStatus::Ok) {
        m_lostAt = now;
    }
    if (std::exchange(m_status, status) != status) {
        core::log(core::LogLevel::Warning, "directory_lost",
                  {{"what", m_what}, {"status", core::nameOf(status)}, {"detail", detail}});
    }
    std::uniform_real_distribution<double> draw(0, 1);
    const auto wait = m_backoff.failed(draw(m_context.random));
    return std::max(wait, spread(m_context.directoryCallers, draw(m_context.random)));
}

bool DirectoryLink::noteEra(std::int64_t era, core::Time now)
{
    if (era <= m_era) {
        return false;
    }
    const auto before = std::exchange(m_era, era);
    if (before == 0) {
        return false;
    }
    m_regainedAt = now;
    m_context.metrics.count(metrics::Counter::DirectoryRestored);
    core::log(core::LogLevel::Warning, "directory_restored", {{"what", m_what}, {"era", era}, {"before", before}});
    return true;
}

TargetIntake::TargetIntake(RelayContext &context, const DirectoryLink &link)
    : m_context(context)
    , m_link(link)
{ }

void TargetIntake::take(const TargetChange &change, std::string_view from, core::Time now)
{
    if (change.gone) {
        drop(change.entry.life(), from, now);
    } else if (!change.fault.empty()) {
        withdraw(change.entry.id, change.fault, from);
    } else {
        put(change.entry, from, now);
    }
}

void TargetIntake::put(const TargetEntry &entry, std::string_view from, core::Time now)
{
    const auto known = m_context.targets.find(entry.id);
    if (known && known->entry.startMs > 0 && entry.startMs == 0) {
        withdraw(entry.id, "the entry has no start time, although an earlier entry had one", from);
        return;
    }
    const bool wasUnusable = known && (known->dropAt != absl::InfiniteFuture() || !known->fault.empty());
    const bool changed = known && (known->entry.draining != entry.draining || known->entry.service != entry.service);
    const bool wasGone = known && known->dropAt != absl::InfiniteFuture();
    const auto news = m_context.targets.put(entry);
    if (news == EntryNews::Outdated) {
        return;
    }
    m_faults.erase(entry.id);
    if (m_inOneList && news != EntryNews::Updated) {
        m_newInList.insert(entry.id);
    }
    const auto target = m_context.targets.find(entry.id);
    judgeCopy(*target, wasGone && news == EntryNews::Updated, now);
    noteCold(m_context, *target, entry.cold, from, now);
    judgeLivesAt(target, news);
    if (news == EntryNews::Restarted) {
        m_context.metrics.count(metrics::Counter::TargetsRestarted);
    }
    if (news != EntryNews::Updated || wasUnusable || changed) {
        core::log(core::LogLevel::Info, "target_listed",
                  {{"target", entry.id},
                   {"startMs", entry.startMs},
                   {"restarted", news == EntryNews::Restarted},
                   {"service", entry.service},
                   {"address", entry.address.text()},
                   {"draining", entry.draining},
                   {"doubted", now < target->doubtedUntil},
                   {"from", from}});
    }
}

void TargetIntake::judgeCopy(Target &target, bool wasGone, core::Time now) const
{
    if (m_inNewEra && wasGone) {
        target.doubtedUntil = now + m_context.settings.bounds.targetHeartbeat * HeartbeatsMissed;
    } else if (!m_inOneList) {
        target.doubtedUntil = absl::InfinitePast(); // The target has written its entry since the copy was made.
    }
}

void TargetIntake::judgeLivesAt(const core::Ref<Target> &added, EntryNews news)
{
    if (!m_context.table || m_context.table->service(added->entry.service) == nullptr) {
        return; // Entries of unconfigured services come from other programs and may contain any address.
    }
    auto &newest = m_lifeAt[added->entry.address.text()];
    if (!newest) {
        newest = added;
    }
    if (newest == added || news == EntryNews::Updated) {
        return;
    }
    const bool startsAreTold = newest->entry.startMs > 0 && added->entry.startMs > 0;
    if (!startsAreTold && (m_inNewEra || m_newInList.contains(newest->entry.id))) {
        return; // It is unknown which one is later: a restored copy may list a target that has ended.
    }
    auto later = startsAreTold && newest->entry.startMs > added->entry.startMs ? newest : added;
    endLife(m_context, later == added ? *newest : *added, "another incarnation is listed at its address");
    newest = std::move(later);
}

void TargetIntake::withdraw(const std::string &id, const std::string &fault, std::string_view from)
{
    m_context.targets.withdraw(id, fault);
    auto &known = m_faults[id];
    if (std::exchange(known, fault) == fault) {
        return;
    }
    m_context.metrics.count(metrics::Counter::TargetEntriesUnusable);
    core::log(core::LogLevel::Warning, "target_entry_unusable",
              {{"target", id}, {"fault", fault}, {"known", m_context.targets.find(id) != nullptr}, {"from", from}});
}

void TargetIntake::drop(const TargetLife &life, std::string_view from, core::Time now)
{
    m_faults.erase(life.id);
    const auto known = m_context.targets.find(life.id);
    if (!known || known->dropAt != absl::InfiniteFuture()) {
        return;
    }
    if (life.startMs > 0 && life.startMs < known->entry.startMs) {
        return; // The end of an earlier incarnation.
    }
    const bool isBack = m_inNewEra || now - m_link.regainedAt() < LapseTime;
    const bool mayComeBack = isBack && !known->leaving();
    const auto kept = std::min(core::Duration(LapseTime), m_context.settings.bounds.drain) * KeepShare;
    const auto dropAt = mayComeBack ? now + kept : now;
    m_context.targets.drop(life.id, dropAt);
    core::log(core::LogLevel::Info, "target_gone",
              {{"target", life.id}, {"from", from}, {"keptMs", core::toMs(dropAt - now)}});
}

bool TargetIntake::isNews(const DirectoryPosition &position, std::string_view from)
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

void TargetIntake::whole(const std::vector<TargetChange> &list, const DirectoryPosition &position,
                         std::string_view from, core::Time now)
{
    if (!isNews(position, from)) {
        return;
    }
    const auto before = std::exchange(m_context.targetsPosition, position);
    m_inNewEra = before.known() && position.era > before.era;
    std::set<std::string> present;
    m_newInList.clear();
    m_inOneList = true;
    for (const auto &change : list) {
        present.insert(change.entry.id);
        take(change, from, now);
    }
    m_inOneList = false;
    m_newInList.clear();
    std::vector<std::string> missing;
    for (const auto &[id, target] : m_context.targets.all()) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto &id : missing) {
        drop({id, 0}, from, now);
    }
    m_inNewEra = false;
    std::erase_if(m_faults, [&present](const auto &item) { return !present.contains(item.first); });
    m_context.targetLog.restart(position);
    m_context.targets.forgetGone(now);
}

void TargetIntake::changes(const std::vector<TargetChange> &changes, const DirectoryPosition &position,
                           std::string_view from, core::Time now)
{
    if (!isNews(position, from) || position.era != m_context.targetsPosition.era) {
        return;
    }
    m_context.targetsPosition = position;
    for (const auto &change : changes) {
        take(change, from, now);
    }
    if (!changes.empty()) {
        m_context.targetLog.add(position, changes);
    }
    m_context.targets.forgetGone(now);
}

} // namespace spurlug::relay
