//----------------------------------------------------------------------------------------------------------------------
// spurlug: sends the requests of an experiment and checks every answer
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "corpus.h"
#include "engine_model.h"
#include "experiment.h"

#include "spurlug/core/address.h"
#include "spurlug/core/error.h"
#include "spurlug/core/hash.h"
#include "spurlug/core/program.h"
#include "spurlug/core/text.h"
#include "spurlug/core/worker_pool.h"
#include "spurlug/dispatch/sse.h"

#include <absl/base/thread_annotations.h>
#include <absl/strings/str_split.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <boost/program_options.hpp>
#include <fstream>
#include <httplib.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <numeric>

namespace bench
{

namespace
{

namespace options = boost::program_options;
namespace core = spurlug::core;

constexpr std::int64_t BytesPerToken = 4;
constexpr std::size_t SharedPrefixBytes = 4096;
constexpr std::size_t MaxInFlight = 2048;
constexpr int Ok = 200;

/// Result of one request.
struct Result
{
    std::int64_t tokens = 0;
    core::Duration ttft = absl::InfiniteDuration();
    core::Duration total;
    int status = 0;
    std::string requestId;
    std::string error; ///< Code of a typed error, or the failure of the connection; empty if none was seen.
    std::string outcome; ///< Outcome that the daemon reported with an error.
    std::string text;
    bool streamEnded = false; ///< The end of the stream was received.
    bool isComplete = false; ///< Every token was received exactly once and in order.
};

struct LengthBucket
{
    std::string_view name;
    std::int64_t minTokens;
};

constexpr std::array LengthBuckets{LengthBucket{"below 4k", 0}, LengthBucket{"4k-16k", 4'000},
                                   LengthBucket{"16k-100k", 16'000}, LengthBucket{"100k-1M", 100'000}};

std::string_view bucketName(std::int64_t tokens)
{
    std::string_view name;
    for (const auto &bucket : LengthBuckets) {
        if (tokens >= bucket.minTokens) {
            name = bucket.name;
        }
    }
    return name;
}

std::string expectedAnswer(const std::string &prompt, std::int64_t tokens)
{
    const auto seed = core::fastHash(prompt);
    std::string answer;
    for (std::int64_t offset = 0; offset < tokens; ++offset) {
        answer += standins::answerWord(seed, offset);
    }
    return answer;
}

void applyEvent(const spurlug::dispatch::SseEvent &event, Result &result, core::Time started)
{
    if (event.data == "[DONE]") {
        result.streamEnded = true;
        return;
    }
    const auto value = nlohmann::json::parse(event.data, nullptr, false);
    if (!value.is_object()) {
        return;
    }
    if (value.contains("error")) {
        result.error = value["error"].value("code", "");
        result.outcome = value["error"].value("outcome", "");
        return;
    }
    for (const auto &choice : value.value("choices", nlohmann::json::array())) {
        if (choice.contains("delta") && choice["delta"].contains("content")) {
            if (result.ttft == absl::InfiniteDuration()) {
                result.ttft = core::now() - started;
            }
            result.text += choice["delta"]["content"].get_ref<const std::string &>();
        }
    }
}

Result send(const core::Address &daemon, const Experiment &experiment, const PlannedRequest &planned,
            const Corpus &corpus)
{
    const auto bytes = static_cast<std::size_t>(planned.tokens * BytesPerToken);
    const auto prefix = planned.hasSharedPrefix ? corpus.sharedPrefix(planned.key, SharedPrefixBytes) : std::string();
    const auto prompt = corpus.prompt(bytes, planned.textSeed, prefix);
    const nlohmann::json body{{"model", experiment.model},
                              {"stream", true},
                              {"max_tokens", experiment.answerTokens},
                              {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    Result result;
    result.tokens = planned.tokens;
    spurlug::dispatch::SseParser parser;
    std::string errorBody;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = body.dump();
    request.headers = {{"Authorization", "Bearer " + planned.key}, {"Content-Type", "application/json"}};
    if (!planned.requestClass.empty()) {
        request.set_header("Spurlug-Class", planned.requestClass);
    }
    if (experiment.deadlineMs > 0) {
        request.set_header("Spurlug-Deadline-Ms", std::to_string(experiment.deadlineMs));
    }
    const auto started = core::now();
    request.response_handler = [&](const httplib::Response &response) {
        result.status = response.status;
        result.requestId = response.get_header_value("Request-Id");
        return true;
    };
    request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        if (result.status != Ok) {
            errorBody.append(data, size);
            return true;
        }
        parser.feed({data, size});
        while (const auto event = parser.next()) {
            applyEvent(*event, result, started);
        }
        return true;
    };
    httplib::Client client(daemon.host, daemon.port);
    constexpr int ReadTimeoutSeconds = 900;
    client.set_read_timeout(ReadTimeoutSeconds);
    client.set_tcp_nodelay(true);
    const auto sent = client.send(request);
    result.total = core::now() - started;
    if (result.status != Ok) {
        const auto value = nlohmann::json::parse(errorBody, nullptr, false);
        const auto error
            = value.is_object() ? value.value("error", nlohmann::json::object()) : nlohmann::json::object();
        result.error = error.value("code", sent ? "untyped" : httplib::to_string(sent.error()));
        result.outcome = error.value("outcome", "unknown");
    }
    result.isComplete = result.streamEnded && result.text == expectedAnswer(prompt, experiment.answerTokens);
    return result;
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    return values[index];
}

nlohmann::ordered_json bucketReport(const std::vector<Result> &results, std::string_view bucket)
{
    std::vector<double> ttft;
    std::int64_t sentCount = 0;
    std::int64_t completeCount = 0;
    for (const auto &result : results) {
        if (bucketName(result.tokens) != bucket) {
            continue;
        }
        ++sentCount;
        completeCount += result.isComplete ? 1 : 0;
        if (result.ttft != absl::InfiniteDuration()) {
            ttft.push_back(absl::ToDoubleMilliseconds(result.ttft));
        }
    }
    return {{"bucket", bucket},
            {"sent", sentCount},
            {"whole", completeCount},
            {"ttftMsP50", quantile(ttft, 0.5)},
            {"ttftMsP95", quantile(ttft, 0.95)},
            {"ttftMsP99", quantile(ttft, 0.99)}};
}

/// Returns whether the stream ended properly but has missing, duplicate or changed tokens.
bool isWrongAnswer(const Result &result)
{
    return result.streamEnded && !result.isComplete;
}

/// Returns whether the stream neither ended properly nor reported a typed error.
bool isCutWithoutError(const Result &result)
{
    return result.status == Ok && !result.streamEnded && result.error.empty();
}

nlohmann::ordered_json makeReport(const std::vector<Result> &results)
{
    nlohmann::ordered_json out;
    out["buckets"] = nlohmann::ordered_json::array();
    for (const auto &bucket : LengthBuckets) {
        out["buckets"].push_back(bucketReport(results, bucket.name));
    }
    std::map<std::string, int> errors;
    for (const auto &result : results) {
        if (!result.isComplete) {
            ++errors[core::cat(result.error.empty() ? "cut" : result.error, "/", result.outcome)];
        }
    }
    out["sent"] = results.size();
    out["whole"] = std::count_if(results.begin(), results.end(), [](const auto &result) { return result.isComplete; });
    out["wrong"] = std::count_if(results.begin(), results.end(), isWrongAnswer);
    out["cutSilently"] = std::count_if(results.begin(), results.end(), isCutWithoutError);
    out["errors"] = errors;
    const auto longest = std::max_element(
        results.begin(), results.end(), [](const auto &left, const auto &right) { return left.tokens < right.tokens; });
    out["longestRequestId"] = longest == results.end() ? "" : longest->requestId;
    return out;
}

void printReport(const nlohmann::ordered_json &out)
{
    std::printf("%-10s %6s %6s %12s %12s %12s\n", "prompt", "sent", "whole", "ttft p50 ms", "ttft p95 ms",
                "ttft p99 ms");
    for (const auto &bucket : out["buckets"]) {
        std::printf("%-10s %6ld %6ld %12.1f %12.1f %12.1f\n", bucket["bucket"].get<std::string>().c_str(),
                    bucket["sent"].get<long>(), bucket["whole"].get<long>(), bucket["ttftMsP50"].get<double>(),
                    bucket["ttftMsP95"].get<double>(), bucket["ttftMsP99"].get<double>());
    }
    std::printf("sent %ld, whole %ld, wrong %ld, cut silently %ld\n", out["sent"].get<long>(), out["whole"].get<long>(),
                out["wrong"].get<long>(), out["cutSilently"].get<long>());
    for (const auto &[error, count] : out["errors"].items()) {
        std::printf("  %s: %d\n", error.c_str(), count.get<int>());
    }
}

std::vector<Result> sendAll(const std::vector<core::Address> &daemons, const Experiment &experiment,
                            const Corpus &corpus)
{
    absl::Mutex mutex;
    std::vector<Result> results;
    core::WorkerPool pool(MaxInFlight, MaxInFlight);
    const auto requests = planRequests(experiment);
    const auto started = core::now();
    std::size_t next = 0;
    for (const auto &request : requests) {
        absl::SleepFor(request.sendOffset - (core::now() - started));
        const auto &daemon = daemons[next++ % daemons.size()];
        pool.submit([&, request] {
            auto result = send(daemon, experiment, request, corpus);
            absl::MutexLock lock(&mutex);
            results.push_back(std::move(result));
        });
    }
    pool.stop();
    return results;
}

int run(const options::variables_map &arguments)
{
    std::vector<core::Address> daemons;
    for (const auto &daemon : arguments["daemon"].as<std::vector<std::string>>()) {
        daemons.push_back(core::parseAddress(daemon));
    }
    auto experiment = loadExperiment(arguments["experiment"].as<std::string>());
    if (arguments.contains("seconds")) {
        experiment.durationSeconds = arguments["seconds"].as<double>();
    }
    experiment.promptTokenLimit = arguments["only-below"].as<std::int64_t>();
    const Corpus corpus(arguments["text"].as<std::vector<std::string>>());
    const auto out = makeReport(sendAll(daemons, experiment, corpus));
    printReport(out);
    if (arguments.contains("out")) {
        std::ofstream(arguments["out"].as<std::string>()) << out.dump(4) << "\n";
    }
    const bool allComplete = out["whole"] == out["sent"];
    const bool noWrongAnswers = out["wrong"] == 0 && out["cutSilently"] == 0;
    return (arguments.contains("require-whole") ? allComplete : noWrongAnswers) ? core::ExitOk : core::ExitFailure;
}

} // namespace

} // namespace bench

int main(int argc, char **argv)
{
    using namespace bench;
    options::options_description description("spurlug-load - sends the requests of an experiment, checks the answers");
    description.add_options()("help,h", "show this text")(
        "daemon", options::value<std::vector<std::string>>()->multitoken(),
        "caller addresses, HOST:PORT")("experiment", options::value<std::string>(), "experiment file (JSON)")(
        "text", options::value<std::vector<std::string>>()->multitoken(),
        "directories of the files that prompts are cut from")("seconds", options::value<double>(),
                                                              "overrides the experiment's duration")(
        "only-below", options::value<std::int64_t>()->default_value(0),
        "send only prompts of fewer tokens; 0: all")("out", options::value<std::string>(), "write the report as JSON")(
        "require-whole", "fail unless every request is answered completely");
    try {
        options::variables_map arguments;
        options::store(options::parse_command_line(argc, argv, description), arguments);
        if (arguments.contains("help") || !arguments.contains("daemon") || !arguments.contains("experiment")
            || !arguments.contains("text")) {
            std::cout << description << "\n";
            return arguments.contains("help") ? core::ExitOk : core::ExitUsage;
        }
        core::blockStopSignals();
        return run(arguments);
    } catch (const std::exception &error) {
        std::cerr << "spurlug-load: " << error.what() << "\n";
        return core::ExitUsage;
    }
}
