//----------------------------------------------------------------------------------------------------------------------
// spurlug: error responses for callers whose request is refused or fails
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/error.h"
#include "spurlug/core/reason.h"
#include "spurlug/dispatch/attempt.h"
#include "spurlug/fwd.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace spurlug::daemon
{

/// \brief Contents of an error response to a caller.
struct ErrorReply
{
    core::Reason reason = core::Reason::None;
    core::Outcome outcome = core::Outcome::NotRun;
    std::string message;
    std::string requestId;
    int retryAfterSeconds = 0; ///< Value of `Retry-After`; 0 omits it.
};

/// \brief Returns the error response for a refused request.
[[nodiscard]] ErrorReply toReply(const core::Refused &refusal, const std::string &requestId);

/// \brief Returns the error response for a request that failed and will not be retried.
[[nodiscard]] ErrorReply toReply(const dispatch::AttemptResult &end, const std::string &requestId);

/// \brief Returns the error as JSON in the format of the OpenAI API.
[[nodiscard]] nlohmann::ordered_json errorBody(const ErrorReply &reply);

/// \brief Sets status, headers and body of `response` from `reply`.
void writeError(httplib::Response &response, const ErrorReply &reply);

} // namespace spurlug::daemon
