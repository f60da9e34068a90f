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
    const auto whole = json();
    if (whole.is_object()) {
        return whole.value("error", nlohmann::json::object()).value("code", "");
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
    const auto whole = json();
    if (whole.is_object() && whole.contains("choices")) {
        return whole["choices"][0]["message"].value("content", "");
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
    const auto to = core::parseAddress(address);
    httplib::Client client(to.host, to.port);
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
    answer.cut = !client.send(request);
    return answer;
}

bool eventually(const std::function<bool()> &condition)
{
    const auto until = std::chrono::steady_clock::now() + ConditionTimeout;
    while (std::chrono::steady_clock::now() < until) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return false;
}

Fleet::Fleet(const FleetShape &shape)
    : m_shape(shape)
{
    start("platform", "standin-platform", {});
    m_platformForDaemons = behindProxy("platform", shape.proxyPlatform);
    start("service", "standin-service", {});
    auto targets = nlohmann::json::array();
    for (const auto &domain : shape.domains) {
        for (int i = 1; i <= shape.enginesEach; ++i) {
            const auto name = domain + "-engine-" + std::to_string(i);
            startEngine(name, "127.0.0.1:0");
            m_engines.push_back(name);
            targets.push_back(
                {{"id", name}, {"address", behindProxy(name, shape.proxyEngines)}, {"failureDomain", domain}});
        }
    }
    const std::string salt = "tester";
    m_configuration
        = {{"pools",
            {{{"name", "pool"},
              {"model", "model"},
              {"longThresholdTokens", shape.longThresholdTokens},
              {"engineTokens", shape.engineTokens},
              {"targets", targets}}}},
           {"services",
            {{{"name", "service"},
              {"repeatableMethods", {"GET"}},
              {"targets",
               {{{"id", "service-1"},
                 {"address", behindProxy("service", shape.proxyService)},
                 {"failureDomain", shape.domains.front()}}}}}}},
           {"organisations",
            {{{"name", "tester"}, {"keys", {{{"salt", salt}, {"digest", spurlug::config::keyDigest(salt, Key)}}}}}}},
           {"classes", {{{"name", "quick"}, {"defaultDeadlineMs", 30000}, {"maxDeadlineMs", 60000}}}}};
    for (const auto &domain : shape.domains) {
        for (int i = 1; i <= shape.daemonsEach; ++i) {
            startDaemon(domain + "-" + std::to_string(i), domain);
        }
    }
    const auto [code, output] = apply(false);
    if (code != 0) {
        throw std::runtime_error("the initial configuration was rejected: " + output);
    }
    for (const auto &vm : m_daemons) {
        const bool ready = eventually([&] {
            const auto now = status(vm);
            bool targetsKnown = true;
            for (const auto &target : now["targets"]) {
                const bool local = target["failureDomain"] == now["failureDomain"];
                targetsKnown = targetsKnown && (!local || target["condition"] == "serving");
            }
            return now["state"] == "serving" && targetsKnown
                && now["peers"].size() + 1 >= static_cast<std::size_t>(shape.daemonsEach);
        });
        if (!ready) {
            throw std::runtime_error(vm + " is not ready; its status is: " + status(vm).dump());
        }
    }
}

Fleet::~Fleet() = default;

Process &Fleet::startEngine(const std::string &name, const std::string &listen)
{
    return start(name, "standin-engine",
                 {"--time-scale", std::to_string(m_shape.timeScale), "--report-lag-ms", "50", "--kv-tokens",
                  std::to_string(m_shape.engineTokens), "--listen", listen});
}

void Fleet::restartEngine(const std::string &engine)
{
    startEngine(engine, process(engine).address("listen"));
}

std::string Fleet::behindProxy(const std::string &name, bool proxied)
{
    const auto target = process(name).address("listen");
    return proxied ? start(name + "-proxy", "fault-proxy", {"--target", target}).address("tcp") : target;
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
        {"platform", {m_platformForDaemons}},
        {"peerKey", "test"},
        {"timing", {{"heartbeatMs", 200}, {"peerTimeoutMs", 1000}, {"loadPollMs", 100}, {"startSpreadMs", 100}}}};
    if (domain == m_shape.platformlessDomain) {
        settings["platform"] = {"127.0.0.1:1"};
    }
    settings.merge_patch(m_shape.daemonExtras);
    settings.merge_patch(extras);
    const auto path = m_directory.file(vm + ".json");
    std::ofstream(path) << settings.dump();
    return path;
}

Process &Fleet::startDaemon(const std::string &vm, const std::string &domain)
{
    auto extras = nlohmann::json::object();
    if (domain == m_shape.platformlessDomain) {
        extras["seeds"] = nlohmann::json::array();
        for (const auto &other : m_daemons) {
            if (other.starts_with(domain)) {
                extras["seeds"].push_back(process(other).address("peers"));
            }
        }
    }
    auto &daemon = start(vm, "spurlugd", {"--settings", writeSettings(vm, domain, extras)});
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

Process &Fleet::start(const std::string &name, const std::string &program, const std::vector<std::string> &arguments)
{
    m_processes[name] = nullptr;
    m_processes[name] = std::make_unique<Process>(m_directory, name, program, arguments);
    return *m_processes[name];
}

nlohmann::json &Fleet::configuration()
{
    return m_configuration;
}

std::pair<int, std::string> Fleet::apply(bool wait)
{
    const auto path = m_directory.file("configuration.json");
    std::ofstream(path) << m_configuration.dump();
    std::vector<std::string> arguments{"apply", path, "--platform", process("platform").address("listen")};
    if (wait) {
        arguments.insert(arguments.end(), {"--wait", "--daemon", admin(m_daemons.front())});
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

std::string Fleet::caller(const std::string &vm)
{
    return process(vm).address("callers");
}

std::string Fleet::admin(const std::string &vm)
{
    return process(vm).address("admin");
}

nlohmann::json Fleet::status(const std::string &vm)
{
    return call(admin(vm), "GET", "/status").json();
}

nlohmann::json Fleet::engineState(const std::string &engine)
{
    return call(process(engine).address("listen"), "GET", "/state").json();
}

double Fleet::metric(const std::string &vm, const std::string &name)
{
    const auto text = call(admin(vm), "GET", "/metrics").body;
    const auto line = text.find("\nspurlug_" + name + " ");
    if (line == std::string::npos) {
        throw std::runtime_error("the daemon does not report the metric " + name);
    }
    return std::stod(text.substr(line + std::string("\nspurlug_ ").size() + name.size()));
}

void Fleet::setFaults(const std::string &proxied, const nlohmann::json &faults)
{
    const auto answer = call(process(proxied + "-proxy").address("admin"), "POST", "/faults", faults.dump());
    if (answer.status != 200) {
        throw std::runtime_error("the fault proxy of " + proxied + " rejected the faults");
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
    auto all = headers;
    all.emplace("Authorization", std::string("Bearer ") + Key);
    return call(caller(vm), "POST", "/v1/chat/completions", body.dump(), all);
}

std::string Fleet::expected(const std::string &prompt, int answerTokens)
{
    const auto seed = core::fastHash(prompt);
    std::string text;
    for (int offset = 0; offset < answerTokens; ++offset) {
        text += standins::answerWord(seed, offset);
    }
    return text;
}

std::string Fleet::promptOf(std::int64_t tokens, const std::string &seed)
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
