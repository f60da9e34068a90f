//----------------------------------------------------------------------------------------------------------------------
// spurlug: mixed load under random failures, with a check of every answer
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "fleet.h"

#include "spurlug/core/program.h"
#include "spurlug/core/time.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <atomic>
#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <random>
#include <thread>

namespace bench
{

namespace
{

namespace options = boost::program_options;
namespace core = spurlug::core;
using support::Answer;
using support::Fleet;

constexpr std::int64_t EngineTokens = 20'000;
constexpr std::int64_t LongThreshold = 8'000;
constexpr std::int64_t DeadlineMs = 20'000;
constexpr auto DeadlineSlack = absl::Seconds(2);

/// Results of the callers' requests, summed up.
struct RequestStatistics
{
    std::map<std::string, std::int64_t> resultCounts; ///< Number of requests by kind and result.
    std::int64_t wrongAnswers = 0; ///< Complete answers whose text is not the expected one.
    std::int64_t brokenWithoutError
        = 0; ///< Answers that broke off without an error code, at a daemon that was never killed.
    /// Requests that ended later than DeadlineSlack after their deadline, at a daemon that was never frozen.
    std::int64_t deadlineOverruns = 0;
    /// Reported outcome of each POST request, which must not run twice, by `Work-Id`.
    std::map<std::string, std::string> reportedOutcomes;
};

/// Daemons by VM name, with their current addresses and the number of failures injected into each.
class Daemons
{
public:
    struct Entry
    {
        std::string vm;
        std::string address;
        int killCount = 0;
        int freezeCount = 0;
    };

    void set(const std::string &vm, const std::string &address)
    {
        absl::MutexLock lock(&m_mutex);
        m_entries[vm].vm = vm;
        m_entries[vm].address = address;
    }
    void noteKill(const std::string &vm)
    {
        absl::MutexLock lock(&m_mutex);
        ++m_entries[vm].killCount;
    }
    void noteFreeze(const std::string &vm)
    {
        absl::MutexLock lock(&m_mutex);
        ++m_entries[vm].freezeCount;
    }
    [[nodiscard]] Entry get(const std::string &vm) const
    {
        absl::MutexLock lock(&m_mutex);
        return m_entries.at(vm);
    }
    [[nodiscard]] Entry choose(std::uint64_t randomValue) const
    {
        absl::MutexLock lock(&m_mutex);
        return std::next(m_entries.begin(), static_cast<std::ptrdiff_t>(randomValue % m_entries.size()))->second;
    }

private:
    mutable absl::Mutex m_mutex;
    std::map<std::string, Entry> m_entries ABSL_GUARDED_BY(m_mutex);
};

/// Sends requests in a thread of its own until `stop` is set.
class Caller
{
public:
    Caller(const Daemons &daemons, std::uint64_t seed, const std::atomic<bool> &stop)
        : m_daemons(daemons)
        , m_random(seed)
        , m_name("c" + std::to_string(seed))
        , m_thread([this, &stop] {
            while (!stop) {
                sendRequest();
            }
        })
    { }

