//----------------------------------------------------------------------------------------------------------------------
// spurlug: gRPC client for calls to other daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/daemon/peer_client.h"

#include "spurlug/core/error.h"
#include "spurlug/core/text.h"
#include "spurlug/peers.grpc.pb.h"

#include <grpcpp/grpcpp.h>

namespace spurlug::daemon
{

namespace
{

constexpr auto CallTimeout = absl::Seconds(2);
constexpr auto ClaimTimeout = absl::Seconds(10); // The owner may need several attempts.
constexpr std::size_t MaxChannels = 512;

void setDeadline(grpc::ClientContext &context, core::Duration timeout)
{
    context.set_deadline(std::chrono::system_clock::now() + absl::ToChronoMilliseconds(timeout));
}

void throwUnlessOk(const grpc::Status &status)
{
    if (!status.ok()) {
        throw core::NetworkError(core::cat("call to peer failed: ", status.error_message()));
    }
}

grpc::ChannelArguments channelArguments()
{
    constexpr int MaxBackoffMs = 2000;
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxBackoffMs);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return arguments;
}

} // namespace

struct PeerClient::Channel
{
    explicit Channel(const std::string &address)
        : stub(wire::Peers::NewStub(
            grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), channelArguments())))
    { }
    std::unique_ptr<wire::Peers::Stub> stub;
};

PeerClient::PeerClient() = default;
PeerClient::~PeerClient() = default;

std::shared_ptr<PeerClient::Channel> PeerClient::channel(const core::Address &peer)
{
    absl::MutexLock lock(&m_mutex);
    if (m_channels.size() >= MaxChannels) {
        m_channels.clear();
    }
    auto &channel = m_channels[peer.text()];
    if (!channel) {
        channel = std::make_shared<Channel>(peer.text());
    }
    return channel;
}

GrantAnswer PeerClient::acquireGrant(const core::Address &peer, const std::string &pool,
                                     const grants::GrantRequest &ask, core::Duration waited, core::Duration wait)
{
    wire::GrantRequest request;
    request.set_request_id(ask.requestId);
    request.set_pool(pool);
    request.set_organisation(ask.organisation);
    request.set_weight(ask.weight);
    request.set_tokens(static_cast<std::uint64_t>(ask.tokens));
    request.set_engines(static_cast<std::uint32_t>(ask.engines));
    request.set_waited_ms(static_cast<std::uint32_t>(core::toMs(waited)));
    request.set_wait_ms(static_cast<std::uint32_t>(core::toMs(wait)));
    grpc::ClientContext context;
    setDeadline(context, wait + CallTimeout);
    wire::GrantReply reply;
    throwUnlessOk(channel(peer)->stub->Acquire(&context, request, &reply));
    GrantAnswer answer;
    answer.queuePosition = reply.place();
    answer.notBroker = reply.not_broker();
    if (reply.granted()) {
        answer.grant
            = grants::Grant{reply.grant(), ask.requestId, {reply.targets().begin(), reply.targets().end()}, {}};
    }
    return answer;
}

bool PeerClient::renewGrant(const core::Address &peer, std::uint64_t grant)
{
    wire::GrantIds request;
    request.add_grants(grant);
    grpc::ClientContext context;
    setDeadline(context, CallTimeout);
    wire::GrantIds renewed;
    return channel(peer)->stub->Renew(&context, request, &renewed).ok() && renewed.grants_size() == 1;
}

void PeerClient::releaseGrant(const core::Address &peer, std::uint64_t grant)
{
    wire::GrantIds request;
    request.add_grants(grant);
    grpc::ClientContext context;
    setDeadline(context, CallTimeout);
    wire::GrantIds reply;
    [[maybe_unused]] const auto status = channel(peer)->stub->Release(&context, request, &reply);
}

claims::ClaimAnswer PeerClient::claim(const core::Address &peer, const claims::ClaimWish &wish)
{
    wire::ClaimRequest request;
    request.set_name(wish.name);
    request.set_request_id(wish.requestId);
    request.set_give_back(wish.giveBack);
    grpc::ClientContext context;
    setDeadline(context, ClaimTimeout);
    wire::ClaimReply reply;
    throwUnlessOk(channel(peer)->stub->Claim(&context, request, &reply));
    switch (reply.result()) {
    case wire::WON:
        return {claims::ClaimResult::Won, reply.holder()};
    case wire::TAKEN:
        return {claims::ClaimResult::Taken, reply.holder()};
    default:
        return {};
    }
}

std::string PeerClient::fetchRoot(const core::Address &peer)
{
    grpc::ClientContext context;
    setDeadline(context, CallTimeout);
    wire::RootReply reply;
    throwUnlessOk(channel(peer)->stub->FetchRoot(&context, {}, &reply));
    return reply.root();
}

config::PartTexts PeerClient::fetchParts(const core::Address &peer, const std::vector<std::string> &hashes)
{
    wire::FetchPartsRequest request;
    request.mutable_hashes()->Assign(hashes.begin(), hashes.end());
    grpc::ClientContext context;
    setDeadline(context, CallTimeout);
    wire::PartsReply reply;
    throwUnlessOk(channel(peer)->stub->FetchParts(&context, request, &reply));
    return {reply.texts().begin(), reply.texts().end()};
}

std::optional<std::string> PeerClient::explain(const core::Address &peer, const std::string &requestId, bool forwarded)
{
    wire::ExplainRequest request;
    request.set_request_id(requestId);
    request.set_forwarded(forwarded);
    grpc::ClientContext context;
    setDeadline(context, CallTimeout);
    wire::ExplainReply reply;
    throwUnlessOk(channel(peer)->stub->Explain(&context, request, &reply));
    return reply.found() ? std::optional(reply.decision()) : std::nullopt;
}

} // namespace spurlug::daemon
