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
using control::RegistrarsPerDomain;
using control::Role;

/// Time without a heartbeat after which a peer counts as gone: three heartbeats at the longest interval, and one lost.
/// Daemons that ask the holder of a role stop using it much sooner if it doesn't answer.
constexpr auto PeerTimeout = absl::Seconds(7);
constexpr auto MinInterval = absl::Milliseconds(250);
constexpr auto MaxInterval = absl::Seconds(2);
/// Bytes that a registrar receives from and sends to one member in a round.
constexpr double BytesPerMember = 300;
constexpr double RegistrarBytesPerSecond = 12'000; // Exceeded once the interval is at its maximum.
/// A daemon sends heartbeats more often after its start until it knows the others; after this it may hold roles.
constexpr auto StartupPeriod = absl::Seconds(3);
constexpr auto StartupInterval = absl::Milliseconds(300);
/// Time without an answer from any registrar of this domain after which other daemons are contacted.
constexpr auto RegistrarTimeout = absl::Milliseconds(2500);
/// Registrars of each other failure domain that the registrars of this one send heartbeats to.
constexpr std::size_t RegistrarsPerOtherDomain = 2;
/// Daemons listed for each role: the holders and the next candidates.
constexpr std::size_t CandidatesPerRole = 3;
/// Lists change slowly, and some hundred requests arrive per second.
constexpr auto RosterCacheLifetime = absl::Milliseconds(100);
/// Changes that arrive shortly after each other, as when a whole fleet starts, are handled as a batch; the next round
/// handles the last of them.
constexpr auto MinRefreshInterval = absl::Milliseconds(30);
/// Rounds after which a daemon's failure domain knows its state: one to inform the registrars, one for their answers.
constexpr double RoundsUntilKnown = 2;
/// A longer gap between rounds means that the process was stopped.
constexpr auto PauseThreshold = absl::Milliseconds(3000);
/// Draining targets listed in a heartbeat: if a large release has more, each heartbeat has a new random selection.
constexpr std::size_t MaxDrainingReports = 48;
constexpr std::size_t MaxRateReports = 32; ///< Targets whose rate limits a heartbeat lists.
/// Age up to which a load view is sent to other daemons, and from which this daemon asks for a newer one.
constexpr auto MaxSentViewAge = absl::Seconds(1);

Member toMember(const membership::PeerReport &report)
{
    return {report.vm,    report.failureDomain, report.processorShare,
            report.state, report.peerAddress,   report.rpcAddress};
}

membership::PeerReport toPeerReport(const Member &member)
{
    membership::PeerReport report;
    report.vm = member.vm;
    report.failureDomain = member.failureDomain;
    report.processorShare = member.processorShare;
    report.state = member.state;
    report.peerAddress = member.datagramAddress;
    report.rpcAddress = member.controlAddress;
    return report;
}

/// Hash of a member. The sum over all members doesn't depend on their order, so two daemons can compare their lists.
std::uint32_t memberDigest(const std::string &vm, membership::DaemonState state)
{
    return static_cast<std::uint32_t>(core::fastHash(vm, static_cast<std::uint64_t>(state) + 1));
}

} // namespace

FleetMembership::FleetMembership(RelayContext &context, Send send)
    : m_context(context)
    , m_send(std::move(send))
    , m_peers(context.settings.vm, context.settings.failureDomain, PeerTimeout)
    , m_directMembers(context.settings.vm)
    , m_incarnation(static_cast<std::uint64_t>(absl::ToUnixNanos(absl::Now())))
    , m_steadyInterval(StartupInterval)
    , m_nextSeedIndex(context.random())
{ }

void FleetMembership::onNewPeer(std::function<void(const core::Address &)> callback)
{
    m_onNewPeer = std::move(callback);
}

core::Duration FleetMembership::interval(core::Time now) const
{
    return now - m_context.startedAt < StartupPeriod ? core::Duration(StartupInterval) : m_steadyInterval;
}