    const RequestStatistics &join()
    {
        m_thread.join();
        return m_statistics;
    }

private:
    void sendRequest()
    {
        const auto daemon = m_daemons.choose(m_random());
        const auto kindPercent = m_random() % 100;
        if (kindPercent < 55) {
            sendCompletion(daemon, 500 + static_cast<std::int64_t>(m_random() % 3000), "short");
        } else if (kindPercent < 65) {
            sendCompletion(daemon, LongThreshold + static_cast<std::int64_t>(m_random() % 35'000), "long");
        } else if (kindPercent < 80) {
            callService(daemon, "GET");
        } else {
            callService(daemon, "POST");
        }
    }

    void sendCompletion(const Daemons::Entry &daemon, std::int64_t tokens, const std::string &kind)
    {
        const auto prompt = Fleet::makePrompt(tokens, m_name + "-" + std::to_string(m_requestNumber++));
        const int answerTokens = 10 + static_cast<int>(m_random() % 100);
        const nlohmann::json body{{"model", "model"},
                                  {"stream", true},
                                  {"max_tokens", answerTokens},
                                  {"messages", {{{"role", "user"}, {"content", prompt}}}}};
        const auto started = core::now();
        const auto answer = support::call(daemon.address, "POST", "/v1/chat/completions", body.dump(), headers());
        const auto end = recordResult(daemon, kind, answer, core::now() - started, answer.streamEnded());
        if (end == "completed" && answer.text() != Fleet::expectedAnswer(prompt, answerTokens)) {
            ++m_statistics.wrongAnswers;
            std::cerr << "wrong answer: " << tokens << " tokens at " << daemon.vm << "\n";
        }
    }

    void callService(const Daemons::Entry &daemon, const std::string &method)
    {
        const auto workId = m_name + "-" + std::to_string(m_requestNumber++);
        auto requestHeaders = headers();
        requestHeaders["Work-Id"] = workId;
        if (method == "POST" && m_random() % 2 == 0) {
            requestHeaders["Idempotency-Key"] = workId;
        }
        const auto started = core::now();
        const auto answer = support::call(daemon.address, method, "/services/service/work", "", requestHeaders);
        const auto end = recordResult(daemon, method, answer, core::now() - started, answer.status == 200);
        if (method == "POST") {
            m_statistics.reportedOutcomes[workId] = answer.status == 0 ? "nothing" : answer.outcome();
        }
    }

    static std::map<std::string, std::string> headers()
    {
        return {{"Authorization", std::string("Bearer ") + Fleet::ApiKey},
                {"Spurlug-Deadline-Ms", std::to_string(DeadlineMs)}};
    }

    std::string recordResult(const Daemons::Entry &before, const std::string &kind, const Answer &answer,
                             core::Duration duration, bool ended)
    {
        const auto after = m_daemons.get(before.vm);
        const auto code = answer.errorCode();
        const std::string end = ended ? "completed" : code.empty() ? "broken" : code + "/" + answer.outcome();
        ++m_statistics.resultCounts[kind + " " + end];
        if (end == "broken" && after.killCount == 0) {
            ++m_statistics.brokenWithoutError;
            std::cerr << kind << " broken off without an error at " << before.vm << ", status " << answer.status
                      << "\n";
        }
        if (duration > core::fromMs(DeadlineMs) + DeadlineSlack && after.freezeCount == 0) {
            ++m_statistics.deadlineOverruns;
            std::cerr << kind << " took " << core::toMs(duration) << " ms at " << before.vm << "\n";
        }
        if (end == "broken") {
            absl::SleepFor(absl::Milliseconds(50));
        }
        return end;
    }

    const Daemons &m_daemons;
    std::mt19937_64 m_random;
    std::string m_name;
    int m_requestNumber = 0;
    RequestStatistics m_statistics;
    std::thread m_thread;
};

/// Injects failures and repairs them, one or two at a time.
class FaultInjector
{
public:
    FaultInjector(Fleet &fleet, Daemons &daemons, std::uint64_t seed)
        : m_fleet(fleet)
        , m_daemons(daemons)
        , m_random(seed)
    { }

    /// Injects one or two failures, repairs them after 0.5 to 4 s and waits for another 0.5 to 2 s.
    void runRound()
    {
        std::vector<std::function<void()>> repairActions;
        const int count = m_random() % 3 == 0 ? 2 : 1;
        for (int i = 0; i < count; ++i) {
            repairActions.push_back(injectFault());
        }
        absl::SleepFor(absl::Milliseconds(500 + m_random() % 3500));
        for (const auto &repair : repairActions) {
            repair();
        }
        absl::SleepFor(absl::Milliseconds(500 + m_random() % 1500));
    }

    [[nodiscard]] const std::map<std::string, int> &faultCounts() const
    {
        return m_faultCounts;
    }

private:
    using RepairAction = std::function<void()>;

    RepairAction injectFault()
    {
        const auto engine = m_fleet.engines()[m_random() % m_fleet.engines().size()];
        // In each domain only the second daemon is killed and only the third one is frozen. The checks that a kill or a
        // freeze switches off for a daemon thus stay on for the others, and the first daemon undergoes all of them.
        const std::string domain = m_random() % 2 == 0 ? "domain-a" : "domain-b";
        switch (m_random() % 7) {
        case 0:
            ++m_faultCounts["engine killed"];
            m_fleet.process(engine).kill();
            return [this, engine] { m_fleet.restartEngine(engine); };
        case 1:
            ++m_faultCounts["engine frozen"];
            m_fleet.process(engine).signal(SIGSTOP);
            return [this, engine] { m_fleet.process(engine).signal(SIGCONT); };
        case 2:
            return injectEngineFault(engine, "stalled", {{"stallAfter", 2000}});
        case 3:
            return injectEngineFault(engine, "cut off", {{"refuse", true}});
        case 4:
            return killDaemon(domain);
        case 5:
            return freezeDaemon(domain);
        default:
            return m_random() % 2 == 0 ? injectServiceFault() : injectPlatformOutage();
        }
    }

    RepairAction injectEngineFault(const std::string &engine, const std::string &name, const nlohmann::json &faults)
    {
        ++m_faultCounts["engine " + name];
        m_fleet.setFaults(engine, faults);
        return [this, engine] { m_fleet.setFaults(engine, nlohmann::json::object()); };
    }

    RepairAction injectServiceFault()
    {
        ++m_faultCounts["service answers lost"];
        m_fleet.setFaults("service", {{"loseAnswer", true}});
        return [this] { m_fleet.setFaults("service", nlohmann::json::object()); };
    }

    RepairAction injectPlatformOutage()
    {
        ++m_faultCounts["platform down"];
        m_fleet.setPlatformFaults({{"down", true}});
        return [this] { m_fleet.setPlatformFaults({{"down", false}}); };
    }

    RepairAction killDaemon(const std::string &domain)
    {
        const auto vm = domain + "-2";
        if (!m_failedDaemons.insert(vm).second) {
            return [] {};
        }
        ++m_faultCounts["daemon killed"];
        m_daemons.noteKill(vm);
        m_fleet.process(vm).kill();
        return [this, vm, domain] {
            m_daemons.set(vm, m_fleet.startDaemon(vm, domain).address("callers"));
            m_failedDaemons.erase(vm);
        };
    }

    RepairAction freezeDaemon(const std::string &domain)
    {
        const auto vm = domain + "-3";
        if (!m_failedDaemons.insert(vm).second) {
            return [] {};
        }
        ++m_faultCounts["daemon frozen"];
        m_daemons.noteFreeze(vm);
        m_fleet.process(vm).signal(SIGSTOP);
        return [this, vm] {
            m_fleet.process(vm).signal(SIGCONT);
            m_failedDaemons.erase(vm);
        };
    }

    Fleet &m_fleet;
    Daemons &m_daemons;
    std::mt19937_64 m_random;
    std::set<std::string> m_failedDaemons;
    std::map<std::string, int> m_faultCounts;
};

bool allResourcesReleased(Fleet &fleet)
{
    for (const auto &engine : fleet.engines()) {
        const auto state = fleet.engineState(engine);
        if (state["freeTokens"] != state["kvTokens"] || state["reservations"] != 0 || state["streams"] != 0) {
            return false;
        }
    }
    for (const auto &vm : fleet.daemons()) {
        if (fleet.metric(vm, "groups_held") != 0 || fleet.metric(vm, "body_bytes") != 0
            || fleet.metric(vm, "requests_in_progress") != 0) {
            return false;
        }
    }
    return true;
}

/// Compares the outcomes reported to callers with the runs that the service counted.
nlohmann::ordered_json compareRuns(Fleet &fleet, const std::map<std::string, std::string> &reportedOutcomes)
{
    const auto runs = support::call(fleet.process("service").address("listen"), "GET", "/standin/runs").json();
    std::int64_t duplicateRuns = 0;
    std::int64_t falseNotRun = 0;
    std::int64_t falseCompleted = 0;
    for (const auto &[workId, outcome] : reportedOutcomes) {
        const int count = runs.value(workId, 0);
        duplicateRuns += count > 1 ? 1 : 0;
        falseNotRun += outcome == "not_run" && count > 0 ? 1 : 0;
        falseCompleted += outcome == "completed" && count != 1 ? 1 : 0;
    }
    return {{"marked", reportedOutcomes.size()},
            {"doubled", duplicateRuns},
            {"falseNotRun", falseNotRun},
            {"falseCompleted", falseCompleted}};
}

nlohmann::ordered_json run(double seconds, int callers, std::uint64_t seed)
{
    support::FleetOptions shape;
    shape.domains = {"domain-a", "domain-b"};
    shape.daemonsPerDomain = 3;
    shape.enginesPerDomain = 3;
    shape.engineTokens = EngineTokens;
    shape.longThresholdTokens = LongThreshold;
    shape.proxyEngines = true;
    shape.proxyService = true;
    shape.extraDaemonSettings = {{"logLevel", "warning"}};
    Fleet fleet(shape);
    Daemons daemons;
    for (const auto &vm : fleet.daemons()) {
        daemons.set(vm, fleet.callerAddress(vm));
    }
    std::atomic<bool> stop{false};
    std::vector<std::unique_ptr<Caller>> callerThreads;
    for (int i = 0; i < callers; ++i) {
        callerThreads.push_back(std::make_unique<Caller>(daemons, seed * 1000 + static_cast<std::uint64_t>(i), stop));
    }
    FaultInjector faultInjector(fleet, daemons, seed);
    const auto endTime = core::now() + absl::Seconds(seconds);
    while (core::now() < endTime) {
        faultInjector.runRound();
    }
    stop = true;
    RequestStatistics statistics;
    for (const auto &caller : callerThreads) {
        const auto &callerStatistics = caller->join();
        for (const auto &[end, count] : callerStatistics.resultCounts) {
            statistics.resultCounts[end] += count;
        }
        statistics.wrongAnswers += callerStatistics.wrongAnswers;
        statistics.brokenWithoutError += callerStatistics.brokenWithoutError;
        statistics.deadlineOverruns += callerStatistics.deadlineOverruns;
        statistics.reportedOutcomes.insert(callerStatistics.reportedOutcomes.begin(),
                                           callerStatistics.reportedOutcomes.end());
    }
    nlohmann::ordered_json out{{"seconds", seconds},
                               {"seed", seed},
                               {"failures", faultInjector.faultCounts()},
                               {"ends", statistics.resultCounts}};
    out["wrong"] = statistics.wrongAnswers;
    out["cutSilently"] = statistics.brokenWithoutError;
    out["pastDeadline"] = statistics.deadlineOverruns;
    out.update(compareRuns(fleet, statistics.reportedOutcomes));
    out["allGivenBack"] = support::eventually([&] { return allResourcesReleased(fleet); });
    return out;
}

bool passes(const nlohmann::ordered_json &out)
{
    return out["wrong"] == 0 && out["cutSilently"] == 0 && out["pastDeadline"] == 0 && out["doubled"] == 0
        && out["falseNotRun"] == 0 && out["falseCompleted"] == 0 && out["allGivenBack"] == true;
}

} // namespace

} // namespace bench

int main(int argc, char **argv)
{
    using namespace bench;
    options::options_description description("soak - mixed load under random failures");
    description.add_options()("help,h", "show this text")("seconds", options::value<double>()->default_value(180),
                                                          "length")("callers", options::value<int>()->default_value(24),
                                                                    "number of concurrent callers")(
        "seed", options::value<std::uint64_t>()->default_value(1),
        "seed of the requests and failures")("out", options::value<std::string>(), "write the result as JSON");
    try {
        options::variables_map arguments;
        options::store(options::parse_command_line(argc, argv, description), arguments);
        if (arguments.contains("help")) {
            std::cout << description << "\n";
            return core::ExitOk;
        }
        const auto out = run(arguments["seconds"].as<double>(), arguments["callers"].as<int>(),
                             arguments["seed"].as<std::uint64_t>());
        std::cout << out.dump(4) << std::endl;
        if (arguments.contains("out")) {
            std::ofstream(arguments["out"].as<std::string>()) << out.dump(4) << "\n";
        }
        return passes(out) ? core::ExitOk : core::ExitFailure;
    } catch (const std::exception &error) {
        std::cerr << "soak: " << error.what() << "\n";
        return core::ExitUsage;
    }
}
