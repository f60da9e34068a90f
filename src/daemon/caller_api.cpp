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

/// Abandons its run when the caller's side ends, in whatever way, and gives a claimed key back if nothing ran.
struct RunGuard
{
    using GiveBack = std::function<void()>;

    core::Ref<dispatch::RequestRun> run;
    limits::OrganisationLimiter::LongPlace longPlace;
    GiveBack giveBack; ///< Null when no key was claimed.

    RunGuard(core::Ref<dispatch::RequestRun> theRun, limits::OrganisationLimiter::LongPlace place, GiveBack theGiveBack)
        : run(std::move(theRun))
        , longPlace(std::move(place))
        , giveBack(std::move(theGiveBack))
    { }
    ~RunGuard()
    {
        run->abandon();
        if (giveBack && run->outcome() == core::Outcome::NotRun) {
            giveBack();
        }
    }
    RunGuard(const RunGuard &) = delete;
    RunGuard &operator=(const RunGuard &) = delete;
};

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
constexpr std::int64_t LongPriority = 100; // Added for long prompts, so that engines let short ones pass.

ErrorReply toReply(const Refused &refusal, const std::string &requestId)
{
    return {refusal.reason(), Outcome::NotRun, refusal.what(), requestId, refusal.retryAfterSeconds()};
}

ErrorReply toReply(const dispatch::AttemptEnd &end, const std::string &requestId)
{
    return {end.reason, end.outcome, end.detail, requestId, end.retryAfterSeconds};
}

/// A request's body, still on its way. What is left unread at the end of its life is read and thrown away, so that the
/// connection can carry another request.
class IncomingBody
{
public:
    IncomingBody(const httplib::Request &request, const httplib::ContentReader &reader)
        : m_request(request)
        , m_reader(reader)
    { }
    ~IncomingBody()
    {
        if (!m_read && announcedBytes(0) > 0) {
            m_reader([](const char *, std::size_t) { return true; });
        }
    }
    IncomingBody(const IncomingBody &) = delete;
    IncomingBody &operator=(const IncomingBody &) = delete;

    /// Reads a body that was announced; its bytes are held against the budget.
    std::string read(std::int64_t mostBytes, admission::ByteBudget &budget, admission::ByteBudget::Hold &hold)
    {
        const auto announced = announcedBytes(mostBytes);
        if (announced == 0) {
            return {};
        }
        if (announced > mostBytes) {
            throw Refused(Reason::BodyTooLarge, core::cat("a body may have at most ", mostBytes, " bytes"));
        }
        hold = budget.take(announced);
        if (!hold) {
            throw Refused(Reason::BodyMemoryFull, "this daemon holds as many request bodies as it may", 1);
        }
        std::string body;
        body.reserve(static_cast<std::size_t>(announced));
        m_read = true;
        const bool whole = m_reader([&](const char *data, std::size_t size) {
            body.append(data, size);
            return true;
        });
        if (!whole) {
            throw Refused(Reason::MalformedBody, "the body ended early or came too slowly");
        }
        return body;
    }

private:
    /// A body that comes in chunks may be as large as the bound; without any header there is no body.
    [[nodiscard]] std::int64_t announcedBytes(std::int64_t mostBytes) const
    {
        std::int64_t announced = 0;
        if (core::readNumber(m_request.get_header_value("Content-Length"), announced)) {
            return std::max<std::int64_t>(announced, 0);
        }
        return m_request.has_header("Transfer-Encoding") ? std::max<std::int64_t>(mostBytes, 1) : 0;
    }

    const httplib::Request &m_request;
    const httplib::ContentReader &m_reader;
    bool m_read = false;
};

