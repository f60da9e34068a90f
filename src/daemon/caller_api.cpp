//----------------------------------------------------------------------------------------------------------------------
// spurlug: HTTP API for callers
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/daemon/caller_api.h"

#include "completion_response.h"
#include "service_response.h"

#include "spurlug/core/error.h"
#include "spurlug/core/log.h"
#include "spurlug/core/text.h"
#include "spurlug/daemon/error_body.h"
#include "spurlug/daemon/http_listener.h"
#include "spurlug/daemon/incoming_body.h"
#include "spurlug/daemon/request_guard.h"

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

constexpr std::int64_t DefaultAnswerTokens = 1024; // KV memory planned for an answer without a token limit.
constexpr std::int64_t ServiceTokens = 1;
// Added to the priority value of long prompts, so that engines serve short ones first.
constexpr std::int64_t LongPromptPriority = 100;

/// Creates a request with the fields that are the same for completions and service calls.
dispatch::AdmittedRequest makeAdmittedRequest(const admission::Caller &caller, const std::string &id, core::Time now)
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

std::vector<std::pair<std::string, std::string>> forwardedHeaders(const httplib::Request &request)
{
    constexpr std::array ExcludedHeaders{"Authorization",     "Host",       "Connection", "Content-Length",
                                         "Transfer-Encoding", "Keep-Alive", "Request-Id", "REMOTE_ADDR",
                                         "REMOTE_PORT",       "LOCAL_ADDR", "LOCAL_PORT", "Expect"};
    std::vector<std::pair<std::string, std::string>> forwarded;
    for (const auto &[name, value] : request.headers) {
        const bool isExcluded
            = std::any_of(ExcludedHeaders.begin(), ExcludedHeaders.end(),
                          [&name = name](const char *other) { return core::equalsIgnoreCase(name, other); });
        if (!isExcluded) {
            forwarded.emplace_back(name, value);
        }
    }
    return forwarded;
}

} // namespace

CallerApi::CallerApi(CallerApiComponents components)
    : m_components(components)
{ }

void CallerApi::configure(httplib::Server &server)
{
    server.set_error_handler([this](const auto &, auto &response) { addErrorBody(response); });
    const auto completions = [this](const auto &request, auto &response, const auto &reader) {
        handleCompletion(request, response, reader);
    };
    server.Post("/v1/chat/completions", completions);
    server.Post("/v1/completions", completions);
    server.Get("/v1/models", [this](const auto &request, auto &response) { listModels(request, response); });
    constexpr auto ServicePattern = R"(/services/([^/]+)(/.*)?)";
    const auto withBody = [this](const auto &request, auto &response, const auto &reader) {
        handleServiceCall(request, response, &reader);
    };
    const auto withoutBody
        = [this](const auto &request, auto &response) { handleServiceCall(request, response, nullptr); };
    server.Get(ServicePattern, withoutBody);
    server.Options(ServicePattern, withoutBody);
    server.Post(ServicePattern, withBody);
    server.Put(ServicePattern, withBody);
    server.Patch(ServicePattern, withBody);
    server.Delete(ServicePattern, withBody);
}

/// Adds an error body to errors that the HTTP library itself detects, such as a malformed request line.
void CallerApi::addErrorBody(httplib::Response &response)
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
    m_components.metrics.countRefusal(reason);
    writeError(response, {reason, Outcome::NotRun, core::cat("HTTP status ", status), "", 0});
    response.status = status;
}

std::string CallerApi::nextRequestId()
{
    constexpr std::uint64_t IncarnationMask = 0xffffffffffULL;
    return absl::StrFormat("%s.%x.%d", m_components.identity.vm, m_components.identity.incarnation & IncarnationMask,
                           m_nextRequestNumber++);
}

admission::Caller CallerApi::authorise(const httplib::Request &request) const
{
    if (HttpListener::isOverloaded()) {
        throw Refused(Reason::Overloaded, "this daemon serves as many connections as it may", 1);
    }
    if (m_components.refusingRequests) {
        throw Refused(Reason::Stopping, "this daemon is being stopped", 1);
    }
    return admission::identifyCaller(m_components.store.current(), request.get_header_value("Authorization"),
                                     request.get_header_value("Spurlug-Class"),
                                     request.get_header_value("Spurlug-Deadline-Ms"));
}

void CallerApi::refuse(const Refused &refusal, const std::string &id, httplib::Response &response)
{
    m_components.metrics.countRefusal(refusal.reason());
    core::log(core::LogLevel::Info, "request_refused",
              {{"request", id}, {"reason", core::nameOf(refusal.reason())}, {"detail", refusal.what()}});
    writeError(response, toReply(refusal, id));
}

/// Refuses a short prompt if the load of the best target is known and its first token is expected after the deadline.
void CallerApi::refuseIfDeadlineTooShort(const dispatch::AdmittedRequest &admitted) const
{
    const auto views = m_components.handlerContext.targets.views(*admitted.targets, admitted.arrivedAt);
    const auto choice = routing::chooseAcrossDomains({admitted.promptTokens, true, 0}, views,
                                                     m_components.handlerContext.failureDomain, {},
                                                     m_components.handlerContext.routeRule, 0);
    if (admitted.isLong || !choice.chosen
        || views[*choice.chosen].reportAge > m_components.handlerContext.routeRule.staleAfter) {
        return;
    }
    const auto expected = choice.candidates[*choice.chosen].estimatedTtft;
    const auto allowed = admitted.deadline - admitted.arrivedAt;
    if (expected > allowed) {
        const auto retryAfterSeconds = static_cast<int>(absl::ToInt64Seconds(expected)) + 1;
        throw Refused(Reason::DeadlineTooShort,
                      core::cat("the first token is expected after ", core::toMs(expected), " ms"), retryAfterSeconds);
    }
}

