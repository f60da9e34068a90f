//----------------------------------------------------------------------------------------------------------------------
// spurlug: detection and quarantine of content and prompt parts that crash targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/crash_tracker.h"

#include "spurlug/relay/crash_attribution.h"

#include <algorithm>
#include <utility>

namespace spurlug::relay
{

namespace
{

/// A daemon gets some tens of requests per second with a few parts each, so this covers more than the last minute in
/// 400 KB.
constexpr std::size_t SuccessSlots = 16384;
// Doublings of the delay before a trial: up to the hour after which a suspect is forgotten.
constexpr std::size_t MaxDoublings = 6;

/// From the last crash, or the last comparison of this daemon, until a comparison: other requests that were in progress
/// with the parts have crashed their targets by then, or gone well.
constexpr auto ComparisonDelay = absl::Milliseconds(300);
/// How long after the crash that completed the number for a quarantine any daemon may send a comparison.
constexpr auto ComparisonPeriod = absl::Milliseconds(2500);
/// From one comparison to the next afterwards: an answer that goes on for long shows its result in that time.
constexpr auto LateComparisonInterval = absl::Seconds(2);
/// How many comparisons of all daemons may run at the same time, in the mean; each may crash a target.
constexpr double MaxSimultaneousComparisons = 2;

/// A message takes some ms, and each daemon that forwards it moves its time later by as much. Only a time that is later
/// by more than this is news; otherwise two daemons would keep sending each other ever later times.
constexpr auto MessageDelay = absl::Seconds(1);

bool isRelevant(const TargetCrash &crash, core::Time lastSuccessAt, SuspectKind kind)
{
    return crash.at > lastSuccessAt + successSpan(kind);
}

/// \returns Whether the crash is new and counts.
bool addCrash(CrashSuspect &suspect, const TargetCrash &crash)
{
    const bool known = std::any_of(suspect.crashes.begin(), suspect.crashes.end(),
                                   [&crash](const TargetCrash &other) { return other.target == crash.target; });
    if (known || !isRelevant(crash, suspect.lastSuccessAt, suspect.kind)
        || suspect.crashes.size() >= CrashTracker::MaxCrashes) {
        return false;
    }
    suspect.crashes.push_back(crash);
    suspect.maxCrashes = std::max(suspect.maxCrashes, suspect.crashes.size());
    return true;
}

/// Removes the crashes that no longer count.
/// \returns Whether there were any.
bool removeRefuted(CrashSuspect &suspect, core::Time lastSuccessAt)
{
    suspect.lastSuccessAt = std::max(suspect.lastSuccessAt, lastSuccessAt);
    return std::erase_if(
               suspect.crashes,
               [&](const TargetCrash &crash) { return !isRelevant(crash, suspect.lastSuccessAt, suspect.kind); })
        > 0;
}

/// The targets that crashed under a suspect, in ascending order.
std::vector<std::uint32_t> crashedTargets(const CrashSuspect &suspect)
{
    std::vector<std::uint32_t> targets;
    for (const auto &crash : suspect.crashes) {
        targets.push_back(crash.target);
    }
    std::sort(targets.begin(), targets.end());
    return targets;
}

/// When the crash happened that completed the number for a quarantine.
core::Time thresholdCrashAt(const CrashSuspect &suspect)
{
    std::vector<core::Time> times;
    for (const auto &crash : suspect.crashes) {
        times.push_back(crash.at);
    }
    std::sort(times.begin(), times.end());
    return times.at(crashesToQuarantine(suspect.kind) - 1);
}

/// Whether a success at that time refutes any crash of the suspect.
bool refutesAny(const CrashSuspect &suspect, core::Time successAt)
{
    return std::any_of(suspect.crashes.begin(), suspect.crashes.end(),
                       [&](const TargetCrash &crash) { return !isRelevant(crash, successAt, suspect.kind); });
}

} // namespace

CrashTracker::CrashTracker()
    : m_successes(SuccessSlots)
{ }

core::Time CrashTracker::lastLocalSuccess(const core::Digest &digest) const
{
    const auto &success = m_successes[digest.low % m_successes.size()];
    return success.digest == digest ? success.at : absl::InfinitePast();
}

void CrashTracker::removeExpired(core::Time now)
{
    std::erase_if(m_suspects, [this, now](const auto &item) {
        const auto &[digest, record] = item;
        const auto lastChangeAt = std::max(record.suspect.lastCrashAt(), record.suspect.lastSuccessAt);
        const bool isExpired = now - lastChangeAt > core::Duration(Retention);
        if (isExpired) {
            m_quarantined.erase(digest);
        }
        return isExpired;
    });
}

void CrashTracker::evictLeastRelevant()
{
    const auto weight = [](const auto &item) {
        return std::pair(item.second.suspect.crashes.size(), item.second.suspect.lastCrashAt());
    };
    const auto least = std::min_element(m_suspects.begin(), m_suspects.end(), [&](const auto &left, const auto &right) {
        return weight(left) < weight(right);
    });
    m_changed.erase(least->first);
    m_quarantined.erase(least->first);
    m_suspects.erase(least);
}

CrashSuspect &CrashTracker::suspect(const core::Digest &digest, SuspectKind kind, core::Time now)
{
    if (!m_suspects.contains(digest)) {
        removeExpired(now);
        if (m_suspects.size() >= MaxSuspects) {
            evictLeastRelevant();
        }
        auto &added = m_suspects[digest].suspect;
        added.digest = digest;
        added.kind = kind;
    }
    return m_suspects[digest].suspect;
}

bool CrashTracker::everSucceeded(const CrashSuspect &suspect) const
{
    return std::max(suspect.lastSuccessAt, lastLocalSuccess(suspect.digest)) != absl::InfinitePast();
}

void CrashTracker::updateQuarantine()
{
    std::vector<AttributionCandidate> candidates;
    for (const auto &[digest, record] : m_suspects) {
        const auto &suspect = record.suspect;
        if (suspect.crashes.size() >= crashesToQuarantine(suspect.kind)) {
            candidates.push_back({&suspect, everSucceeded(suspect)});
        }
    }
    auto quarantined = attributeCrashes(std::move(candidates));
    for (const auto &digest : quarantined) {
        if (!m_quarantined.contains(digest)) {
            m_quarantineChanges.push_back({m_suspects.at(digest).suspect, true});
        }
    }
    for (const auto &digest : m_quarantined) {
        const auto known = m_suspects.find(digest);
        if (known != m_suspects.end() && !quarantined.contains(digest)) {
            m_quarantineChanges.push_back({known->second.suspect, false});
        }
    }
    m_quarantined = std::move(quarantined);
}

bool CrashTracker::noteCrash(const core::Digest &digest, std::uint32_t target, core::Time now, SuspectKind kind)
{
    const TargetCrash crash{target, now};
    if (!isRelevant(crash, lastLocalSuccess(digest), kind)) {
        return false;
    }
    const bool changed = addCrash(suspect(digest, kind, now), crash);
    if (changed) {
        m_changed.insert(digest);
        updateQuarantine();
    }
    return changed;
}

bool CrashTracker::noteSuccess(const core::Digest &digest, core::Time at)
{
    auto &success = m_successes[digest.low % m_successes.size()];
    const auto earlier = success.digest == digest ? success.at : absl::InfinitePast();
    success = {digest, std::max(at, earlier)};
    const auto known = m_suspects.find(digest);
    const bool refuted = known != m_suspects.end() && removeRefuted(known->second.suspect, at);
    if (refuted) {
        m_changed.insert(digest);
        updateQuarantine();
    }
    return refuted;
}

CrashTracker::MergeResult CrashTracker::merge(const CrashSuspect &reported, core::Time now)
{
    MergeResult merged;
    auto &known = suspect(reported.digest, reported.kind, now);
    if (known.kind < reported.kind) { // A daemon of an older version reported a part as content.
        known.kind = reported.kind;
        merged.changed = true;
    }
    if (reported.lastSuccessAt > known.lastSuccessAt + core::Duration(MessageDelay)
        || refutesAny(known, reported.lastSuccessAt)) {
        removeRefuted(known, reported.lastSuccessAt);
        merged.changed = true;
    }
    const auto localSuccessAt = lastLocalSuccess(reported.digest);
    for (const auto &crash : reported.crashes) {
        if (now - crash.at > core::Duration(Retention)) {
            continue;
        }
        if (isRelevant(crash, known.lastSuccessAt, known.kind) && !isRelevant(crash, localSuccessAt, known.kind)) {
            merged.refuted = true;
            removeRefuted(known, localSuccessAt);
        }
        const bool added = addCrash(known, crash);
        merged.changed = merged.changed || added;
    }
    if (known.lastSuccessAt == absl::InfinitePast() && localSuccessAt != absl::InfinitePast()) {
        // Nobody else knows that it ever went well, which counts where suspects cannot be told apart.
        known.lastSuccessAt = localSuccessAt;
        merged.refuted = true;
    }
    if (merged.changed || merged.refuted) {
        m_changed.insert(reported.digest);
        updateQuarantine();
    }
    known.maxCrashes = std::max(known.maxCrashes, reported.crashes.size());
    return merged;
}

bool CrashTracker::isTrialDue(const core::Digest &digest, core::Time now) const
{
    const auto known = m_suspects.find(digest);
    if (known == m_suspects.end()) {
        return false;
    }
    const auto &[suspect, lastTrialAt] = known->second;
    const auto threshold = crashesToQuarantine(suspect.kind);
    const auto furtherCrashes = std::max(suspect.crashes.size(), threshold) - threshold;
    const auto delay = core::Duration(FirstTrialDelay) * (1 << std::min(furtherCrashes, MaxDoublings));
    return now >= std::max(suspect.lastCrashAt(), lastTrialAt) + delay;
}

bool CrashTracker::tryStartTrial(const core::Digest &digest, core::Time now)
{
    const bool isDue = isTrialDue(digest, now);
    if (isDue) {
        m_suspects.at(digest).lastTrialAt = now;
    }
    return isDue;
}

bool CrashTracker::allowsComparison(const CrashSuspect &suspect, core::Time lastTrialAt, double uniform,
                                    bool sendsTrials, core::Time now) const
{
    const auto lastCrashAt = suspect.lastCrashAt();
    if (suspect.kind != SuspectKind::PromptPart
        || now - std::max(lastCrashAt, lastTrialAt) < core::Duration(ComparisonDelay)) {
        return false;
    }
    if (now - thresholdCrashAt(suspect) > core::Duration(ComparisonPeriod)) {
        return sendsTrials && now - lastTrialAt >= core::Duration(LateComparisonInterval);
    }
    core::Time firstCrashAt = lastCrashAt;
    for (const auto &crash : suspect.crashes) {
        firstCrashAt = std::min(firstCrashAt, crash.at);
    }
    // As many requests as this come to all daemons before one of them learns the result of another's comparison.
    const auto crashSpan = std::max(lastCrashAt - firstCrashAt, core::Duration(ComparisonDelay));
    const auto simultaneous
        = static_cast<double>(suspect.crashes.size()) * absl::FDivDuration(ComparisonDelay, crashSpan);
    return uniform * simultaneous <= MaxSimultaneousComparisons;
}

bool CrashTracker::hasTwinOutside(const CrashSuspect &suspect, const std::vector<core::Digest> &suspects) const
{
    const auto targets = crashedTargets(suspect);
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&](const auto &item) {
        const auto &[digest, other] = item;
        const auto crashCount = other.suspect.crashes.size();
        const bool isCandidate = other.suspect.kind == SuspectKind::PromptPart
            && crashCount >= crashesToQuarantine(SuspectKind::PromptPart) && crashCount + 1 >= targets.size()
            && !everSucceeded(other.suspect);
        if (!isCandidate || std::find(suspects.begin(), suspects.end(), digest) != suspects.end()) {
            return false;
        }
        const auto otherTargets = crashedTargets(other.suspect);
        return std::includes(targets.begin(), targets.end(), otherTargets.begin(), otherTargets.end());
    });
}