core::Duration FleetMembership::steadyInterval(core::Time now) const
{
    const auto members = static_cast<double>(daemonCountIn(m_context.settings.failureDomain, now));
    const auto unclampedInterval = absl::Seconds(members * BytesPerMember / RegistrarBytesPerSecond);
    return std::clamp(unclampedInterval, core::Duration(MinInterval), core::Duration(MaxInterval));
}

membership::DaemonState FleetMembership::state(core::Time now) const
{
    if (m_context.shutdown.hasBegun()) {
        return membership::DaemonState::Draining;
    }
    const bool isStarting = now - m_context.startedAt < StartupPeriod;
    return isStarting || !m_context.table ? membership::DaemonState::Starting : membership::DaemonState::Serving;
}

bool FleetMembership::hasFullMemberList(core::Time now) const
{
    // By then all members have sent it a heartbeat, and its own have been answered.
    return now - m_registrarSince > m_steadyInterval * 2;
}

bool FleetMembership::tracksDomain(const std::string &domain, core::Time now) const
{
    return domain == m_context.settings.failureDomain && hasFullMemberList(now);
}

std::size_t FleetMembership::daemonCountIn(const std::string &domain, core::Time now) const
{
    const auto inDomain = [&domain](const Member &member) { return member.failureDomain == domain; };
    if (tracksDomain(domain, now)) {
        return m_directMembers.count(inDomain);
    }
    const auto knownCount = m_context.roster.count(inDomain);
    const auto reported = m_domainReports.find(domain);
    return reported == m_domainReports.end() ? knownCount : std::max(knownCount, reported->second.daemonCount);
}

membership::Heartbeat FleetMembership::makeHeartbeat(core::Time now)
{
    const auto &settings = m_context.settings;
    membership::Heartbeat heartbeat;
    auto &sender = heartbeat.sender;
    sender.vm = settings.vm;
    sender.incarnation = m_incarnation;
    sender.sequence = ++m_sequence;
    sender.state = state(now);
    sender.generation = m_context.table ? m_context.table->version : 0;
    sender.failureDomain = settings.failureDomain;
    sender.peerAddress = settings.peerAddress;
    sender.rpcAddress = settings.controlAddress;
    sender.processorShare = settings.processorShare;
    heartbeat.largestDomainSize = m_context.largestDomainSize;
    heartbeat.drainingTargets = drainingReports(m_context, MaxDrainingReports);
    heartbeat.rateReports = rateReports(m_context, MaxRateReports, now);
    return heartbeat;
}

const std::vector<membership::DomainRoster> &FleetMembership::currentRosters(core::Time now)
{
    if (now - m_rostersBuiltAt < RosterCacheLifetime) {
        return m_rosters;
    }
    m_rostersBuiltAt = now;
    m_rosters.clear();
    m_rostersDigest = 0;
    for (const auto &domain : m_context.roster.failureDomains()) {
        const auto reported = m_domainReports.find(domain);
        const bool isTracked = reported == m_domainReports.end() || tracksDomain(domain, now);
        membership::DomainRoster roster;
        roster.failureDomain = domain;
        roster.daemonCount = daemonCountIn(domain, now);
        roster.age = isTracked ? absl::ZeroDuration() : now - reported->second.reportedAt;
        for (const auto &member : roleCandidatesIn(domain, now)) {
            m_rostersDigest += memberDigest(member.vm, member.state);
            roster.members.push_back(toPeerReport(member));
        }
        m_rosters.push_back(std::move(roster));
    }
    return m_rosters;
}

std::vector<Member> FleetMembership::roleCandidatesIn(const std::string &domain, core::Time now) const
{
    const auto &knownRoster = tracksDomain(domain, now) ? m_directMembers : m_context.roster;
    std::set<std::string> listedVms;
    std::vector<Member> candidates;
    for (const auto role : {Role::Registrar, Role::Scheduler, Role::DirectoryReader}) {
        for (auto &member : knownRoster.holdersIn(domain, role, CandidatesPerRole)) {
            if (listedVms.insert(member.vm).second) {
                candidates.push_back(std::move(member));
            }
        }
    }
    return candidates;
}

