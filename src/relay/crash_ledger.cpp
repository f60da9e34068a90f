//----------------------------------------------------------------------------------------------------------------------
// spurlug: detection and quarantine of requests that crash their targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/crash_ledger.h"

#include <algorithm>

namespace spurlug::relay
{

namespace
{

/// A daemon gets some tens of requests per second, so this covers more than the last minute in 100 KB.
constexpr std::size_t SurvivalSlots = 4096;
// Doublings of the delay before a trial: up to the hour after which content is forgotten.
constexpr std::size_t MostDoublings = 6;

/// A message takes some ms, and each daemon that forwards it moves its time later by as much. Only a time that is later
/// by more than this is news; otherwise two daemons would keep sending each other ever later times.
constexpr auto WordDelay = absl::Seconds(1);

bool counts(const TargetEnd &end, core::Time ranWellAt)
{
    return end.at > ranWellAt + core::Duration(CrashLedger::SurvivalSpan);
}

/// \returns Whether the crash is new and counts.
bool add(CrashSuspect &suspect, const TargetEnd &end)
{
    const bool known = std::any_of(suspect.ends.begin(), suspect.ends.end(),
                                   [&end](const TargetEnd &other) { return other.target == end.target; });
    if (known || !counts(end, suspect.ranWellAt) || suspect.ends.size() >= CrashLedger::MostEnds) {
        return false;
    }
    suspect.ends.push_back(end);
    suspect.mostEnds = std::max(suspect.mostEnds, suspect.ends.size());
    return true;
}

/// Removes the crashes that no longer count.
/// \returns Whether there were any.
bool refute(CrashSuspect &suspect, core::Time ranWellAt)
{
    suspect.ranWellAt = std::max(suspect.ranWellAt, ranWellAt);
    return std::erase_if(suspect.ends, [&](const TargetEnd &end) { return !counts(end, suspect.ranWellAt); }) > 0;
}

} // namespace

core::Time CrashSuspect::lastEndAt() const noexcept
{
    core::Time last = absl::InfinitePast();
    for (const auto &end : ends) {
        last = std::max(last, end.at);
    }
    return last;
}

CrashLedger::CrashLedger()
    : m_survivals(SurvivalSlots)
{ }

core::Time CrashLedger::ranWellHere(const core::Digest &work) const
{
    const auto &ran = m_survivals[work.low % m_survivals.size()];
    return ran.work == work ? ran.at : absl::InfinitePast();
}

void CrashLedger::forgetOld(core::Time now)
{
    std::erase_if(m_suspects, [now](const auto &item) {
        const auto &suspect = item.second.suspect;
        return now - std::max(suspect.lastEndAt(), suspect.ranWellAt) > core::Duration(Memory);
    });
}

void CrashLedger::makeRoom()
{
    const auto weight
        = [](const auto &item) { return std::pair(item.second.suspect.ends.size(), item.second.suspect.lastEndAt()); };
    const auto least = std::min_element(m_suspects.begin(), m_suspects.end(), [&](const auto &left, const auto &right) {
        return weight(left) < weight(right);
    });
    m_changed.erase(least->first);
    m_suspects.erase(least);
}

CrashSuspect &CrashLedger::suspect(const core::Digest &work, core::Time now)
{
    if (!m_suspects.contains(work)) {
        forgetOld(now);
        if (m_suspects.size() >= MostSuspects) {
            makeRoom();
        }
        m_suspects[work].suspect.work = work;
    }
    return m_suspects[work].suspect;
}

bool CrashLedger::targetEnded(const core::Digest &work, std::uint32_t target, core::Time now)
{
    const TargetEnd end{target, now};
    if (!counts(end, ranWellHere(work))) {
        return false;
    }
    const bool news = add(suspect(work, now), end);
    if (news) {
        m_changed.insert(work);
    }
    return news;
}

bool CrashLedger::survived(const core::Digest &work, core::Time now)
{
    m_survivals[work.low % m_survivals.size()] = {work, now};
    const auto known = m_suspects.find(work);
    const bool refuted = known != m_suspects.end() && refute(known->second.suspect, now);
    if (refuted) {
        m_changed.insert(work);
    }
    return refuted;
}

CrashLedger::Merged CrashLedger::merge(const CrashSuspect &told, core::Time now)
{
    Merged merged;
    auto &known = suspect(told.work, now);
    if (told.ranWellAt > known.ranWellAt + core::Duration(WordDelay)) {
        refute(known, told.ranWellAt);
        merged.news = true;
    }
    const auto ranHere = ranWellHere(told.work);
    for (const auto &end : told.ends) {
        if (now - end.at > core::Duration(Memory)) {
            continue;
        }
        if (counts(end, known.ranWellAt) && !counts(end, ranHere)) {
            merged.refuted = true;
            refute(known, ranHere);
        }
        const bool added = add(known, end);
        merged.news = merged.news || added;
    }
    if (merged.news || merged.refuted) {
        m_changed.insert(told.work);
    }
    known.mostEnds = std::max(known.mostEnds, told.ends.size());
    return merged;
}

bool CrashLedger::takeTrial(const core::Digest &work, core::Time now)
{
    const auto known = m_suspects.find(work);
    if (known == m_suspects.end()) {
        return false;
    }
    auto &[suspect, triedAt] = known->second;
    const auto further = std::max(suspect.ends.size(), EndsToQuarantine) - EndsToQuarantine;
    const auto pause = core::Duration(FirstTrialAfter) * (1 << std::min(further, MostDoublings));
    if (now < std::max(suspect.lastEndAt(), triedAt) + pause) {
        return false;
    }
    triedAt = now;
    return true;
}

std::vector<CrashSuspect> CrashLedger::takeChanges()
{
    std::vector<CrashSuspect> changes;
    for (const auto &work : m_changed) {
        const auto known = m_suspects.find(work);
        if (known != m_suspects.end()) {
            changes.push_back(known->second.suspect);
        }
    }
    m_changed.clear();
    return changes;
}

bool CrashLedger::quarantined(const core::Digest &work) const
{
    return ends(work) >= EndsToQuarantine;
}

std::size_t CrashLedger::ends(const core::Digest &work) const
{
    const auto known = m_suspects.find(work);
    return known == m_suspects.end() ? 0 : known->second.suspect.ends.size();
}

std::vector<CrashSuspect> CrashLedger::recent(core::Duration span, std::size_t most, std::uint64_t pick,
                                              core::Time now) const
{
    std::vector<CrashSuspect> found;
    for (const auto &[work, known] : m_suspects) {
        const auto &suspect = known.suspect;
        const bool isRecent = now - std::max(suspect.lastEndAt(), suspect.ranWellAt) <= span;
        if (isRecent || suspect.ends.size() >= EndsToQuarantine) {
            found.push_back(suspect);
        }
    }
    if (found.size() > most) {
        std::rotate(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(pick % found.size()), found.end());
        found.resize(most);
    }
    return found;
}

} // namespace spurlug::relay
