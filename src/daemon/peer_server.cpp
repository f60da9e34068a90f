//----------------------------------------------------------------------------------------------------------------------
// spurlug: gRPC server for calls from other daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/daemon/peer_server.h"

#include "spurlug/core/error.h"
#include "spurlug/core/text.h"
#include "spurlug/core/worker_pool.h"
#include "spurlug/daemon/roles.h"
#include "spurlug/peers.grpc.pb.h"

#include <algorithm>
#include <grpcpp/grpcpp.h>
#include <utility>

namespace spurlug::daemon
{

namespace
{

constexpr std::int64_t MaxWaitMs = 10'000;
constexpr std::uint32_t MaxEngines = 64;

grpc::ServerUnaryReactor *finishCall(grpc::CallbackServerContext *context,
                                     const grpc::Status &status = grpc::Status::OK)
{
    auto *reactor = context->DefaultReactor();
    reactor->Finish(status);
    return reactor;
}

grants::GrantRequest readGrantRequest(const wire::GrantRequest &request, core::Time now)
{
    grants::GrantRequest ask;
    ask.requestId = request.request_id();
    ask.organisation = request.organisation();
    ask.weight = std::max(request.weight(), 0.001);
    ask.tokens = static_cast<std::int64_t>(request.tokens());
    ask.engines = static_cast<int>(std::clamp(request.engines(), 1U, MaxEngines));
    ask.waitingSince = now - core::fromMs(request.waited_ms());
    return ask;
}

void writeGrantReply(const grants::GrantReply &answer, wire::GrantReply &reply)
{
    reply.set_place(static_cast<std::uint32_t>(answer.queuePosition));
    reply.set_granted(answer.grant.has_value());
    if (answer.grant) {
        reply.set_grant(answer.grant->id);
        reply.mutable_targets()->Assign(answer.grant->targets.begin(), answer.grant->targets.end());
    }
}

wire::ClaimResult toWire(claims::ClaimResult result)
{
    switch (result) {
    case claims::ClaimResult::Won:
        return wire::WON;
    case claims::ClaimResult::Taken:
        return wire::TAKEN;
    case claims::ClaimResult::Unavailable:
        break;
    }
    return wire::UNAVAILABLE;
}

class PeersService final : public wire::Peers::CallbackService
{
public:
    explicit PeersService(PeerServerComponents components)
        : m_components(components)
    { }

    grpc::ServerUnaryReactor *Acquire(grpc::CallbackServerContext *context, const wire::GrantRequest *request,
                                      wire::GrantReply *reply) override
    {
        m_components.metrics.count(metrics::Counter::RpcCalls);
        const auto now = core::now();
        if (m_components.fleet.roleHolder(brokerRole(request->pool()), now) != m_components.fleet.self()) {
            reply->set_not_broker(true);
            return finishCall(context);
        }
        auto *reactor = context->DefaultReactor();
        const auto wait = core::fromMs(std::min<std::int64_t>(request->wait_ms(), MaxWaitMs));
        const auto onAnswer = [reactor, reply](const grants::GrantReply &answer) {
            writeGrantReply(answer, *reply);
            reactor->Finish(grpc::Status::OK);
        };
        m_components.brokers.enqueue(request->pool(), readGrantRequest(*request, now), wait, onAnswer, now);
        return reactor;
    }

    grpc::ServerUnaryReactor *Renew(grpc::CallbackServerContext *context, const wire::GrantIds *request,
                                    wire::GrantIds *reply) override
    {
        m_components.metrics.count(metrics::Counter::RpcCalls);
        for (const auto grant : request->grants()) {
            if (m_components.brokers.renew(grant, core::now())) {
                reply->add_grants(grant);
            }
        }
        return finishCall(context);
    }

    grpc::ServerUnaryReactor *Release(grpc::CallbackServerContext *context, const wire::GrantIds *request,
                                      wire::GrantIds * /*reply*/) override
    {
        m_components.metrics.count(metrics::Counter::RpcCalls);
        for (const auto grant : request->grants()) {
            m_components.brokers.release(grant);
        }
        return finishCall(context);
    }

    grpc::ServerUnaryReactor *Claim(grpc::CallbackServerContext *context, const wire::ClaimRequest *request,
                                    wire::ClaimReply *reply) override
    {
        m_components.metrics.count(metrics::Counter::RpcCalls);
        auto *reactor = context->DefaultReactor();
        const auto onAnswer = [reactor, reply](const claims::ClaimAnswer &answer) {
            reply->set_result(toWire(answer.result));
            reply->set_holder(answer.holder);
            reactor->Finish(grpc::Status::OK);
        };
        m_components.claims.submit({request->name(), request->request_id(), request->give_back()}, onAnswer);
        return reactor;
    }

    grpc::ServerUnaryReactor *FetchRoot(grpc::CallbackServerContext *context,
                                        const wire::FetchRootRequest * /*request*/, wire::RootReply *reply) override
    {
        m_components.metrics.count(metrics::Counter::RpcCalls);
        reply->set_root(m_components.store.rootText());
        reply->set_generation(static_cast<std::uint64_t>(m_components.store.generation()));
        return finishCall(context);
    }

    grpc::ServerUnaryReactor *FetchParts(grpc::CallbackServerContext *context, const wire::FetchPartsRequest *request,
                                         wire::PartsReply *reply) override
    {
        m_components.metrics.count(metrics::Counter::RpcCalls);
        for (auto &[hash, text] : m_components.store.texts({request->hashes().begin(), request->hashes().end()})) {
            (*reply->mutable_texts())[hash] = text;
        }
        return finishCall(context);
    }

    /// The search may call a peer, so it runs on a separate pool and does not block a gRPC thread.
    grpc::ServerUnaryReactor *Explain(grpc::CallbackServerContext *context, const wire::ExplainRequest *request,
                                      wire::ExplainReply *reply) override
    {
        m_components.metrics.count(metrics::Counter::RpcCalls);
        auto *reactor = context->DefaultReactor();
        const bool started = m_searchPool.trySubmit([this, reactor, request, reply] {
            const auto scope = request->forwarded() ? SearchScope::ThisDaemon : SearchScope::LocalDomain;
            const auto decision = m_components.finder.find(request->request_id(), scope, core::now());
            reply->set_found(decision.has_value());
            reply->set_decision(decision.value_or(""));
            reactor->Finish(grpc::Status::OK);
        });
        if (!started) {
            reactor->Finish(grpc::Status(grpc::StatusCode::RESOURCE_EXHAUSTED, "too many searches"));
        }
        return reactor;
    }

private:
    PeerServerComponents m_components;
    core::WorkerPool m_searchPool{2, 16};
};

} // namespace

struct PeerServer::Impl
{
    explicit Impl(PeerServerComponents components)
        : service(components)
    { }
    PeersService service;
    std::unique_ptr<grpc::Server> server;
};

PeerServer::PeerServer(const core::Address &address, PeerServerComponents components)
    : m_impl(std::make_unique<Impl>(components))
    , m_address(address)
{
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address.text(), grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&m_impl->service);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    m_impl->server = builder.BuildAndStart();
    if (!m_impl->server || port == 0) {
        throw core::NetworkError(core::cat(address.text(), ": cannot listen for calls from peers"));
    }
    m_address.port = static_cast<std::uint16_t>(port);
}

PeerServer::~PeerServer()
{
    m_impl->server->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(1));
    m_impl->server->Wait();
}

const core::Address &PeerServer::address() const noexcept
{
    return m_address;
}

} // namespace spurlug::daemon
