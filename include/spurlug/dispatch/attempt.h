//----------------------------------------------------------------------------------------------------------------------
// spurlug: one attempt to serve a request, and how it ended
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/reason.h"
#include "spurlug/core/time.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace spurlug::dispatch
{

/// \brief What one attempt sends to a target.
struct AttemptRequest
{
    std::string requestId;
    int attempt = 0; ///< Counted from 1 within a request.
    core::Address target;
    std::string path;
    std::string method = "POST";
    const std::string *body = nullptr; ///< Held by the request; outlives the attempt.
    std::vector<std::pair<std::string, std::string>> headers;
    core::Duration timeout; ///< Longest silence of the target.
};

/// \brief How an attempt ended.
struct AttemptEnd
{
    core::Outcome outcome = core::Outcome::MayHaveRun;
    core::Reason reason = core::Reason::None;
    int status = 0; ///< HTTP status of the target; 0: none was received.
    std::string detail = ""; ///< One sentence for logs and callers.
    bool targetFailed = false; ///< Whether the target was at fault.
    int retryAfterSeconds = 0; ///< Time in which the target wants nothing from this daemon; 0: not told.
};

} // namespace spurlug::dispatch
