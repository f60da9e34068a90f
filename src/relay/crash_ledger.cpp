//----------------------------------------------------------------------------------------------------------------------
// spurlug: which requests end the targets that run them
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/crash_ledger.h"

#include <algorithm>

namespace spurlug::relay
{

namespace
{

/// Callers come with some tens of requests a second to a daemon: the last minute and more, in 100 KB.
constexpr std::size_t SurvivalSlots = 4096;
constexpr std::size_t MostDoublings = 6; // Of the pause before a trial: up to the hour after which work is forgotten.

std::vector<TargetEnd>::iterator findEnd(std::vector<TargetEnd> &ends, std::uint32_t target)
{
    return std::find_if(ends.begin(), ends.end(), [target](const TargetEnd &end) { return end.target == target; });
}

/// A refuted end older than this may make room. Only newer ends take its place, so words about the same ends come to
/// rest however many there are.
constexpr auto RefutedMemory = absl::Minutes(1);

/// \returns Whether there is room for one more end.
bool makeRoomFor(CrashSuspect &suspect, const TargetEnd &end, core::Time now)
{
    if (suspect.ends.size() < CrashLedger::MostEnds) {
        return true;
    }
    const auto isOld = [now](const TargetEnd &known) { return now - known.at > core::Duration(RefutedMemory); };
    const auto old = std::find_if(suspect.ends.begin(), suspect.ends.end(),
                                  [&](const TargetEnd &known) { return known.refuted && isOld(known); });
    if (isOld(end) || old == suspect.ends.end()) {
        return false;
    }
    suspect.ends.erase(old);
    return true;
}

/// \returns Whether the end is news.
bool add(CrashSuspect &suspect, const TargetEnd &end, core::Time now)
{
    const auto known = findEnd(suspect.ends, end.target);
    if (known != suspect.ends.end()) {
        const bool refutes = end.refuted && !known->refuted;
        known->refuted = known->refuted || end.refuted;
        return refutes;
    }
    if (!makeRoomFor(suspect, end, now)) {
        return false;
    }
    suspect.ends.push_back(end);
    return true;
}

} // namespace

std::size_t CrashSuspect::counted() const noexcept
{
    return static_cast<std::size_t>(
        std::count_if(ends.begin(), ends.end(), [](const TargetEnd &end) { return !end.refuted; }));
}

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

CrashLedger::Survival &CrashLedger::survival(const core::Digest &work)
{
    return m_survivals[work.low % m_survivals.size()];
}

void CrashLedger::forgetOld(core::Time now)
{
    std::erase_if(m_suspects,
                  [now](const auto &item) { return now - item.second.suspect.lastEndAt() > core::Duration(Memory); });
}

void CrashLedger::makeRoom()
{
    const auto weight
        = [](const auto &item) { return std::pair(item.second.suspect.counted(), item.second.suspect.lastEndAt()); };
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

bool CrashLedger::ranWellBefore(const core::Digest &work, core::Time moment)
{
    const auto &ran = survival(work);
    return ran.work == work && moment - ran.at <= core::Duration(SurvivalSpan);
}

bool CrashLedger::targetEnded(const core::Digest &work, std::uint32_t target, core::Time now)
{
    if (ranWellBefore(work, now)) {
        return false;
    }
    const bool news = add(suspect(work, now), {target, now, false}, now);
    if (news) {
        m_changed.insert(work);
    }
    return news;
}

bool CrashLedger::survived(const core::Digest &work, core::Time now)
{
    survival(work) = {work, now};
    const auto known = m_suspects.find(work);
    if (known == m_suspects.end()) {
        return false;
    }
    bool refuted = false;
    for (auto &end : known->second.suspect.ends) {
        refuted = refuted || !end.refuted;
        end.refuted = true;
    }
    if (refuted) {
        m_changed.insert(work);
    }
    return refuted;
}

CrashLedger::Merged CrashLedger::merge(const CrashSuspect &told, core::Time now)
{
    Merged merged;
    for (auto end : told.ends) {
        if (now - end.at > core::Duration(Memory)) {
            continue;
        }
        const bool refutes = !end.refuted && ranWellBefore(told.work, end.at);
        end.refuted = end.refuted || refutes;
        const bool added = add(suspect(told.work, now), end, now);
        merged.news = merged.news || added;
        merged.refuted = merged.refuted || (added && refutes);
    }
    if (merged.news) {
        m_changed.insert(told.work);
    }
    return merged;
}

bool CrashLedger::takeTrial(const core::Digest &work, core::Time now)
{
    const auto known = m_suspects.find(work);
    if (known == m_suspects.end()) {
        return false;
    }
    auto &[suspect, triedAt] = known->second;
    const auto further = std::max(suspect.counted(), EndsToQuarantine) - EndsToQuarantine;
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
    return known == m_suspects.end() ? 0 : known->second.suspect.counted();
}

std::vector<CrashSuspect> CrashLedger::recent(core::Duration span, std::size_t most, std::uint64_t pick,
                                              core::Time now) const
{
    std::vector<CrashSuspect> found;
    for (const auto &[work, known] : m_suspects) {
        const bool isRecent = now - known.suspect.lastEndAt() <= span;
        if (isRecent || known.suspect.counted() >= EndsToQuarantine) {
            found.push_back(known.suspect);
        }
    }
    if (found.size() > most) {
        std::rotate(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(pick % found.size()), found.end());
        found.resize(most);
    }
    return found;
}

} // namespace spurlug::relay
