//----------------------------------------------------------------------------------------------------------------------
// spurlug: starts, connects and stops all components of the daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/daemon/daemon.h"

#include "spurlug/admission/admission.h"
#include "spurlug/config/store.h"
#include "spurlug/core/error.h"
#include "spurlug/core/log.h"
#include "spurlug/daemon/admin_api.h"
#include "spurlug/daemon/caller_api.h"
#include "spurlug/daemon/config_updater.h"
#include "spurlug/daemon/http_listener.h"
#include "spurlug/daemon/local_domain.h"
#include "spurlug/daemon/peer_client.h"
#include "spurlug/daemon/peer_server.h"
#include "spurlug/daemon/roles.h"
#include "spurlug/dispatch/request_handler.h"
#include "spurlug/grants/broker_host.h"
#include "spurlug/grants/group_manager.h"
#include "spurlug/membership/heartbeat_service.h"
#include "spurlug/objects/object_api.h"
#include "spurlug/targets/observer.h"

#include <absl/synchronization/notification.h>
#include <absl/time/clock.h>
#include <csignal>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace spurlug::daemon
{

namespace
{

constexpr auto ReadinessNoticeTime
    = absl::Milliseconds(2000); // Time for the load balancer to notice that the readiness check fails.
constexpr auto DrainPollInterval = absl::Milliseconds(20);
constexpr auto FinalWriteTime = absl::Milliseconds(100);

Identity makeIdentity(const settings::DaemonSettings &settings)
{
    Identity identity;
    identity.vm = settings.vm;
    identity.failureDomain = settings.failureDomain;
    identity.region = settings.region;
    identity.incarnation = static_cast<std::uint64_t>(absl::ToUnixMicros(absl::Now()));
    return identity;
}

} // namespace

struct Daemon::Impl
{
    explicit Impl(const settings::DaemonSettings &theSettings);

    [[nodiscard]] grants::GroupManager::GrantCallbacks grantHooks();
    [[nodiscard]] std::optional<grants::TicketedGrant>
    acquireGrant(const std::string &pool, const grants::GrantRequest &ask, core::Duration wait);
    [[nodiscard]] std::optional<grants::TicketedGrant>
    acquireGrantLocally(const std::string &pool, const grants::GrantRequest &ask, core::Duration wait);
    [[nodiscard]] membership::Heartbeat composeHeartbeat(membership::HeartbeatScope audience) const;
    void handleHeartbeat(const membership::Heartbeat &heartbeat, core::Time now);
    void onConfigurationApplied(const config::ConfigurationRef &configuration);
    [[nodiscard]] claims::ClaimAnswer claim(const claims::ClaimWish &wish);
    [[nodiscard]] claims::ClaimAnswer claimLocally(const claims::ClaimWish &wish);
    void updateGauges();

    const settings::DaemonSettings settings;
    Identity identity;
    metrics::Metrics metrics;
    membership::Fleet fleet;
    targets::TargetTable targetTable;
    explain::DecisionRing decisions;
    config::Store store;
    objects::HttpObjectApi platform;
    LocalDomain localDomain;
    PeerClient peerClient;
    DecisionFinder finder;
    core::WorkerPool attemptPool;
    dispatch::RetryBudget retryBudget;
    limits::OrganisationLimiter limiter;
    admission::TokenEstimator tokenEstimator;
    admission::ByteBudget bodyMemory;
    std::atomic<bool> refusingRequests{false};
    claims::ClaimCommitter claimOwner;
    grants::BrokerHost brokers;
    grants::GroupManager groups;
    dispatch::HandlerContext handlerContext;
    std::unique_ptr<PeerServer> peerServer;
    CallerApi callerApi;
    AdminApi adminApi;
    std::unique_ptr<HttpListener> callerListener;
    std::unique_ptr<HttpListener> adminListener;
    std::unique_ptr<targets::Observer> observer;
    std::unique_ptr<membership::HeartbeatService> heartbeats;
    std::unique_ptr<ConfigUpdater> configUpdater;
};

Daemon::Impl::Impl(const settings::DaemonSettings &theSettings)
    : settings(theSettings)
    , identity(makeIdentity(settings))
    , fleet(settings.vm, settings.failureDomain, settings.timing.peerTimeout, settings.failureDomains)
    , decisions(static_cast<std::size_t>(settings.limits.decisionsKept))
    , store([this](const config::ConfigurationRef &configuration) { onConfigurationApplied(configuration); })
    , platform(settings.platform)
    , localDomain(identity, store, fleet, targetTable)
    , finder(decisions, fleet, peerClient)
    , attemptPool(static_cast<std::size_t>(settings.limits.connections), 0)
    , bodyMemory(settings.limits.bodyMemoryBytes)
    , claimOwner(platform, metrics)
    , brokers(
          targetTable, [this] { return store.current(); }, settings.failureDomain)
    , groups(settings.vm, identity.incarnation, grantHooks())
    , handlerContext{targetTable,
                     metrics,
                     decisions,
                     attemptPool,
                     groups,
                     [this](const std::string &pool, const grants::GrantRequest &ask, core::Duration wait) {
                         return acquireGrant(pool, ask, wait);
                     },
                     retryBudget,
                     {},
                     {},
                     settings.failureDomain}
    , peerServer(std::make_unique<PeerServer>(settings.rpcAddress,
                                              PeerServerComponents{brokers, claimOwner, fleet, store, finder, metrics}))
    , callerApi({identity, store, handlerContext, limiter, tokenEstimator, bodyMemory, settings.limits.bodyBytes,
                 metrics, refusingRequests, [this](const claims::ClaimWish &wish) { return claim(wish); }})
    , adminApi({identity, store, fleet, targetTable, decisions, metrics, finder, [this] { updateGauges(); },
                [] { kill(getpid(), SIGTERM); }})
{
    const auto &limits = settings.limits;
    identity.rpcAddress = peerServer->address();
    callerListener = std::make_unique<HttpListener>(
        settings.callerAddress,
        ListenerLimits{static_cast<std::size_t>(limits.connections), static_cast<std::size_t>(limits.bodyBytes)},
        [this](httplib::Server &server) { callerApi.configure(server); });
    identity.callerAddress = callerListener->address();
    adminListener = std::make_unique<HttpListener>(settings.adminAddress,
                                                   ListenerLimits{static_cast<std::size_t>(limits.adminConnections)},
                                                   [this](httplib::Server &server) { adminApi.configure(server); });
    identity.adminAddress = adminListener->address();
    auto socket = std::make_unique<membership::UdpSocket>(settings.peerAddress);
    identity.peerAddress = socket->address();
    observer = std::make_unique<targets::Observer>(
        fleet, targetTable, metrics, [this] { return store.current(); }, settings.failureDomain,
        settings.timing.loadPoll);
    heartbeats = std::make_unique<membership::HeartbeatService>(
        fleet, metrics, std::move(socket), settings.peerKey, settings.seeds, settings.timing.heartbeat,
        membership::HeartbeatCallbacks{
            [this](membership::HeartbeatScope audience) { return composeHeartbeat(audience); },
            [this](const auto &heartbeat, core::Time now) { handleHeartbeat(heartbeat, now); }});
    configUpdater = std::make_unique<ConfigUpdater>(store, fleet, peerClient, platform, metrics, settings.timing);
}

grants::GroupManager::GrantCallbacks Daemon::Impl::grantHooks()
{
    const auto renew = [this](const grants::GrantTicket &ticket) {
        if (ticket.broker == identity.rpcAddress) {
            brokers.renew(ticket.grant, core::now());
        } else {
            peerClient.renewGrant(ticket.broker, ticket.grant);
        }
    };
    const auto release = [this](const grants::GrantTicket &ticket) {
        if (ticket.broker == identity.rpcAddress) {
            brokers.release(ticket.grant);
        } else {
            peerClient.releaseGrant(ticket.broker, ticket.grant);
        }
    };
    return {renew, release};
}

std::optional<grants::TicketedGrant> Daemon::Impl::acquireGrant(const std::string &pool,
                                                                const grants::GrantRequest &ask, core::Duration wait)
{
    const auto now = core::now();
    const auto broker = localDomain.brokerFor(pool, ask.engines, now);
    if (broker == identity.rpcAddress) {
        return acquireGrantLocally(pool, ask, wait);
    }
    if (broker.port == 0) {
        throw core::NetworkError("no broker is known");
    }
    auto answer = peerClient.acquireGrant(broker, pool, ask, now - ask.waitingSince, wait);
    if (answer.notBroker) {
        throw core::NetworkError("the peer does not hold the broker role");
    }
    if (!answer.grant) {
        return std::nullopt;
    }
    return grants::TicketedGrant{{broker, answer.grant->id}, std::move(answer.grant->targets)};
}

std::optional<grants::TicketedGrant>
Daemon::Impl::acquireGrantLocally(const std::string &pool, const grants::GrantRequest &ask, core::Duration wait)
{
    absl::Notification answered;
    grants::GrantReply answer;
    const auto onAnswer = [&](const grants::GrantReply &reply) {
        answer = reply;
        answered.Notify();
    };
    brokers.enqueue(pool, ask, wait, onAnswer, core::now());
    answered.WaitForNotification();
    if (!answer.grant) {
        return std::nullopt;
    }
    return grants::TicketedGrant{{identity.rpcAddress, answer.grant->id}, std::move(answer.grant->targets)};
}

membership::Heartbeat Daemon::Impl::composeHeartbeat(membership::HeartbeatScope audience) const
{
    const auto now = core::now();
    membership::Heartbeat heartbeat;
    auto &sender = heartbeat.sender;
    sender.vm = identity.vm;
    sender.failureDomain = identity.failureDomain;
    sender.peerAddress = identity.peerAddress;
    sender.rpcAddress = identity.rpcAddress;
    sender.incarnation = identity.incarnation;
    sender.state = fleet.state();
    sender.generation = store.generation();
    sender.refusedGeneration = store.refusedGeneration();
    switch (audience) {
    case membership::HeartbeatScope::OtherDomains:
        heartbeat.summaries.push_back(localDomain.summary(now));
        break;
    case membership::HeartbeatScope::OwnDomainWithSummaries:
        heartbeat.summaries = fleet.summariesToForward(now);
        heartbeat.loads = observer->ownLoads(now);
        break;
    case membership::HeartbeatScope::OwnDomain:
        heartbeat.loads = observer->ownLoads(now);
        break;
    }
    return heartbeat;
}

void Daemon::Impl::handleHeartbeat(const membership::Heartbeat &heartbeat, core::Time now)
{
    for (const auto &load : heartbeat.loads) {
        targetTable.recordReport(load.target, load.report, now - load.age);
    }
    for (const auto &summary : fleet.storeSummaries(heartbeat, now)) {
        for (const auto &pool : summary.pools) {
            for (const auto &load : pool.leastLoaded) {
                targetTable.recordReport(load.target, load.report, now - load.age);
            }
        }
    }
    limiter.setDaemonCount(fleet.daemonCount(now));
}

void Daemon::Impl::onConfigurationApplied(const config::ConfigurationRef &configuration)
{
    targetTable.configure(*configuration);
    metrics.count(metrics::Counter::ConfigurationsApplied);
    const bool starting = fleet.state() == membership::DaemonState::Starting;
    if (starting) {
        fleet.setState(membership::DaemonState::Serving);
    }
    if (starting || fleet.holdsRole(WatcherRole, WatcherCount, core::now())) {
        heartbeats->sendNow(); // Peers are waiting for this generation.
    }
    core::log(core::LogLevel::Info, "configuration_applied", {{"generation", configuration->generation}});
}

claims::ClaimAnswer Daemon::Impl::claim(const claims::ClaimWish &wish)
{
    const auto owner = fleet.roleHolder(ClaimOwnerRole, core::now());
    const auto peer = fleet.find(owner);
    if (!peer) {
        return claimLocally(wish);
    }
    try {
        return peerClient.claim(peer->report.rpcAddress, wish);
    } catch (const core::NetworkError &) {
        return claimLocally(
            wish); // The owner is unreachable. Any daemon may commit the claim, as it names the same request.
    }
}

claims::ClaimAnswer Daemon::Impl::claimLocally(const claims::ClaimWish &wish)
{
    absl::Notification answered;
    claims::ClaimAnswer answer;
    claimOwner.submit(wish, [&](const claims::ClaimAnswer &reply) {
        answer = reply;
        answered.Notify();
    });
    answered.WaitForNotification();
    return answer;
}

void Daemon::Impl::updateGauges()
{
    metrics.setGauge("requests_in_progress", static_cast<double>(handlerContext.requestsInProgress));
    metrics.setGauge("groups_held", static_cast<double>(groups.size()));
    metrics.setGauge("asks_waiting", static_cast<double>(brokers.queuedCount()));
    metrics.setGauge("body_bytes", static_cast<double>(bodyMemory.used()));
    metrics.setGauge("generation", static_cast<double>(store.generation()));
    metrics.setGauge("peers_alive", static_cast<double>(fleet.alivePeers(core::now()).size()));
}

Daemon::Daemon(const settings::DaemonSettings &settings)
    : m_impl(std::make_unique<Impl>(settings))
{
    const auto &identity = m_impl->identity;
    core::log(core::LogLevel::Info, "listening",
              {{"vm", identity.vm},
               {"callers", identity.callerAddress.text()},
               {"admin", identity.adminAddress.text()},
               {"peers", identity.peerAddress.text()},
               {"rpc", identity.rpcAddress.text()}});
}

Daemon::~Daemon()
{
    m_impl->callerListener.reset();
    m_impl->configUpdater.reset();
    m_impl->heartbeats.reset();
    m_impl->observer.reset();
    m_impl->adminListener.reset();
    m_impl->attemptPool.stop();
}

const Identity &Daemon::identity() const noexcept
{
    return m_impl->identity;
}

void Daemon::drain()
{
    m_impl->fleet.setState(membership::DaemonState::Draining);
    m_impl->heartbeats->sendNow();
    core::log(core::LogLevel::Info, "draining", {{"inProgress", m_impl->handlerContext.requestsInProgress.load()}});
    absl::SleepFor(ReadinessNoticeTime);
    m_impl->refusingRequests = true;
    while (m_impl->handlerContext.requestsInProgress > 0) {
        absl::SleepFor(DrainPollInterval);
    }
    absl::SleepFor(FinalWriteTime);
    core::log(core::LogLevel::Info, "drained", nlohmann::json::object());
}

} // namespace spurlug::daemon
