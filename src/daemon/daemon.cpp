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
#include "spurlug/daemon/config_follower.h"
#include "spurlug/daemon/home_domain.h"
#include "spurlug/daemon/http_listener.h"
#include "spurlug/daemon/peer_calls.h"
#include "spurlug/daemon/peer_server.h"
#include "spurlug/daemon/roles.h"
#include "spurlug/dispatch/request_run.h"
#include "spurlug/grants/broker_host.h"
#include "spurlug/grants/group_keeper.h"
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

constexpr auto NoticeTime
    = absl::Milliseconds(2000); // Time for the load balancer to notice that the readiness check fails.
constexpr auto DrainPoll = absl::Milliseconds(20);
constexpr auto LastWrites = absl::Milliseconds(100);

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

    [[nodiscard]] grants::GroupKeeper::GrantHooks grantHooks();
    [[nodiscard]] std::optional<grants::Granted> acquire(const std::string &pool, const grants::Ask &ask,
                                                         core::Duration wait);
    [[nodiscard]] std::optional<grants::Granted> acquireHere(const std::string &pool, const grants::Ask &ask,
                                                             core::Duration wait);
    [[nodiscard]] membership::Heartbeat compose(membership::Audience audience) const;
    void receive(const membership::Heartbeat &heartbeat, core::Time now);
    void applied(const config::ConfigurationRef &configuration);
    [[nodiscard]] claims::ClaimAnswer claim(const claims::ClaimWish &wish);
    [[nodiscard]] claims::ClaimAnswer claimHere(const claims::ClaimWish &wish);
    void setGauges();

    const settings::DaemonSettings settings;
    Identity identity;
    metrics::Metrics metrics;
    membership::Fleet fleet;
    targets::TargetTable targetTable;
    explain::DecisionRing decisions;
    config::Store store;
    objects::HttpObjectApi platform;
    HomeDomain home;
    PeerCalls peers;
    DecisionFinder finder;
    core::WorkerPool attempts;
    dispatch::RetryBudget retryBudget;
    limits::OrganisationLimiter limiter;
    admission::TokenRatios ratios;
    admission::ByteBudget bodyMemory;
    std::atomic<bool> refusing{false};
    claims::ClaimOwner claimOwner;
    grants::BrokerHost brokers;
    grants::GroupKeeper groups;
    dispatch::RunContext runs;
    std::unique_ptr<PeerServer> peerServer;
    CallerApi callerApi;
    AdminApi adminApi;
    std::unique_ptr<HttpListener> callers;
    std::unique_ptr<HttpListener> operators;
    std::unique_ptr<targets::Observer> observer;
    std::unique_ptr<membership::HeartbeatService> heartbeats;
    std::unique_ptr<ConfigFollower> follower;
};