void FleetMembership::sendReply(const core::Address &to, std::uint32_t peerDigest, bool wantsLoad, core::Time now)
{
    auto heartbeat = makeHeartbeat(now);
    heartbeat.rosters = currentRosters(now);
    if (peerDigest == m_rostersDigest) {
        for (auto &roster : heartbeat.rosters) {
            roster.members.clear();
        }
    }
    if (wantsLoad) {
        heartbeat.load = recentLoadView(now);
        m_context.metrics.count(metrics::Counter::LoadViewsSent, heartbeat.load ? 1 : 0);
    }
    m_send(to, membership::writeHeartbeat(heartbeat, ""));
}

std::optional<overload::LoadView> FleetMembership::recentLoadView(core::Time now) const
{
    auto view = m_context.features().admission ? m_context.loadViews.newest(now) : std::nullopt;
    return view && view->age < MaxSentViewAge ? view : std::nullopt;
}

core::Address FleetMembership::nextSeed()
{
    const auto &seeds = m_context.settings.seeds;
    // Seeds are control addresses; all daemons use the same port for heartbeats.
    return {seeds[m_nextSeedIndex++ % seeds.size()].host, m_context.settings.peerAddress.port};
}

bool FleetMembership::needsDiscovery(core::Time now) const
{
    const auto &own = m_context.settings.failureDomain;
    const auto registrars = m_context.roster.holdersIn(own, Role::Registrar, RegistrarsPerDomain + 1);
    const bool knowsRegistrar = std::any_of(registrars.begin(), registrars.end(), [this](const Member &member) {
        return member.vm != m_context.settings.vm;
    });
    return !knowsRegistrar || now - m_registrarAnsweredAt > RegistrarTimeout;
}

void FleetMembership::addRegistrars(const std::string &domain, std::size_t maxCount,
                                    std::set<std::string> &addressTexts) const
{
    const auto found = m_context.roster.holdersIn(domain, Role::Registrar, maxCount);
    for (const auto &member : found) {
        addressTexts.insert(member.datagramAddress.text());
    }
    const auto last = m_lastRegistrars.find(domain);
    if (found.empty() && last != m_lastRegistrars.end()) {
        addressTexts.insert(last->second.begin(), last->second.end()); // The domain failed or is partitioned off.
    }
}

std::vector<core::Address> FleetMembership::recipients(core::Time now)
{
    const auto &settings = m_context.settings;
    std::set<std::string> addressTexts;
    addRegistrars(settings.failureDomain, RegistrarsPerDomain, addressTexts);
    const bool isDiscovering = needsDiscovery(now);
    if (m_context.roster.isRegistrar() || isDiscovering) {
        auto domains = m_context.roster.failureDomains();
        for (const auto &[domain, addresses] : m_lastRegistrars) {
            domains.push_back(domain);
        }
        for (const auto &domain : domains) {
            if (domain != settings.failureDomain) {
                addRegistrars(domain, RegistrarsPerOtherDomain, addressTexts);
            }
        }
    }
    const bool lacksDomains = m_context.roster.failureDomains().size() < settings.failureDomains.size();
    if (!settings.seeds.empty() && (isDiscovering || (m_context.roster.isRegistrar() && lacksDomains))) {
        const bool isFirstContact
            = m_registrarAnsweredAt == absl::InfinitePast() && m_alivePeers.empty(); // Some seeds may be down.
        for (std::size_t i = 0; i < (isFirstContact ? settings.seeds.size() : 1); ++i) {
            addressTexts.insert(nextSeed().text());
        }
    }
    addressTexts.erase(settings.peerAddress.text());
    std::vector<core::Address> addresses;
    for (const auto &address : addressTexts) {
        addresses.push_back(core::parseAddress(address));
    }
    return addresses;
}

