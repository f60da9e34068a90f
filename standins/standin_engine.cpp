//----------------------------------------------------------------------------------------------------------------------
// spurlug: stand-in for a model engine, the process
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "engine_commands.h"
#include "engine_model.h"

#include "spurlug/core/address.h"
#include "spurlug/core/error.h"
#include "spurlug/core/log.h"
#include "spurlug/core/periodic_thread.h"
#include "spurlug/core/program.h"
#include "spurlug/core/text.h"
#include "spurlug/daemon/http_listener.h"
#include "spurlug/targets/engine_control.h"

#include <absl/base/thread_annotations.h>
#include <absl/strings/str_split.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <atomic>
#include <boost/program_options.hpp>
#include <httplib.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace standins
{

namespace
{

namespace options = boost::program_options;
namespace core = spurlug::core;

constexpr int BadRequest = 400;
constexpr int Conflict = 409;
constexpr int TooLarge = 413;
constexpr int Unavailable = 503;
constexpr auto IdleStepInterval = absl::Milliseconds(1);
constexpr auto KeepAliveInterval = absl::Seconds(1);
constexpr std::int64_t DefaultAnswerTokens = 64;
constexpr auto ModelLoadTime = absl::Seconds(20);
constexpr auto ExportTtl = absl::Seconds(10);

/// Events of a job that wait to be sent on its connection.
struct JobStream
{
    absl::Mutex mutex;
    std::string pending ABSL_GUARDED_BY(mutex);
    bool finished ABSL_GUARDED_BY(mutex) = false;
};

std::string extractPrompt(const nlohmann::json &body)
{
    if (body.contains("prompt")) {
        return body.at("prompt").is_string() ? body.at("prompt").get<std::string>() : body.at("prompt").dump();
    }
    std::string prompt;
    for (const auto &message : body.at("messages")) {
        if (message.at("content").is_string()) {
            prompt += message.at("content").get_ref<const std::string &>();
        } else {
            for (const auto &part : message.at("content")) {
                prompt += part.value("text", "");
            }
        }
    }
    return prompt;
}

std::int64_t readNumberHeader(const httplib::Request &request, const char *name, std::int64_t fallback)
{
    std::int64_t value = fallback;
    return core::parseInteger(request.get_header_value(name), value) ? value : fallback;
}

std::string chunkJson(bool chat, const std::string &id, const std::string &model, const std::string &text)
{
    nlohmann::ordered_json choice{{"index", 0}};
    if (chat) {
        choice["delta"] = {{"content", text}};
    } else {
        choice["text"] = text;
    }
    choice["finish_reason"] = nullptr;
    return nlohmann::ordered_json{{"id", id},
                                  {"object", chat ? "chat.completion.chunk" : "text_completion"},
                                  {"created", absl::ToUnixSeconds(absl::Now())},
                                  {"model", model},
                                  {"choices", nlohmann::ordered_json::array({std::move(choice)})}}
        .dump();
}

/// Serves the engine model over HTTP. A thread runs the steps of the model, and a mutex guards it.
class EngineServer
{
public:
    EngineServer(const EngineCosts &costs, bool checksFence, const core::Address &address,
                 core::Duration reportInterval)
        : m_engine(costs)
        , m_commands(checksFence, ModelLoadTime * costs.timeScale)
        , m_reportInterval(reportInterval)
        , m_listener(address, {512, 64U << 20}, [this](httplib::Server &server) { configure(server); })
        , m_reporter("load report", [this] { return updateReport(); })
        , m_stepThread([this] { runSteps(); })
    { }

    ~EngineServer()
    {
        m_stopping = true;
        m_stepThread.join();
    }

    EngineServer(const EngineServer &) = delete;
    EngineServer &operator=(const EngineServer &) = delete;

    [[nodiscard]] const core::Address &address() const
    {
        return m_listener.address();
    }

private:
    void configure(httplib::Server &server)
    {
        const auto run = [this](const auto &request, auto &response) { handleCompletion(request, response); };
        server.Post("/v1/chat/completions", run);
        server.Post("/v1/completions", run);
        server.Get("/load", [this](const auto &, auto &response) {
            absl::MutexLock lock(&m_mutex);
            response.set_content(m_report, "application/json");
        });
        server.Get("/state",
                   [this](const auto &, auto &response) { response.set_content(stateJson(), "application/json"); });
        server.Put(R"(/reservations/(.+))",
                   [this](const auto &request, auto &response) { reserve(request, response); });
        server.Delete(R"(/reservations/(.+))", [this](const auto &request, auto &) {
            absl::MutexLock lock(&m_mutex);
            m_engine.release(request.matches[1].str());
        });
        server.Post(R"(/shares/(.+))", [this](const auto &request, auto &response) {
            absl::MutexLock lock(&m_mutex);
            response.status = m_engine.addGroupPrefill(request.matches[1].str(), readNumberHeader(request, "Tokens", 0))
                ? 200
                : 404;
        });
        server.Post(R"(/cancel/(.+))", [this](const auto &request, auto &) {
            absl::MutexLock lock(&m_mutex);
            m_engine.cancel(request.matches[1].str());
        });
        server.Post(R"(/kv/export/(.+))", [this](const auto &request, auto &response) { exportKv(request, response); });
        server.Post("/kv/import", [this](const auto &request, auto &response) { importKv(request, response); });
        server.Get("/cache-events",
                   [this](const auto &request, auto &response) { sendCacheEvents(request, response); });
        server.Post("/orders", [this](const auto &request, auto &response) { applyCommand(request, response); });
        server.Post("/standin/leaving", [this](const auto &, auto &) { m_isDraining = true; });
        server.Post("/standin/serving", [this](const auto &, auto &) { m_isDraining = false; });
    }

    static void rejectRequest(httplib::Response &response, int status, const std::string &reason)
    {
        response.status = status;
        response.set_header("Request-Ran", "no");
        response.set_content(reason, "text/plain");
    }

    void reserve(const httplib::Request &request, httplib::Response &response)
    {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            response.status = BadRequest;
            return;
        }
        absl::MutexLock lock(&m_mutex);
        const bool reserved = m_engine.reserve(request.matches[1].str(), body.value("tokens", std::int64_t{0}),
                                               core::fromMs(body.value("ttlMs", std::int64_t{1000})), core::now());
        response.status = reserved ? 200 : Conflict;
    }

    /// Responds with the body that `/kv/import` of another engine accepts.
    void exportKv(const httplib::Request &request, httplib::Response &response)
    {
        const auto jobId = request.matches[1].str();
        absl::MutexLock lock(&m_mutex);
        const auto kv = m_engine.exportKv(jobId, "export-" + jobId, ExportTtl, core::now());
        if (!kv) {
            response.status = Conflict;
            return;
        }
        const nlohmann::json body{{"blocks", kv->blocks}, {"tokens", kv->tokens}};
        response.set_content(body.dump(), "application/json");
    }

    void importKv(const httplib::Request &request, httplib::Response &response)
    {
        core::Duration transfer;
        try {
            const auto body = nlohmann::json::parse(request.body);
            const KvExport kv{body.at("blocks"), body.at("tokens")};
            absl::MutexLock lock(&m_mutex);
            transfer = m_engine.importKv(kv, core::now());
        } catch (const nlohmann::json::exception &) {
            response.status = BadRequest;
            return;
        }
        absl::SleepFor(transfer);
    }

    void sendCacheEvents(const httplib::Request &request, httplib::Response &response)
    {
        std::uint64_t after = 0;
        [[maybe_unused]] const bool given = core::parseInteger(request.get_param_value("after"), after);
        auto events = nlohmann::json::array();
        absl::MutexLock lock(&m_mutex);
        for (const auto &event : m_engine.cacheEvents(after, core::now())) {
            const auto *kind = event.kind == CacheEventKind::Stored ? "stored" : "evicted";
            events.push_back({{"number", event.number}, {"kind", kind}, {"block", event.block}});
        }
        response.set_content(events.dump(), "application/json");
    }

    void applyCommand(const httplib::Request &request, httplib::Response &response)
    {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            response.status = BadRequest;
            return;
        }
        const EngineCommand command{body.value("epoch", std::uint64_t{0}), body.value("kind", ""),
                                    body.value("name", ""), body.value("version", "")};
        absl::MutexLock lock(&m_mutex);
        switch (m_commands.apply(command, core::now())) {
        case EngineCommands::CommandResult::Accepted:
            break;
        case EngineCommands::CommandResult::Outdated:
            response.status = Conflict;
            break;
        case EngineCommands::CommandResult::UnknownKind:
            response.status = BadRequest;
            break;
        }
        response.set_header("Highest-Epoch", std::to_string(m_commands.highestEpoch()));
    }

    void handleCompletion(const httplib::Request &request, httplib::Response &response)
    {
        if (m_isDraining) {
            rejectRequest(response, Unavailable, "leaving");
            return;
        }
        EngineRequest engineRequest;
        std::string model;
        try {
            const auto body = nlohmann::json::parse(request.body);
            engineRequest.prompt = extractPrompt(body);
            engineRequest.answerTokens = body.value("max_tokens", DefaultAnswerTokens);
            model = body.value("model", "");
        } catch (const nlohmann::json::exception &error) {
            rejectRequest(response, BadRequest, error.what());
            return;
        }
        const auto members = groupMembers(request);
        engineRequest.id
            = core::cat(request.get_header_value("Request-Id"), "/", request.get_header_value("Request-Attempt"));
        engineRequest.priority = readNumberHeader(request, "Priority", 0);
        engineRequest.resumeFrom = readNumberHeader(request, "Resume-From", 0);
        engineRequest.reservation = request.get_header_value("Reservation");
        engineRequest.groupSize = std::max<int>(1, static_cast<int>(members.size()));
        const auto promptTokens
            = static_cast<std::int64_t>(engineRequest.prompt.size()) / m_engine.costs().bytesPerToken;
        requestGroupPrefill(members, engineRequest, promptTokens);
        startStream(std::move(engineRequest), request, model, response);
    }

    static std::vector<std::string> groupMembers(const httplib::Request &request)
    {
        return absl::StrSplit(request.get_header_value("Group-Members"), ',', absl::SkipEmpty());
    }

    /// Requests the other members of a group to compute their shares of the prefill.
    void requestGroupPrefill(const std::vector<std::string> &members, const EngineRequest &engineRequest,
                             std::int64_t promptTokens)
    {
        for (const auto &member : members) {
            const auto other = core::parseAddress(member);
            if (other == m_listener.address()) {
                continue;
            }
            httplib::Client client(other.host, other.port);
            const auto shareTokens = promptTokens / static_cast<std::int64_t>(members.size());
            const httplib::Headers headers{{"Tokens", core::cat(shareTokens)}};
            client.Post("/shares/" + engineRequest.reservation, headers, "", "text/plain");
        }
    }

    void startStream(EngineRequest engineRequest, const httplib::Request &request, const std::string &model,
                     httplib::Response &response)
    {
        const bool chat = request.path.find("chat") != std::string::npos;
        const auto requestId = request.get_header_value("Request-Id");
        const auto jobId = engineRequest.id;
        const auto stream = std::make_shared<JobStream>();
        JobCallbacks callbacks;
        callbacks.token = [=](std::int64_t offset, const std::string &text) {
            absl::MutexLock lock(&stream->mutex);
            core::append(stream->pending, "id: ", offset, "\ndata: ", chunkJson(chat, requestId, model, text), "\n\n");
        };
        callbacks.finished = [=](std::int64_t promptTokens, std::int64_t answerTokens) {
            const nlohmann::json finishEvent{{"finish_reason", "length"},
                                             {"usage",
                                              {{"prompt_tokens", promptTokens},
                                               {"completion_tokens", answerTokens},
                                               {"total_tokens", promptTokens + answerTokens}}}};
            absl::MutexLock lock(&stream->mutex);
            core::append(stream->pending, "event: finish\nid: ", answerTokens, "\ndata: ", finishEvent.dump(), "\n\n");
            stream->finished = true;
        };
        EngineModel::SubmitResult submission{};
        {
            absl::MutexLock lock(&m_mutex);
            submission = m_engine.submit(std::move(engineRequest), std::move(callbacks));
        }
        if (submission != EngineModel::SubmitResult::Accepted) {
            const bool tooLarge = submission == EngineModel::SubmitResult::TooLarge;
            rejectRequest(response, tooLarge ? TooLarge : Unavailable, tooLarge ? "too large" : "no room");
            return;
        }
        response.set_chunked_content_provider(
            "text/event-stream", [stream](std::size_t, httplib::DataSink &sink) { return sendPending(*stream, sink); },
            [this, jobId](bool) {
                absl::MutexLock lock(&m_mutex);
                m_engine.cancel(jobId);
            });
    }

    static bool sendPending(JobStream &stream, httplib::DataSink &sink)
    {
        const auto ready
            = [&stream]() ABSL_NO_THREAD_SAFETY_ANALYSIS { return stream.finished || !stream.pending.empty(); };
        std::string text;
        bool finished = false;
        {
            absl::MutexLock lock(&stream.mutex);
            stream.mutex.AwaitWithTimeout(absl::Condition(&ready), KeepAliveInterval);
            text.swap(stream.pending);
            finished = stream.finished;
        }
        if (text.empty() && !finished) {
            text = ": prefill\n\n";
        }
        const bool written = text.empty() || sink.write(text.data(), text.size());
        if (finished) {
            sink.done();
        }
        return written;
    }

    void runSteps()
    {
        while (!m_stopping) {
            core::Duration stepDuration;
            {
                absl::MutexLock lock(&m_mutex);
                stepDuration = m_engine.step(core::now());
            }
            absl::SleepFor(stepDuration > absl::ZeroDuration() ? stepDuration : core::Duration(IdleStepInterval));
        }
    }

    std::string stateJson()
    {
        absl::MutexLock lock(&m_mutex);
        const auto load = m_engine.load();
        return nlohmann::json{{"queuedTokens", load.queuedTokens},
                              {"urgentTokens", load.urgentTokens},
                              {"streams", load.streams},
                              {"maxStreams", m_engine.costs().maxStreams},
                              {"freeTokens", load.freeTokens},
                              {"kvTokens", m_engine.costs().kvTokens},
                              {"reservedTokens", load.reservedTokens},
                              {"reservations", load.reservations},
                              {"cachedTokens", load.cachedTokens},
                              {"prefillRate", load.prefillRate},
                              {"loaded", m_commands.loadedVersions(core::now())},
                              {"role", m_commands.role()},
                              {"leaving", m_isDraining.load()}}
            .dump();
    }

    /// Renews the report at `/load`, which is up to the report lag old. `/state` returns the current state, for tests.
    core::Duration updateReport()
    {
        auto report = stateJson();
        absl::MutexLock lock(&m_mutex);
        m_report = std::move(report);
        return m_reportInterval;
    }

    absl::Mutex m_mutex;
    EngineModel m_engine ABSL_GUARDED_BY(m_mutex);
    EngineCommands m_commands ABSL_GUARDED_BY(m_mutex);
    std::string m_report ABSL_GUARDED_BY(m_mutex);
    const core::Duration m_reportInterval;
    std::atomic<bool> m_isDraining{false};
    std::atomic<bool> m_stopping{false};
    spurlug::daemon::HttpListener m_listener;
    core::PeriodicThread m_reporter;
    std::thread m_stepThread;
};

} // namespace

} // namespace standins

