//----------------------------------------------------------------------------------------------------------------------
// spurlug: exchange of crash records between daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/control/crash_exchange.h"

#include "spurlug/core/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace spurlug::control
{

namespace
{

constexpr std::size_t Keepers = 3; // Records are passed on as long as one of them is up.
constexpr std::size_t EndsToTellAll = 2; // Harmless content rarely reaches two; the third quarantines.
constexpr std::size_t MostInDatagram = 16;
constexpr auto GossipPause = absl::Milliseconds(250);
/// Suspects below the quarantine threshold are passed on for this long: the other crashes of the same content follow
/// within moments or not at all.
constexpr auto GossipSpan = absl::Seconds(10);

bool concernsAll(const relay::CrashSuspect &suspect)
{
    return suspect.mostEnds >= EndsToTellAll; // Also after a success: a quarantine may have to be lifted.
}

std::vector<relay::CrashSuspect> forAll(const std::vector<relay::CrashSuspect> &changes)
{
    std::vector<relay::CrashSuspect> suspects;
    std::copy_if(changes.begin(), changes.end(), std::back_inserter(suspects), concernsAll);
    return suspects;
}

SuspectNews newsOf(const relay::CrashSuspect &suspect, core::Time now)
{
    SuspectNews news;
    news.work = suspect.work;
    news.ranWellAge = now - suspect.ranWellAt;
    for (const auto &end : suspect.ends) {
        news.ends.push_back({end.target, now - end.at});
    }
    return news;
}

relay::CrashSuspect suspectOf(const SuspectNews &news, core::Time now)
{
    relay::CrashSuspect suspect;
    suspect.work = news.work;
    suspect.ranWellAt = now - news.ranWellAge;
    for (const auto &end : news.ends) {
        suspect.ends.push_back({end.target, now - end.age});
    }
    return suspect;
}

} // namespace

CrashExchange::CrashExchange(relay::RelayContext &context, Send send)
    : m_context(context)
    , m_send(std::move(send))
{ }

std::vector<Member> CrashExchange::keepers() const
{
    return m_context.roster.holders(Role::Scheduler, Keepers);
}

bool CrashExchange::isKeeper() const
{
    const auto all = keepers();
    return std::any_of(all.begin(), all.end(),
                       [this](const Member &member) { return member.vm == m_context.settings.vm; });
}

void CrashExchange::sendTo(const std::vector<Member> &members, const std::vector<relay::CrashSuspect> &suspects,
                           core::Time now)
{
    for (std::size_t from = 0; from < suspects.size(); from += MostInDatagram) {
        CrashNews news;
        for (auto i = from; i < std::min(from + MostInDatagram, suspects.size()); ++i) {
            news.suspects.push_back(newsOf(suspects[i], now));
        }
        for (const auto &member : members) {
            if (member.vm != m_context.settings.vm) {
                m_context.metrics.count(metrics::Counter::CrashNewsSent);
                m_send(member.datagrams, news);
            }
        }
    }
}

void CrashExchange::tellChanges(core::Time now)
{
    const auto changes = m_context.crashes.takeChanges();
    sendTo(keepers(), changes, now);
    if (isKeeper()) {
        sendTo(m_context.roster.members(), forAll(changes), now);
    }
}

void CrashExchange::tellDomain(core::Time now)
{
    const auto changes = m_context.crashes.takeChanges();
    const auto &domain = m_context.settings.failureDomain;
    if (m_context.roster.isRegistrar()) {
        sendTo(m_context.roster.holdersIn(domain, Role::Scheduler, m_context.daemons), forAll(changes), now);
    }
}

void CrashExchange::take(const CrashNews &news, core::Time now)
{
    auto &crashes = m_context.crashes;
    bool refuted = false;
    for (const auto &told : news.suspects) {
        const bool before = crashes.quarantined(told.work);
        refuted = crashes.merge(suspectOf(told, now), now).refuted || refuted;
        const bool after = crashes.quarantined(told.work);
        if (before != after) {
            core::log(core::LogLevel::Warning, after ? "work_quarantined" : "quarantine_lifted",
                      {{"digest", core::hexText(told.work)}, {"ends", crashes.ends(told.work)}, {"from", "peer"}});
            m_context.metrics.count(after ? metrics::Counter::WorkQuarantined : metrics::Counter::QuarantinesLifted);
        }
    }
    if (refuted || isKeeper()) {
        tellChanges(now);
    } else {
        tellDomain(now); // The sender knows its own domain's daemons and each other domain's registrars.
    }
}

void CrashExchange::greet(const core::Address &datagrams, core::Time now)
{
    if (isKeeper() || m_context.roster.isRegistrar()) {
        Member newcomer;
        newcomer.datagrams = datagrams;
        sendTo({newcomer}, m_context.crashes.recent(GossipSpan, MostInDatagram, m_context.random(), now), now);
    }
}

void CrashExchange::gossip(core::Time now)
{
    const auto &members = m_context.roster.members();
    if (now - m_gossipedAt < GossipPause || members.size() < 2) {
        return;
    }
    m_gossipedAt = now;
    const auto suspects = m_context.crashes.recent(GossipSpan, MostInDatagram, m_context.random(), now);
    const auto drawn = std::uniform_int_distribution<std::size_t>(0, members.size() - 1)(m_context.random);
    sendTo({members[drawn]}, suspects, now);
}

} // namespace spurlug::control