void FleetMembership::detectPause(core::Time now)
{
    const auto gap = now - m_lastRoundAt;
    if (m_lastRoundAt == absl::InfinitePast() || gap <= PauseThreshold) {
        return;
    }
    core::log(core::LogLevel::Warning, "pause_noticed", {{"ms", core::toMs(gap)}});
    m_context.metrics.count(metrics::Counter::PausesDetected);
    m_peers.extendTimeouts(gap, now);
    for (auto &[domain, reported] : m_domainReports) {
        reported.reportedAt = std::min(reported.reportedAt + gap, now);
    }
}

void FleetMembership::sendRound(core::Time now)
{
    detectPause(now);
    m_lastRoundAt = now;
    m_steadyInterval = steadyInterval(now);
    removeSilentPeers(now);
    auto heartbeat = makeHeartbeat(now);
    heartbeat.wantsReply = true;
    heartbeat.wantsLoad = m_context.features().admission && !recentLoadView(now);
    static_cast<void>(currentRosters(now));
    heartbeat.rostersDigest = m_rostersDigest;
    const auto datagram = membership::writeHeartbeat(heartbeat, "");
    for (const auto &address : recipients(now)) {
        m_send(address, datagram);
    }
}

void FleetMembership::announceState(core::Time now)
{
    const auto datagram = membership::writeHeartbeat(makeHeartbeat(now), "");
    for (const auto &member : m_context.roster.members()) {
        if (member.vm != m_context.settings.vm) {
            m_send(member.datagramAddress, datagram);
        }
    }
}

bool FleetMembership::applyReportedRoster(const membership::DomainRoster &reported, core::Time now)
{
    const auto saidAt = now - reported.age;
    auto &current = m_domainReports[reported.failureDomain];
    if (saidAt < current.reportedAt || reported.age > PeerTimeout) {
        return false;
    }
    const bool hasChanges = current.daemonCount != reported.daemonCount || !reported.members.empty();
    current.reportedAt = saidAt;
    current.daemonCount = reported.daemonCount;
    if (!reported.members.empty() || tracksDomain(reported.failureDomain, now)) {
        current.members.clear(); // For the domain that this daemon tracks itself, an empty list means that the sender
                                 // knows the same members.
        std::transform(reported.members.begin(), reported.members.end(), std::back_inserter(current.members), toMember);
    }
    return hasChanges;
}

void FleetMembership::handleHeartbeat(const membership::Heartbeat &heartbeat, core::Time now)
{
    const auto &sender = heartbeat.sender;
    const auto *knownPeer = m_peers.find(sender.vm);
    const bool stateChanged = knownPeer == nullptr || knownPeer->report.state != sender.state;
    const auto result = m_peers.recordHeartbeat(sender, now);
    if (result != membership::HeartbeatResult::Accepted && result != membership::HeartbeatResult::New) {
        return;
    }
    const auto address = m_peers.find(sender.vm)->report.peerAddress;
    const bool isNewPeer = m_alivePeers.insert(sender.vm).second || result == membership::HeartbeatResult::New;
    if (isNewPeer) {
        core::log(core::LogLevel::Info, "peer_heard",
                  {{"vm", sender.vm}, {"address", address.text()}, {"incarnation", sender.incarnation}});
    }
    const bool isLocalDomain = sender.failureDomain == m_context.settings.failureDomain;
    if (m_context.settings.sharesLimitsWith(sender.failureDomain)) {
        m_context.largestDomainSize = std::max(m_context.largestDomainSize, heartbeat.largestDomainSize);
    }
    applyDrainingReports(m_context, heartbeat.drainingTargets, sender.vm);
    applyRateReports(m_context, heartbeat.rateReports, sender.vm, now);
    if (heartbeat.load) {
        m_context.takeLoadView(*heartbeat.load, now);
    }
    if (isLocalDomain && !heartbeat.wantsReply) {
        m_registrarAnsweredAt = now;
    }
    bool hasChanges = isNewPeer;
    for (const auto &roster : heartbeat.rosters) {
        hasChanges = applyReportedRoster(roster, now) || hasChanges;
    }
    const bool beganDraining
        = stateChanged && sender.state == membership::DaemonState::Draining; // Others take over its roles at once.
    if (beganDraining || ((hasChanges || stateChanged) && now - m_rosterRefreshedAt >= MinRefreshInterval)) {
        refreshRoster(now);
    }
    if (!heartbeat.wantsReply && std::exchange(m_awaitsFirstAnswer, false)) {
        sendRound(now); // Informs the registrars of this daemon at once.
    }
    if (heartbeat.wantsReply) {
        sendReply(address, heartbeat.rostersDigest, heartbeat.wantsLoad, now);
    }
    if (isNewPeer) {
        m_onNewPeer(address);
    }
}