int main(int argc, char **argv)
{
    using namespace standins;
    options::options_description description("standin-engine - behaves like a model engine");
    description.add_options()("help,h", "show this text")(
        "listen", options::value<std::string>()->default_value("127.0.0.1:0"),
        "HOST:PORT")("costs", options::value<std::string>()->default_value(""), "costs file (JSON)")(
        "time-scale", options::value<double>()->default_value(1.0),
        "factor of all costs")("kv-tokens", options::value<std::int64_t>(), "KV memory, overrides the costs file")(
        "no-fence", "accept commands of any epoch")("report-lag-ms", options::value<std::int64_t>()->default_value(100),
                                                    "interval of load reports")(
        "ports-file", options::value<std::string>()->default_value(""), "write the bound address to this file");
    try {
        options::variables_map arguments;
        options::store(options::parse_command_line(argc, argv, description), arguments);
        if (arguments.contains("help")) {
            std::cout << description << "\n";
            return core::ExitOk;
        }
        core::blockStopSignals();
        core::startLog("standin-engine", core::LogLevel::Warning);
        const auto costsFile = arguments["costs"].as<std::string>();
        auto costs = costsFile.empty() ? EngineCosts{} : loadEngineCosts(costsFile);
        costs.timeScale *= arguments["time-scale"].as<double>();
        if (arguments.contains("kv-tokens")) {
            costs.kvTokens = arguments["kv-tokens"].as<std::int64_t>();
        }
        const EngineServer server(costs, !arguments.contains("no-fence"),
                                  core::parseAddress(arguments["listen"].as<std::string>()),
                                  core::fromMs(arguments["report-lag-ms"].as<std::int64_t>()));
        core::writePortsFile(arguments["ports-file"].as<std::string>(), {{"listen", server.address().text()}});
        core::waitForStopSignal();
        return core::ExitOk;
    } catch (const std::exception &error) {
        std::cerr << "standin-engine: " << error.what() << "\n";
        return core::ExitUsage;
    }
}