std::shared_ptr<RequestGuard> CallerApi::startRequest(const admission::Caller &caller,
                                                      dispatch::AdmittedRequest admitted,
                                                      const std::string &idempotencyKey)
{
    auto slot = m_components.limiter.admit(*caller.organisation, admitted.promptTokens, admitted.isLong, core::now());
    const auto name = claimKey(admitted, idempotencyKey);
    RequestGuard::ReleaseClaim releaseClaim;
    if (!name.empty()) {
        releaseClaim = [this, wish = claims::ClaimWish{name, admitted.id, true}] {
            [[maybe_unused]] const auto answer = m_components.claim(wish);
        };
    }
    auto handler = core::makeRef<dispatch::RequestHandler>(m_components.handlerContext, std::move(admitted));
    return std::make_shared<RequestGuard>(std::move(handler), std::move(slot), std::move(releaseClaim));
}

/// Claims the idempotency key of a request that must not run twice. Returns the name of the claim; empty if none is
/// needed.
std::string CallerApi::claimKey(const dispatch::AdmittedRequest &admitted, const std::string &idempotencyKey)
{
    if (admitted.repeatable || idempotencyKey.empty()) {
        return {};
    }
    auto name = claims::claimName(admitted.organisation, idempotencyKey);
    const auto answer = m_components.claim({name, admitted.id, false});
    switch (answer.result) {
    case claims::ClaimResult::Won:
        return name;
    case claims::ClaimResult::Taken:
        throw Refused(Reason::AlreadyClaimed, core::cat("request ", answer.holder, " has this idempotency key"));
    case claims::ClaimResult::Unavailable:
        break;
    }
    constexpr int ClaimRetrySeconds = 5;
    throw Refused(Reason::ClaimUnavailable, "the idempotency key cannot be claimed now", ClaimRetrySeconds);
}

void CallerApi::handleCompletion(const httplib::Request &request, httplib::Response &response,
                                 const httplib::ContentReader &reader)
{
    const auto id = nextRequestId();
    response.set_header("Request-Id", id);
    try {
        IncomingBody incoming(request, reader);
        const auto caller = authorise(request);
        admission::ByteBudget::Allocation hold;
        auto body = incoming.read(m_components.maxBodyBytes, m_components.bodyMemory, hold);
        const auto fields = admission::parseRequestBody(body);
        auto admitted = admitCompletion(caller, fields, id);
        admitted.path = request.path;
        admitted.repeatable = !core::equalsIgnoreCase(request.get_header_value("Spurlug-Repeatable"), "no");
        admitted.body = std::move(body);
        admitted.bodyAllocation = std::move(hold);
        const auto kind = request.path.find("chat") != std::string::npos ? CompletionKind::Chat : CompletionKind::Text;
        const auto answer = std::make_shared<CompletionResponse>(
            startRequest(caller, std::move(admitted), request.get_header_value("Idempotency-Key")), kind, fields,
            m_components.tokenEstimator);
        if (fields.stream) {
            CompletionResponse::writeStream(answer, response);
        } else {
            answer->writeFull(response);
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
    auto admitted = makeAdmittedRequest(caller, id, core::now());
    admitted.targets = &pool->targets;
    admitted.route = pool->name;
    admitted.promptTokens = m_components.tokenEstimator.estimate(*pool, fields.promptBytes);
    admitted.kvTokens = admitted.promptTokens + (fields.maxTokens > 0 ? fields.maxTokens : DefaultAnswerTokens);
    admitted.engines = admission::enginesNeeded(*pool, admitted.kvTokens);
    admitted.routing = pool->routing;
    admitted.isLong = admitted.promptTokens >= pool->longPromptTokens || admitted.engines > 1;
    admitted.priority += admitted.isLong ? LongPromptPriority : 0;
    admitted.prefixHash = fields.prefixHash;
    admitted.method = "POST";
    refuseIfDeadlineTooShort(admitted);
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
    auto admitted = makeAdmittedRequest(caller, id, core::now());
    admitted.kind = dispatch::TargetKind::Service;
    admitted.targets = &service->targets;
    admitted.route = name;
    admitted.promptTokens = ServiceTokens;
    admitted.repeatable = std::find(methods.begin(), methods.end(), request.method) != methods.end();
    admitted.method = request.method;
    const auto rest = request.target.substr(std::string_view("/services/").size() + name.size());
    admitted.path = rest.empty() ? "/" : rest;
    admitted.headers = forwardedHeaders(request);
    admitted.headers.emplace_back("Organisation", admitted.organisation);
    return admitted;
}

void CallerApi::handleServiceCall(const httplib::Request &request, httplib::Response &response,
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
            admitted.body = incoming->read(m_components.maxBodyBytes, m_components.bodyMemory, admitted.bodyAllocation);
        }
        ServiceResponse::write(std::make_shared<ServiceResponse>(startRequest(
                                   caller, std::move(admitted), request.get_header_value("Idempotency-Key"))),
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
