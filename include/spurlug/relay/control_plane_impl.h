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
    , m_source(source)
    , m_peers(context)
    , m_scheduler(context)
    , m_scheduling(context, m_scheduler,
                   [this](const core::Address &to, const control::Message &message) {
                       m_peers.sendTo(to, control::writeMessage(message));
                   })
    , m_crashes(context,
                [this](const core::Address &to, const control::Message &message) {
                    m_peers.sendTo(to, control::writeMessage(message));
                })
    , m_sources(context.roster, context.settings.failureDomain, context.settings.readersPerDomain, context.random(),
                context.startedAt)
    , m_follower(context, source, m_sources)
    , m_asksWait(context.loop)
{
    context.scheduling = &m_scheduling;
    context.crashExchange = &m_crashes;
    m_peers.onNewPeer([this](const core::Address &peer) { m_crashes.greet(peer, core::now()); });
    m_scheduler.onWaiting([this] { wake(); });
    m_peers.onMessage(
        [this](control::Message message, const core::Address &from) { take(std::move(message), from, core::now()); });
}

template<Directory Source>
void ControlPlane<Source>::spawn(net::Task<> task)
{
    net::asio::co_spawn(m_context.loop, std::move(task), net::asio::detached);
}

template<Directory Source>
void ControlPlane<Source>::start()
{
    spawn(m_follower.followConfiguration());
    spawn(m_follower.followTargets());
    if (m_context.settings.bounds.evacuate > absl::ZeroDuration()) {
        spawn(m_follower.followEvacuations());
    }
    spawn(m_peers.sendHeartbeats());
    spawn(m_peers.receive());
    spawn(m_scheduling.reportWork());
    spawn(serveAsks());
    spawn(followSources());
    spawn(noteRoles());
}

template<Directory Source>
void ControlPlane<Source>::announceStop(core::Time now)
{
    m_peers.announce(now); // Other daemons take over its roles at once.
}

template<Directory Source>
void ControlPlane<Source>::take(control::Message message, const core::Address &from, core::Time now)
{
    const auto reply = [&](const control::Message &answer) { m_peers.sendTo(from, control::writeMessage(answer)); };
    if (const auto *report = std::get_if<control::WorkReport>(&message)) {
        m_scheduler.report(*report, now);
        if (report->wantsWord && !m_context.draining && m_context.table) {
            reply(control::ReportTaken{m_context.settings.vm});
        }
    } else if (const auto *ask = std::get_if<control::PlacementAsk>(&message)) {
        m_askers[ask->vm] = from;
        reply(m_scheduler.ask(*ask, now));
    } else if (const auto *cancel = std::get_if<control::PlacementCancel>(&message)) {
        m_scheduler.cancel(*cancel);
    } else if (const auto *answer = std::get_if<control::PlacementAnswer>(&message)) {
        m_scheduling.take(*answer, now);
    } else if (const auto *taken = std::get_if<control::ReportTaken>(&message)) {
        m_scheduling.trust(taken->vm, now);
    } else if (const auto *question = std::get_if<control::ProofQuestion>(&message)) {
        reply(proofAnswer(m_context, question->number, m_follower.targetsLink().regainedAt(), now));
    } else if (const auto *proof = std::get_if<control::ProofAnswer>(&message)) {
        takeProof(*proof, now);
    } else if (const auto *crashes = std::get_if<control::CrashNews>(&message)) {
        m_crashes.take(*crashes, now);
    }
}

template<Directory Source>
void ControlPlane<Source>::sendGrants(core::Time now)
{
    for (const auto &[vm, answer] : m_scheduler.serveWaiting(now)) {
        const auto asker = m_askers.find(vm);
        if (vm == m_context.settings.vm) {
            m_scheduling.take(answer, now);
        } else if (asker != m_askers.end()) {
            m_peers.sendTo(asker->second, control::writeMessage(answer));
        }
    }
}

template<Directory Source>
net::Task<> ControlPlane<Source>::serveAsks()
{
    for (;;) {
        const auto woken = co_await m_asksWait.take(core::now() + IdlePause);
        if (woken) {
            // Requests and reports that arrive during the pause are handled in one check, which bounds the number of
            // checks however many arrive.
            co_await net::sleepFor(WaitingPause);
        }
        const auto now = core::now();
        m_scheduler.forgetSilent(now);
        sendGrants(now);
        m_wakePosted = false;
        if (m_scheduler.waiting() > 0) {
            wake();
        }
    }
}

template<Directory Source>
void ControlPlane<Source>::wake()
{
    if (!std::exchange(m_wakePosted, true)) {
        m_asksWait.post(Wake{});
    }
}

template<Directory Source>
net::Task<> ControlPlane<Source>::noteRoles()
{
    std::map<control::Role, bool> held;
    const auto note = [&](control::Role role, bool holds) {
        if (std::exchange(held[role], holds) != holds) {
            m_context.metrics.count(holds ? metrics::Counter::RolesTaken : metrics::Counter::RolesLost);
            core::log(core::LogLevel::Info, holds ? "role_taken" : "role_lost",
                      {{"role", core::nameOf(role)}, {"daemons", m_context.roster.size()}});
        }
    };
    for (;;) {
        const auto first = m_context.roster.holders(control::Role::Scheduler, 1);
        note(control::Role::Scheduler, !first.empty() && first.front().vm == m_context.settings.vm);
        note(control::Role::Reader, m_sources.isReader());
        co_await net::sleepFor(RoleLook);
    }
}

