//----------------------------------------------------------------------------------------------------------------------
// spurlug: error responses for callers whose request is refused or fails
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/daemon/error_body.h"

#include "spurlug/core/http_status.h"

#include <absl/strings/str_cat.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace spurlug::daemon
{

namespace
{

using namespace core::http_status;

std::string_view typeOf(int status) noexcept
{
    switch (status) {
    case Unauthorised:
        return "authentication_error";
    case TooManyRequests:
        return "rate_limit_error";
    case BadRequest:
    case NotFound:
    case Conflict:
    case PayloadTooLarge:
        return "invalid_request_error";
    default:
        return "server_error";
    }
}

} // namespace

ErrorReply toReply(const core::Refused &refusal, const std::string &requestId)
{
    return {refusal.reason(), core::Outcome::NotRun, refusal.what(), requestId, refusal.retryAfterSeconds()};
}

ErrorReply toReply(const dispatch::AttemptResult &end, const std::string &requestId)
{
    return {end.reason, end.outcome, end.detail, requestId, end.retryAfterSeconds};
}

nlohmann::ordered_json errorBody(const ErrorReply &reply)
{
    nlohmann::ordered_json error{{"message", reply.message},
                                 {"type", typeOf(statusOf(reply.reason))},
                                 {"param", nullptr},
                                 {"code", core::nameOf(reply.reason)},
                                 {"request_id", reply.requestId},
                                 {"outcome", core::nameOf(reply.outcome)}};
    return {{"error", std::move(error)}};
}

void writeError(httplib::Response &response, const ErrorReply &reply)
{
    response.status = statusOf(reply.reason);
    response.set_header("Spurlug-Outcome", std::string(core::nameOf(reply.outcome)));
    if (reply.retryAfterSeconds > 0) {
        response.set_header("Retry-After", std::to_string(reply.retryAfterSeconds));
    }
    constexpr auto Replace = nlohmann::json::error_handler_t::replace;
    response.set_content(errorBody(reply).dump(-1, ' ', false, Replace), "application/json");
}

} // namespace spurlug::daemon