bool CrashTracker::tryStartComparison(const std::vector<core::Digest> &suspects, double uniform, bool sendsTrials,
                                      core::Time now)
{
    std::vector<Record *> quarantined;
    for (const auto &digest : suspects) {
        const auto known = m_suspects.find(digest);
        if (known != m_suspects.end() && isQuarantined(digest)) {
            quarantined.push_back(&known->second);
        }
    }
    const bool allowed = std::all_of(quarantined.begin(), quarantined.end(), [&](const Record *record) {
        return allowsComparison(record->suspect, record->lastTrialAt, uniform, sendsTrials, now)
            && hasTwinOutside(record->suspect, suspects);
    });
    if (!allowed) {
        return false;
    }
    for (auto *record : quarantined) {
        record->lastTrialAt = now;
    }
    return true;
}

std::vector<CrashSuspect> CrashTracker::takeChanges()
{
    std::vector<CrashSuspect> changes;
    for (const auto &digest : m_changed) {
        const auto known = m_suspects.find(digest);
        if (known != m_suspects.end()) {
            changes.push_back(known->second.suspect);
        }
    }
    m_changed.clear();
    return changes;
}

std::vector<CrashTracker::QuarantineChange> CrashTracker::takeQuarantineChanges()
{
    return std::exchange(m_quarantineChanges, {});
}

std::size_t CrashTracker::crashCount(const core::Digest &digest) const
{
    const auto known = m_suspects.find(digest);
    return known == m_suspects.end() ? 0 : known->second.suspect.crashes.size();
}

std::vector<CrashSuspect> CrashTracker::recent(core::Duration span, std::size_t maxCount, std::uint64_t randomValue,
                                               core::Time now) const
{
    std::vector<CrashSuspect> found;
    for (const auto &[digest, known] : m_suspects) {
        const auto &suspect = known.suspect;
        const bool isRecent = now - std::max(suspect.lastCrashAt(), suspect.lastSuccessAt) <= span;
        if (isRecent || isQuarantined(digest)) {
            found.push_back(suspect);
        }
    }
    if (found.size() > maxCount) {
        std::rotate(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(randomValue % found.size()),
                    found.end());
        std::stable_sort(found.begin(), found.end(), [](const CrashSuspect &left, const CrashSuspect &right) {
            return left.crashes.size() > right.crashes.size();
        });
        found.resize(maxCount);
    }
    return found;
}

} // namespace spurlug::relay
