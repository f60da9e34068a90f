//----------------------------------------------------------------------------------------------------------------------
// spurlug: fleet membership of one daemon by heartbeats
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/fleet_membership.h"

#include "spurlug/core/hash.h"
#include "spurlug/core/log.h"
#include "spurlug/relay/target_notice.h"

#include <absl/time/clock.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace spurlug::relay
{

namespace
{

using control::Member;
using control::Registrars;
using control::Role;

/// Time without a heartbeat after which a peer counts as gone: three heartbeats at the longest interval, and one lost.
/// Daemons that ask the holder of a role stop using it much sooner if it doesn't answer.
constexpr auto PeerTimeout = absl::Seconds(7);
constexpr auto ShortestInterval = absl::Milliseconds(250);
constexpr auto LongestInterval = absl::Seconds(2);
/// Bytes that a registrar receives from and sends to one member in a round.
constexpr double BytesForMember = 300;
constexpr double RegistrarBytesPerSecond = 12'000; // Exceeded once the interval is at its maximum.
/// A daemon sends heartbeats more often after its start until it knows the others; after this it may hold roles.
constexpr auto YouthSpan = absl::Seconds(3);
constexpr auto YouthInterval = absl::Milliseconds(300);
/// Time without an answer from any registrar of this domain after which other daemons are contacted.
constexpr auto RegistrarPatience = absl::Milliseconds(2500);
/// Registrars of each other failure domain that the registrars of this one send heartbeats to.
constexpr std::size_t RegistrarsElsewhere = 2;
/// Daemons listed for each role: the holders and the next candidates.
constexpr std::size_t HoldersNamed = 3;
/// Lists change slowly, and some hundred requests arrive per second.
constexpr auto RostersKept = absl::Milliseconds(100);
/// Changes that arrive shortly after each other, as when a whole fleet starts, are handled as a batch; the next round
/// handles the last of them.
constexpr auto RefreshPause = absl::Milliseconds(30);
/// Rounds after which a daemon's failure domain knows its state: one to inform the registrars, one for their answers.
constexpr double HeardAfterRounds = 2;
/// A longer gap between rounds means that the process was stopped.
constexpr auto PauseNoticed = absl::Milliseconds(3000);
/// Draining targets listed in a heartbeat: if a large release has more, each heartbeat has a new random selection.
constexpr std::size_t MostLeavingTold = 48;
constexpr std::size_t MostRatesTold = 32; ///< Targets whose rate limits a heartbeat lists.

Member memberOf(const membership::PeerNews &news)
{
    return {news.vm, news.failureDomain, news.processorShare, news.state, news.peerAddress, news.rpcAddress};
}

membership::PeerNews newsOf(const Member &member)
{
    membership::PeerNews news;
    news.vm = member.vm;
    news.failureDomain = member.failureDomain;
    news.processorShare = member.processorShare;
    news.state = member.state;
    news.peerAddress = member.datagrams;
    news.rpcAddress = member.control;
    return news;
}

/// Hash of a member. The sum over all members doesn't depend on their order, so two daemons can compare their lists.
std::uint32_t digestOf(const std::string &vm, membership::DaemonState state)
{
    return static_cast<std::uint32_t>(core::fastHash(vm, static_cast<std::uint64_t>(state) + 1));
}

} // namespace

FleetMembership::FleetMembership(RelayContext &context, Send send)
    : m_context(context)
    , m_send(std::move(send))
    , m_peers(context.settings.vm, context.settings.failureDomain, PeerTimeout)
    , m_heard(context.settings.vm)
    , m_incarnation(static_cast<std::uint64_t>(absl::ToUnixNanos(absl::Now())))
    , m_settledInterval(YouthInterval)
    , m_seed(context.random())
{ }

void FleetMembership::onNewPeer(std::function<void(const core::Address &)> tell)
{
    m_tellNewPeer = std::move(tell);
}

core::Duration FleetMembership::interval(core::Time now) const
{
    return now - m_context.startedAt < YouthSpan ? core::Duration(YouthInterval) : m_settledInterval;
}

core::Duration FleetMembership::settledInterval(core::Time now) const
{
    const auto members = static_cast<double>(daemonsIn(m_context.settings.failureDomain, now));
    const auto span = absl::Seconds(members * BytesForMember / RegistrarBytesPerSecond);
    return std::clamp(span, core::Duration(ShortestInterval), core::Duration(LongestInterval));
}

membership::DaemonState FleetMembership::state(core::Time now) const
{
    if (m_context.draining) {
        return membership::DaemonState::Leaving;
    }
    const bool young = now - m_context.startedAt < YouthSpan;
    return young || !m_context.table ? membership::DaemonState::Starting : membership::DaemonState::Serving;
}

bool FleetMembership::keepsList(core::Time now) const
{
    // By then all members have sent it a heartbeat, and its own have been answered.
    return now - m_registrarSince > m_settledInterval * 2;
}

bool FleetMembership::hearsAll(const std::string &domain, core::Time now) const
{
    return domain == m_context.settings.failureDomain && keepsList(now);
}

std::size_t FleetMembership::daemonsIn(const std::string &domain, core::Time now) const
{
    const auto inDomain = [&domain](const Member &member) { return member.failureDomain == domain; };
    if (hearsAll(domain, now)) {
        return m_heard.count(inDomain);
    }
    const auto known = m_context.roster.count(inDomain);
    const auto told = m_told.find(domain);
    return told == m_told.end() ? known : std::max(known, told->second.daemons);
}

membership::Heartbeat FleetMembership::compose(core::Time now)
{
    const auto &settings = m_context.settings;
    membership::Heartbeat heartbeat;
    auto &news = heartbeat.news;
    news.vm = settings.vm;
    news.incarnation = m_incarnation;
    news.sequence = ++m_sequence;
    news.state = state(now);
    news.generation = m_context.table ? m_context.table->version : 0;
    news.failureDomain = settings.failureDomain;
    news.peerAddress = settings.peerAddress;
    news.rpcAddress = settings.controlAddress;
    news.processorShare = settings.processorShare;
    heartbeat.largestDomain = m_context.largestDomain;
    heartbeat.leaving = leavingNews(m_context, MostLeavingTold);
    heartbeat.rates = rateNews(m_context, MostRatesTold, now);
    return heartbeat;
}

const std::vector<membership::DomainRoster> &FleetMembership::rosters(core::Time now)
{
    if (now - m_rostersAt < RostersKept) {
        return m_rosters;
    }
    m_rostersAt = now;
    m_rosters.clear();
    m_rostersDigest = 0;
    for (const auto &domain : m_context.roster.failureDomains()) {
        const auto told = m_told.find(domain);
        const bool heardHere = told == m_told.end() || hearsAll(domain, now);
        membership::DomainRoster roster;
        roster.failureDomain = domain;
        roster.daemons = daemonsIn(domain, now);
        roster.age = heardHere ? absl::ZeroDuration() : now - told->second.saidAt;
        for (const auto &member : holdersIn(domain, now)) {
            m_rostersDigest += digestOf(member.vm, member.state);
            roster.members.push_back(newsOf(member));
        }
        m_rosters.push_back(std::move(roster));
    }
    return m_rosters;
}

std::vector<Member> FleetMembership::holdersIn(const std::string &domain, core::Time now) const
{
    const auto &known = hearsAll(domain, now) ? m_heard : m_context.roster;
    std::set<std::string> named;
    std::vector<Member> holders;
    for (const auto role : {Role::Registrar, Role::Scheduler, Role::Reader}) {
        for (auto &member : known.holdersIn(domain, role, HoldersNamed)) {
            if (named.insert(member.vm).second) {
                holders.push_back(std::move(member));
            }
        }
    }
    return holders;
}

void FleetMembership::answer(const core::Address &to, std::uint32_t theirDigest, core::Time now)
{
    auto heartbeat = compose(now);
    heartbeat.rosters = rosters(now);
    if (theirDigest == m_rostersDigest) {
        for (auto &roster : heartbeat.rosters) {
            roster.members.clear();
        }
    }
    m_send(to, membership::writeHeartbeat(heartbeat, ""));
}

core::Address FleetMembership::nextSeed()
{
    const auto &seeds = m_context.settings.seeds;
    // Seeds are control addresses; all daemons use the same port for heartbeats.
    return {seeds[m_seed++ % seeds.size()].host, m_context.settings.peerAddress.port};
}

bool FleetMembership::seeksOthers(core::Time now) const
{
    const auto &own = m_context.settings.failureDomain;
    const auto others = m_context.roster.holdersIn(own, Role::Registrar, Registrars + 1);
    const bool knowsOne = std::any_of(others.begin(), others.end(),
                                      [this](const Member &member) { return member.vm != m_context.settings.vm; });
    return !knowsOne || now - m_answeredAt > RegistrarPatience;
}

void FleetMembership::addRegistrars(const std::string &domain, std::size_t most, std::set<std::string> &to) const
{
    const auto found = m_context.roster.holdersIn(domain, Role::Registrar, most);
    for (const auto &member : found) {
        to.insert(member.datagrams.text());
    }
    const auto last = m_lastRegistrars.find(domain);
    if (found.empty() && last != m_lastRegistrars.end()) {
        to.insert(last->second.begin(), last->second.end()); // The domain failed or is partitioned off.
    }
}

std::vector<core::Address> FleetMembership::receivers(core::Time now)
{
    const auto &settings = m_context.settings;
    std::set<std::string> to;
    addRegistrars(settings.failureDomain, Registrars, to);
    const bool seeks = seeksOthers(now);
    if (m_context.roster.isRegistrar() || seeks) {
        auto domains = m_context.roster.failureDomains();
        for (const auto &[domain, addresses] : m_lastRegistrars) {
            domains.push_back(domain);
        }
        for (const auto &domain : domains) {
            if (domain != settings.failureDomain) {
                addRegistrars(domain, RegistrarsElsewhere, to);
            }
        }
    }
    const bool lacksDomains = m_context.roster.failureDomains().size() < settings.failureDomains.size();
    if (!settings.seeds.empty() && (seeks || (m_context.roster.isRegistrar() && lacksDomains))) {
        const bool first = m_answeredAt == absl::InfinitePast() && m_alive.empty(); // Some seeds may be down.
        for (std::size_t i = 0; i < (first ? settings.seeds.size() : 1); ++i) {
            to.insert(nextSeed().text());
        }
    }
    to.erase(settings.peerAddress.text());
    std::vector<core::Address> addresses;
    for (const auto &address : to) {
        addresses.push_back(core::parseAddress(address));
    }
    return addresses;
}

void FleetMembership::notePause(core::Time now)
{
    const auto gap = now - m_lastRound;
    if (m_lastRound == absl::InfinitePast() || gap <= PauseNoticed) {
        return;
    }
    core::log(core::LogLevel::Warning, "pause_noticed", {{"ms", core::toMs(gap)}});
    m_context.metrics.count(metrics::Counter::PausesNoticed);
    m_peers.noteOwnPause(gap, now);
    for (auto &[domain, told] : m_told) {
        told.saidAt = std::min(told.saidAt + gap, now);
    }
}

void FleetMembership::sendRound(core::Time now)
{
    notePause(now);
    m_lastRound = now;
    m_settledInterval = settledInterval(now);
    forgetSilent(now);
    auto heartbeat = compose(now);
    heartbeat.wantsAnswer = true;
    static_cast<void>(rosters(now));
    heartbeat.rostersDigest = m_rostersDigest;
    const auto datagram = membership::writeHeartbeat(heartbeat, "");
    for (const auto &address : receivers(now)) {
        m_send(address, datagram);
    }
}

void FleetMembership::announce(core::Time now)
{
    const auto datagram = membership::writeHeartbeat(compose(now), "");
    for (const auto &member : m_context.roster.members()) {
        if (member.vm != m_context.settings.vm) {
            m_send(member.datagrams, datagram);
        }
    }
}

bool FleetMembership::noteRoster(const membership::DomainRoster &told, core::Time now)
{
    const auto saidAt = now - told.age;
    auto &known = m_told[told.failureDomain];
    if (saidAt < known.saidAt || told.age > PeerTimeout) {
        return false;
    }
    const bool isNews = known.daemons != told.daemons || !told.members.empty();
    known.saidAt = saidAt;
    known.daemons = told.daemons;
    if (!told.members.empty() || hearsAll(told.failureDomain, now)) {
        known.members.clear(); // For the domain that this daemon tracks itself, an empty list means that the sender
                               // knows the same members.
        std::transform(told.members.begin(), told.members.end(), std::back_inserter(known.members), memberOf);
    }
    return isNews;
}

void FleetMembership::take(const membership::Heartbeat &heartbeat, core::Time now)
{
    const auto &news = heartbeat.news;
    const auto *known = m_peers.find(news.vm);
    const bool changed = known == nullptr || known->news.state != news.state;
    const auto heard = m_peers.hear(news, now);
    if (heard != membership::HeardResult::Accepted && heard != membership::HeardResult::New) {
        return;
    }
    const auto address = m_peers.find(news.vm)->news.peerAddress;
    const bool isNew = m_alive.insert(news.vm).second || heard == membership::HeardResult::New;
    if (isNew) {
        core::log(core::LogLevel::Info, "peer_heard",
                  {{"vm", news.vm}, {"address", address.text()}, {"incarnation", news.incarnation}});
    }
    const bool atHome = news.failureDomain == m_context.settings.failureDomain;
    if (m_context.settings.countsTogether(news.failureDomain)) {
        m_context.largestDomain = std::max(m_context.largestDomain, heartbeat.largestDomain);
    }
    takeLeavingNews(m_context, heartbeat.leaving, news.vm);
    takeRateNews(m_context, heartbeat.rates, news.vm, now);
    if (atHome && !heartbeat.wantsAnswer) {
        m_answeredAt = now;
    }
    bool isNews = isNew;
    for (const auto &roster : heartbeat.rosters) {
        isNews = noteRoster(roster, now) || isNews;
    }
    const bool stops = changed && news.state == membership::DaemonState::Leaving; // Others take over its roles at once.
    if (stops || ((isNews || changed) && now - m_refreshedAt >= RefreshPause)) {
        refresh(now);
    }
    if (!heartbeat.wantsAnswer && std::exchange(m_knowsNobody, false)) {
        sendRound(now); // Informs the registrars of this daemon at once.
    }
    if (heartbeat.wantsAnswer) {
        answer(address, heartbeat.rostersDigest, now);
    }
    if (isNew) {
        m_tellNewPeer(address);
    }
}

void FleetMembership::forgetSilent(core::Time now)
{
    std::erase_if(m_alive, [&](const std::string &vm) {
        const auto *peer = m_peers.find(vm);
        if (peer != nullptr && m_peers.alive(*peer, now)) {
            return false;
        }
        if (m_context.roster
                .isRegistrar()) { // Other daemons get heartbeats only until the senders know their registrars.
            core::log(core::LogLevel::Warning, "peer_silent", {{"vm", vm}});
        }
        return true;
    });
    m_peers.forgetSilent(now);
    std::erase_if(m_told, [now](const auto &item) { return now - item.second.saidAt > PeerTimeout; });
    refresh(now);
}

void FleetMembership::refresh(core::Time now)
{
    m_refreshedAt = now;
    const auto &settings = m_context.settings;
    // It ranks itself by the state that the others know already. Otherwise each of several daemons that begin to serve
    // would rank itself first.
    const auto heardState = state(now - m_settledInterval * HeardAfterRounds);
    std::vector<Member> heard{{settings.vm, settings.failureDomain, settings.processorShare, heardState,
                               settings.peerAddress, settings.controlAddress}};
    for (const auto &vm : m_alive) {
        heard.push_back(memberOf(m_peers.find(vm)->news));
    }
    m_context.roster.replace(withTold(heard));
    m_heard.replace(std::move(heard));
    std::size_t all = 0;
    for (const auto &domain : m_context.roster.failureDomains()) {
        all += daemonsIn(domain, now);
        const auto registrars = m_context.roster.holdersIn(domain, Role::Registrar, Registrars);
        auto &last = m_lastRegistrars[domain];
        last.clear();
        for (const auto &member : registrars) {
            last.insert(member.datagrams.text());
        }
    }
    m_context.roster.noteSize(all);
    m_context.daemons = std::max(m_context.roster.size(), settings.seeds.size());
    const auto together = settings.failureDomains.empty() ? all : daemonsIn(settings.failureDomain, now);
    m_context.largestDomain = std::max(m_context.largestDomain, together);
    m_registrarSince = !m_context.roster.isRegistrar() ? absl::InfiniteFuture() : std::min(m_registrarSince, now);
}

std::vector<Member> FleetMembership::withTold(const std::vector<Member> &heard) const
{
    std::vector<Member> members;
    std::set<std::string> named{m_context.settings.vm};
    for (const auto &[domain, told] : m_told) {
        for (const auto &member : told.members) {
            const auto *peer = m_alive.contains(member.vm) ? m_peers.find(member.vm) : nullptr;
            const bool newer = peer == nullptr || told.saidAt > peer->heardAt;
            if (newer && named.insert(member.vm).second) {
                members.push_back(member);
            }
        }
    }
    for (const auto &member : heard) {
        if (member.vm == m_context.settings.vm || named.insert(member.vm).second) {
            members.push_back(member);
        }
    }
    return members;
}

} // namespace spurlug::relay