void FleetMembership::removeSilentPeers(core::Time now)
{
    std::erase_if(m_alivePeers, [&](const std::string &vm) {
        const auto *peer = m_peers.find(vm);
        if (peer != nullptr && m_peers.isAlive(*peer, now)) {
            return false;
        }
        if (m_context.roster
                .isRegistrar()) { // Other daemons get heartbeats only until the senders know their registrars.
            core::log(core::LogLevel::Warning, "peer_silent", {{"vm", vm}});
        }
        return true;
    });
    m_peers.removeSilentPeers(now);
    std::erase_if(m_domainReports, [now](const auto &item) { return now - item.second.reportedAt > PeerTimeout; });
    refreshRoster(now);
}

void FleetMembership::refreshRoster(core::Time now)
{
    m_rosterRefreshedAt = now;
    const auto &settings = m_context.settings;
    // It ranks itself by the state that the others know already. Otherwise each of several daemons that begin to serve
    // would rank itself first.
    const auto knownState = state(now - m_steadyInterval * RoundsUntilKnown);
    std::vector<Member> directMembers{{settings.vm, settings.failureDomain, settings.processorShare, knownState,
                                       settings.peerAddress, settings.controlAddress}};
    for (const auto &vm : m_alivePeers) {
        directMembers.push_back(toMember(m_peers.find(vm)->report));
    }
    m_context.roster.replace(mergeReported(directMembers));
    m_directMembers.replace(std::move(directMembers));
    std::size_t total = 0;
    m_context.domainSizes.clear();
    for (const auto &domain : m_context.roster.failureDomains()) {
        const auto count = daemonCountIn(domain, now);
        m_context.domainSizes[domain] = count;
        total += count;
        const auto registrars = m_context.roster.holdersIn(domain, Role::Registrar, RegistrarsPerDomain);
        auto &last = m_lastRegistrars[domain];
        last.clear();
        for (const auto &member : registrars) {
            last.insert(member.datagramAddress.text());
        }
    }
    m_context.roster.setFleetSize(total);
    m_context.daemonCount = std::max(m_context.roster.size(), settings.seeds.size());
    const auto domainSize = settings.failureDomains.empty() ? total : daemonCountIn(settings.failureDomain, now);
    m_context.largestDomainSize = std::max(m_context.largestDomainSize, domainSize);
    m_registrarSince = !m_context.roster.isRegistrar() ? absl::InfiniteFuture() : std::min(m_registrarSince, now);
}

std::vector<Member> FleetMembership::mergeReported(const std::vector<Member> &directMembers) const
{
    std::vector<Member> members;
    std::set<std::string> named{m_context.settings.vm};
    for (const auto &[domain, reported] : m_domainReports) {
        for (const auto &member : reported.members) {
            const auto *peer = m_alivePeers.contains(member.vm) ? m_peers.find(member.vm) : nullptr;
            const bool reportIsNewer = peer == nullptr || reported.reportedAt > peer->lastHeartbeatAt;
            if (reportIsNewer && named.insert(member.vm).second) {
                members.push_back(member);
            }
        }
    }
    for (const auto &member : directMembers) {
        if (member.vm == m_context.settings.vm || named.insert(member.vm).second) {
            members.push_back(member);
        }
    }
    return members;
}

} // namespace spurlug::relay
