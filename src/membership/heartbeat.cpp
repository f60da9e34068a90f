//----------------------------------------------------------------------------------------------------------------------
// spurlug: heartbeat messages and their encoding
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/membership/heartbeat.h"

#include "spurlug/core/error.h"
#include "spurlug/core/hash.h"
#include "spurlug/heartbeat.pb.h"
#include "spurlug/membership/load_view_codec.h"
#include "spurlug/membership/work_codec.h"

#include <algorithm>
#include <cmath>

namespace spurlug::membership
{

namespace
{

constexpr std::size_t SignatureBytes = 16;
constexpr double RateUnit = 100;
constexpr double ShareUnit = 100; // Processor shares are sent in hundredths of a core.

void writeLoad(const ObservedLoad &load, wire::TargetLoad &out)
{
    out.set_target(load.target);
    out.set_queued_tokens(clampToUint32(load.report.queuedTokens));
    out.set_urgent_tokens(clampToUint32(load.report.urgentTokens));
    out.set_streams(clampToUint32(load.report.streams));
    out.set_free_tokens(clampToUint32(load.report.freeTokens));
    out.set_age_ms(clampToUint32(core::toMs(load.age)));
    out.set_state(static_cast<std::uint32_t>(load.report.condition));
    out.set_prefill_rate(clampToUint32(static_cast<std::int64_t>(load.report.prefillRate / RateUnit)));
    out.set_reserved(load.report.reserved ? 1 : 0);
    out.set_max_streams(clampToUint32(load.report.maxStreams));
}

ObservedLoad readLoad(const wire::TargetLoad &in)
{
    ObservedLoad load;
    load.target = in.target();
    load.report.queuedTokens = in.queued_tokens();
    load.report.urgentTokens = in.urgent_tokens();
    load.report.streams = in.streams();
    load.report.maxStreams = in.max_streams();
    load.report.freeTokens = in.free_tokens();
    load.report.prefillRate = in.prefill_rate() * RateUnit;
    load.report.reserved = in.reserved() != 0;
    const auto last = static_cast<std::uint32_t>(targets::TargetCondition::Unreachable);
    load.report.condition = static_cast<targets::TargetCondition>(std::min(in.state(), last));
    load.age = core::fromMs(in.age_ms());
    return load;
}

void writeSummary(const DomainSummary &summary, wire::DomainSummary &out)
{
    out.set_failure_domain(summary.failureDomain);
    out.set_lowest_generation(static_cast<std::uint64_t>(summary.lowestGeneration));
    out.set_daemons(clampToUint32(summary.daemonCount));
    out.set_age_ms(clampToUint32(core::toMs(summary.age)));
    out.set_rpc_address(summary.rpcAddress.text());
    for (const auto &pool : summary.pools) {
        auto &poolOut = *out.add_pools();
        poolOut.set_pool(pool.pool);
        poolOut.set_usable(clampToUint32(pool.usableTargets));
        for (const auto &load : pool.leastLoaded) {
            writeLoad(load, *poolOut.add_best());
        }
        if (pool.broker.port != 0) {
            poolOut.set_broker(pool.broker.text());
        }
    }
}

DomainSummary readSummary(const wire::DomainSummary &in)
{
    DomainSummary summary;
    summary.failureDomain = in.failure_domain();
    summary.lowestGeneration = static_cast<std::int64_t>(in.lowest_generation());
    summary.daemonCount = in.daemons();
    summary.age = core::fromMs(in.age_ms());
    summary.rpcAddress = core::parseAddress(in.rpc_address());
    for (const auto &poolIn : in.pools()) {
        PoolSummary pool;
        pool.pool = poolIn.pool();
        pool.usableTargets = poolIn.usable();
        for (const auto &load : poolIn.best()) {
            pool.leastLoaded.push_back(readLoad(load));
        }
        if (!poolIn.broker().empty()) {
            pool.broker = core::parseAddress(poolIn.broker());
        }
        summary.pools.push_back(std::move(pool));
    }
    return summary;
}

void writeRoster(const DomainRoster &roster, wire::DomainRoster &out)
{
    out.set_failure_domain(roster.failureDomain);
    out.set_daemons(clampToUint32(static_cast<std::int64_t>(roster.daemonCount)));
    out.set_age_ms(clampToUint32(core::toMs(roster.age)));
    for (const auto &member : roster.members) {
        auto &memberOut = *out.add_members();
        memberOut.set_vm(member.vm);
        memberOut.set_peer_address(member.peerAddress.text());
        memberOut.set_rpc_address(member.rpcAddress.text());
        memberOut.set_processor_share(clampToUint32(std::lround(member.processorShare * ShareUnit)));
        memberOut.set_state(static_cast<wire::DaemonState>(member.state));
    }
}

DaemonState readState(int state)
{
    return static_cast<DaemonState>(std::clamp<int>(state, wire::STARTING, wire::LEAVING));
}

DomainRoster readRoster(const wire::DomainRoster &in)
{
    DomainRoster roster;
    roster.failureDomain = in.failure_domain();
    roster.daemonCount = in.daemons();
    roster.age = core::fromMs(in.age_ms());
    for (const auto &memberIn : in.members()) {
        PeerReport member;
        member.vm = memberIn.vm();
        member.failureDomain = in.failure_domain();
        member.peerAddress = core::parseAddress(memberIn.peer_address());
        member.rpcAddress = core::parseAddress(memberIn.rpc_address());
        member.processorShare = memberIn.processor_share() / ShareUnit;
        member.state = readState(memberIn.state());
        roster.members.push_back(std::move(member));
    }
    return roster;
}

wire::Heartbeat toWire(const Heartbeat &heartbeat)
{
    const auto &sender = heartbeat.sender;
    wire::Heartbeat out;
    out.set_vm(sender.vm);
    out.set_incarnation(sender.incarnation);
    out.set_sequence(sender.sequence);
    out.set_state(static_cast<wire::DaemonState>(sender.state));
    out.set_generation(static_cast<std::uint64_t>(sender.generation));
    out.set_refused_generation(clampToUint32(sender.refusedGeneration));
    for (const auto &load : heartbeat.loads) {
        writeLoad(load, *out.add_loads());
    }
    for (const auto &summary : heartbeat.summaries) {
        writeSummary(summary, *out.add_summaries());
    }
    for (const auto &work : heartbeat.work) {
        writeWork(work, *out.add_work());
    }
    for (const auto target : heartbeat.unreachableTargets) {
        out.add_unreachable(target);
    }
    for (const auto target : heartbeat.drainingTargets) {
        out.add_leaving(target);
    }
    for (const auto &rate : heartbeat.rateReports) {
        writeRate(rate, *out.add_rates());
    }
    for (const auto &peer : heartbeat.knownPeers) {
        out.add_known_peers(peer.text());
    }
    out.set_wants_answer(heartbeat.wantsReply);
    out.set_rosters_digest(heartbeat.rostersDigest);
    for (const auto &roster : heartbeat.rosters) {
        writeRoster(roster, *out.add_rosters());
    }
    out.set_largest_domain(clampToUint32(static_cast<std::int64_t>(heartbeat.largestDomainSize)));
    out.set_wants_load(heartbeat.wantsLoad);
    if (heartbeat.load) {
        writeLoadView(*heartbeat.load, *out.mutable_load());
    }
    if (sender.peerAddress.port != 0) {
        out.mutable_hello()->set_failure_domain(sender.failureDomain);
        out.mutable_hello()->set_peer_address(sender.peerAddress.text());
        out.mutable_hello()->set_rpc_address(sender.rpcAddress.text());
        out.mutable_hello()->set_processor_share(clampToUint32(std::lround(sender.processorShare * ShareUnit)));
    }
    return out;
}

PeerReport readPeerReport(const wire::Heartbeat &in)
{
    PeerReport report;
    report.vm = in.vm();
    report.incarnation = in.incarnation();
    report.sequence = in.sequence();
    report.state = readState(in.state());
    report.generation = static_cast<std::int64_t>(in.generation());
    report.refusedGeneration = in.refused_generation();
    if (in.has_hello()) {
        report.failureDomain = in.hello().failure_domain();
        report.peerAddress = core::parseAddress(in.hello().peer_address());
        report.rpcAddress = core::parseAddress(in.hello().rpc_address());
        report.processorShare = in.hello().processor_share() / ShareUnit;
    }
    return report;
}

std::string sign(std::string_view key, std::string_view bytes)
{
    return key.empty() ? std::string() : core::hmacSha256(key, bytes).substr(0, SignatureBytes);
}

} // namespace

std::string writeHeartbeat(const Heartbeat &heartbeat, std::string_view key)
{
    wire::SignedHeartbeat out;
    out.set_heartbeat(toWire(heartbeat).SerializeAsString());
    out.set_signature(sign(key, out.heartbeat()));
    return out.SerializeAsString();
}

std::optional<Heartbeat> readHeartbeat(std::string_view datagram, std::string_view key)
{
    wire::SignedHeartbeat in;
    wire::Heartbeat inner;
    if (!in.ParseFromArray(datagram.data(), static_cast<int>(datagram.size()))
        || !core::equalInConstantTime(in.signature(), sign(key, in.heartbeat()))
        || !inner.ParseFromString(in.heartbeat())) {
        return std::nullopt;
    }
    try {
        Heartbeat heartbeat;
        heartbeat.sender = readPeerReport(inner);
        for (const auto &load : inner.loads()) {
            heartbeat.loads.push_back(readLoad(load));
        }
        for (const auto &summary : inner.summaries()) {
            heartbeat.summaries.push_back(readSummary(summary));
        }
        for (const auto &work : inner.work()) {
            heartbeat.work.push_back(readWork(work));
        }
        heartbeat.unreachableTargets.assign(inner.unreachable().begin(), inner.unreachable().end());
        heartbeat.drainingTargets.assign(inner.leaving().begin(), inner.leaving().end());
        for (const auto &rate : inner.rates()) {
            heartbeat.rateReports.push_back(readRate(rate));
        }
        for (const auto &peer : inner.known_peers()) {
            heartbeat.knownPeers.push_back(core::parseAddress(peer));
        }
        heartbeat.wantsReply = inner.wants_answer();
        heartbeat.rostersDigest = inner.rosters_digest();
        for (const auto &roster : inner.rosters()) {
            heartbeat.rosters.push_back(readRoster(roster));
        }
        heartbeat.largestDomainSize = inner.largest_domain();
        heartbeat.wantsLoad = inner.wants_load();
        if (inner.has_load()) {
            heartbeat.load = readLoadView(inner.load());
        }
        return heartbeat;
    } catch (const core::InvalidDocument &) {
        return std::nullopt;
    }
}

} // namespace spurlug::membership
