//----------------------------------------------------------------------------------------------------------------------
// spurlug: what the relay needs to know of requests and answers, whatever protocol carries them
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

/// \brief The prompt of a request to a model engine, tokens.
struct PromptFacts
{
    std::int64_t promptTokens = 0;
    std::int64_t mostAnswerTokens = 0; ///< Most that may be generated.

    /// \brief KV memory that the request can come to need.
    [[nodiscard]] std::int64_t memoryTokens() const noexcept
    {
        return promptTokens + mostAnswerTokens;
    }
};

/// \brief A caller's request, as far as decisions depend on it.
struct RequestFacts
{
    std::string id; ///< The caller's; unique to each of its tries.
    std::string host; ///< Without a port.
    std::string path; ///< Without a query.
    std::optional<std::string> key; ///< The caller's API key.
    core::Duration patience = absl::InfiniteDuration(); ///< How long the caller waits.
    std::optional<PromptFacts> prompt;
    std::optional<std::int64_t> resumeAfter; ///< The caller has a stream's events up to this one.
    core::Digest content; ///< Of method, path with its query, and body.
};

/// \brief An engine that reads a part of a prompt for another one.
struct HelperRef
{
    core::Address address;
    std::string reservation; ///< KV memory set aside there for the prompt; empty: none.
};

/// \brief What one sending of a request tells its target beside the caller's own words.
struct AttemptFacts
{
    std::string targetId;
    core::Address target;
    std::string organisation; ///< Empty: none.
    core::Duration timeLeft;
    std::optional<std::int64_t> resumeAfter;
    std::vector<HelperRef> helpers;
    std::optional<int> priority; ///< 0 is the most urgent.
};

/// \brief What the head of a target's answer says.
struct AnswerFacts
{
    std::string requestId; ///< Of the request it answers.
    int status = 0;
    bool notRun = false; ///< The target did not begin the work.
    bool wrongTarget = false; ///< The address belongs to another target now.
    bool hasSignature = false; ///< The target's proof that the answer is its own.
    bool isEventStream = false;
    bool encoded = false; ///< The body is not in the form the caller asked for.
    std::optional<core::Address> faultAt; ///< The helper that was at fault.
    bool leaving = false; ///< The target ends soon.
    std::optional<core::Duration> cold; ///< How much longer the target is slow; nothing: not told.
    bool coldUnreadable = false; ///< It told a time that is none.
    std::optional<core::Duration> retryAfter; ///< Time in which it wants nothing from this daemon; nothing: not told.
    bool retryAfterUnreadable = false; ///< It told a time that is none.
    std::optional<double> rateLimit; ///< Requests a second that the target takes from all daemons; nothing: not told.
    bool rateLimitUnreadable = false; ///< It told a rate that is none.
};

/// \brief Why a request is answered by the relay itself.
struct Refusal
{
    int status = 503;
    core::Reason reason = core::Reason::None;
    core::Duration retryAfter = absl::ZeroDuration(); ///< When to come back; 0: not told.
};

} // namespace spurlug::relay
