//----------------------------------------------------------------------------------------------------------------------
// spurlug: small fleet of real processes for tests
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "fleet.h"

#include "engine_model.h"

#include "spurlug/config/configuration.h"
#include "spurlug/core/address.h"
#include "spurlug/core/hash.h"
#include "spurlug/dispatch/sse.h"

#include <chrono>
#include <fstream>
#include <httplib.h>
#include <stdexcept>
#include <thread>

namespace support
{

namespace core = spurlug::core;

namespace
{

constexpr auto ConditionTimeout = std::chrono::seconds(30);
constexpr auto PollInterval = std::chrono::milliseconds(20);
constexpr int CallTimeoutSeconds = 60;

} // namespace

nlohmann::json Answer::json() const
{
    return nlohmann::json::parse(body, nullptr, false);
}

std::string Answer::errorCode() const
{
    const auto document = json();
    if (document.is_object()) {
        return document.value("error", nlohmann::json::object()).value("code", "");
    }
    spurlug::dispatch::SseParser parser;
    parser.feed(body);
    while (const auto event = parser.next()) {
        const auto value = nlohmann::json::parse(event->data, nullptr, false);
        if (value.is_object() && value.contains("error")) {
            return value["error"].value("code", "");
        }
    }
    return {};
}

std::string Answer::outcome() const
{
    const auto header = headers.find("Spurlug-Outcome");
    if (header != headers.end()) {
        return header->second;
    }
    spurlug::dispatch::SseParser parser;
    parser.feed(body);
    while (const auto event = parser.next()) {
        const auto value = nlohmann::json::parse(event->data, nullptr, false);
        if (value.is_object() && value.contains("error")) {
            return value["error"].value("outcome", "");
        }
    }
    return body.find(": spurlug-outcome completed") != std::string::npos ? "completed" : "";
}

std::string Answer::text() const
{
    const auto document = json();
    if (document.is_object() && document.contains("choices")) {
        return document["choices"][0]["message"].value("content", "");
    }
    std::string text;
    spurlug::dispatch::SseParser parser;
    parser.feed(body);
    while (const auto event = parser.next()) {
        const auto value = nlohmann::json::parse(event->data, nullptr, false);
        if (value.is_object() && value.contains("choices") && !value["choices"].empty()) {
            text += value["choices"][0].value("delta", nlohmann::json::object()).value("content", "");
        }
    }
    return text;
}

bool Answer::streamEnded() const
{
    return body.find("data: [DONE]") != std::string::npos;
}

Answer call(const std::string &address, const std::string &method, const std::string &path, const std::string &body,
            const std::map<std::string, std::string> &headers)
{
    const auto parsedAddress = core::parseAddress(address);
    httplib::Client client(parsedAddress.host, parsedAddress.port);
    client.set_read_timeout(CallTimeoutSeconds);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    for (const auto &[name, value] : headers) {
        request.set_header(name.c_str(), value);
    }
    Answer answer;
    request.response_handler = [&](const httplib::Response &response) {
        answer.status = response.status;
        for (const auto &[name, value] : response.headers) {
            answer.headers[name] = value;
        }
        return true;
    };
    request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        answer.body.append(data, size);
        return true;
    };
    answer.isIncomplete = !client.send(request);
    return answer;
}

bool eventually(const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + ConditionTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return false;
}

