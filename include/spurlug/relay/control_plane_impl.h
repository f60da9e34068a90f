//----------------------------------------------------------------------------------------------------------------------
// spurlug: control plane of a relay daemon: implementation
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/relay/control_plane.h" // For tools that parse this file on its own.

namespace spurlug::relay
{

template<Directory Source>
ControlPlane<Source>::ControlPlane(RelayContext &context, Source &source)
    : m_context(context)
    , m_directory(source)
    , m_transport(context)
    , m_scheduler(context)
    , m_schedulerClient(context, m_scheduler,
                        [this](const core::Address &to, const control::Message &message) {
                            m_transport.sendTo(to, control::writeMessage(message));
                        })
    , m_crashExchange(context,
                      [this](const core::Address &to, const control::Message &message) {
                          m_transport.sendTo(to, control::writeMessage(message));
                      })
    , m_sourceSelector(context.roster, context.settings.failureDomain, context.settings.readersPerDomain,
                       context.random(), context.startedAt)
    , m_directoryWatcher(context, source, m_sourceSelector)
    , m_wakeQueue(context.loop)
{
    context.schedulerClient = &m_schedulerClient;
    context.crashExchange = &m_crashExchange;
    m_transport.onNewPeer([this](const core::Address &peer) { m_crashExchange.sendRecentTo(peer, core::now()); });
    m_scheduler.setQueuedCallback([this] { scheduleCheck(); });
    m_transport.onMessage([this](control::Message message, const core::Address &from) {
        handleMessage(std::move(message), from, core::now());
    });
}

template<Directory Source>
void ControlPlane<Source>::start()
{
    auto &loop = m_context.loop;
    net::spawnService(loop, "watch_configuration", [this] { return m_directoryWatcher.watchConfiguration(); });
    net::spawnService(loop, "watch_targets", [this] { return m_directoryWatcher.watchTargets(); });
    if (m_context.settings.bounds.evacuate > absl::ZeroDuration()) {
        net::spawnService(loop, "watch_evacuations", [this] { return m_directoryWatcher.watchEvacuations(); });
    }
    net::spawnService(loop, "send_heartbeats", [this] { return m_transport.sendHeartbeats(); });
    net::spawnService(loop, "receive_datagrams", [this] { return m_transport.receiveDatagrams(); });
    net::spawnService(loop, "report_work", [this] { return m_schedulerClient.reportWork(); });
    net::spawnService(loop, "serve_placements", [this] { return servePlacementRequests(); });
    net::spawnService(loop, "query_sources", [this] { return querySources(); });
    net::spawnService(loop, "track_roles", [this] { return trackRoles(); });
}

template<Directory Source>
bool ControlPlane<Source>::isBound() const noexcept
{
    return m_transport.isBound();
}

template<Directory Source>
void ControlPlane<Source>::announceStop(core::Time now)
{
    m_transport.announceState(now); // Other daemons take over its roles at once.
}

template<Directory Source>
void ControlPlane<Source>::handleMessage(control::Message message, const core::Address &from, core::Time now)
{
    const auto reply = [&](const control::Message &answer) { m_transport.sendTo(from, control::writeMessage(answer)); };
    if (const auto *report = std::get_if<control::WorkReport>(&message)) {
        m_scheduler.applyReport(*report, now);
        if (report->wantsAck && !m_context.shutdown.hasBegun() && m_context.table) {
            reply(control::ReportAck{m_context.settings.vm});
        }
    } else if (const auto *request = std::get_if<control::PlacementRequest>(&message)) {
        m_replyAddresses[request->vm] = from;
        reply(m_scheduler.handleRequest(*request, now));
    } else if (const auto *cancel = std::get_if<control::PlacementCancel>(&message)) {
        m_scheduler.cancel(*cancel);
    } else if (const auto *answer = std::get_if<control::PlacementReply>(&message)) {
        m_schedulerClient.handleReply(*answer, now);
    } else if (const auto *ack = std::get_if<control::ReportAck>(&message)) {
        m_schedulerClient.clearSuspicion(ack->vm, now);
    } else if (const auto *query = std::get_if<control::FreshnessQuery>(&message)) {
        reply(
            makeFreshnessReply(m_context, query->number, m_directoryWatcher.targetsAvailability().recoveredAt(), now));
    } else if (const auto *proof = std::get_if<control::FreshnessReply>(&message)) {
        handleFreshnessReply(*proof, now);
    } else if (const auto *crashes = std::get_if<control::CrashReport>(&message)) {
        m_crashExchange.handleReport(*crashes, now);
    }
}

template<Directory Source>
void ControlPlane<Source>::sendGrants(core::Time now)
{
    for (const auto &[vm, answer] : m_scheduler.placeQueued(now)) {
        const auto replyAddress = m_replyAddresses.find(vm);
        if (vm == m_context.settings.vm) {
            m_schedulerClient.handleReply(answer, now);
        } else if (replyAddress != m_replyAddresses.end()) {
            m_transport.sendTo(replyAddress->second, control::writeMessage(answer));
        }
    }
}

template<Directory Source>
net::Task<> ControlPlane<Source>::servePlacementRequests()
{
    for (;;) {
        const auto wasWoken = co_await m_wakeQueue.take(core::now() + IdleCheckInterval);
        if (wasWoken) {
            // Requests and reports that arrive during the pause are handled in one check, which bounds the number of
            // checks however many arrive.
            co_await net::sleepFor(RequestCheckDelay);
        }
        const auto now = core::now();
        m_scheduler.removeExpired(now);
        sendGrants(now);
        m_checkScheduled = false;
        if (m_scheduler.queuedCount() > 0) {
            scheduleCheck();
        }
    }
}

template<Directory Source>
void ControlPlane<Source>::scheduleCheck()
{
    if (!std::exchange(m_checkScheduled, true)) {
        m_wakeQueue.post(WakeSignal{});
    }
}

template<Directory Source>
net::Task<> ControlPlane<Source>::trackRoles()
{
    std::map<control::Role, bool> heldRoles;
    const auto updateRole = [&](control::Role role, bool holds) {
        if (std::exchange(heldRoles[role], holds) != holds) {
            m_context.metrics.count(holds ? metrics::Counter::RolesAcquired : metrics::Counter::RolesLost);
            core::log(core::LogLevel::Info, holds ? "role_taken" : "role_lost",
                      {{"role", core::nameOf(role)}, {"daemons", m_context.roster.size()}});
        }
    };
    for (;;) {
        const auto first = m_context.roster.holders(control::Role::Scheduler, 1);
        updateRole(control::Role::Scheduler, !first.empty() && first.front().vm == m_context.settings.vm);
        updateRole(control::Role::DirectoryReader, m_sourceSelector.isReader());
        co_await net::sleepFor(RoleCheckInterval);
    }
}

template<Directory Source>
net::Task<> ControlPlane<Source>::querySources()
{
    for (;;) {
        co_await net::sleepFor(SourceCheckInterval);
        const auto now = core::now();
        m_crashExchange.gossip(now);
        const auto query = m_sourceSelector.nextQuery(m_context.directoryAnsweredAt(), now);
        setIsolated(m_sourceSelector.isolated());
        if (query) {
            m_context.metrics.count(metrics::Counter::FreshnessQueries);
            m_transport.sendTo(query->source.datagramAddress,
                               control::writeMessage(control::FreshnessQuery{query->queryNumber}));
        }
    }
}

template<Directory Source>
void ControlPlane<Source>::setIsolated(bool isolated)
{
    if (std::exchange(m_context.isolated, isolated) != isolated) {
        core::log(core::LogLevel::Warning, isolated ? "peers_lost" : "peers_regained",
                  {{"daemons", m_context.roster.size()}});
    }
}

template<Directory Source>
void ControlPlane<Source>::handleFreshnessReply(const control::FreshnessReply &proof, core::Time now)
{
    const auto queriedAt = m_sourceSelector.handleReply(proof, now);
    if (!queriedAt) {
        return;
    }
    setIsolated(m_sourceSelector.isolated());
    m_context.confirmationTriedAt = now;
    // Ages in the answer are subtracted from the time of the query: the answer may have been delayed in transit.
    if (proof.version > 0 && proof.proofAge != absl::InfiniteDuration()) {
        m_context.configurationFreshness.confirm(proof.version, *queriedAt - proof.proofAge);
    }
    applyEvacuations(m_context, proof.evacuations, "peer", now);
    m_directoryWatcher.targetsAvailability().noteRecovered(*queriedAt - proof.directoryRecoveryAge);
    const bool lacksConfiguration = proof.version > (m_context.table ? m_context.table->version : 0);
    const bool lacksTargets = proof.targetsPosition > m_context.targetsPosition;
    if (!lacksTargets) {
        m_context.targetsConfirmedAt = std::max(m_context.targetsConfirmedAt, *queriedAt - proof.targetsAge);
    }
    const auto *source = m_context.roster.find(proof.vm);
    if ((lacksConfiguration || lacksTargets) && source != nullptr && now >= m_fetchingUntil) {
        m_fetchingUntil = now + FetchTimeout;
        net::spawn(m_context.loop, "fetch_state", fetchMissing(fetchCandidates(*source)));
    }
}

template<Directory Source>
std::vector<core::Address> ControlPlane<Source>::fetchCandidates(const control::Member &source)
{
    std::vector<core::Address> peers{source.controlAddress};
    if (m_context.targetsPosition.isKnown()) {
        return peers; // Only a few changes are missing.
    }
    auto localReaders = m_context.roster.holdersIn(m_context.settings.failureDomain, control::Role::DirectoryReader,
                                                   m_context.daemonCount);
    std::erase_if(localReaders,
                  [&](const auto &member) { return member.vm == source.vm || member.vm == m_context.settings.vm; });
    if (!localReaders.empty()) {
        const auto index = std::uniform_int_distribution<std::size_t>(0, localReaders.size() - 1)(m_context.random);
        peers.insert(peers.begin(), localReaders[index].controlAddress);
    }
    return peers;
}

template<Directory Source>
net::Task<> ControlPlane<Source>::fetchMissing(std::vector<core::Address> peers)
{
    for (const auto &peer : peers) {
        const bool found = co_await fetchFrom(peer);
        if (found) {
            break;
        }
    }
    m_fetchingUntil = absl::InfinitePast(); // The next freshness reply shows whether anything is still missing.
}

template<Directory Source>
net::Task<bool> ControlPlane<Source>::fetchFrom(core::Address peer)
{
    const auto queriedAt = core::now();
    const auto knownVersion = m_context.table ? m_context.table->version : 0;
    const auto knownPosition = m_context.targetsPosition;
    net::Request request;
    request.method = "GET";
    request.target
        = core::cat("/state?version=", knownVersion, "&era=", knownPosition.era, "&targets=", knownPosition.revision);
    request.headers.add("Host", peer.text());
    std::string problem;
    const auto answer
        = co_await net::exchange(m_context.loop, peer, std::move(request), queriedAt + FetchTimeout, problem);
    if (!answer || answer->head.status != core::http_status::Ok) {
        core::log(core::LogLevel::Warning, "peer_state_missing", {{"peer", peer.text()}, {"problem", problem}});
        co_return false;
    }
    try {
        const auto state = readPeerState(answer->body);
        const auto now = core::now();
        if (state.version > 0 && state.proofAge != absl::InfiniteDuration()) {
            m_context.configurationFreshness.confirm(state.version, queriedAt - state.proofAge);
        }
        if (!state.document.empty()) {
            m_context.activateConfiguration(m_directory.readDocument(state.document), state.document, "peer", now);
        }
        m_context.targetsConfirmedAt = std::max(m_context.targetsConfirmedAt, queriedAt - state.targetsAge);
        if (state.isFullList) {
            m_directoryWatcher.targetListUpdater().applyFullList(state.targets, state.targetsPosition, "peer", now);
        } else {
            m_directoryWatcher.targetListUpdater().applyChanges(state.targets, state.targetsPosition, "peer", now);
        }
        co_return state.version > knownVersion || state.targetsPosition > knownPosition;
    } catch (const core::InvalidDocument &error) {
        core::log(core::LogLevel::Warning, "peer_state_unreadable", {{"peer", peer.text()}, {"error", error.what()}});
    }
    co_return false;
}

} // namespace spurlug::relay
