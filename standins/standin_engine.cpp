//----------------------------------------------------------------------------------------------------------------------
// spurlug: stand-in for a model engine, the process
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "engine_model.h"
#include "engine_orders.h"

#include "spurlug/core/address.h"
#include "spurlug/core/error.h"
#include "spurlug/core/log.h"
#include "spurlug/core/periodic.h"
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
constexpr auto IdleWait = absl::Milliseconds(1);
constexpr auto CommentInterval = absl::Seconds(1);
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

std::string promptOf(const nlohmann::json &body)
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

std::int64_t numberHeader(const httplib::Request &request, const char *name, std::int64_t fallback)
{
    std::int64_t value = fallback;
    return core::readNumber(request.get_header_value(name), value) ? value : fallback;
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
    EngineServer(const EngineCosts &costs, bool checksFence, const core::Address &address, core::Duration reportLag)
        : m_model(costs)
        , m_orders(checksFence, ModelLoadTime * costs.timeScale)
        , m_reportLag(reportLag)
        , m_listener(address, {512, 64U << 20}, [this](httplib::Server &server) { configure(server); })
        , m_reporter("load report", [this] { return renewReport(); })
        , m_stepper([this] { stepAll(); })
    { }

    ~EngineServer()
    {
        m_stopping = true;
        m_stepper.join();
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
        const auto run = [this](const auto &request, auto &response) { complete(request, response); };
        server.Post("/v1/chat/completions", run);
        server.Post("/v1/completions", run);
        server.Get("/load", [this](const auto &, auto &response) {
            absl::MutexLock lock(&m_mutex);
            response.set_content(m_report, "application/json");
        });
        server.Get("/state",
                   [this](const auto &, auto &response) { response.set_content(describe(), "application/json"); });
        server.Put(R"(/reservations/(.+))",
                   [this](const auto &request, auto &response) { reserve(request, response); });
        server.Delete(R"(/reservations/(.+))", [this](const auto &request, auto &) {
            absl::MutexLock lock(&m_mutex);
            m_model.release(request.matches[1].str());
        });
        server.Post(R"(/shares/(.+))", [this](const auto &request, auto &response) {
            absl::MutexLock lock(&m_mutex);
            response.status
                = m_model.addShare(request.matches[1].str(), numberHeader(request, "Tokens", 0)) ? 200 : 404;
        });
        server.Post(R"(/cancel/(.+))", [this](const auto &request, auto &) {
            absl::MutexLock lock(&m_mutex);
            m_model.cancel(request.matches[1].str());
        });
        server.Post(R"(/kv/export/(.+))", [this](const auto &request, auto &response) { exportKv(request, response); });
        server.Post("/kv/import", [this](const auto &request, auto &response) { importKv(request, response); });
        server.Get("/cache-events",
                   [this](const auto &request, auto &response) { sendCacheEvents(request, response); });
        server.Post("/orders", [this](const auto &request, auto &response) { takeOrder(request, response); });
        server.Post("/standin/leaving", [this](const auto &, auto &) { m_leaving = true; });
        server.Post("/standin/serving", [this](const auto &, auto &) { m_leaving = false; });
    }

    static void refuse(httplib::Response &response, int status, const std::string &why)
    {
        response.status = status;
        response.set_header("Request-Ran", "no");
        response.set_content(why, "text/plain");
    }

    void reserve(const httplib::Request &request, httplib::Response &response)
    {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            response.status = BadRequest;
            return;
        }
        absl::MutexLock lock(&m_mutex);
        const bool kept = m_model.reserve(request.matches[1].str(), body.value("tokens", std::int64_t{0}),
                                          core::fromMs(body.value("ttlMs", std::int64_t{1000})), core::now());
        response.status = kept ? 200 : Conflict;
    }

    /// Responds with the body that `/kv/import` of another engine accepts.
    void exportKv(const httplib::Request &request, httplib::Response &response)
    {
        const auto jobId = request.matches[1].str();
        absl::MutexLock lock(&m_mutex);
        const auto kv = m_model.exportKv(jobId, "export-" + jobId, ExportTtl, core::now());
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
            transfer = m_model.importKv(kv, core::now());
        } catch (const nlohmann::json::exception &) {
            response.status = BadRequest;
            return;
        }
        absl::SleepFor(transfer);
    }

    void sendCacheEvents(const httplib::Request &request, httplib::Response &response)
    {
        std::uint64_t after = 0;
        [[maybe_unused]] const bool given = core::readNumber(request.get_param_value("after"), after);
        auto events = nlohmann::json::array();
        absl::MutexLock lock(&m_mutex);
        for (const auto &event : m_model.cacheEvents(after, core::now())) {
            const auto *kind = event.kind == CacheEventKind::Stored ? "stored" : "evicted";
            events.push_back({{"number", event.number}, {"kind", kind}, {"block", event.block}});
        }
        response.set_content(events.dump(), "application/json");
    }

    void takeOrder(const httplib::Request &request, httplib::Response &response)
    {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            response.status = BadRequest;
            return;
        }
        const EngineOrder order{body.value("epoch", std::uint64_t{0}), body.value("kind", ""), body.value("name", ""),
                                body.value("version", "")};
        absl::MutexLock lock(&m_mutex);
        switch (m_orders.give(order, core::now())) {
        case EngineOrders::Reply::Accepted:
            break;
        case EngineOrders::Reply::Outdated:
            response.status = Conflict;
            break;
        case EngineOrders::Reply::Unknown:
            response.status = BadRequest;
            break;
        }
        response.set_header("Highest-Epoch", std::to_string(m_orders.highestEpoch()));
    }

    void complete(const httplib::Request &request, httplib::Response &response)
    {
        if (m_leaving) {
            refuse(response, Unavailable, "leaving");
            return;
        }
        EngineJob job;
        std::string model;
        try {
            const auto body = nlohmann::json::parse(request.body);
            job.prompt = promptOf(body);
            job.answerTokens = body.value("max_tokens", DefaultAnswerTokens);
            model = body.value("model", "");
        } catch (const nlohmann::json::exception &error) {
            refuse(response, BadRequest, error.what());
            return;
        }
        const auto members = memberList(request);
        job.id = core::cat(request.get_header_value("Request-Id"), "/", request.get_header_value("Request-Attempt"));
        job.priority = numberHeader(request, "Priority", 0);
        job.resumeFrom = numberHeader(request, "Resume-From", 0);
        job.reservation = request.get_header_value("Reservation");
        job.group = std::max<int>(1, static_cast<int>(members.size()));
        const auto promptTokens = static_cast<std::int64_t>(job.prompt.size()) / m_model.costs().bytesPerToken;
        shareOut(members, job, promptTokens);
        start(std::move(job), request, model, response);
    }

    static std::vector<std::string> memberList(const httplib::Request &request)
    {
        return absl::StrSplit(request.get_header_value("Group-Members"), ',', absl::SkipEmpty());
    }

    /// Requests the other members of a group to compute their shares of the prefill.
    void shareOut(const std::vector<std::string> &members, const EngineJob &job, std::int64_t promptTokens)
    {
        for (const auto &member : members) {
            const auto other = core::parseAddress(member);
            if (other == m_listener.address()) {
                continue;
            }
            httplib::Client client(other.host, other.port);
            const auto share = promptTokens / static_cast<std::int64_t>(members.size());
            const httplib::Headers headers{{"Tokens", core::cat(share)}};
            client.Post("/shares/" + job.reservation, headers, "", "text/plain");
        }
    }

    void start(EngineJob job, const httplib::Request &request, const std::string &model, httplib::Response &response)
    {
        const bool chat = request.path.find("chat") != std::string::npos;
        const auto requestId = request.get_header_value("Request-Id");
        const auto jobId = job.id;
        const auto stream = std::make_shared<JobStream>();
        JobEvents events;
        events.token = [=](std::int64_t offset, const std::string &text) {
            absl::MutexLock lock(&stream->mutex);
            core::append(stream->pending, "id: ", offset, "\ndata: ", chunkJson(chat, requestId, model, text), "\n\n");
        };
        events.finished = [=](std::int64_t promptTokens, std::int64_t answerTokens) {
            const nlohmann::json word{{"finish_reason", "length"},
                                      {"usage",
                                       {{"prompt_tokens", promptTokens},
                                        {"completion_tokens", answerTokens},
                                        {"total_tokens", promptTokens + answerTokens}}}};
            absl::MutexLock lock(&stream->mutex);
            core::append(stream->pending, "event: finish\nid: ", answerTokens, "\ndata: ", word.dump(), "\n\n");
            stream->finished = true;
        };
        EngineModel::Submission submission{};
        {
            absl::MutexLock lock(&m_mutex);
            submission = m_model.submit(std::move(job), std::move(events));
        }
        if (submission != EngineModel::Submission::Accepted) {
            const bool tooLarge = submission == EngineModel::Submission::TooLarge;
            refuse(response, tooLarge ? TooLarge : Unavailable, tooLarge ? "too large" : "no room");
            return;
        }
        response.set_chunked_content_provider(
            "text/event-stream", [stream](std::size_t, httplib::DataSink &sink) { return pump(*stream, sink); },
            [this, jobId](bool) {
                absl::MutexLock lock(&m_mutex);
                m_model.cancel(jobId);
            });
    }

    static bool pump(JobStream &stream, httplib::DataSink &sink)
    {
        const auto ready
            = [&stream]() ABSL_NO_THREAD_SAFETY_ANALYSIS { return stream.finished || !stream.pending.empty(); };
        std::string text;
        bool finished = false;
        {
            absl::MutexLock lock(&stream.mutex);
            stream.mutex.AwaitWithTimeout(absl::Condition(&ready), CommentInterval);
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

    void stepAll()
    {
        while (!m_stopping) {
            core::Duration busy;
            {
                absl::MutexLock lock(&m_mutex);
                busy = m_model.step(core::now());
            }
            absl::SleepFor(busy > absl::ZeroDuration() ? busy : core::Duration(IdleWait));
        }
    }

    std::string describe()
    {
        absl::MutexLock lock(&m_mutex);
        const auto load = m_model.load();
        return nlohmann::json{{"queuedTokens", load.queuedTokens},
                              {"urgentTokens", load.urgentTokens},
                              {"streams", load.streams},
                              {"maxStreams", m_model.costs().maxStreams},
                              {"freeTokens", load.freeTokens},
                              {"kvTokens", m_model.costs().kvTokens},
                              {"reservedTokens", load.reservedTokens},
                              {"reservations", load.reservations},
                              {"cachedTokens", load.cachedTokens},
                              {"prefillRate", load.prefillRate},
                              {"loaded", m_orders.loaded(core::now())},
                              {"role", m_orders.role()},
                              {"leaving", m_leaving.load()}}
            .dump();
    }

    /// Renews the report at `/load`, which is up to the report lag old. `/state` returns the current state, for tests.
    core::Duration renewReport()
    {
        auto report = describe();
        absl::MutexLock lock(&m_mutex);
        m_report = std::move(report);
        return m_reportLag;
    }

    absl::Mutex m_mutex;
    EngineModel m_model ABSL_GUARDED_BY(m_mutex);
    EngineOrders m_orders ABSL_GUARDED_BY(m_mutex);
    std::string m_report ABSL_GUARDED_BY(m_mutex);
    const core::Duration m_reportLag;
    std::atomic<bool> m_leaving{false};
    std::atomic<bool> m_stopping{false};
    spurlug::daemon::HttpListener m_listener;
    core::Periodic m_reporter;
    std::thread m_stepper;
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
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, description), given);
        if (given.contains("help")) {
            std::cout << description << "\n";
            return core::ExitOk;
        }
        core::blockStopSignals();
        core::startLog("standin-engine", core::LogLevel::Warning);
        const auto costsFile = given["costs"].as<std::string>();
        auto costs = costsFile.empty() ? EngineCosts{} : loadEngineCosts(costsFile);
        costs.timeScale *= given["time-scale"].as<double>();
        if (given.contains("kv-tokens")) {
            costs.kvTokens = given["kv-tokens"].as<std::int64_t>();
        }
        const EngineServer server(costs, !given.contains("no-fence"),
                                  core::parseAddress(given["listen"].as<std::string>()),
                                  core::fromMs(given["report-lag-ms"].as<std::int64_t>()));
        core::writePortsFile(given["ports-file"].as<std::string>(), {{"listen", server.address().text()}});
        core::waitForStopSignal();
        return core::ExitOk;
    } catch (const std::exception &error) {
        std::cerr << "standin-engine: " << error.what() << "\n";
        return core::ExitUsage;
    }
}