Fleet::Fleet(const FleetOptions &options)
    : m_options(options)
{
    startProgram("platform", "standin-platform", {});
    m_daemonPlatformAddress = proxiedAddress("platform", options.proxyPlatform);
    startProgram("service", "standin-service", {});
    auto targets = nlohmann::json::array();
    for (const auto &domain : options.domains) {
        for (int i = 1; i <= options.enginesPerDomain; ++i) {
            const auto name = domain + "-engine-" + std::to_string(i);
            startEngine(name, "127.0.0.1:0");
            m_engines.push_back(name);
            targets.push_back(
                {{"id", name}, {"address", proxiedAddress(name, options.proxyEngines)}, {"failureDomain", domain}});
        }
    }
    const std::string salt = "tester";
    m_configuration
        = {{"pools",
            {{{"name", "pool"},
              {"model", "model"},
              {"longThresholdTokens", options.longThresholdTokens},
              {"engineTokens", options.engineTokens},
              {"targets", targets}}}},
           {"services",
            {{{"name", "service"},
              {"repeatableMethods", {"GET"}},
              {"targets",
               {{{"id", "service-1"},
                 {"address", proxiedAddress("service", options.proxyService)},
                 {"failureDomain", options.domains.front()}}}}}}},
           {"organisations",
            {{{"name", "tester"}, {"keys", {{{"salt", salt}, {"digest", spurlug::config::keyDigest(salt, ApiKey)}}}}}}},
           {"classes", {{{"name", "quick"}, {"defaultDeadlineMs", 30000}, {"maxDeadlineMs", 60000}}}}};
    for (const auto &domain : options.domains) {
        for (int i = 1; i <= options.daemonsPerDomain; ++i) {
            startDaemon(domain + "-" + std::to_string(i), domain);
        }
    }
    const auto [code, output] = applyConfiguration(false);
    if (code != 0) {
        throw std::runtime_error("the initial configuration was rejected: " + output);
    }
    for (const auto &vm : m_daemons) {
        const bool ready = eventually([&] {
            const auto currentStatus = status(vm);
            bool targetsKnown = true;
            for (const auto &target : currentStatus["targets"]) {
                const bool local = target["failureDomain"] == currentStatus["failureDomain"];
                targetsKnown = targetsKnown && (!local || target["condition"] == "serving");
            }
            return currentStatus["state"] == "serving" && targetsKnown
                && currentStatus["peers"].size() + 1 >= static_cast<std::size_t>(options.daemonsPerDomain);
        });
        if (!ready) {
            throw std::runtime_error(vm + " is not ready; its status is: " + status(vm).dump());
        }
    }
}

Fleet::~Fleet() = default;

Process &Fleet::startEngine(const std::string &name, const std::string &listen)
{
    return startProgram(name, "standin-engine",
                        {"--time-scale", std::to_string(m_options.timeScale), "--report-lag-ms", "50", "--kv-tokens",
                         std::to_string(m_options.engineTokens), "--listen", listen});
}

void Fleet::restartEngine(const std::string &engine)
{
    startEngine(engine, process(engine).address("listen"));
}

std::string Fleet::proxiedAddress(const std::string &name, bool useProxy)
{
    const auto target = process(name).address("listen");
    return useProxy ? startProgram(name + "-proxy", "fault-proxy", {"--target", target}).address("tcp") : target;
}

std::string Fleet::writeSettings(const std::string &vm, const std::string &domain, const nlohmann::json &extras)
{
    nlohmann::json settings{
        {"vm", vm},
        {"failureDomain", domain},
        {"region", "region"},
        {"callerAddress", "127.0.0.1:0"},
        {"adminAddress", "127.0.0.1:0"},
        {"peerAddress", "127.0.0.1:0"},
        {"rpcAddress", "127.0.0.1:0"},
        {"platform", {m_daemonPlatformAddress}},
        {"peerKey", "test"},
        {"timing", {{"heartbeatMs", 200}, {"peerTimeoutMs", 1000}, {"loadPollMs", 100}, {"startSpreadMs", 100}}}};
    if (domain == m_options.domainWithoutPlatform) {
        settings["platform"] = {"127.0.0.1:1"};
    }
    settings.merge_patch(m_options.extraDaemonSettings);
    settings.merge_patch(extras);
    const auto path = m_directory.file(vm + ".json");
    std::ofstream(path) << settings.dump();
    return path;
}

Process &Fleet::startDaemon(const std::string &vm, const std::string &domain)
{
    auto extras = nlohmann::json::object();
    if (domain == m_options.domainWithoutPlatform) {
        extras["seeds"] = nlohmann::json::array();
        for (const auto &other : m_daemons) {
            if (other.starts_with(domain)) {
                extras["seeds"].push_back(process(other).address("peers"));
            }
        }
    }
    auto &daemon = startProgram(vm, "spurlugd", {"--settings", writeSettings(vm, domain, extras)});
    if (std::find(m_daemons.begin(), m_daemons.end(), vm) == m_daemons.end()) {
        m_daemons.push_back(vm);
    }
    const nlohmann::json entry{{"failureDomain", domain}, {"peerAddress", daemon.address("peers")}};
    const auto answer = call(process("platform").address("listen"), "PUT", "/standin/vms/" + vm, entry.dump());
    if (answer.status != 200) {
        throw std::runtime_error("the platform rejected the VM list entry of " + vm);
    }
    return daemon;
}

