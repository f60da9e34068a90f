//----------------------------------------------------------------------------------------------------------------------
// spurlug: HTTP status codes and the status of each reason
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/http_status.h"

namespace spurlug::core::http_status
{

int statusOf(Reason reason) noexcept
{
    switch (reason) {
    case Reason::MissingKey:
    case Reason::UnknownKey:
        return Unauthorised;
    case Reason::MalformedRequest:
    case Reason::MalformedBody:
    case Reason::UnknownClass:
    case Reason::InvalidDeadline:
    case Reason::PromptTooLong:
        return BadRequest;
    case Reason::UnknownPath:
    case Reason::UnknownModel:
    case Reason::UnknownService:
        return NotFound;
    case Reason::AlreadyClaimed:
        return Conflict;
    case Reason::BodyTooLarge:
        return PayloadTooLarge;
    case Reason::RequestRate:
    case Reason::TokenBudget:
    case Reason::LongPrompts:
        return TooManyRequests;
    case Reason::TargetFailed:
    case Reason::StreamInterrupted:
    case Reason::NotRepeatable:
        return BadGateway;
    case Reason::DeadlinePassed:
        return GatewayTimeout;
    default:
        return ServiceUnavailable;
    }
}

} // namespace spurlug::core::http_status
