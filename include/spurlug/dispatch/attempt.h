//----------------------------------------------------------------------------------------------------------------------
// spurlug: request and result of one attempt to serve a caller's request
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

/// \brief The request that one attempt sends to a target.
struct AttemptRequest
{
    std::string requestId;
    int attempt = 0; ///< Number of the attempt within its request; counts from 1 upwards.
    core::Address target;
    std::string path;
    std::string method = "POST";
    const std::string *body = nullptr; ///< Owned by the request and valid until the attempt ends.
    std::vector<std::pair<std::string, std::string>> headers;
    core::Duration timeout; ///< Read and write timeout: maximum time without progress on the connection.
};

/// \brief The result of an attempt.
struct AttemptResult
{
    core::Outcome outcome = core::Outcome::MayHaveRun;
    core::Reason reason = core::Reason::None;
    int status = 0; ///< HTTP status that the target sent; 0 if none was received.
    std::string detail = ""; ///< Description of a failure for logs and callers.
    bool targetFailed = false; ///< Whether the attempt counts as a failure of the target.
    int retryAfterSeconds = 0; ///< Cooldown that the target requested; 0 if it requested none.
};

} // namespace spurlug::dispatch
