//----------------------------------------------------------------------------------------------------------------------
// spurlug: configuration and targets that daemons fetch from each other, and how recent they are
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/peer_state.h"

#include "spurlug/control.pb.h"
#include "spurlug/core/error.h"

#include <algorithm>
#include <unordered_map>

namespace spurlug::relay
{

namespace
{

constexpr std::int64_t UnknownAge = -1; // Encodes an infinite age, ms.

std::int64_t encodeAge(core::Duration age)
{
    return age == absl::InfiniteDuration() ? UnknownAge : core::toMs(age);
}

core::Duration decodeAge(std::int64_t ms)
{
    return ms < 0 ? absl::InfiniteDuration() : core::fromMs(ms);
}

/// Writes each distinct name once and assigns it a number, which entries use.
class NameTable
{
public:
    explicit NameTable(wire::PeerState &out)
        : m_out(out)
    { }

    [[nodiscard]] std::uint32_t indexOf(const std::string &name)
    {
        const auto next = static_cast<std::uint32_t>(m_indexes.size());
        const auto [found, added] = m_indexes.try_emplace(name, next);
        if (added) {
            m_out.add_names(name);
        }
        return found->second;
    }

private:
    wire::PeerState &m_out;
    std::unordered_map<std::string, std::uint32_t> m_indexes;
};

void writeChange(const TargetChange &change, NameTable &names, wire::TargetNews &out)
{
    const auto &entry = change.entry;
    out.set_id(entry.id);
    out.set_start_ms(static_cast<std::uint64_t>(entry.startMs));
    out.set_gone(change.removed);
    out.set_fault(change.fault);
    if (change.removed || !change.fault.empty()) {
        return;
    }
    out.set_address(entry.address.text());
    out.set_service(names.indexOf(entry.service));
    out.set_failure_domain(names.indexOf(entry.failureDomain));
    out.set_slots(static_cast<std::uint32_t>(entry.slots));
    out.set_draining(entry.draining);
    out.set_cold_ms(static_cast<std::uint32_t>(core::toMs(entry.remainingWarmUp)));
}

const std::string &nameAt(const wire::PeerState &in, std::uint32_t index)
{
    if (index >= static_cast<std::uint32_t>(in.names_size())) {
        throw core::InvalidDocument("peer state: name number out of range");
    }
    return in.names(static_cast<int>(index));
}

TargetChange readChange(const wire::TargetNews &news, const wire::PeerState &in)
{
    TargetChange change;
    auto &entry = change.entry;
    entry.id = news.id();
    entry.startMs = static_cast<std::int64_t>(news.start_ms());
    change.removed = news.gone();
    change.fault = news.fault();
    if (change.removed || !change.fault.empty()) {
        return change;
    }
    entry.service = nameAt(in, news.service());
    entry.failureDomain = nameAt(in, news.failure_domain());
    try {
        entry.address = core::parseAddress(news.address());
    } catch (const core::InvalidDocument &error) {
        change.fault = error.what(); // One invalid entry does not affect the others.
        return change;
    }
    entry.slots = static_cast<int>(std::max<std::uint32_t>(news.slots(), 1));
    entry.draining = news.draining();
    entry.remainingWarmUp = core::fromMs(news.cold_ms());
    return change;
}

} // namespace

control::FreshnessReply makeFreshnessReply(const RelayContext &context, std::uint64_t queryNumber,
                                           core::Time recoveredAt, core::Time now)
{
    control::FreshnessReply reply;
    reply.vm = context.settings.vm;
    reply.number = queryNumber;
    if (context.table) {
        reply.version = context.table->version;
        reply.proofAge = context.configurationFreshness.age(reply.version, now);
    }
    reply.directoryContactAge = now - context.directoryAnsweredAt();
    reply.targetsPosition = context.targetLog.newest();
    reply.targetsAge = now - context.targetsConfirmedAt;
    reply.directoryRecoveryAge = now - recoveredAt;
    reply.evacuations = context.evacuations;
    return reply;
}

PeerState makePeerState(const RelayContext &context, std::int64_t requesterVersion,
                        const DirectoryPosition &requesterPosition, core::Time now)
{
    PeerState state;
    if (context.table) {
        state.version = context.table->version;
        state.proofAge = context.configurationFreshness.age(state.version, now);
        state.document = state.version > requesterVersion ? context.document : std::string();
    }
    state.targetsAge = now - context.targetsConfirmedAt;
    state.targetsPosition = context.targetsPosition;
    if (auto changes = context.targetLog.since(requesterPosition)) {
        state.isFullList = false;
        state.targets = std::move(*changes);
        return state;
    }
    for (const auto &[id, target] : context.targets.all()) {
        // A target with `servesUntil` set is gone from the directory: forwarding it would add it again elsewhere.
        if (target->servesUntil == absl::InfiniteFuture()) {
            auto entry = target->entry;
            entry.remainingWarmUp = std::max(target->warmUp.endsAt() - now, absl::ZeroDuration());
            entry.draining = target->isDraining(); // From any source: the requester may not know of it otherwise.
            state.targets.push_back({std::move(entry), false, target->entryError});
        }
    }
    return state;
}

std::string writePeerState(const PeerState &state)
{
    wire::PeerState out;
    out.set_version(static_cast<std::uint64_t>(state.version));
    out.set_proof_ms(encodeAge(state.proofAge));
    out.set_document(state.document);
    out.set_targets_ms(encodeAge(state.targetsAge));
    out.set_targets_era(static_cast<std::uint64_t>(state.targetsPosition.era));
    out.set_targets_revision(static_cast<std::uint64_t>(state.targetsPosition.revision));
    out.set_whole_list(state.isFullList);
    NameTable names(out);
    for (const auto &change : state.targets) {
        writeChange(change, names, *out.add_targets());
    }
    return out.SerializeAsString();
}

PeerState readPeerState(const std::string &text)
{
    wire::PeerState in;
    if (!in.ParseFromString(text)) {
        throw core::InvalidDocument("peer state: not a valid message");
    }
    PeerState state;
    state.version = static_cast<std::int64_t>(in.version());
    state.proofAge = decodeAge(in.proof_ms());
    state.document = in.document();
    state.targetsAge = decodeAge(in.targets_ms());
    state.targetsPosition
        = {static_cast<std::int64_t>(in.targets_era()), static_cast<std::int64_t>(in.targets_revision())};
    state.isFullList = in.whole_list();
    for (const auto &news : in.targets()) {
        state.targets.push_back(readChange(news, in));
    }
    return state;
}

} // namespace spurlug::relay
