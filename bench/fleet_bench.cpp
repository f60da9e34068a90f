//----------------------------------------------------------------------------------------------------------------------
// spurlug: resources that daemons use for control traffic, with real daemons at several fleet sizes
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "fleet.h"
#include "process_usage.h"

#include "spurlug/core/program.h"
#include "spurlug/core/time.h"

#include <absl/time/clock.h>
#include <algorithm>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>

namespace bench
{

namespace
{

namespace options = boost::program_options;
namespace core = spurlug::core;
using support::Fleet;

constexpr double IpUdpHeaderBytes = 28; // IP and UDP headers of a datagram.
constexpr int ConfigurationChanges = 9;

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/// Counters and resource usage of a daemon at one time.
struct Sample
{
    ProcessUsage usage;
    double datagrams = 0;
    double datagramBytes = 0;
    double pollBytes = 0;
    double polls = 0;
};

Sample takeSample(Fleet &fleet, const std::string &vm)
{
    Sample current;
    current.usage = readProcessUsage(fleet.process(vm).pid());
    current.datagrams = fleet.metric(vm, "heartbeats_sent_total") + fleet.metric(vm, "heartbeats_received_total");
    current.datagramBytes
        = fleet.metric(vm, "heartbeat_bytes_sent_total") + fleet.metric(vm, "heartbeat_bytes_received_total");
    current.pollBytes = fleet.metric(vm, "load_poll_bytes_total");
    current.polls = fleet.metric(vm, "load_polls_total");
    return current;
}

nlohmann::json platformStats(Fleet &fleet)
{
    return support::call(fleet.process("platform").address("listen"), "GET", "/standin/stats").json();
}

/// Applies a change of the configuration and returns the time until it is active in every daemon, in milliseconds.
double measureApplyMs(Fleet &fleet, std::int64_t generation)
{
    fleet.configuration()["classes"][0]["priority"] = generation;
    const auto started = core::now();
    const auto [code, output] = fleet.applyConfiguration(false);
    if (code != 0) {
        throw std::runtime_error(output);
    }
    for (const auto &vm : fleet.daemons()) {
        while (fleet.metric(vm, "generation") < static_cast<double>(generation)) {
            absl::SleepFor(absl::Milliseconds(5));
        }
    }
    return absl::ToDoubleMilliseconds(core::now() - started);
}

nlohmann::ordered_json measure(int daemons, int engines, double seconds)
{
    support::FleetOptions shape;
    shape.daemonsPerDomain = daemons;
    shape.enginesPerDomain = engines;
    shape.extraDaemonSettings
        = {{"timing", {{"heartbeatMs", 1000}, {"peerTimeoutMs", 3500}, {"loadPollMs", 1000}}}, {"logLevel", "warning"}};
    Fleet fleet(shape);
    absl::SleepFor(absl::Seconds(3));
    std::vector<Sample> before;
    for (const auto &vm : fleet.daemons()) {
        before.push_back(takeSample(fleet, vm));
    }
    const auto platformBefore = platformStats(fleet);
    const auto started = core::now();
    absl::SleepFor(absl::Seconds(seconds));
    std::vector<double> cpu;
    std::vector<double> heartbeatBytes;
    std::vector<double> pollBytes;
    std::vector<double> resident;
    const auto elapsedSeconds = absl::ToDoubleSeconds(core::now() - started);
    const auto platformAfter = platformStats(fleet);
    for (std::size_t i = 0; i < before.size(); ++i) {
        const auto after = takeSample(fleet, fleet.daemons()[i]);
        const auto datagrams = after.datagrams - before[i].datagrams;
        cpu.push_back((after.usage.cpuSeconds - before[i].usage.cpuSeconds) / elapsedSeconds * 100);
        heartbeatBytes.push_back((after.datagramBytes - before[i].datagramBytes + datagrams * IpUdpHeaderBytes)
                                 / elapsedSeconds);
        pollBytes.push_back((after.pollBytes - before[i].pollBytes) / elapsedSeconds);
        resident.push_back(after.usage.residentBytes / (1 << 20));
    }
    std::vector<double> applyTimesMs;
    for (int change = 0; change < ConfigurationChanges; ++change) {
        applyTimesMs.push_back(measureApplyMs(fleet, change + 2));
    }
    const auto mean = [](const std::vector<double> &values) {
        double sum = 0;
        for (const auto value : values) {
            sum += value;
        }
        return sum / static_cast<double>(values.size());
    };
    return {{"daemons", daemons},
            {"engines", engines},
            {"cpuPercentMean", mean(cpu)},
            {"cpuPercentMax", *std::max_element(cpu.begin(), cpu.end())},
            {"heartbeatBytesPerSecondMean", mean(heartbeatBytes)},
            {"pollBytesPerSecondMean", mean(pollBytes)},
            {"pollBytesPerSecondMax", *std::max_element(pollBytes.begin(), pollBytes.end())},
            {"residentMbMean", mean(resident)},
            {"residentMbMax", *std::max_element(resident.begin(), resident.end())},
            {"platformReadsPerSecond",
             (platformAfter["reads"].get<double>() - platformBefore["reads"].get<double>()) / elapsedSeconds},
            {"applyMsMedian", median(applyTimesMs)},
            {"applyMsMax", *std::max_element(applyTimesMs.begin(), applyTimesMs.end())}};
}

} // namespace

} // namespace bench

int main(int argc, char **argv)
{
    using namespace bench;
    options::options_description description("fleet-bench - control costs of daemons in one failure domain");
    description.add_options()("help,h", "show this text")("daemons", options::value<std::vector<int>>()->multitoken(),
                                                          "numbers of daemons")(
        "engines", options::value<std::vector<int>>()->multitoken()->default_value({10}, "10"),
        "numbers of stand-in engines")("seconds", options::value<double>()->default_value(10),
                                       "duration of each measurement")("out", options::value<std::string>(),
                                                                       "write the results as JSON");
    try {
        options::variables_map arguments;
        options::store(options::parse_command_line(argc, argv, description), arguments);
        if (arguments.contains("help") || !arguments.contains("daemons")) {
            std::cout << description << "\n";
            return arguments.contains("help") ? core::ExitOk : core::ExitUsage;
        }
        auto results = nlohmann::ordered_json::array();
        for (const int daemons : arguments["daemons"].as<std::vector<int>>()) {
            for (const int engines : arguments["engines"].as<std::vector<int>>()) {
                results.push_back(measure(daemons, engines, arguments["seconds"].as<double>()));
                std::cout << results.back().dump() << std::endl;
            }
        }
        if (arguments.contains("out")) {
            std::ofstream(arguments["out"].as<std::string>()) << results.dump(4) << "\n";
        }
        return core::ExitOk;
    } catch (const std::exception &error) {
        std::cerr << "fleet-bench: " << error.what() << "\n";
        return core::ExitFailure;
    }
}