Daemon::Impl::Impl(const settings::DaemonSettings &theSettings)
    : settings(theSettings)
    , identity(makeIdentity(settings))
    , fleet(settings.vm, settings.failureDomain, settings.timing.peerTimeout, settings.failureDomains)
    , decisions(static_cast<std::size_t>(settings.limits.decisionsKept))
    , store([this](const config::ConfigurationRef &configuration) { applied(configuration); })
    , platform(settings.platform)
    , home(identity, store, fleet, targetTable)
    , finder(decisions, fleet, peers)
    , attempts(static_cast<std::size_t>(settings.limits.connections), 0)
    , bodyMemory(settings.limits.bodyMemoryBytes)
    , claimOwner(platform, metrics)
    , brokers(
          targetTable, [this] { return store.current(); }, settings.failureDomain)
    , groups(settings.vm, identity.incarnation, grantHooks())
    , runs{targetTable,
           metrics,
           decisions,
           attempts,
           groups,
           [this](const std::string &pool, const grants::Ask &ask, core::Duration wait) {
               return acquire(pool, ask, wait);
           },
           retryBudget,
           {},
           {},
           settings.failureDomain}
    , peerServer(std::make_unique<PeerServer>(settings.rpcAddress,
                                              PeerServerParts{brokers, claimOwner, fleet, store, finder, metrics}))
    , callerApi({identity, store, runs, limiter, ratios, bodyMemory, settings.limits.bodyBytes, metrics, refusing,
                 [this](const claims::ClaimWish &wish) { return claim(wish); }})
    , adminApi({identity, store, fleet, targetTable, decisions, metrics, finder, [this] { setGauges(); },
                [] { kill(getpid(), SIGTERM); }})
{
    const auto &limits = settings.limits;
    identity.rpcAddress = peerServer->address();
    callers = std::make_unique<HttpListener>(
        settings.callerAddress,
        ListenerLimits{static_cast<std::size_t>(limits.connections), static_cast<std::size_t>(limits.bodyBytes)},
        [this](httplib::Server &server) { callerApi.configure(server); });
    identity.callerAddress = callers->address();
    operators = std::make_unique<HttpListener>(settings.adminAddress,
                                               ListenerLimits{static_cast<std::size_t>(limits.adminConnections)},
                                               [this](httplib::Server &server) { adminApi.configure(server); });
    identity.adminAddress = operators->address();
    auto socket = std::make_unique<membership::UdpSocket>(settings.peerAddress);
    identity.peerAddress = socket->address();
    observer = std::make_unique<targets::Observer>(
        fleet, targetTable, metrics, [this] { return store.current(); }, settings.failureDomain,
        settings.timing.loadPoll);
    heartbeats = std::make_unique<membership::HeartbeatService>(
        fleet, metrics, std::move(socket), settings.peerKey, settings.seeds, settings.timing.heartbeat,
        membership::HeartbeatHooks{[this](membership::Audience audience) { return compose(audience); },
                                   [this](const auto &heartbeat, core::Time now) { receive(heartbeat, now); }});
    follower = std::make_unique<ConfigFollower>(store, fleet, peers, platform, metrics, settings.timing);
}

grants::GroupKeeper::GrantHooks Daemon::Impl::grantHooks()
{
    const auto renew = [this](const grants::GrantTicket &ticket) {
        if (ticket.broker == identity.rpcAddress) {
            brokers.renew(ticket.grant, core::now());
        } else {
            peers.renew(ticket.broker, ticket.grant);
        }
    };
    const auto release = [this](const grants::GrantTicket &ticket) {
        if (ticket.broker == identity.rpcAddress) {
            brokers.release(ticket.grant);
        } else {
            peers.release(ticket.broker, ticket.grant);
        }
    };
    return {renew, release};
}

std::optional<grants::Granted> Daemon::Impl::acquire(const std::string &pool, const grants::Ask &ask,
                                                     core::Duration wait)
{
    const auto now = core::now();
    const auto broker = home.brokerFor(pool, ask.engines, now);
    if (broker == identity.rpcAddress) {
        return acquireHere(pool, ask, wait);
    }
    if (broker.port == 0) {
        throw core::NetworkError("no broker is known");
    }
    auto answer = peers.acquire(broker, pool, ask, now - ask.askedAt, wait);
    if (answer.notBroker) {
        throw core::NetworkError("the peer does not hold the broker role");
    }
    if (!answer.grant) {
        return std::nullopt;
    }
    return grants::Granted{{broker, answer.grant->id}, std::move(answer.grant->targets)};
}

std::optional<grants::Granted> Daemon::Impl::acquireHere(const std::string &pool, const grants::Ask &ask,
                                                         core::Duration wait)
{
    absl::Notification answered;
    grants::AskAnswer answer;
    const auto onAnswer = [&](const grants::AskAnswer &given) {
        answer = given;
        answered.Notify();
    };
    brokers.ask(pool, ask, wait, onAnswer, core::now());
    answered.WaitForNotification();
    if (!answer.grant) {
        return std::nullopt;
    }
    return grants::Granted{{identity.rpcAddress, answer.grant->id}, std::move(answer.grant->targets)};
}

