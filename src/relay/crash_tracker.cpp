//----------------------------------------------------------------------------------------------------------------------
// spurlug: detection and quarantine of requests that crash their targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/crash_tracker.h"

#include <algorithm>

namespace spurlug::relay
{

namespace
{

/// A daemon gets some tens of requests per second, so this covers more than the last minute in 100 KB.
constexpr std::size_t SuccessSlots = 4096;
// Doublings of the delay before a trial: up to the hour after which content is forgotten.
constexpr std::size_t MaxDoublings = 6;

/// A message takes some ms, and each daemon that forwards it moves its time later by as much. Only a time that is later
/// by more than this is news; otherwise two daemons would keep sending each other ever later times.
constexpr auto MessageDelay = absl::Seconds(1);

bool isRelevant(const TargetCrash &crash, core::Time lastSuccessAt)
{
    return crash.at > lastSuccessAt + core::Duration(CrashTracker::SuccessSpan);
}

/// \returns Whether the crash is new and counts.
bool addCrash(CrashSuspect &suspect, const TargetCrash &crash)
{
    const bool known = std::any_of(suspect.crashes.begin(), suspect.crashes.end(),
                                   [&crash](const TargetCrash &other) { return other.target == crash.target; });
    if (known || !isRelevant(crash, suspect.lastSuccessAt) || suspect.crashes.size() >= CrashTracker::MaxCrashes) {
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
    return std::erase_if(suspect.crashes,
                         [&](const TargetCrash &crash) { return !isRelevant(crash, suspect.lastSuccessAt); })
        > 0;
}

} // namespace

core::Time CrashSuspect::lastCrashAt() const noexcept
{
    core::Time last = absl::InfinitePast();
    for (const auto &crash : crashes) {
        last = std::max(last, crash.at);
    }
    return last;
}

CrashTracker::CrashTracker()
    : m_successes(SuccessSlots)
{ }

core::Time CrashTracker::lastLocalSuccess(const core::Digest &content) const
{
    const auto &success = m_successes[content.low % m_successes.size()];
    return success.content == content ? success.at : absl::InfinitePast();
}

void CrashTracker::removeExpired(core::Time now)
{
    std::erase_if(m_suspects, [now](const auto &item) {
        const auto &suspect = item.second.suspect;
        return now - std::max(suspect.lastCrashAt(), suspect.lastSuccessAt) > core::Duration(Retention);
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
    m_suspects.erase(least);
}

CrashSuspect &CrashTracker::suspect(const core::Digest &content, core::Time now)
{
    if (!m_suspects.contains(content)) {
        removeExpired(now);
        if (m_suspects.size() >= MaxSuspects) {
            evictLeastRelevant();
        }
        m_suspects[content].suspect.content = content;
    }
    return m_suspects[content].suspect;
}

bool CrashTracker::noteCrash(const core::Digest &content, std::uint32_t target, core::Time now)
{
    const TargetCrash crash{target, now};
    if (!isRelevant(crash, lastLocalSuccess(content))) {
        return false;
    }
    const bool changed = addCrash(suspect(content, now), crash);
    if (changed) {
        m_changed.insert(content);
    }
    return changed;
}

bool CrashTracker::noteSuccess(const core::Digest &content, core::Time now)
{
    m_successes[content.low % m_successes.size()] = {content, now};
    const auto known = m_suspects.find(content);
    const bool refuted = known != m_suspects.end() && removeRefuted(known->second.suspect, now);
    if (refuted) {
        m_changed.insert(content);
    }
    return refuted;
}

CrashTracker::MergeResult CrashTracker::merge(const CrashSuspect &reported, core::Time now)
{
    MergeResult merged;
    auto &known = suspect(reported.content, now);
    if (reported.lastSuccessAt > known.lastSuccessAt + core::Duration(MessageDelay)) {
        removeRefuted(known, reported.lastSuccessAt);
        merged.changed = true;
    }
    const auto localSuccessAt = lastLocalSuccess(reported.content);
    for (const auto &crash : reported.crashes) {
        if (now - crash.at > core::Duration(Retention)) {
            continue;
        }
        if (isRelevant(crash, known.lastSuccessAt) && !isRelevant(crash, localSuccessAt)) {
            merged.refuted = true;
            removeRefuted(known, localSuccessAt);
        }
        const bool added = addCrash(known, crash);
        merged.changed = merged.changed || added;
    }
    if (merged.changed || merged.refuted) {
        m_changed.insert(reported.content);
    }
    known.maxCrashes = std::max(known.maxCrashes, reported.crashes.size());
    return merged;
}

bool CrashTracker::tryStartTrial(const core::Digest &content, core::Time now)
{
    const auto known = m_suspects.find(content);
    if (known == m_suspects.end()) {
        return false;
    }
    auto &[suspect, triedAt] = known->second;
    const auto furtherCrashes = std::max(suspect.crashes.size(), CrashesToQuarantine) - CrashesToQuarantine;
    const auto delay = core::Duration(FirstTrialDelay) * (1 << std::min(furtherCrashes, MaxDoublings));
    if (now < std::max(suspect.lastCrashAt(), triedAt) + delay) {
        return false;
    }
    triedAt = now;
    return true;
}

std::vector<CrashSuspect> CrashTracker::takeChanges()
{
    std::vector<CrashSuspect> changes;
    for (const auto &content : m_changed) {
        const auto known = m_suspects.find(content);
        if (known != m_suspects.end()) {
            changes.push_back(known->second.suspect);
        }
    }
    m_changed.clear();
    return changes;
}

bool CrashTracker::isQuarantined(const core::Digest &content) const
{
    return crashCount(content) >= CrashesToQuarantine;
}

std::size_t CrashTracker::crashCount(const core::Digest &content) const
{
    const auto known = m_suspects.find(content);
    return known == m_suspects.end() ? 0 : known->second.suspect.crashes.size();
}

std::vector<CrashSuspect> CrashTracker::recent(core::Duration span, std::size_t maxCount, std::uint64_t randomValue,
                                               core::Time now) const
{
    std::vector<CrashSuspect> found;
    for (const auto &[content, known] : m_suspects) {
        const auto &suspect = known.suspect;
        const bool isRecent = now - std::max(suspect.lastCrashAt(), suspect.lastSuccessAt) <= span;
        if (isRecent || suspect.crashes.size() >= CrashesToQuarantine) {
            found.push_back(suspect);
        }
    }
    if (found.size() > maxCount) {
        std::rotate(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(randomValue % found.size()),
                    found.end());
        found.resize(maxCount);
    }
    return found;
}

} // namespace spurlug::relay
