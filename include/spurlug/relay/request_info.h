//----------------------------------------------------------------------------------------------------------------------
// spurlug: protocol-independent data about requests and answers
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/hash.h"
#include "spurlug/core/reason.h"
#include "spurlug/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace spurlug::relay
{

/// \brief Prompt size of a request to a model engine, in tokens.
struct PromptInfo
{
    std::int64_t promptTokens = 0;
    std::int64_t maxAnswerTokens = 0; ///< Maximum number of tokens to generate.

    /// \brief Maximum KV memory that the request can need, in tokens.
    [[nodiscard]] std::int64_t maxMemoryTokens() const noexcept
    {
        return promptTokens + maxAnswerTokens;
    }
};

/// \brief The properties of a caller's request that relay decisions depend on.
struct RequestInfo
{
    std::string id; ///< Request ID that the caller sets; each of its retries has another one.
    std::string host; ///< Host name without the port.
    std::string path; ///< Path without the query.
    std::optional<std::string> key; ///< API key of the caller, if it sent one.
    core::Duration requestTimeout = absl::InfiniteDuration(); ///< How long the caller waits after its request arrived.
    std::optional<PromptInfo> prompt; ///< Set for requests that carry a prompt.
    /// IDs of the parts of the prompt, in order. Requests share parts, but for the last one, which belongs to the
    /// request or its session.
    std::vector<std::string> promptParts;
    std::optional<std::int64_t> resumeAfter; ///< ID of the last stream event that the caller already has.
    core::Digest contentDigest; ///< Digest of the method, the path with its query, and the body.
};

/// \brief An engine that processes a part of a prompt for another engine.
struct HelperRef
{
    core::Address address;
    std::string reservationId; ///< ID of the KV memory reservation there; empty if there is none.
};

/// \brief The data that the relay adds to the caller's request for one attempt.
struct AttemptInfo
{
    std::string targetId;
    core::Address target;
    std::string organisation; ///< Organisation of the caller; empty if there is none.
    core::Duration timeLeft; ///< Time until the deadline of the request.
    std::optional<std::int64_t> resumeAfter; ///< ID of the last stream event that the caller already has.
    std::vector<HelperRef> helpers;
    std::optional<int> priority; ///< Priority for engines; 0 is the most urgent.
};

/// \brief The information in the head of a target's answer.
struct AnswerInfo
{
    std::string requestId; ///< ID of the request that is answered.
    int status = 0; ///< HTTP status.
    bool notRun = false; ///< The target did not start processing the request.
    bool wrongTarget = false; ///< The address now belongs to another target.
    bool hasSignature = false; ///< The answer has the target's signature.
    bool isEventStream = false;
    bool hasContentEncoding = false; ///< The body has a content encoding, which the caller did not ask for.
    std::optional<core::Address> failedHelper; ///< Address of the helper that caused the failure.
    bool draining = false; ///< The target is about to shut down.
    std::optional<core::Duration> remainingWarmUp; ///< How much longer the target is slow, if stated.
    bool warmUpInvalid = false; ///< `cold` was sent but is not a valid duration.
    std::optional<core::Duration> retryAfter; ///< How long this daemon must send the target nothing, if stated.
    bool retryAfterInvalid = false; ///< `retryAfter` was sent but is not a valid duration or date.
    std::optional<double> rateLimit; ///< Requests per second that the target accepts from all daemons, if stated.
    bool rateLimitInvalid = false; ///< `rateLimit` was sent but is not a valid rate.
};

/// \brief An error answer that the relay itself gives to a request.
struct Refusal
{
    int status = 503; ///< HTTP status.
    core::Reason reason = core::Reason::None;
    core::Duration retryAfter = absl::ZeroDuration(); ///< Time after which the caller should retry; not sent if 0.
};

} // namespace spurlug::relay