/// What every admitted request takes from its caller.
dispatch::AdmittedRequest admittedFor(const admission::Caller &caller, const std::string &id, core::Time now)
{
    dispatch::AdmittedRequest admitted;
    admitted.id = id;
    admitted.arrivedAt = now;
    admitted.deadline = now + caller.deadline;
    admitted.configuration = caller.configuration;
    admitted.organisation = caller.organisation->name;
    admitted.weight = caller.organisation->weight;
    if (caller.requestClass != nullptr) {
        admitted.requestClass = caller.requestClass->name;
        admitted.priority = caller.requestClass->priority;
    }
    return admitted;
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
    server.set_error_handler([this](const auto &, auto &response) { typeHttpError(response); });
    const auto completions
        = [this](const auto &request, auto &response, const auto &reader) { complete(request, response, reader); };
    server.Post("/v1/chat/completions", completions);
    server.Post("/v1/completions", completions);
    server.Get("/v1/models", [this](const auto &request, auto &response) { listModels(request, response); });
    constexpr auto ServicePattern = R"(/services/([^/]+)(/.*)?)";
    const auto withBody
        = [this](const auto &request, auto &response, const auto &reader) { callService(request, response, &reader); };
    const auto withoutBody = [this](const auto &request, auto &response) { callService(request, response, nullptr); };
    server.Get(ServicePattern, withoutBody);
    server.Options(ServicePattern, withoutBody);
    server.Post(ServicePattern, withBody);
    server.Put(ServicePattern, withBody);
    server.Patch(ServicePattern, withBody);
    server.Delete(ServicePattern, withBody);
}