Process &Fleet::startProgram(const std::string &name, const std::string &program,
                             const std::vector<std::string> &arguments)
{
    m_processes[name] = nullptr;
    m_processes[name] = std::make_unique<Process>(m_directory, name, program, arguments);
    return *m_processes[name];
}

nlohmann::json &Fleet::configuration()
{
    return m_configuration;
}

std::pair<int, std::string> Fleet::applyConfiguration(bool wait)
{
    const auto path = m_directory.file("configuration.json");
    std::ofstream(path) << m_configuration.dump();
    std::vector<std::string> arguments{"apply", path, "--platform", process("platform").address("listen")};
    if (wait) {
        arguments.insert(arguments.end(), {"--wait", "--daemon", adminAddress(m_daemons.front())});
    }
    return runProgram("spurlugctl", arguments);
}

Process &Fleet::process(const std::string &name)
{
    return *m_processes.at(name);
}

const std::vector<std::string> &Fleet::daemons() const
{
    return m_daemons;
}

const std::vector<std::string> &Fleet::engines() const
{
    return m_engines;
}

std::string Fleet::callerAddress(const std::string &vm)
{
    return process(vm).address("callers");
}

std::string Fleet::adminAddress(const std::string &vm)
{
    return process(vm).address("admin");
}

nlohmann::json Fleet::status(const std::string &vm)
{
    return call(adminAddress(vm), "GET", "/status").json();
}

nlohmann::json Fleet::engineState(const std::string &engine)
{
    return call(process(engine).address("listen"), "GET", "/state").json();
}

double Fleet::metric(const std::string &vm, const std::string &name)
{
    const auto text = call(adminAddress(vm), "GET", "/metrics").body;
    const auto line = text.find("\nspurlug_" + name + " ");
    if (line == std::string::npos) {
        throw std::runtime_error("the daemon does not report the metric " + name);
    }
    return std::stod(text.substr(line + std::string("\nspurlug_ ").size() + name.size()));
}

void Fleet::setFaults(const std::string &proxiedProgram, const nlohmann::json &faults)
{
    const auto answer = call(process(proxiedProgram + "-proxy").address("admin"), "POST", "/faults", faults.dump());
    if (answer.status != 200) {
        throw std::runtime_error("the fault proxy of " + proxiedProgram + " rejected the faults");
    }
}

void Fleet::setPlatformFaults(const nlohmann::json &faults)
{
    const auto answer = call(process("platform").address("listen"), "POST", "/standin/faults", faults.dump());
    if (answer.status != 200) {
        throw std::runtime_error("the stand-in platform rejected the faults");
    }
}

Answer Fleet::complete(const std::string &vm, const std::string &prompt, int answerTokens, bool stream,
                       const std::map<std::string, std::string> &headers)
{
    const nlohmann::json body{{"model", "model"},
                              {"stream", stream},
                              {"max_tokens", answerTokens},
                              {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    auto allHeaders = headers;
    allHeaders.emplace("Authorization", std::string("Bearer ") + ApiKey);
    return call(callerAddress(vm), "POST", "/v1/chat/completions", body.dump(), allHeaders);
}

std::string Fleet::expectedAnswer(const std::string &prompt, int answerTokens)
{
    const auto seed = core::fastHash(prompt);
    std::string text;
    for (int offset = 0; offset < answerTokens; ++offset) {
        text += standins::answerWord(seed, offset);
    }
    return text;
}

std::string Fleet::makePrompt(std::int64_t tokens, const std::string &seed)
{
    std::string prompt = seed + " ";
    const std::string sentence = "the deck manifest lists every vehicle and its place. ";
    while (static_cast<std::int64_t>(prompt.size()) < tokens * 4) {
        prompt += sentence;
    }
    prompt.resize(static_cast<std::size_t>(tokens * 4));
    return prompt;
}

} // namespace support
