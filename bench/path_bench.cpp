//----------------------------------------------------------------------------------------------------------------------
// spurlug: latency that one daemon adds to requests, and the CPU time and memory that it uses
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "fleet.h"
#include "process_usage.h"

#include "spurlug/core/address.h"
#include "spurlug/core/program.h"
#include "spurlug/core/time.h"

#include <absl/time/clock.h>
#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <fstream>
#include <httplib.h>
#include <iostream>
#include <thread>

namespace bench
{

namespace
{

namespace options = boost::program_options;
namespace core = spurlug::core;
using support::Fleet;

constexpr int OpenStreamTokens = 2000; // At 15 tokens per second, streams last longer than any measurement.
constexpr std::int64_t OpenPromptTokens = 4000;
constexpr double ProbesPerSecond = 50;

double quantile(std::vector<double> values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

httplib::Request chatRequest(const std::string &model, const std::string &prompt, int tokens)
{
    const nlohmann::json body{{"model", model},
                              {"stream", true},
                              {"max_tokens", tokens},
                              {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = body.dump();
    request.set_header("Authorization", std::string("Bearer ") + Fleet::ApiKey);
    return request;
}

/// Opens streams and reads them until the object is destroyed.
class OpenStreams
{
public:
    OpenStreams(const std::string &address, int count)
    {
        const auto to = core::parseAddress(address);
        for (int i = 0; i < count; ++i) {
            m_threads.emplace_back([this, to, i] {
                httplib::Client client(to.host, to.port);
                client.set_read_timeout(60);
                auto request
                    = chatRequest("model", Fleet::makePrompt(OpenPromptTokens, std::to_string(i)), OpenStreamTokens);
                bool first = true;
                request.content_receiver = [&](const char *, std::size_t, std::uint64_t, std::uint64_t) {
                    m_streamingCount += std::exchange(first, false) ? 1 : 0;
                    return !m_stopping.load();
                };
                client.send(request);
            });
        }
    }
    ~OpenStreams()
    {
        m_stopping = true;
        for (auto &thread : m_threads) {
            thread.join();
        }
    }
    OpenStreams(const OpenStreams &) = delete;
    OpenStreams &operator=(const OpenStreams &) = delete;

    [[nodiscard]] int streamingCount() const
    {
        return m_streamingCount;
    }

private:
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_streamingCount{0};
    std::vector<std::thread> m_threads;
};

/// Sends a short request and returns the time to its first token in milliseconds.
double measureTtftMs(const std::string &address, const std::string &prompt, bool isDirect, int number)
{
    const auto to = core::parseAddress(address);
    httplib::Client client(to.host, to.port);
    client.set_tcp_nodelay(true);
    auto request = chatRequest("fast", prompt, 1);
    if (isDirect) {
        request.set_header("Event-Stream", "1");
        request.set_header("Request-Id", "probe-" + std::to_string(number));
    }
    double firstEventMs = 0;
    const auto started = core::now();
    request.content_receiver = [&](const char *, std::size_t, std::uint64_t, std::uint64_t) {
        if (firstEventMs == 0) {
            firstEventMs = absl::ToDoubleMilliseconds(core::now() - started);
        }
        return true;
    };
    client.send(request);
    return firstEventMs;
}

/// Alternates direct and relayed probes at a constant rate, so that both run under the same conditions of the machine.
nlohmann::ordered_json probeLatency(const std::string &daemon, const std::string &engine, double seconds)
{
    const auto prompt = Fleet::makePrompt(1000);
    std::vector<double> direct;
    std::vector<double> relayed;
    const auto started = core::now();
    const int count = static_cast<int>(seconds * ProbesPerSecond);
    for (int i = 0; i < count; ++i) {
        absl::SleepFor(absl::Seconds(i / ProbesPerSecond) - (core::now() - started));
        direct.push_back(measureTtftMs(engine, prompt, true, i));
        relayed.push_back(measureTtftMs(daemon, prompt, false, i));
    }
    return {{"directMsP50", quantile(direct, 0.5)},
            {"relayedMsP50", quantile(relayed, 0.5)},
            {"addedMsP50", quantile(relayed, 0.5) - quantile(direct, 0.5)},
            {"directMsP99", quantile(direct, 0.99)},
            {"relayedMsP99", quantile(relayed, 0.99)},
            {"addedMsP99", quantile(relayed, 0.99) - quantile(direct, 0.99)}};
}

nlohmann::ordered_json measure(Fleet &fleet, const std::string &fastEngine, int streams, double seconds)
{
    const auto &vm = fleet.daemons().front();
    const OpenStreams openStreams(fleet.callerAddress(vm), streams);
    if (!support::eventually([&] { return openStreams.streamingCount() == streams; })) {
        throw std::runtime_error("not all streams produced a first token in time");
    }
    const auto pid = fleet.process(vm).pid();
    const auto usageBefore = readProcessUsage(pid);
    const auto tokens = fleet.metric(vm, "tokens_relayed_total");
    const auto started = core::now();
    absl::SleepFor(absl::Seconds(seconds));
    const auto elapsedSeconds = absl::ToDoubleSeconds(core::now() - started);
    const auto rate = (fleet.metric(vm, "tokens_relayed_total") - tokens) / elapsedSeconds;
    const auto usageAfter = readProcessUsage(pid);
    const auto cpu = (usageAfter.cpuSeconds - usageBefore.cpuSeconds) / elapsedSeconds;
    nlohmann::ordered_json out{{"streams", streams},
                               {"tokensPerSecond", rate},
                               {"cpuPercent", cpu * 100},
                               {"cpuMicrosPerToken", cpu / rate * 1e6},
                               {"residentMb", usageAfter.residentBytes / (1 << 20)}};
    out.update(probeLatency(fleet.callerAddress(vm), fastEngine, seconds));
    return out;
}

nlohmann::ordered_json run(const std::vector<int> &streams, double timeScale, double seconds)
{
    support::FleetOptions shape;
    shape.daemonsPerDomain = 1;
    shape.enginesPerDomain = 4;
    shape.timeScale = timeScale;
    shape.extraDaemonSettings = {{"logLevel", "warning"}};
    Fleet fleet(shape);
    auto &fast = fleet.startProgram("fast", "standin-engine", {"--time-scale", "0.0001"});
    fleet.configuration()["pools"].push_back(
        {{"name", "fast"},
         {"model", "fast"},
         {"targets", {{{"id", "fast-1"}, {"address", fast.address("listen")}, {"failureDomain", "domain-a"}}}}});
    if (const auto [code, output] = fleet.applyConfiguration(); code != 0) {
        throw std::runtime_error(output);
    }
    auto results = nlohmann::ordered_json::array();
    for (const int count : streams) {
        results.push_back(measure(fleet, fast.address("listen"), count, seconds));
        std::cout << results.back().dump() << std::endl;
    }
    return results;
}

} // namespace

} // namespace bench

int main(int argc, char **argv)
{
    using namespace bench;
    options::options_description description("path-bench - added latency, CPU and memory of one daemon");
    description.add_options()("help,h", "show this text")("streams", options::value<std::vector<int>>()->multitoken(),
                                                          "numbers of open streams")(
        "time-scale", options::value<double>()->default_value(3.4),
        "time scale of the engines; 3.4 yields 15 tokens/s per stream")(
        "seconds", options::value<double>()->default_value(8),
        "duration of each measurement")("out", options::value<std::string>(), "write the results as JSON");
    try {
        options::variables_map arguments;
        options::store(options::parse_command_line(argc, argv, description), arguments);
        if (arguments.contains("help") || !arguments.contains("streams")) {
            std::cout << description << "\n";
            return arguments.contains("help") ? core::ExitOk : core::ExitUsage;
        }
        const auto results = run(arguments["streams"].as<std::vector<int>>(), arguments["time-scale"].as<double>(),
                                 arguments["seconds"].as<double>());
        if (arguments.contains("out")) {
            std::ofstream(arguments["out"].as<std::string>()) << results.dump(4) << "\n";
        }
        return core::ExitOk;
    } catch (const std::exception &error) {
        std::cerr << "path-bench: " << error.what() << "\n";
        return core::ExitFailure;
    }
}