/// Faults that the HTTP library finds by itself, such as a malformed request line, get a typed body too.
void CallerApi::typeHttpError(httplib::Response &response)
{
    if (!response.body.empty()) {
        return;
    }
    const auto status = response.status;
    constexpr int NotFound = 404;
    constexpr int PayloadTooLarge = 413;
    const auto reason = status == NotFound ? Reason::UnknownPath
        : status == PayloadTooLarge        ? Reason::BodyTooLarge
                                           : Reason::MalformedRequest;
    m_parts.metrics.countRefusal(reason);
    writeError(response, {reason, Outcome::NotRun, core::cat("HTTP status ", status), "", 0});
    response.status = status;
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

void CallerApi::refuse(const Refused &refusal, const std::string &id, httplib::Response &response)
{
    m_parts.metrics.countRefusal(refusal.reason());
    core::log(core::LogLevel::Info, "request_refused",
              {{"request", id}, {"reason", core::nameOf(refusal.reason())}, {"detail", refusal.what()}});
    writeError(response, toReply(refusal, id));
}

std::shared_ptr<RunGuard> CallerApi::startRun(const admission::Caller &caller, dispatch::AdmittedRequest admitted,
                                              const std::string &idempotencyKey)
{
    auto place = m_parts.limiter.take(*caller.organisation, admitted.tokens, admitted.isLong, core::now());
    const auto name = claimKey(admitted, idempotencyKey);
    RunGuard::GiveBack giveBack;
    if (!name.empty()) {
        giveBack = [this, wish = claims::ClaimWish{name, admitted.id, true}] {
            [[maybe_unused]] const auto answer = m_parts.claim(wish);
        };
    }
    auto run = core::makeCounted<dispatch::RequestRun>(m_parts.runs, std::move(admitted));
    return std::make_shared<RunGuard>(std::move(run), std::move(place), std::move(giveBack));
}

/// Claims the key of a request that must not run twice. Returns the claim's name; empty when none is needed.
std::string CallerApi::claimKey(const dispatch::AdmittedRequest &admitted, const std::string &idempotencyKey)
{
    if (admitted.repeatable || idempotencyKey.empty()) {
        return {};
    }
    auto name = claims::claimName(admitted.organisation, idempotencyKey);
    const auto answer = m_parts.claim({name, admitted.id, false});
    switch (answer.result) {
    case claims::ClaimResult::Won:
        return name;
    case claims::ClaimResult::Taken:
        throw Refused(Reason::AlreadyClaimed, core::cat("request ", answer.holder, " has this idempotency key"));
    case claims::ClaimResult::Unavailable:
        break;
    }
    constexpr int PlatformBackInSeconds = 5;
    throw Refused(Reason::ClaimUnavailable, "the idempotency key cannot be claimed now", PlatformBackInSeconds);
}

void CallerApi::complete(const httplib::Request &request, httplib::Response &response,
                         const httplib::ContentReader &reader)
{
    const auto id = nextRequestId();
    response.set_header("Request-Id", id);
    try {
        IncomingBody incoming(request, reader);
        const auto caller = authorise(request);
        admission::ByteBudget::Hold hold;
        auto body = incoming.read(m_parts.mostBodyBytes, m_parts.bodyMemory, hold);
        const auto fields = admission::readRequestBody(body);
        auto admitted = admitCompletion(caller, fields, id);
        admitted.path = request.path;
        admitted.repeatable = !core::equalIgnoringCase(request.get_header_value("Spurlug-Repeatable"), "no");
        admitted.body = std::move(body);
        admitted.bodyHold = std::move(hold);
        const auto kind = request.path.find("chat") != std::string::npos ? CompletionKind::Chat : CompletionKind::Text;
        const auto answer = std::make_shared<CompletionResponse>(
            startRun(caller, std::move(admitted), request.get_header_value("Idempotency-Key")), kind, fields,
            m_parts.ratios);
        if (fields.stream) {
            CompletionResponse::writeStream(answer, response);
        } else {
            answer->writeWhole(response);
        }
    } catch (const Refused &refusal) {
        refuse(refusal, id, response);
    }
}

dispatch::AdmittedRequest CallerApi::admitCompletion(const admission::Caller &caller,
                                                     const admission::RequestBody &fields, const std::string &id)
{
    const auto *pool = caller.configuration->poolForModel(fields.model);
    if (pool == nullptr) {
        throw Refused(Reason::UnknownModel, core::cat("there is no model '", fields.model, "'"));
    }
    auto admitted = admittedFor(caller, id, core::now());
    admitted.targets = &pool->targets;
    admitted.route = pool->name;
    admitted.tokens = m_parts.ratios.estimate(*pool, fields.promptBytes);
    admitted.kvTokens = admitted.tokens + (fields.maxTokens > 0 ? fields.maxTokens : DefaultAnswerTokens);
    admitted.engines = admission::enginesNeeded(*pool, admitted.kvTokens);
    admitted.isLong = admitted.tokens >= pool->longThresholdTokens;
    admitted.priority += admitted.isLong ? LongPriority : 0;
    admitted.prefix = fields.prefix;
    admitted.method = "POST";
    admitted.headers = {{"Content-Type", "application/json"}};
    return admitted;
}

dispatch::AdmittedRequest CallerApi::admitService(const admission::Caller &caller, const httplib::Request &request,
                                                  const std::string &id)
{
    const auto name = request.matches[1].str();
    const auto *service = caller.configuration->serviceNamed(name);
    if (service == nullptr) {
        throw Refused(Reason::UnknownService, core::cat("there is no service '", name, "'"));
    }
    const auto &methods = service->repeatableMethods;
    auto admitted = admittedFor(caller, id, core::now());
    admitted.kind = dispatch::TargetKind::Service;
    admitted.targets = &service->targets;
    admitted.route = name;
    admitted.tokens = ServiceTokens;
    admitted.repeatable = std::find(methods.begin(), methods.end(), request.method) != methods.end();
    admitted.method = request.method;
    const auto rest = request.target.substr(std::string_view("/services/").size() + name.size());
    admitted.path = rest.empty() ? "/" : rest;
    admitted.headers = passedHeaders(request);
    admitted.headers.emplace_back("Organisation", admitted.organisation);
    return admitted;
}

void CallerApi::callService(const httplib::Request &request, httplib::Response &response,
                            const httplib::ContentReader *reader)
{
    const auto id = nextRequestId();
    response.set_header("Request-Id", id);
    try {
        std::optional<IncomingBody> incoming;
        if (reader != nullptr) {
            incoming.emplace(request, *reader);
        }
        const auto caller = authorise(request);
        auto admitted = admitService(caller, request, id);
        if (incoming) {
            admitted.body = incoming->read(m_parts.mostBodyBytes, m_parts.bodyMemory, admitted.bodyHold);
        }
        ServiceResponse::write(std::make_shared<ServiceResponse>(
                                   startRun(caller, std::move(admitted), request.get_header_value("Idempotency-Key"))),
                               response);
    } catch (const Refused &refusal) {
        refuse(refusal, id, response);
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
        refuse(refusal, "", response);
    }
}

} // namespace spurlug::daemon
