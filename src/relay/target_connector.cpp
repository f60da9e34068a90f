//----------------------------------------------------------------------------------------------------------------------
// spurlug: connections to targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/target_connector.h"

#include "spurlug/core/log.h"
#include "spurlug/net/mailbox.h"
#include "spurlug/net/spawn.h"
#include "spurlug/relay/context.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace spurlug::relay
{

namespace
{

/// A live target accepts a connection within a few ms. A peer is asked after this time, so that a short prompt is still
/// served within its latency objective.
constexpr auto DirectHeadStart = absl::Milliseconds(50);
/// Delay before a further peer is asked while one has not answered.
constexpr auto PeerHeadStart = absl::Milliseconds(40);
/// Peers that know that they can't help decline at once, so that several can be asked in the time of one connection.
constexpr std::size_t MaxPeersAsked = 8;
/// Connections to other targets, one after the other, that show whether the own link works; some may have failed too.
constexpr std::size_t MaxControls = 3;
constexpr auto ControlTimeout = absl::Milliseconds(30); ///< For each of them.

/// How much longer than needed a tunnel may stay open: a tunnel that the peer closes at the deadline looks as if the
/// peer had failed.
constexpr auto LifetimeMargin = absl::Seconds(1);

constexpr std::uint64_t MaxOrderAnswerBytes = 64 << 10; ///< Limit for a target's answer to an order.

/// What one path to a target yielded.
enum class PathResult
{
    Connected,
    Refused, ///< The target's host is up, but nothing listens at its address.
    Unreachable,
    PeerUnavailable, ///< The peer opened no tunnel, whatever the target's state.
    ControlEnded, ///< A connection to another target was established or failed.
};

/// A path to a target.
struct PathAttempt
{
    std::string peer; ///< Empty: the own link.
    PathResult result = PathResult::Unreachable;
    core::Ref<net::ClientConnection> connection;
    std::string error;
};

void spawn(net::Loop &loop, net::Task<> task)
{
    net::spawn(loop, "connect", std::move(task));
}

} // namespace

/// The paths to one target that are tried at the same time.
struct TargetConnector::Race : core::RefCounted<Race>
{
    Race(net::Loop &loop, core::Ref<Target> target, bool usesPeers, core::Time startedAt, core::Duration timeout,
         core::Time deadline)
        : target(std::move(target))
        , usesPeers(usesPeers)
        , startedAt(startedAt)
        , endsAt(startedAt + timeout)
        , deadline(deadline)
        , results(loop)
    { }

    [[nodiscard]] const TargetEntry &entry() const noexcept
    {
        return target->entry;
    }

    /// Records a path that did not lead to the target, or the end of the connections to other targets.
    void addFailure(const PathAttempt &path)
    {
        if (path.result == PathResult::ControlEnded) {
            controlPending = false;
            controlConnected = path.connection != nullptr;
            return;
        }
        --pending;
        refused = refused || path.result == PathResult::Refused;
        if (error.empty()) {
            error = path.error;
        }
        if (!path.peer.empty()) {
            auto &peers = path.result == PathResult::PeerUnavailable ? unavailablePeers : failedPeers;
            peers.push_back(path.peer);
        }
    }

    /// Peers that were asked and did not answer.
    [[nodiscard]] std::vector<std::string> unansweredPeers() const
    {
        std::vector<std::string> peers;
        for (const auto &vm : askedPeers) {
            const auto isVm = [&vm](const std::string &other) { return other == vm; };
            if (std::none_of(failedPeers.begin(), failedPeers.end(), isVm)
                && std::none_of(unavailablePeers.begin(), unavailablePeers.end(), isVm)) {
                peers.push_back(vm);
            }
        }
        return peers;
    }

    const core::Ref<Target> target;
    const bool usesPeers; ///< Whether peers are asked for tunnels.
    const core::Time startedAt;
    const core::Time endsAt;
    const core::Time deadline;
    net::Mailbox<PathAttempt> results;
    int pending = 0; ///< Paths without a result.
    /// When the link to the target failed or was given no more time. A connection to another target proves the link
    /// only if it was established later: the link may have gone down since the start.
    core::Time doubtedAt = absl::InfiniteFuture();
    bool controlPending = false;
    bool controlConnected = false; ///< Whether the own link led to another target.
    bool directTried = false;
    bool refused = false; ///< Whether any path was refused.
    std::vector<std::string> askedPeers;
    std::vector<std::string> unavailablePeers; ///< Peers that declined or were not reached.
    std::vector<std::string> failedPeers; ///< Peers that reach other targets, but not this one.
    std::string error; ///< Of the first path that failed.
};

TargetConnector::TargetConnector(RelayContext &context)
    : m_context(context)
    , m_dial([](net::ClientConnection &connection, core::Address address, core::Duration timeout) {
        return connection.connect(std::move(address), timeout);
    })
    , m_peers(context.roster, context.settings.failureDomain)
{ }

void TargetConnector::setDial(Dial dial)
{
    m_dial = std::move(dial);
}

net::Task<TargetConnection> TargetConnector::connectDirectly(core::Ref<Target> target, core::Duration timeout)
{
    TargetConnection result;
    auto connection = core::makeRef<net::ClientConnection>(m_context.loop);
    result.error = co_await m_dial(*connection, target->entry.address, timeout);
    result.refused = connection->connectionRefused();
    if (result.error.empty()) {
        result.connection = std::move(connection);
        m_links.noteConnected(target->entry, core::now());
        logLinkChange(target->entry.service, core::now());
    }
    co_return result;
}

net::Task<TargetConnection> TargetConnector::connectThrough(std::string peer, core::Ref<Target> target,
                                                            core::Duration timeout)
{
    TargetConnection result;
    const auto *member = m_context.roster.find(peer);
    if (member == nullptr) {
        result.error = "the peer is gone";
        co_return result;
    }
    net::TunnelRequest tunnel{member->controlAddress, target->entry.address, timeout + LifetimeMargin};
    auto connection = core::makeRef<net::ClientConnection>(m_context.loop);
    const auto opened = co_await connection->connectThrough(std::move(tunnel), timeout);
    if (opened == net::TunnelResult::Open) {
        result.connection = std::move(connection);
        result.use = m_peers.noteOpened(peer);
        result.peer = std::move(peer);
    } else {
        result.error = connection->lastError();
    }
    co_return result;
}

void TargetConnector::startDirect(core::Ref<Race> race)
{
    race->directTried = true;
    ++race->pending;
    spawn(m_context.loop, [](TargetConnector &self, core::Ref<Race> race) -> net::Task<> {
        auto connected = co_await self.connectDirectly(race->target, race->endsAt - core::now());
        PathAttempt path;
        path.result = connected.connection ? PathResult::Connected
            : connected.refused            ? PathResult::Refused
                                           : PathResult::Unreachable;
        path.connection = std::move(connected.connection);
        path.error = std::move(connected.error);
        race->results.post(std::move(path));
    }(*this, std::move(race)));
}

bool TargetConnector::startTunnel(core::Ref<Race> race)
{
    const auto now = core::now();
    const auto peer = race->usesPeers && race->askedPeers.size() < MaxPeersAsked
        ? m_peers.choose(race->target->entry.failureDomain, race->askedPeers, m_context.random, now)
        : std::nullopt;
    if (!peer) {
        return false;
    }
    race->askedPeers.push_back(peer->vm);
    ++race->pending;
    net::TunnelRequest tunnel{peer->controlAddress, race->entry().address, race->deadline - now + LifetimeMargin};
    spawn(m_context.loop,
          [](net::Loop &loop, core::Ref<Race> race, std::string vm, net::TunnelRequest request) -> net::Task<> {
              PathAttempt path;
              path.peer = std::move(vm);
              path.connection = core::makeRef<net::ClientConnection>(loop);
              const auto timeout = race->endsAt - core::now();
              const auto opened = co_await path.connection->connectThrough(std::move(request), timeout);
              switch (opened) {
              case net::TunnelResult::Open:
                  path.result = PathResult::Connected;
                  break;
              case net::TunnelResult::TargetRefused:
                  path.result = PathResult::Refused;
                  break;
              case net::TunnelResult::TargetUnreachable:
                  path.result = PathResult::Unreachable;
                  break;
              case net::TunnelResult::ProxyUnavailable:
                  path.result = PathResult::PeerUnavailable;
                  break;
              }
              path.error = path.connection->lastError();
              race->results.post(std::move(path));
          }(m_context.loop, std::move(race), peer->vm, std::move(tunnel)));
    return true;
}

void TargetConnector::startControl(core::Ref<Race> race)
{
    const auto now = core::now();
    const auto &service = race->entry().service;
    race->doubtedAt = now;
    if (!m_peers.hasPeers() || m_links.areAllDown(service, now)) {
        return;
    }
    std::vector<core::Ref<Target>> others;
    std::vector<core::Ref<Target>> ofOtherServices;
    for (const auto &[id, target] : m_context.targets.all()) {
        if (target != race->target && target->isInService(now)) {
            (target->entry.service == service ? others : ofOtherServices).push_back(target);
        }
    }
    if (others.empty()) {
        others = std::move(ofOtherServices);
    }
    std::shuffle(others.begin(), others.end(), m_context.random);
    // In a partition between failure domains, only those of the own domain show that the link works.
    std::stable_partition(others.begin(), others.end(), [this](const auto &other) {
        return other->entry.failureDomain == m_context.settings.failureDomain;
    });
    others.resize(std::min(others.size(), MaxControls));
    race->controlPending = true;
    spawn(m_context.loop,
          [](TargetConnector &self, core::Ref<Race> race, std::vector<core::Ref<Target>> targets) -> net::Task<> {
              PathAttempt path;
              path.result = PathResult::ControlEnded;
              for (std::size_t i = 0; i < targets.size() && !path.connection; ++i) {
                  auto connected = co_await self.connectDirectly(targets[i], ControlTimeout);
                  path.connection = std::move(connected.connection);
              }
              race->results.post(std::move(path));
          }(*this, std::move(race), std::move(others)));
}

net::Task<TargetConnection> TargetConnector::connect(core::Ref<Target> target, core::Duration timeout,
                                                     core::Time deadline)
{
    const auto now = core::now();
    auto race = core::makeRef<Race>(m_context.loop, std::move(target), true, now, timeout, deadline);
    const bool isDown = m_links.isDown(race->entry(), now);
    if (!isDown || m_links.startTrial(race->entry(), now)) {
        startDirect(race);
    }
    if (isDown && !startTunnel(race) && !race->directTried) {
        startDirect(race); // There is no peer any more.
    }
    co_return co_await awaitFirst(std::move(race));
}

net::Task<TargetConnection> TargetConnector::connectForPeer(core::Ref<Target> target, core::Duration timeout)
{
    const auto now = core::now();
    auto race = core::makeRef<Race>(m_context.loop, std::move(target), false, now, timeout, now + timeout);
    startDirect(race);
    co_return co_await awaitFirst(std::move(race));
}

net::Task<TargetConnection> TargetConnector::awaitFirst(core::Ref<Race> race)
{
    const bool tunnelFirst = !race->askedPeers.empty();
    auto nextPeerAt = race->startedAt + (tunnelFirst ? PeerHeadStart : DirectHeadStart);
    bool controlStarted = false;
    const auto askNextPeer = [&](core::Time now) {
        const bool started = startTunnel(race);
        nextPeerAt = started ? now + PeerHeadStart : absl::InfiniteFuture();
        if (!started && !race->directTried) {
            startDirect(race);
        }
        if (race->directTried && !std::exchange(controlStarted, true)) {
            startControl(race);
        }
    };
    while (race->pending > 0 || race->controlPending) {
        auto path = co_await race->results.take(std::min(race->endsAt, nextPeerAt));
        const auto now = core::now();
        if (!path && now >= race->endsAt) {
            break;
        }
        if (path && path->result == PathResult::Connected) {
            TargetConnection connected;
            connected.connection = std::move(path->connection);
            if (!path->peer.empty()) {
                connected.use = m_peers.noteOpened(path->peer);
                connected.peer = std::move(path->peer);
            }
            recordSuccess(*race, connected, now);
            co_return connected;
        }
        if (path) {
            race->addFailure(*path);
        }
        const bool peerUnavailable = path && path->result == PathResult::PeerUnavailable;
        if (peerUnavailable) {
            m_peers.noteFailed(path->peer, now);
        }
        const bool waits = path && (race->pending > 0 || race->controlPending);
        if (race->failedPeers.empty() && (!waits || peerUnavailable)) {
            askNextPeer(now);
        } else if (!path) {
            nextPeerAt = absl::InfiniteFuture();
        }
    }
    co_return recordFailure(*race, core::now());
}

void TargetConnector::recordSuccess(const Race &race, const TargetConnection &connected, core::Time now)
{
    if (connected.peer.empty()) {
        return; // Noted when the connection was established.
    }
    m_context.metrics.count(metrics::Counter::TunnelsOpened);
    m_links.noteReachedThroughPeer(race.entry());
    if (race.directTried) {
        m_links.noteBypassed(race.entry(), now);
        logLinkChange(race.entry().service, now);
    }
    for (const auto &vm : race.askedPeers) {
        if (vm == connected.peer) {
            break;
        }
        m_peers.noteFailed(vm, now); // It was asked earlier, and its links are down or it does not answer.
    }
}

bool TargetConnector::isTargetAtFault(const Race &race) const
{
    if (!race.failedPeers.empty()) {
        return true;
    }
    // Without peers this daemon is the only witness.
    const bool linkWorks = race.controlConnected || m_links.lastConnectedAt(race.entry().service) >= race.doubtedAt;
    return race.directTried && (linkWorks || !m_peers.hasPeers());
}

TargetConnection TargetConnector::recordFailure(const Race &race, core::Time now)
{
    for (const auto &vm : race.unansweredPeers()) {
        m_peers.noteFailed(vm, now);
    }
    TargetConnection result;
    result.targetAtFault = isTargetAtFault(race);
    result.refused = result.targetAtFault && race.refused;
    result.error = race.error.empty() ? "connect: no path led to the target in time" : race.error;
    if (!result.targetAtFault && race.usesPeers) {
        m_context.metrics.count(metrics::Counter::ConnectionsUnproven);
        m_links.noteUnreached(race.entry(), now);
    }
    return result;
}

void TargetConnector::notePeerLost(const std::string &peer, core::Time now)
{
    m_peers.noteFailed(peer, now);
}

void TargetConnector::logLinkChange(const std::string &service, core::Time now)
{
    const bool down = m_links.areAllDown(service, now);
    const bool changed = down ? m_loggedDown.insert(service).second : m_loggedDown.erase(service) > 0;
    if (changed) {
        m_context.metrics.count(metrics::Counter::LinkOutages, down ? 1 : 0);
        core::log(core::LogLevel::Warning, down ? "target_links_down" : "target_links_up", {{"service", service}});
    }
}

net::Task<std::optional<net::Response>> TargetConnector::exchange(core::Ref<Target> target, net::Request request,
                                                                  core::Time deadline, std::string &error)
{
    auto connected = co_await connect(std::move(target), deadline - core::now(), deadline);
    error = connected.error;
    if (!connected.connection) {
        co_return std::nullopt;
    }
    co_return co_await net::exchange(*connected.connection, std::move(request), deadline, error, MaxOrderAnswerBytes);
}

} // namespace spurlug::relay
