//----------------------------------------------------------------------------------------------------------------------
// spurlug: what callers are told when a request is refused or fails
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

/// \brief A refusal or failure as callers see it.
struct ErrorReply
{
    core::Reason reason = core::Reason::None;
    core::Outcome outcome = core::Outcome::NotRun;
    std::string message;
    std::string requestId;
    int retryAfterSeconds = 0; ///< 0: not told.
};

/// \brief A refusal, as its caller sees it.
[[nodiscard]] ErrorReply toReply(const core::Refused &refusal, const std::string &requestId);

/// \brief A request that failed for good, as its caller sees it.
[[nodiscard]] ErrorReply toReply(const dispatch::AttemptEnd &end, const std::string &requestId);

/// \brief The error in the shape that OpenAI clients read.
[[nodiscard]] nlohmann::ordered_json errorBody(const ErrorReply &reply);

/// \brief Makes a response of it.
void writeError(httplib::Response &response, const ErrorReply &reply);

} // namespace spurlug::daemon
