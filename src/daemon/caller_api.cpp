//----------------------------------------------------------------------------------------------------------------------
// spurlug: what callers speak to
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/daemon/caller_api.h"

#include "spurlug/core/error.h"
#include "spurlug/core/log.h"
#include "spurlug/core/text.h"
#include "spurlug/daemon/completion_writer.h"
#include "spurlug/daemon/error_body.h"
#include "spurlug/daemon/http_listener.h"
#include "spurlug/dispatch/sse.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <httplib.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace spurlug::daemon
{

namespace
{

using core::Outcome;
using core::Reason;
using core::Refused;

constexpr int Ok = 200;
constexpr auto OutputWait = absl::Milliseconds(250); // Between looks at whether the caller is still there.
constexpr auto StatusPatience = absl::Milliseconds(1500); // After this a stream starts with its outcome still open.
constexpr std::size_t PlainBytesHeld = 256U << 10; // Answers of services up to this size are sent whole.
constexpr std::int64_t DefaultAnswerTokens = 1024; // Room for an answer whose length is not given.
constexpr std::int64_t ServiceTokens = 1;

/// Abandons its run when the caller's side ends, in whatever way.
struct RunGuard
{
    core::Ref<dispatch::RequestRun> run;
    limits::OrganisationLimiter::LongPlace longPlace;

    RunGuard(core::Ref<dispatch::RequestRun> theRun, limits::OrganisationLimiter::LongPlace place)
        : run(std::move(theRun))
        , longPlace(std::move(place))
    { }
    ~RunGuard()
    {
        run->abandon();
    }
    RunGuard(const RunGuard &) = delete;
    RunGuard &operator=(const RunGuard &) = delete;
};

ErrorReply toReply(const Refused &refusal, const std::string &requestId)
{
    return {refusal.reason(), Outcome::NotRun, refusal.what(), requestId, refusal.retryAfterSeconds()};
}

ErrorReply toReply(const dispatch::AttemptEnd &end, const std::string &requestId)
{
    return {end.reason, end.outcome, end.detail, requestId, end.retryAfterSeconds};
}

/// Reads a body that was announced; its bytes are held against the budget.
std::string readBody(const httplib::Request &request, const httplib::ContentReader &reader,
                     admission::ByteBudget &budget, admission::ByteBudget::Hold &hold)
{
    std::int64_t announced = 0;
    if (!core::readNumber(request.get_header_value("Content-Length"), announced) || announced < 0) {
        throw Refused(Reason::MalformedBody, "the request must carry a Content-Length");
    }
    hold = budget.take(announced);
    if (!hold) {
        throw Refused(Reason::BodyMemoryFull, "this daemon holds as many request bodies as it may", 1);
    }
    std::string body;
    body.reserve(static_cast<std::size_t>(announced));
    const bool whole = reader([&](const char *data, std::size_t size) {
        body.append(data, size);
        return true;
    });
    if (!whole) {
        throw Refused(Reason::MalformedBody, "the body ended early, is too large or came too slowly");
    }
    return body;
}

/// Runs until the request has something to say that decides the response's status.
dispatch::Output firstOutput(dispatch::RequestRun &run, core::Duration patience)
{
    const auto until = core::now() + patience;
    while (true) {
        auto output
            = run.next(std::min(core::Duration(OutputWait), std::max(until - core::now(), absl::ZeroDuration())));
        if (!std::holds_alternative<dispatch::Quiet>(output) || core::now() >= until) {
            return output;
        }
    }
}

/// Writes one completion to its caller.
class CompletionResponse
{
public:
    CompletionResponse(std::shared_ptr<RunGuard> guard, CompletionKind kind, admission::RequestBody fields,
                       admission::TokenRatios &ratios)
        : m_guard(std::move(guard))
        , m_fields(std::move(fields))
        , m_ratios(ratios)
        , m_writer(kind, m_guard->run->request().id, m_fields.model)
    { }

    void writeWhole(httplib::Response &response)
    {
        while (true) {
            const auto output = m_guard->run->next(OutputWait);
            if (const auto *tokens = std::get_if<dispatch::Tokens>(&output)) {
                std::for_each(tokens->payloads.begin(), tokens->payloads.end(),
                              [this](const auto &payload) { m_writer.addChunk(payload); });
            } else if (const auto *finished = std::get_if<dispatch::Finished>(&output)) {
                learn(*finished);
                response.set_header("Spurlug-Outcome", std::string(core::nameOf(Outcome::Completed)));
                response.set_content(m_writer.wholeAnswer(finished->payload), "application/json");
                return;
            } else if (const auto *failed = std::get_if<dispatch::Failed>(&output)) {
                writeError(response, toReply(failed->end, m_guard->run->request().id));
                return;
            }
        }
    }

    /// Starts the stream once the status is known, or patience is at its end.
    static void writeStream(const std::shared_ptr<CompletionResponse> &self, httplib::Response &response)
    {
        auto first = firstOutput(*self->m_guard->run, StatusPatience);
        if (const auto *failed = std::get_if<dispatch::Failed>(&first)) {
            writeError(response, toReply(failed->end, self->m_guard->run->request().id));
            return;
        }
        self->m_pending = std::move(first);
        response.status = Ok;
        response.set_header("Cache-Control", "no-cache");
        response.set_chunked_content_provider(
            "text/event-stream", [self](std::size_t, httplib::DataSink &sink) { return self->pump(sink); });
    }

private:
    bool pump(httplib::DataSink &sink)
    {
        auto output = m_pending ? std::move(*m_pending) : m_guard->run->next(OutputWait);
        m_pending.reset();
        if (const auto *tokens = std::get_if<dispatch::Tokens>(&output)) {
            std::string text;
            for (const auto &payload : tokens->payloads) {
                core::append(text, "data: ", payload, "\n\n");
            }
            return sink.write(text.data(), text.size());
        }
        if (const auto *finished = std::get_if<dispatch::Finished>(&output)) {
            learn(*finished);
            return writeLast(sink, m_writer.streamEnd(finished->payload, m_fields.includeUsage));
        }
        if (const auto *failed = std::get_if<dispatch::Failed>(&output)) {
            const auto reply = toReply(failed->end, m_guard->run->request().id);
            return writeLast(sink, dispatch::writeSse(errorBody(reply).dump()));
        }
        if (!sink.is_writable()) {
            m_guard->run->abandon();
            return false;
        }
        return true;
    }

    static bool writeLast(httplib::DataSink &sink, const std::string &text)
    {
        const bool written = sink.write(text.data(), text.size());
        sink.done();
        return written;
    }

    void learn(const dispatch::Finished &finished)
    {
        m_ratios.learn(m_fields.model, m_fields.promptBytes, promptTokensOf(finished.payload));
    }

    std::shared_ptr<RunGuard> m_guard;
    admission::RequestBody m_fields;
    admission::TokenRatios &m_ratios;
    CompletionWriter m_writer;
    std::optional<dispatch::Output> m_pending;
};

/// Writes one answer of a plain service to its caller.
class ServiceResponse
{
public:
    explicit ServiceResponse(std::shared_ptr<RunGuard> guard)
        : m_guard(std::move(guard))
    { }

    static void write(const std::shared_ptr<ServiceResponse> &self, httplib::Response &response)
    {
        while (self->m_held.size() < PlainBytesHeld) {
            auto output = self->m_guard->run->next(OutputWait);
            if (const auto *head = std::get_if<dispatch::HeadEvent>(&output)) {
                self->writeHead(*head, response);
            } else if (auto *bytes = std::get_if<dispatch::BytesEvent>(&output)) {
                self->m_held += bytes->bytes;
            } else if (std::holds_alternative<dispatch::Finished>(output)) {
                response.set_header("Spurlug-Outcome", std::string(core::nameOf(Outcome::Completed)));
                response.set_content(self->m_held, self->m_contentType);
                return;
            } else if (const auto *failed = std::get_if<dispatch::Failed>(&output)) {
                response.headers.clear();
                response.set_header("Request-Id", self->m_guard->run->request().id);
                writeError(response, toReply(failed->end, self->m_guard->run->request().id));
                return;
            }
        }
        response.set_chunked_content_provider(
            self->m_contentType, [self](std::size_t, httplib::DataSink &sink) { return self->pump(sink); });
    }

private:
    void writeHead(const dispatch::HeadEvent &head, httplib::Response &response)
    {
        response.status = head.status;
        for (const auto &[name, value] : head.headers) {
            if (core::equalIgnoringCase(name, "Content-Type")) {
                m_contentType = value;
            } else {
                response.set_header(name.c_str(), value);
            }
        }
    }

    /// A failure after the head can only be told by cutting the connection before the last chunk.
    bool pump(httplib::DataSink &sink)
    {
        if (!m_held.empty()) {
            const auto held = std::exchange(m_held, {});
            return sink.write(held.data(), held.size());
        }
        auto output = m_guard->run->next(OutputWait);
        if (const auto *bytes = std::get_if<dispatch::BytesEvent>(&output)) {
            return sink.write(bytes->bytes.data(), bytes->bytes.size());
        }
        if (std::holds_alternative<dispatch::Finished>(output)) {
            sink.done();
            return true;
        }
        return !std::holds_alternative<dispatch::Failed>(output) && sink.is_writable();
    }

    std::shared_ptr<RunGuard> m_guard;
    std::string m_held;
    std::string m_contentType = "application/octet-stream";
};

std::vector<std::pair<std::string, std::string>> passedHeaders(const httplib::Request &request)
{
    constexpr std::array Kept{"Authorization",     "Host",       "Connection", "Content-Length",
                              "Transfer-Encoding", "Keep-Alive", "Request-Id", "REMOTE_ADDR",
                              "REMOTE_PORT",       "LOCAL_ADDR", "LOCAL_PORT", "Expect"};
    std::vector<std::pair<std::string, std::string>> passed;
    for (const auto &[name, value] : request.headers) {
        const bool kept = std::any_of(Kept.begin(), Kept.end(), [&name = name](const char *other) {
            return core::equalIgnoringCase(name, other);
        });
        if (!kept) {
            passed.emplace_back(name, value);
        }
    }
    return passed;
}

} // namespace

CallerApi::CallerApi(CallerApiParts parts)
    : m_parts(parts)
{ }

void CallerApi::configure(httplib::Server &server)
{
    const auto completions
        = [this](const auto &request, auto &response, const auto &reader) { complete(request, response, reader); };
    server.Post("/v1/chat/completions", completions);
    server.Post("/v1/completions", completions);
    server.Get("/v1/models", [this](const auto &request, auto &response) { listModels(request, response); });
    constexpr auto ServicePattern = R"(/services/([^/]+)(/.*)?)";
    const auto withBody = [this](const auto &request, auto &response, const auto &reader) {
        std::string body;
        reader([&body](const char *data, std::size_t size) {
            body.append(data, size);
            return true;
        });
        callService(request, response, std::move(body));
    };
    const auto withoutBody
        = [this](const auto &request, auto &response) { callService(request, response, request.body); };
    server.Get(ServicePattern, withoutBody);
    server.Options(ServicePattern, withoutBody);
    server.Post(ServicePattern, withBody);
    server.Put(ServicePattern, withBody);
    server.Patch(ServicePattern, withBody);
    server.Delete(ServicePattern, withBody);
}

std::string CallerApi::nextRequestId()
{
    constexpr std::uint64_t IncarnationMask = 0xffffffffffULL;
    return absl::StrFormat("%s.%x.%d", m_parts.identity.vm, m_parts.identity.incarnation & IncarnationMask,
                           m_nextRequest++);
}

admission::Caller CallerApi::authorise(const httplib::Request &request) const
{
    if (HttpListener::overloaded()) {
        throw Refused(Reason::Overloaded, "this daemon serves as many connections as it may", 1);
    }
    if (m_parts.refusing) {
        throw Refused(Reason::Stopping, "this daemon is being stopped", 1);
    }
    return admission::identifyCaller(m_parts.store.current(), request.get_header_value("Authorization"),
                                     request.get_header_value("Spurlug-Class"),
                                     request.get_header_value("Spurlug-Deadline-Ms"));
}

void CallerApi::complete(const httplib::Request &request, httplib::Response &response,
                         const httplib::ContentReader &reader)
{
    const auto id = nextRequestId();
    response.set_header("Request-Id", id);
    try {
        admission::ByteBudget::Hold hold;
        auto body = readBody(request, reader, m_parts.bodyMemory, hold);
        admission::RequestBody fields;
        auto admitted = admitCompletion(request, std::move(body), std::move(hold), id, fields);
        auto place = m_parts.limiter.take(*admitted.configuration->organisationNamed(admitted.organisation),
                                          admitted.tokens, admitted.isLong, core::now());
        const auto run = core::makeCounted<dispatch::RequestRun>(m_parts.runs, std::move(admitted));
        const auto kind = request.path.find("chat") != std::string::npos ? CompletionKind::Chat : CompletionKind::Text;
        const auto answer = std::make_shared<CompletionResponse>(std::make_shared<RunGuard>(run, std::move(place)),
                                                                 kind, fields, m_parts.ratios);
        if (fields.stream) {
            CompletionResponse::writeStream(answer, response);
        } else {
            answer->writeWhole(response);
        }
    } catch (const Refused &refusal) {
        m_parts.metrics.countRefusal(refusal.reason());
        core::log(core::LogLevel::Info, "request_refused",
                  {{"request", id}, {"reason", core::nameOf(refusal.reason())}, {"detail", refusal.what()}});
        writeError(response, toReply(refusal, id));
    }
}

dispatch::AdmittedRequest CallerApi::admitCompletion(const httplib::Request &request, std::string body,
                                                     admission::ByteBudget::Hold hold, const std::string &id,
                                                     admission::RequestBody &fields)
{
    const auto caller = authorise(request);
    fields = admission::readRequestBody(body);
    const auto *pool = caller.configuration->poolForModel(fields.model);
    if (pool == nullptr) {
        throw Refused(Reason::UnknownModel, core::cat("there is no model '", fields.model, "'"));
    }
    dispatch::AdmittedRequest admitted;
    admitted.id = id;
    admitted.arrivedAt = core::now();
    admitted.deadline = admitted.arrivedAt + caller.deadline;
    admitted.configuration = caller.configuration;
    admitted.targets = &pool->targets;
    admitted.route = pool->name;
    admitted.organisation = caller.organisation->name;
    admitted.weight = caller.organisation->weight;
    admitted.requestClass = caller.requestClass ? caller.requestClass->name : "";
    admitted.tokens = m_parts.ratios.estimate(*pool, fields.promptBytes);
    admitted.kvTokens = admitted.tokens + (fields.maxTokens > 0 ? fields.maxTokens : DefaultAnswerTokens);
    admitted.engines = admission::enginesNeeded(*pool, admitted.kvTokens);
    admitted.isLong = admitted.tokens >= pool->longThresholdTokens;
    admitted.priority = (caller.requestClass ? caller.requestClass->priority : 0) + (admitted.isLong ? 100 : 0);
    admitted.prefix = fields.prefix;
    admitted.repeatable = !core::equalIgnoringCase(request.get_header_value("Spurlug-Repeatable"), "no");
    admitted.method = "POST";
    admitted.path = request.path;
    admitted.headers = {{"Content-Type", "application/json"}};
    admitted.body = std::move(body);
    admitted.bodyHold = std::move(hold);
    return admitted;
}

dispatch::AdmittedRequest CallerApi::admitService(const httplib::Request &request, std::string body,
                                                  const std::string &id)
{
    const auto caller = authorise(request);
    const auto name = request.matches[1].str();
    const auto *service = caller.configuration->serviceNamed(name);
    if (service == nullptr) {
        throw Refused(Reason::UnknownService, core::cat("there is no service '", name, "'"));
    }
    const auto &methods = service->repeatableMethods;
    dispatch::AdmittedRequest admitted;
    admitted.id = id;
    admitted.kind = dispatch::TargetKind::Service;
    admitted.arrivedAt = core::now();
    admitted.deadline = admitted.arrivedAt + caller.deadline;
    admitted.configuration = caller.configuration;
    admitted.targets = &service->targets;
    admitted.route = name;
    admitted.organisation = caller.organisation->name;
    admitted.weight = caller.organisation->weight;
    admitted.requestClass = caller.requestClass ? caller.requestClass->name : "";
    admitted.tokens = ServiceTokens;
    admitted.repeatable = std::find(methods.begin(), methods.end(), request.method) != methods.end();
    admitted.method = request.method;
    const auto rest = request.target.substr(std::string_view("/services/").size() + name.size());
    admitted.path = rest.empty() ? "/" : rest;
    admitted.headers = passedHeaders(request);
    admitted.headers.emplace_back("Organisation", admitted.organisation);
    admitted.body = std::move(body);
    return admitted;
}

void CallerApi::callService(const httplib::Request &request, httplib::Response &response, std::string body)
{
    const auto id = nextRequestId();
    response.set_header("Request-Id", id);
    try {
        auto admitted = admitService(request, std::move(body), id);
        auto place = m_parts.limiter.take(*admitted.configuration->organisationNamed(admitted.organisation),
                                          ServiceTokens, false, core::now());
        const auto run = core::makeCounted<dispatch::RequestRun>(m_parts.runs, std::move(admitted));
        const auto answer = std::make_shared<ServiceResponse>(std::make_shared<RunGuard>(run, std::move(place)));
        ServiceResponse::write(answer, response);
    } catch (const Refused &refusal) {
        m_parts.metrics.countRefusal(refusal.reason());
        writeError(response, toReply(refusal, id));
    }
}

void CallerApi::listModels(const httplib::Request &request, httplib::Response &response)
{
    try {
        const auto caller = authorise(request);
        auto models = nlohmann::json::array();
        for (const auto &pool : caller.configuration->pools) {
            models.push_back({{"id", pool.model}, {"object", "model"}, {"created", 0}, {"owned_by", pool.name}});
        }
        response.set_content(nlohmann::json{{"object", "list"}, {"data", std::move(models)}}.dump(),
                             "application/json");
    } catch (const Refused &refusal) {
        m_parts.metrics.countRefusal(refusal.reason());
        writeError(response, toReply(refusal, ""));
    }
}

} // namespace spurlug::daemon
