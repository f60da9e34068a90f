//----------------------------------------------------------------------------------------------------------------------
// spurlug: exchange of crash records between daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/control/crash_exchange.h"

#include "spurlug/relay/quarantine_report.h"

#include <algorithm>

namespace spurlug::control
{

namespace
{

constexpr std::size_t AggregatorCount = 3; // Records are passed on as long as one of them is up.
constexpr std::size_t MaxSuspectsPerDatagram = 16;
constexpr std::size_t MaxCrashesPerDatagram = 64; // With 16 suspects about 1.2 KB.
constexpr auto GossipInterval = absl::Milliseconds(250);
/// Suspects below the quarantine threshold are passed on for this long: the other crashes of the same content follow
/// within moments or not at all.
constexpr auto GossipRetention = absl::Seconds(10);

/// Harmless suspects rarely come within one crash of a quarantine.
bool mustBroadcast(const relay::CrashSuspect &suspect)
{
    // The maximum: a quarantine may have to be lifted after a success.
    return suspect.maxCrashes + 1 >= relay::crashesToQuarantine(suspect.kind);
}

std::vector<relay::CrashSuspect> suspectsToBroadcast(const std::vector<relay::CrashSuspect> &changes)
{
    std::vector<relay::CrashSuspect> suspects;
    std::copy_if(changes.begin(), changes.end(), std::back_inserter(suspects), mustBroadcast);
    return suspects;
}

SuspectReport toReport(const relay::CrashSuspect &suspect, core::Time now)
{
    SuspectReport report;
    report.digest = suspect.digest;
    report.kind = suspect.kind;
    report.lastSuccessAge = now - suspect.lastSuccessAt;
    for (const auto &crash : suspect.crashes) {
        report.crashes.push_back({crash.target, now - crash.at});
    }
    return report;
}

relay::CrashSuspect fromReport(const SuspectReport &report, core::Time now)
{
    relay::CrashSuspect suspect;
    suspect.digest = report.digest;
    suspect.kind = report.kind;
    suspect.lastSuccessAt = now - report.lastSuccessAge;
    for (const auto &crash : report.crashes) {
        suspect.crashes.push_back({crash.target, now - crash.age});
    }
    return suspect;
}

} // namespace

CrashExchange::CrashExchange(relay::RelayContext &context, Send send)
    : m_context(context)
    , m_send(std::move(send))
{ }

std::vector<Member> CrashExchange::aggregators() const
{
    return m_context.roster.holders(Role::Scheduler, AggregatorCount);
}

bool CrashExchange::isAggregator() const
{
    const auto aggregatorList = aggregators();
    return std::any_of(aggregatorList.begin(), aggregatorList.end(),
                       [this](const Member &member) { return member.vm == m_context.settings.vm; });
}

void CrashExchange::sendTo(const std::vector<Member> &members, const std::vector<relay::CrashSuspect> &suspects,
                           core::Time now)
{
    CrashReport report;
    std::size_t crashCount = 0;
    for (std::size_t i = 0; i < suspects.size(); ++i) {
        report.suspects.push_back(toReport(suspects[i], now));
        crashCount += suspects[i].crashes.size();
        const bool isFull = i + 1 == suspects.size() || report.suspects.size() == MaxSuspectsPerDatagram
            || crashCount + suspects[i + 1].crashes.size() > MaxCrashesPerDatagram;
        if (isFull) {
            sendReport(members, report);
            report.suspects.clear();
            crashCount = 0;
        }
    }
}

void CrashExchange::sendReport(const std::vector<Member> &members, const CrashReport &report)
{
    for (const auto &member : members) {
        if (member.vm != m_context.settings.vm) {
            m_context.metrics.count(metrics::Counter::CrashReportsSent);
            m_send(member.datagramAddress, report);
        }
    }
}

void CrashExchange::publishChanges(core::Time now)
{
    const auto changes = m_context.crashes.takeChanges();
    sendTo(aggregators(), changes, now);
    if (isAggregator()) {
        sendTo(m_context.roster.members(), suspectsToBroadcast(changes), now);
    }
}

void CrashExchange::forwardToDomain(core::Time now)
{
    const auto changes = m_context.crashes.takeChanges();
    const auto &domain = m_context.settings.failureDomain;
    if (m_context.roster.isRegistrar()) {
        sendTo(m_context.roster.holdersIn(domain, Role::Scheduler, m_context.daemonCount), suspectsToBroadcast(changes),
               now);
    }
}

void CrashExchange::handleReport(const CrashReport &report, core::Time now)
{
    auto &crashes = m_context.crashes;
    bool refuted = false;
    for (const auto &suspectReport : report.suspects) {
        refuted = crashes.merge(fromReport(suspectReport, now), now).refuted || refuted;
    }
    relay::reportQuarantineChanges(m_context, "peer");
    if (refuted || isAggregator()) {
        publishChanges(now);
    } else {
        forwardToDomain(now); // The sender knows its own domain's daemons and each other domain's registrars.
    }
}

void CrashExchange::sendRecentTo(const core::Address &address, core::Time now)
{
    if (isAggregator() || m_context.roster.isRegistrar()) {
        Member newMember;
        newMember.datagramAddress = address;
        sendTo({newMember}, m_context.crashes.recent(GossipRetention, MaxSuspectsPerDatagram, m_context.random(), now),
               now);
    }
}

void CrashExchange::gossip(core::Time now)
{
    const auto &members = m_context.roster.members();
    if (now - m_lastGossipAt < GossipInterval || members.size() < 2) {
        return;
    }
    m_lastGossipAt = now;
    const auto suspects = m_context.crashes.recent(GossipRetention, MaxSuspectsPerDatagram, m_context.random(), now);
    const auto memberIndex = std::uniform_int_distribution<std::size_t>(0, members.size() - 1)(m_context.random);
    sendTo({members[memberIndex]}, suspects, now);
}

} // namespace spurlug::control
