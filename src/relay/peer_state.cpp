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

constexpr std::int64_t Unknown = -1; // Encodes an infinite age, ms.

std::int64_t ageMs(core::Duration age)
{
    return age == absl::InfiniteDuration() ? Unknown : core::toMs(age);
}

core::Duration ageFrom(std::int64_t ms)
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

    [[nodiscard]] std::uint32_t numberOf(const std::string &name)
    {
        const auto next = static_cast<std::uint32_t>(m_numbers.size());
        const auto [found, added] = m_numbers.try_emplace(name, next);
        if (added) {
            m_out.add_names(name);
        }
        return found->second;
    }

private:
    wire::PeerState &m_out;
    std::unordered_map<std::string, std::uint32_t> m_numbers;
};

void writeChange(const TargetChange &change, NameTable &names, wire::TargetNews &out)
{
    const auto &entry = change.entry;
    out.set_id(entry.id);
    out.set_start_ms(static_cast<std::uint64_t>(entry.startMs));
    out.set_gone(change.gone);
    out.set_fault(change.fault);
    if (change.gone || !change.fault.empty()) {
        return;
    }
    out.set_address(entry.address.text());
    out.set_service(names.numberOf(entry.service));
    out.set_failure_domain(names.numberOf(entry.failureDomain));
    out.set_slots(static_cast<std::uint32_t>(entry.slots));
    out.set_draining(entry.draining);
    out.set_cold_ms(static_cast<std::uint32_t>(core::toMs(entry.cold)));
}

const std::string &nameAt(const wire::PeerState &in, std::uint32_t number)
{
    if (number >= static_cast<std::uint32_t>(in.names_size())) {
        throw core::InvalidDocument("peer state: name number out of range");
    }
    return in.names(static_cast<int>(number));
}

TargetChange readChange(const wire::TargetNews &news, const wire::PeerState &in)
{
    TargetChange change;
    auto &entry = change.entry;
    entry.id = news.id();
    entry.startMs = static_cast<std::int64_t>(news.start_ms());
    change.gone = news.gone();
    change.fault = news.fault();
    if (change.gone || !change.fault.empty()) {
        return change;
    }
    entry.service = nameAt(in, news.service());
    entry.failureDomain = nameAt(in, news.failure_domain());
    entry.address = core::parseAddress(news.address());
    entry.slots = static_cast<int>(std::max<std::uint32_t>(news.slots(), 1));
    entry.draining = news.draining();
    entry.cold = core::fromMs(news.cold_ms());
    return change;
}

} // namespace

control::ProofAnswer proofAnswer(const RelayContext &context, std::uint64_t number, core::Time regainedAt,
                                 core::Time now)
{
    control::ProofAnswer answer;
    answer.vm = context.settings.vm;
    answer.number = number;
    if (context.table) {
        answer.version = context.table->version;
        answer.proofAge = context.configurationProof.age(answer.version, now);
    }
    answer.contactAge = now - context.directoryHeardAt();
    answer.targetsPosition = context.targetLog.newest();
    answer.targetsAge = now - context.targetsKnownAt;
    answer.regainedAge = now - regainedAt;
    answer.evacuations = context.evacuations;
    return answer;
}

PeerState peerState(const RelayContext &context, std::int64_t askersVersion, const DirectoryPosition &askersPosition,
                    core::Time now)
{
    PeerState state;
    if (context.table) {
        state.version = context.table->version;
        state.proofAge = context.configurationProof.age(state.version, now);
        state.document = state.version > askersVersion ? context.document : std::string();
    }
    state.targetsAge = now - context.targetsKnownAt;
    state.targetsPosition = context.targetsPosition;
    if (auto changes = context.targetLog.since(askersPosition)) {
        state.wholeList = false;
        state.targets = std::move(*changes);
        return state;
    }
    for (const auto &[id, target] : context.targets.all()) {
        // A target with `dropAt` set is gone from the directory: forwarding it would add it again elsewhere.
        if (target->dropAt == absl::InfiniteFuture()) {
            auto entry = target->entry;
            entry.cold = std::max(target->coldStart.until() - now, absl::ZeroDuration());
            entry.draining = target->leaving(); // From any source: the requester may not know of it otherwise.
            state.targets.push_back({std::move(entry), false, target->fault});
        }
    }
    return state;
}

std::string writePeerState(const PeerState &state)
{
    wire::PeerState out;
    out.set_version(static_cast<std::uint64_t>(state.version));
    out.set_proof_ms(ageMs(state.proofAge));
    out.set_document(state.document);
    out.set_targets_ms(ageMs(state.targetsAge));
    out.set_targets_era(static_cast<std::uint64_t>(state.targetsPosition.era));
    out.set_targets_revision(static_cast<std::uint64_t>(state.targetsPosition.revision));
    out.set_whole_list(state.wholeList);
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
    state.proofAge = ageFrom(in.proof_ms());
    state.document = in.document();
    state.targetsAge = ageFrom(in.targets_ms());
    state.targetsPosition
        = {static_cast<std::int64_t>(in.targets_era()), static_cast<std::int64_t>(in.targets_revision())};
    state.wholeList = in.whole_list();
    for (const auto &news : in.targets()) {
        state.targets.push_back(readChange(news, in));
    }
    return state;
}

} // namespace spurlug::relay
