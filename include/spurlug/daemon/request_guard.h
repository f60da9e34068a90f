//----------------------------------------------------------------------------------------------------------------------
// spurlug: ties a request to the response to its caller
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/counted.h"
#include "spurlug/dispatch/request_handler.h"
#include "spurlug/limits/organisation_limiter.h"

#include <functional>
#include <utility>

namespace spurlug::daemon
{

/// \brief Interval between checks whether the caller is still connected.
inline constexpr auto CallerCheckInterval = absl::Milliseconds(250);

/// \brief Abandons its request when the response to the caller ends for any reason, and releases a claimed idempotency
/// key if no target can have run the request.
struct RequestGuard
{
    using ReleaseClaim = std::function<void()>;

    core::Ref<dispatch::RequestHandler> handler;
    limits::OrganisationLimiter::LongPromptSlot longPromptSlot;
    ReleaseClaim releaseClaim; ///< Releases the claim; null if no key was claimed.

    RequestGuard(core::Ref<dispatch::RequestHandler> theHandler, limits::OrganisationLimiter::LongPromptSlot slot,
                 ReleaseClaim theReleaseClaim)
        : handler(std::move(theHandler))
        , longPromptSlot(std::move(slot))
        , releaseClaim(std::move(theReleaseClaim))
    { }
    ~RequestGuard()
    {
        handler->abandon();
        if (releaseClaim && handler->outcome() == core::Outcome::NotRun) {
            releaseClaim();
        }
    }
    RequestGuard(const RequestGuard &) = delete;
    RequestGuard &operator=(const RequestGuard &) = delete;
};

} // namespace spurlug::daemon