membership::Heartbeat Daemon::Impl::compose(membership::Audience audience) const
{
    const auto now = core::now();
    membership::Heartbeat heartbeat;
    auto &news = heartbeat.news;
    news.vm = identity.vm;
    news.failureDomain = identity.failureDomain;
    news.peerAddress = identity.peerAddress;
    news.rpcAddress = identity.rpcAddress;
    news.incarnation = identity.incarnation;
    news.state = fleet.state();
    news.generation = store.generation();
    news.refusedGeneration = store.refusedGeneration();
    switch (audience) {
    case membership::Audience::OtherDomains:
        heartbeat.summaries.push_back(home.summary(now));
        break;
    case membership::Audience::OwnDomainWithSummaries:
        heartbeat.summaries = fleet.summariesToRepeat(now);
        heartbeat.loads = observer->ownLoads(now);
        break;
    case membership::Audience::OwnDomain:
        heartbeat.loads = observer->ownLoads(now);
        break;
    }
    return heartbeat;
}

void Daemon::Impl::receive(const membership::Heartbeat &heartbeat, core::Time now)
{
    for (const auto &load : heartbeat.loads) {
        targetTable.report(load.target, load.report, now - load.age);
    }
    for (const auto &summary : fleet.hearSummaries(heartbeat, now)) {
        for (const auto &pool : summary.pools) {
            for (const auto &load : pool.best) {
                targetTable.report(load.target, load.report, now - load.age);
            }
        }
    }
    limiter.setDaemons(fleet.daemons(now));
}

void Daemon::Impl::applied(const config::ConfigurationRef &configuration)
{
    targetTable.configure(*configuration);
    metrics.count(metrics::Counter::ConfigurationsApplied);
    const bool starting = fleet.state() == membership::DaemonState::Starting;
    if (starting) {
        fleet.setState(membership::DaemonState::Serving);
    }
    if (starting || fleet.holds(WatcherRole, Watchers, core::now())) {
        heartbeats->sendNow(); // Peers are waiting for this generation.
    }
    core::log(core::LogLevel::Info, "configuration_applied", {{"generation", configuration->generation}});
}

claims::ClaimAnswer Daemon::Impl::claim(const claims::ClaimWish &wish)
{
    const auto owner = fleet.holder(ClaimOwnerRole, core::now());
    const auto peer = fleet.find(owner);
    if (!peer) {
        return claimHere(wish);
    }
    try {
        return peers.claim(peer->news.rpcAddress, wish);
    } catch (const core::NetworkError &) {
        return claimHere(
            wish); // The owner is unreachable. Any daemon may commit the claim, as it names the same request.
    }
}

claims::ClaimAnswer Daemon::Impl::claimHere(const claims::ClaimWish &wish)
{
    absl::Notification answered;
    claims::ClaimAnswer answer;
    claimOwner.wish(wish, [&](const claims::ClaimAnswer &given) {
        answer = given;
        answered.Notify();
    });
    answered.WaitForNotification();
    return answer;
}

void Daemon::Impl::setGauges()
{
    metrics.gauge("requests_in_progress", static_cast<double>(runs.inProgress));
    metrics.gauge("groups_held", static_cast<double>(groups.size()));
    metrics.gauge("asks_waiting", static_cast<double>(brokers.waiting()));
    metrics.gauge("body_bytes", static_cast<double>(bodyMemory.used()));
    metrics.gauge("generation", static_cast<double>(store.generation()));
    metrics.gauge("peers_alive", static_cast<double>(fleet.alive(core::now()).size()));
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
    m_impl->callers.reset();
    m_impl->follower.reset();
    m_impl->heartbeats.reset();
    m_impl->observer.reset();
    m_impl->operators.reset();
    m_impl->attempts.stop();
}

const Identity &Daemon::identity() const noexcept
{
    return m_impl->identity;
}

void Daemon::drain()
{
    m_impl->fleet.setState(membership::DaemonState::Leaving);
    m_impl->heartbeats->sendNow();
    core::log(core::LogLevel::Info, "draining", {{"inProgress", m_impl->runs.inProgress.load()}});
    absl::SleepFor(NoticeTime);
    m_impl->refusing = true;
    while (m_impl->runs.inProgress > 0) {
        absl::SleepFor(DrainPoll);
    }
    absl::SleepFor(LastWrites);
    core::log(core::LogLevel::Info, "drained", nlohmann::json::object());
}

} // namespace spurlug::daemon