template<Directory Source>
net::Task<> ControlPlane<Source>::followSources()
{
    for (;;) {
        co_await net::sleepFor(SourceLook);
        const auto now = core::now();
        m_crashes.gossip(now);
        const auto question = m_sources.next(m_context.directoryHeardAt(), now);
        noteIsolation(m_sources.isolated());
        if (question) {
            m_context.metrics.count(metrics::Counter::PeerQuestions);
            m_peers.sendTo(question->source.datagrams, control::writeMessage(control::ProofQuestion{question->number}));
        }
    }
}

template<Directory Source>
void ControlPlane<Source>::noteIsolation(bool isolated)
{
    if (std::exchange(m_context.isolated, isolated) != isolated) {
        core::log(core::LogLevel::Warning, isolated ? "peers_lost" : "peers_regained",
                  {{"daemons", m_context.roster.size()}});
    }
}

template<Directory Source>
void ControlPlane<Source>::takeProof(const control::ProofAnswer &proof, core::Time now)
{
    const auto askedAt = m_sources.answered(proof, now);
    if (!askedAt) {
        return;
    }
    noteIsolation(m_sources.isolated());
    m_context.proofTriedAt = now;
    // Ages in the answer are subtracted from the time of the question: the answer may have been delayed in transit.
    if (proof.version > 0 && proof.proofAge != absl::InfiniteDuration()) {
        m_context.configurationProof.confirm(proof.version, *askedAt - proof.proofAge);
    }
    takeEvacuations(m_context, proof.evacuations, "peer", now);
    m_follower.targetsLink().noteRegained(*askedAt - proof.regainedAge);
    const bool lacksConfiguration = proof.version > (m_context.table ? m_context.table->version : 0);
    const bool lacksTargets = proof.targetsPosition > m_context.targetsPosition;
    if (!lacksTargets) {
        m_context.targetsKnownAt = std::max(m_context.targetsKnownAt, *askedAt - proof.targetsAge);
    }
    const auto *source = m_context.roster.find(proof.vm);
    if ((lacksConfiguration || lacksTargets) && source != nullptr && now >= m_fetchingUntil) {
        m_fetchingUntil = now + FetchTimeout;
        spawn(fetch(holders(*source)));
    }
}

template<Directory Source>
std::vector<core::Address> ControlPlane<Source>::holders(const control::Member &source)
{
    std::vector<core::Address> peers{source.control};
    if (m_context.targetsPosition.known()) {
        return peers; // Only a few changes are missing.
    }
    auto near = m_context.roster.holdersIn(m_context.settings.failureDomain, control::Role::Reader, m_context.daemons);
    std::erase_if(near,
                  [&](const auto &member) { return member.vm == source.vm || member.vm == m_context.settings.vm; });
    if (!near.empty()) {
        const auto drawn = std::uniform_int_distribution<std::size_t>(0, near.size() - 1)(m_context.random);
        peers.insert(peers.begin(), near[drawn].control);
    }
    return peers;
}

template<Directory Source>
net::Task<> ControlPlane<Source>::fetch(std::vector<core::Address> peers)
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
    const auto askedAt = core::now();
    const auto knownVersion = m_context.table ? m_context.table->version : 0;
    const auto known = m_context.targetsPosition;
    net::Request request;
    request.method = "GET";
    request.target = core::cat("/state?version=", knownVersion, "&era=", known.era, "&targets=", known.revision);
    request.headers.add("Host", peer.text());
    std::string problem;
    const auto answer
        = co_await net::exchange(m_context.loop, peer, std::move(request), askedAt + FetchTimeout, problem);
    if (!answer || answer->head.status != core::http_status::Ok) {
        core::log(core::LogLevel::Warning, "peer_state_missing", {{"peer", peer.text()}, {"problem", problem}});
        co_return false;
    }
    try {
        const auto state = readPeerState(answer->body);
        const auto now = core::now();
        if (state.version > 0 && state.proofAge != absl::InfiniteDuration()) {
            m_context.configurationProof.confirm(state.version, askedAt - state.proofAge);
        }
        if (!state.document.empty()) {
            m_context.adopt(m_source.readDocument(state.document), state.document, "peer", now);
        }
        m_context.targetsKnownAt = std::max(m_context.targetsKnownAt, askedAt - state.targetsAge);
        if (state.wholeList) {
            m_follower.intake().whole(state.targets, state.targetsPosition, "peer", now);
        } else {
            m_follower.intake().changes(state.targets, state.targetsPosition, "peer", now);
        }
        co_return state.version > knownVersion || state.targetsPosition > known;
    } catch (const core::InvalidDocument &error) {
        core::log(core::LogLevel::Warning, "peer_state_unreadable", {{"peer", peer.text()}, {"error", error.what()}});
    }
    co_return false;
}

} // namespace spurlug::relay
