//----------------------------------------------------------------------------------------------------------------------
// spurlug: what daemons tell each other while some of them cannot reach the directory
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/peer_state.h"

#include "spurlug/core/error.h"
#include "spurlug/core/text.h"

#include <nlohmann/json.hpp>

namespace spurlug::relay
{

namespace
{

constexpr std::int64_t Unknown = -1; // Stands for an infinite age.

std::int64_t ageMs(core::Duration age)
{
    return age == absl::InfiniteDuration() ? Unknown : core::toMs(age);
}

core::Duration ageFrom(std::int64_t ms)
{
    return ms < 0 ? absl::InfiniteDuration() : core::fromMs(ms);
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
    answer.targetsRevision = context.targetLog.newest();
    answer.targetsAge = now - context.targetsKnownAt;
    answer.regainedAge = now - regainedAt;
    return answer;
}

PeerState peerState(const RelayContext &context, std::int64_t askersVersion, std::int64_t askersRevision,
                    core::Time now)
{
    PeerState state;
    if (context.table) {
        state.version = context.table->version;
        state.proofAge = context.configurationProof.age(state.version, now);
        state.document = state.version > askersVersion ? context.document : std::string();
    }
    state.targetsAge = now - context.targetsKnownAt;
    state.targetsRevision = context.targetsRevision;
    if (auto changes = context.targetLog.since(askersRevision)) {
        state.wholeList = false;
        state.targets = std::move(*changes);
        return state;
    }
    for (const auto &[id, target] : context.targets.all()) {
        // A target that is only kept for a while is gone: told on, it would come back elsewhere.
        if (target->dropAt == absl::InfiniteFuture()) {
            state.targets.push_back({target->entry, false, target->fault});
        }
    }
    return state;
}

std::string writePeerState(const PeerState &state)
{
    auto targets = nlohmann::json::array();
    for (const auto &change : state.targets) {
        const auto &entry = change.entry;
        targets.push_back({{"id", entry.id},
                           {"startMs", entry.startMs},
                           {"gone", change.gone},
                           {"fault", change.fault},
                           {"service", entry.service},
                           {"address", entry.address.text()},
                           {"failureDomain", entry.failureDomain},
                           {"slots", entry.slots},
                           {"draining", entry.draining}});
    }
    return nlohmann::json{{"version", state.version},
                          {"proofAgeMs", ageMs(state.proofAge)},
                          {"document", state.document},
                          {"targetsAgeMs", ageMs(state.targetsAge)},
                          {"targetsRevision", state.targetsRevision},
                          {"wholeList", state.wholeList},
                          {"targets", std::move(targets)}}
        .dump();
}

PeerState readPeerState(const std::string &text)
{
    try {
        const auto document = nlohmann::json::parse(text);
        PeerState state;
        state.version = document.at("version");
        state.proofAge = ageFrom(document.at("proofAgeMs"));
        state.document = document.at("document");
        state.targetsAge = ageFrom(document.at("targetsAgeMs"));
        state.targetsRevision = document.at("targetsRevision");
        state.wholeList = document.at("wholeList");
        for (const auto &item : document.at("targets")) {
            TargetEntry entry;
            entry.id = item.at("id");
            entry.startMs = item.at("startMs");
            const bool gone = item.at("gone");
            std::string fault = item.at("fault");
            if (gone || !fault.empty()) {
                state.targets.push_back({std::move(entry), gone, std::move(fault)});
                continue;
            }
            entry.service = item.at("service");
            entry.address = core::parseAddress(item.at("address").get<std::string>());
            entry.failureDomain = item.at("failureDomain");
            entry.slots = item.at("slots");
            entry.draining = item.at("draining");
            state.targets.push_back({std::move(entry), false, {}});
        }
        return state;
    } catch (const nlohmann::json::exception &error) {
        throw core::InvalidDocument(core::cat("a peer's state: ", error.what()));
    }
}

} // namespace spurlug::relay
