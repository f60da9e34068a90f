//----------------------------------------------------------------------------------------------------------------------
// spurlug: sends attempts to targets over HTTP
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/dispatch/target_client.h"

#include "spurlug/core/text.h"
#include "spurlug/dispatch/sse.h"

#include <httplib.h>
#include <utility>

namespace spurlug::dispatch
{

namespace
{

using core::Outcome;
using core::Reason;

constexpr int Ok = 200;
constexpr int FirstServerError = 500;
constexpr std::string_view RequestRanHeader
    = "Request-Ran"; // Sent by the target; "no" if it did not start the request.

/// What has been received from the target so far.
struct ResponseProgress
{
    int status = 0;
    bool refusedBeforeStart = false;
    int retryAfterSeconds = 0;
    bool finished = false;
    std::string errorBody;
};

httplib::Request makeRequest(const AttemptRequest &attempt, ResponseProgress &progress)
{
    httplib::Request request;
    request.method = attempt.method;
    request.path = attempt.path;
    for (const auto &[name, value] : attempt.headers) {
        request.set_header(name.c_str(), value);
    }
    request.set_header("Connection", "close");
    request.set_header("Request-Id", attempt.requestId);
    request.set_header("Request-Attempt", std::to_string(attempt.attempt));
    const auto *body = attempt.body;
    if (body != nullptr && !body->empty()) {
        request.content_length_ = body->size();
        request.content_provider_ = [body](std::size_t offset, std::size_t length, httplib::DataSink &sink) {
            return sink.write(body->data() + offset, length);
        };
    }
    request.response_handler = [&progress](const httplib::Response &response) {
        progress.status = response.status;
        progress.refusedBeforeStart = response.get_header_value(std::string(RequestRanHeader).c_str()) == "no";
        [[maybe_unused]] const bool isNumber
            = core::parseInteger(response.get_header_value("Retry-After"), progress.retryAfterSeconds);
        return true;
    };
    return request;
}

/// The request is sent as soon as the connection is established, so only a connection failure proves that nothing was
/// sent.
bool provesNothingSent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
}

AttemptResult resultOfError(httplib::Error error, const ResponseProgress &progress)
{
    const auto detail = httplib::to_string(error);
    if (provesNothingSent(error)) {
        return {Outcome::NotRun, Reason::ConnectFailed, 0, detail, true};
    }
    const auto reason = progress.status == 0 ? Reason::TargetFailed : Reason::StreamInterrupted;
    return {Outcome::MayHaveRun, reason, progress.status, detail, true};
}

AttemptResult resultOfStatus(const ResponseProgress &progress)
{
    const auto detail = core::cat("status ", progress.status, " ", progress.errorBody.substr(0, 200));
    if (progress.refusedBeforeStart) {
        return {Outcome::NotRun,
                Reason::TargetRefused,
                progress.status,
                detail,
                progress.status >= FirstServerError
                    && progress.retryAfterSeconds == 0, // A requested cooldown is not a failure.
                progress.retryAfterSeconds};
    }
    return {Outcome::MayHaveRun, Reason::TargetFailed, progress.status, detail, progress.status >= FirstServerError};
}

/// Sends the request on a new connection. Cancelling the channel closes the connection, by which the target notices
/// that the answer is no longer wanted.
httplib::Result send(const AttemptRequest &attempt, const httplib::Request &request, EventChannel &events)
{
    httplib::Client client(attempt.target.host, attempt.target.port);
    client.set_connection_timeout(absl::ToChronoMicroseconds(absl::Seconds(1)));
    client.set_read_timeout(absl::ToChronoMicroseconds(attempt.timeout));
    client.set_write_timeout(absl::ToChronoMicroseconds(attempt.timeout));
    client.set_tcp_nodelay(true);
    events.setOnCancel([&client] { client.stop(); });
    auto result = client.send(request);
    events.setOnCancel(nullptr);
    return result;
}

bool pushEngineEvent(const SseEvent &event, EventChannel &events, ResponseProgress &progress)
{
    std::int64_t offset = 0;
    if (!core::parseInteger(event.id, offset)) {
        return true;
    }
    if (event.name == "finish") {
        progress.finished = true;
        return events.push(FinishEvent{offset, event.data});
    }
    return events.push(TokenEvent{offset, event.data});
}

HeadEvent toHeadEvent(const httplib::Response &response)
{
    HeadEvent head{response.status, {}};
    for (const auto &[name, value] : response.headers) {
        const bool isConnectionHeader = core::equalsIgnoreCase(name, "Connection")
            || core::equalsIgnoreCase(name, "Keep-Alive") || core::equalsIgnoreCase(name, "Transfer-Encoding")
            || core::equalsIgnoreCase(name, "Content-Length");
        if (!isConnectionHeader) {
            head.headers.emplace_back(name, value);
        }
    }
    return head;
}

} // namespace

void EngineClient::run(const AttemptRequest &attempt, EventChannel &events) const
{
    ResponseProgress progress;
    SseParser parser;
    auto request = makeRequest(attempt, progress);
    request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        if (progress.status != Ok) {
            progress.errorBody.append(data, size);
            return true;
        }
        parser.feed({data, size});
        while (const auto event = parser.next()) {
            if (!pushEngineEvent(*event, events, progress)) {
                return false;
            }
        }
        return true;
    };
    const auto result = send(attempt, request, events);
    if (progress.finished) {
        events.push(AttemptResult{Outcome::Completed, Reason::None, progress.status, {}, false});
    } else if (!result) {
        events.push(resultOfError(result.error(), progress));
    } else if (progress.status == Ok) {
        events.push(AttemptResult{Outcome::MayHaveRun, Reason::StreamInterrupted, Ok, "the stream ended early", true});
    } else {
        events.push(resultOfStatus(progress));
    }
}

void ServiceClient::run(const AttemptRequest &attempt, EventChannel &events) const
{
    ResponseProgress progress;
    auto request = makeRequest(attempt, progress);
    request.response_handler = [&, recordHead = request.response_handler](const httplib::Response &response) {
        recordHead(response);
        return progress.refusedBeforeStart || events.push(toHeadEvent(response));
    };
    request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        return progress.refusedBeforeStart || events.push(BytesEvent{std::string(data, size)});
    };
    const auto result = send(attempt, request, events);
    if (!result) {
        events.push(resultOfError(result.error(), progress));
    } else if (progress.refusedBeforeStart) {
        events.push(resultOfStatus(progress));
    } else {
        const bool failed = progress.status >= FirstServerError;
        events.push(AttemptResult{Outcome::Completed, Reason::None, progress.status, {}, failed});
    }
}

} // namespace spurlug::dispatch
