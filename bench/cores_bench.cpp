//----------------------------------------------------------------------------------------------------------------------
// spurlug: micro-benchmarks of components without I/O, at several sizes
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/admission/request_body.h"
#include "spurlug/config/configuration.h"
#include "spurlug/config/parts.h"
#include "spurlug/control/scheduler.h"
#include "spurlug/core/rendezvous.h"
#include "spurlug/core/text.h"
#include "spurlug/dispatch/sse.h"
#include "spurlug/dispatch/token_reassembler.h"
#include "spurlug/grants/broker.h"
#include "spurlug/membership/heartbeat.h"
#include "spurlug/routing/choose.h"

#include <benchmark/benchmark.h>

using namespace spurlug;

namespace
{

const core::Time Now = absl::FromUnixSeconds(1000);

std::vector<targets::TargetView> makeTargets(std::int64_t count)
{
    std::vector<targets::TargetView> targets;
    for (std::int64_t i = 0; i < count; ++i) {
        targets::TargetView target;
        target.id = "engine-" + std::to_string(i);
        target.report.condition = targets::TargetCondition::Serving;
        target.report.prefillRate = 50'000;
        target.report.urgentTokens = (i * 7919) % 20'000;
        target.reportAge = absl::Milliseconds(100);
        targets.push_back(target);
    }
    return targets;
}

nlohmann::json makeDocument(std::int64_t organisations)
{
    nlohmann::json document{{"organisations", nlohmann::json::array()}};
    for (std::int64_t i = 0; i < organisations; ++i) {
        const auto salt = "salt" + std::to_string(i);
        document["organisations"].push_back(
            {{"name", "organisation-" + std::to_string(i)},
             {"weight", 1},
             {"requestsPerSecond", 10},
             {"keys", {{{"salt", salt}, {"digest", config::keyDigest(salt, salt + ".secret")}}}}});
    }
    return document;
}

void chooseTarget(benchmark::State &state)
{
    const auto targets = makeTargets(state.range(0));
    std::uint64_t randomValue = 0;
    for (auto _ : state) {
        ++randomValue;
        benchmark::DoNotOptimize(routing::chooseTarget({1000, true, randomValue}, targets, {}, {}, randomValue));
    }
}
BENCHMARK(chooseTarget)->Arg(10)->Arg(30)->Arg(60)->Arg(120);

void readConfiguration(benchmark::State &state)
{
    const auto split = config::splitDocument(makeDocument(state.range(0)));
    const config::Root root{1, "c", "a", split.parts, {}};
    for (auto _ : state) {
        std::vector<core::Fault> faults;
        benchmark::DoNotOptimize(config::parseConfiguration(config::joinDocument(root, split.texts), 1, faults));
    }
}
BENCHMARK(readConfiguration)->Arg(100)->Arg(400)->Arg(1600)->Arg(3400)->Unit(benchmark::kMicrosecond);

void findOrganisation(benchmark::State &state)
{
    std::vector<core::Fault> faults;
    const auto configuration = config::parseConfiguration(makeDocument(state.range(0)), 1, faults);
    for (auto _ : state) {
        benchmark::DoNotOptimize(configuration->organisationForKey("salt7.secret"));
    }
}
BENCHMARK(findOrganisation)->Arg(100)->Arg(400)->Arg(1600)->Arg(3400);

membership::Heartbeat makeHeartbeat(std::int64_t loads)
{
    membership::Heartbeat heartbeat;
    heartbeat.sender.vm = "coast-west-a-daemon-17";
    heartbeat.sender.incarnation = 1'764'000'000'000'000;
    heartbeat.sender.sequence = 86'400;
    heartbeat.sender.generation = 277'000;
    for (std::int64_t i = 0; i < loads; ++i) {
        membership::ObservedLoad load;
        load.target = static_cast<std::uint32_t>(i * 2'654'435'761U);
        load.report.condition = targets::TargetCondition::Serving;
        load.report.queuedTokens = 40'000;
        load.report.urgentTokens = 9'000;
        load.report.streams = 31;
        load.report.maxStreams = 64;
        load.report.freeTokens = 210'000;
        load.report.prefillRate = 50'000;
        load.age = absl::Milliseconds(140);
        heartbeat.loads.push_back(load);
    }
    return heartbeat;
}

void readHeartbeat(benchmark::State &state)
{
    const auto datagram = membership::writeHeartbeat(makeHeartbeat(state.range(0)), "a shared key");
    for (auto _ : state) {
        benchmark::DoNotOptimize(membership::readHeartbeat(datagram, "a shared key"));
    }
    state.counters["bytes"] = static_cast<double>(datagram.size());
}
BENCHMARK(readHeartbeat)->Arg(0)->Arg(2)->Arg(8)->Arg(32);

/// Reads a heartbeat with a domain summary, as it is sent to another failure domain or passed on in the local one.
void readSummary(benchmark::State &state)
{
    membership::DomainSummary summary;
    summary.failureDomain = "coast-west-hall-horseshoe";
    summary.rpcAddress = {"10.120.130.140", 50'051};
    summary.daemonCount = 42;
    summary.lowestGeneration = 277'000;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        const auto loads = makeHeartbeat(2).loads;
        summary.pools.push_back({static_cast<std::uint32_t>(i * 2'654'435'761U), 15, loads, summary.rpcAddress});
    }
    auto heartbeat = makeHeartbeat(0);
    const auto bytesWithoutSummary = membership::writeHeartbeat(heartbeat, "a shared key").size();
    heartbeat.summaries.push_back(summary);
    const auto datagram = membership::writeHeartbeat(heartbeat, "a shared key");
    for (auto _ : state) {
        benchmark::DoNotOptimize(membership::readHeartbeat(datagram, "a shared key"));
    }
    state.counters["bytes"] = static_cast<double>(datagram.size() - bytesWithoutSummary);
}
BENCHMARK(readSummary)->Arg(1)->Arg(2)->Arg(4)->Arg(8);

void findRoleHolder(benchmark::State &state)
{
    std::vector<std::string> daemons;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        daemons.push_back("coast-west-a-daemon-" + std::to_string(i));
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(core::rankByRendezvous("target:engine-12", daemons));
    }
}
BENCHMARK(findRoleHolder)->Arg(6)->Arg(12)->Arg(24)->Arg(48)->Arg(96);

void serveAsks(benchmark::State &state)
{
    const auto engines = makeTargets(60);
    for (auto _ : state) {
        state.PauseTiming();
        grants::Broker broker;
        for (std::int64_t i = 0; i < state.range(0); ++i) {
            const auto id = std::to_string(i);
            broker.enqueue({id, "o" + std::to_string(i % 50), 1.0, 200'000, static_cast<int>(1 + i % 3), Now}, Now);
        }
        state.ResumeTiming();
        broker.grantEngines(engines, 0.5, Now);
    }
}
BENCHMARK(serveAsks)->Arg(10)->Arg(30)->Arg(100)->Arg(300)->Unit(benchmark::kMicrosecond);

/// A scheduler whose engines are full, and prompts that wait for them, admitted by prediction.
struct FullEngines
{
    explicit FullEngines(std::int64_t waiting)
    {
        constexpr int Slots = 12;
        constexpr int Engines = 54;
        settings.vm = "scheduler";
        settings.overload.admission = settings::FeatureMode::On;
        auto table = core::makeRef<config::RouteTable>();
        table->version = 1;
        config::ServiceSpec service;
        service.name = "model";
        service.engine.emplace();
        service.engine->slots = Slots;
        service.engine->kvMemoryTokens = 197'200;
        service.engine->meanAnswerTokens = 500;
        table->services.emplace("model", service);
        context.activateConfiguration(table, "{}", "bench", Now);
        for (int i = 0; i < Engines; ++i) {
            context.targets.put({"engine-" + std::to_string(i), "model", {"127.0.0.1", 8000}, "hall-a", Slots, false});
        }
        request.vm = "vm-1";
        request.service = "model";
        request.prompt = {5000, 500};
        request.ttftObjective = absl::Milliseconds(300);
        request.callerTimeout = absl::Seconds(2);
        while (static_cast<std::int64_t>(scheduler.queuedCount()) < waiting) {
            ask();
        }
    }

    control::PlacementReply ask()
    {
        request.digest = ++request.requestNumber;
        return scheduler.handleRequest(request, Now);
    }

    net::Loop loop;
    settings::RelaySettings settings;
    metrics::Metrics metrics;
    relay::RelayContext context{loop, settings, metrics, Now};
    control::Scheduler scheduler{context};
    control::PlacementRequest request;
};

/// A request that joins the queue and leaves it again.
void admitPrompt(benchmark::State &state)
{
    FullEngines fleet(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(fleet.ask());
        fleet.scheduler.cancel({fleet.request.vm, fleet.request.requestNumber});
    }
}
BENCHMARK(admitPrompt)->Arg(10)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);

/// A round of placements that finds no engine; there is one every 10 ms while anything waits.
void runPlacementRound(benchmark::State &state)
{
    FullEngines fleet(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(fleet.scheduler.placeQueued(Now));
    }
}
BENCHMARK(runPlacementRound)->Arg(10)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);

/// One round of the scheduler over requests of 24 organisations that find no engine.
void placeWaitingRequests(benchmark::State &state)
{
    constexpr int Engines = 54;
    constexpr int Slots = 12;
    net::Loop loop;
    settings::RelaySettings settings;
    settings.vm = "scheduler";
    settings.overload.admission = settings.overload.fairShares
        = state.range(1) > 0 ? settings::FeatureMode::On : settings::FeatureMode::Off;
    metrics::Metrics metrics;
    relay::RelayContext context{loop, settings, metrics, Now};
    auto table = core::makeRef<config::RouteTable>();
    table->version = 1;
    config::ServiceSpec service;
    service.name = "model";
    service.engine.emplace();
    service.engine->stepMs = 1;
    service.engine->prefillTokensPerMs = 206;
    service.engine->prefillMsPerMillionPairs = 0.138;
    service.engine->slots = Slots;
    service.engine->kvMemoryTokens = 197'200;
    table->services.emplace("model", service);
    context.activateConfiguration(table, "{}", "benchmark", Now);
    control::Scheduler scheduler(context);
    control::WorkReport report;
    report.vm = "busy";
    report.incarnation = report.sequence = 1;
    for (int i = 0; i < Engines; ++i) {
        context.targets.put({core::cat("engine-", i), "model", {"127.0.0.1", 8000}, "hall-a", Slots, false});
        targets::TargetWork work;
        work.target = context.targets.find(core::cat("engine-", i))->hash;
        work.work.requests = work.work.decodingRequests = work.work.shortGapRequests = Slots;
        work.work.memoryTokens = service.engine->kvMemoryTokens;
        report.work.push_back(work);
    }
    scheduler.applyReport(report, Now);
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        control::PlacementRequest request;
        request.vm = core::cat("vm-", i % 86);
        request.requestNumber = static_cast<std::uint64_t>(i);
        request.service = "model";
        request.organisation = static_cast<std::uint32_t>(1 + i % 24);
        request.shortGaps = i % 10 != 0;
        request.prompt = {request.shortGaps ? 5000 : 190'000, 500};
        request.ttftObjective = absl::Milliseconds(request.shortGaps ? 300 : 6000);
        benchmark::DoNotOptimize(scheduler.handleRequest(request, Now));
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(scheduler.placeQueued(Now));
    }
}
BENCHMARK(placeWaitingRequests)->ArgsProduct({{10, 100, 1000}, {0, 1}})->Unit(benchmark::kMicrosecond);

void relayToken(benchmark::State &state)
{
    const std::string event = "id: 0\ndata: {\"id\":\"x\",\"object\":\"chat.completion.chunk\",\"created\":1764000000,"
                              "\"model\":\"deckhand-lm\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},"
                              "\"finish_reason\":null}]}\n\n";
    dispatch::SseParser parser;
    dispatch::TokenReassembler reassembly;
    reassembly.beginAttempt(1);
    for (auto _ : state) {
        parser.feed(event);
        auto parsed = parser.next();
        benchmark::DoNotOptimize(reassembly.accept(1, reassembly.nextOffset(), std::move(parsed->data)));
    }
}
BENCHMARK(relayToken);

void readBody(benchmark::State &state)
{
    const nlohmann::json body{{"model", "m"},
                              {"stream", true},
                              {"messages", {{{"role", "user"}, {"content", std::string(state.range(0) * 4, 'x')}}}}};
    const auto text = body.dump();
    for (auto _ : state) {
        benchmark::DoNotOptimize(admission::parseRequestBody(text));
    }
}
BENCHMARK(readBody)->Arg(1000)->Arg(10'000)->Arg(100'000)->Arg(1'000'000)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
