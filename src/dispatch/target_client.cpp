//----------------------------------------------------------------------------------------------------------------------
// spurlug: sends attempts to targets over HTTP
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/dispatch/target_client.h"

#include "spurlug/core/text.h"
#include "spurlug/dispatch/sse.h"
#include "spurlug/net/client_connection.h"
#include "spurlug/net/spawn.h"

#include <boost/asio/post.hpp>
#include <cstdint>
#include <limits>
#include <string_view>
#include <utility>

namespace spurlug::dispatch
{

namespace
{

using core::Outcome;
using core::Reason;

constexpr int Ok = 200;
constexpr int FirstServerError = 500;
constexpr std::size_t MaxEventBytes = 256 << 10; ///< Limit of a stream event, as in the relay.
constexpr std::size_t MaxErrorBytes = 200; ///< What is kept of the body of an engine's error, for logs and callers.
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

/// How an exchange with a target ended.
struct ExchangeEnd
{
    bool connected = false;
    std::string error = "the exchange was interrupted"; ///< Empty if the response is complete.
};

core::Address addressOf(const AttemptRequest &attempt)
{
    auto address = attempt.target;
    if (address.host == "localhost") {
        address.host = "127.0.0.1";
    }
    return address;
}

net::Request makeRequest(const AttemptRequest &attempt)
{
    net::Request request;
    request.method = attempt.method;
    request.target = attempt.path;
    request.hasBody = attempt.method == "POST" || attempt.method == "PUT" || attempt.method == "PATCH";
    request.headers.add("Host", attempt.target.text());
    for (const auto &[name, value] : attempt.headers) {
        // The library that reads callers' requests decodes escapes, so that a value may contain any byte.
        if (core::isToken(name) && value.find_first_of(std::string_view("\0\r\n", 3)) == std::string::npos) {
            request.headers.add(name, value);
        }
    }
    request.headers.set("Connection", "close");
    request.headers.set("Request-Id", attempt.requestId);
    request.headers.set("Request-Attempt", core::cat(attempt.attempt));
    return request;
}

/// Sends a request on a new connection. The functions get the head and the body of the response as they arrive, and
/// return whether the rest is wanted.
template<typename OnHead, typename OnBytes>
net::Task<> exchange(net::ClientConnection &connection, const AttemptRequest &attempt, const OnHead &onHead,
                     const OnBytes &onBytes, ExchangeEnd &end)
{
    constexpr auto ConnectTimeout = absl::Seconds(1);
    const auto connectError = co_await connection.connect(addressOf(attempt), ConnectTimeout);
    if (!connectError.empty()) {
        end.error = connectError;
        co_return;
    }
    end.connected = true;
    static const std::string emptyBody;
    const auto *body = attempt.body != nullptr ? attempt.body : &emptyBody;
    connection.startSend(makeRequest(attempt), net::SharedBody(net::SharedBody(), body)); // The attempt owns the body.
    const auto head = co_await connection.readHead(core::now() + attempt.timeout);
    if (!head) {
        end.error = connection.lastError();
        co_return;
    }
    for (bool isWanted = onHead(*head); isWanted;) {
        auto piece = co_await connection.readBody(core::now() + attempt.timeout);
        isWanted = piece.bytes.empty() || onBytes(piece.bytes);
        if (piece.state == net::BodyPiece::State::Failed) {
            end.error = connection.lastError();
            co_return;
        }
        if (isWanted && piece.state == net::BodyPiece::State::Complete) {
            end.error.clear();
            co_return;
        }
    }
}

/// Runs an exchange on a loop of its own. Cancelling the channel closes the connection, by which the target notices
/// that the answer is no longer wanted.
template<typename OnHead, typename OnBytes>
ExchangeEnd send(const AttemptRequest &attempt, EventChannel &events, const OnHead &onHead, const OnBytes &onBytes)
{
    net::Loop loop;
    net::ClientConnection connection(loop);
    connection.limitBodies(std::numeric_limits<std::uint64_t>::max());
    ExchangeEnd end;
    net::spawn(loop, "target_exchange",
               [](net::ClientConnection &to, const AttemptRequest &sent, const OnHead &headSink,
                  const OnBytes &byteSink, ExchangeEnd &ended) -> net::Task<> {
                   co_await exchange(to, sent, headSink, byteSink, ended);
                   to.abort(); // The request may still be being written.
               }(connection, attempt, onHead, onBytes, end));
    events.setOnCancel([&loop, &connection] { net::asio::post(loop, [&connection] { connection.abort(); }); });
    loop.run();
    events.setOnCancel(nullptr);
    return end;
}

void recordHead(const net::ResponseHead &head, ResponseProgress &progress)
{
    progress.status = head.status;
    progress.refusedBeforeStart = head.headers.value(RequestRanHeader) == "no";
    [[maybe_unused]] const bool isNumber
        = core::parseInteger(head.headers.value("Retry-After"), progress.retryAfterSeconds);
}

/// The request is sent as soon as the connection is established, so only a connection failure proves that nothing was
/// sent.
AttemptResult resultOfError(const ExchangeEnd &end, const ResponseProgress &progress)
{
    if (!end.connected) {
        return {Outcome::NotRun, Reason::ConnectFailed, 0, end.error, true};
    }
    const auto reason = progress.status == 0 ? Reason::TargetFailed : Reason::StreamInterrupted;
    return {Outcome::MayHaveRun, reason, progress.status, end.error, true};
}

AttemptResult resultOfStatus(const ResponseProgress &progress)
{
    const auto detail = core::cat("status ", progress.status, " ", progress.errorBody);
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

HeadEvent toHeadEvent(const net::ResponseHead &head)
{
    HeadEvent event{head.status, {}};
    for (const auto &field : head.headers.fields()) {
        const bool isConnectionHeader
            = core::equalsIgnoreCase(field.name, "Connection") || core::equalsIgnoreCase(field.name, "Keep-Alive");
        if (!isConnectionHeader) {
            event.headers.emplace_back(field.name, field.value);
        }
    }
    return event;
}

} // namespace

void EngineClient::run(const AttemptRequest &attempt, EventChannel &events) const
{
    ResponseProgress progress;
    SseParser parser;
    const auto onHead = [&progress](const net::ResponseHead &head) {
        recordHead(head, progress);
        return true;
    };
    const auto onBytes = [&](const std::string &bytes) {
        if (progress.status != Ok) {
            progress.errorBody.append(bytes, 0, MaxErrorBytes - progress.errorBody.size());
            return true;
        }
        parser.feed(bytes);
        while (const auto event = parser.next()) {
            if (!pushEngineEvent(*event, events, progress)) {
                return false;
            }
        }
        return parser.pendingBytes() <= MaxEventBytes;
    };
    auto end = send(attempt, events, onHead, onBytes);
    if (parser.pendingBytes() > MaxEventBytes) {
        end.error = core::cat("a stream event exceeds ", MaxEventBytes, " bytes");
    }
    if (progress.finished) {
        events.push(AttemptResult{Outcome::Completed, Reason::None, progress.status, {}, false});
    } else if (!end.error.empty()) {
        events.push(resultOfError(end, progress));
    } else if (progress.status == Ok) {
        events.push(AttemptResult{Outcome::MayHaveRun, Reason::StreamInterrupted, Ok, "the stream ended early", true});
    } else {
        events.push(resultOfStatus(progress));
    }
}

void ServiceClient::run(const AttemptRequest &attempt, EventChannel &events) const
{
    ResponseProgress progress;
    const auto onHead = [&](const net::ResponseHead &head) {
        recordHead(head, progress);
        return progress.refusedBeforeStart || events.push(toHeadEvent(head));
    };
    const auto onBytes
        = [&](const std::string &bytes) { return progress.refusedBeforeStart || events.push(BytesEvent{bytes}); };
    const auto end = send(attempt, events, onHead, onBytes);
    if (!end.error.empty()) {
        events.push(resultOfError(end, progress));
    } else if (progress.refusedBeforeStart) {
        events.push(resultOfStatus(progress));
    } else {
        const bool failed = progress.status >= FirstServerError;
        events.push(AttemptResult{Outcome::Completed, Reason::None, progress.status, {}, failed});
    }
}

} // namespace spurlug::dispatch
