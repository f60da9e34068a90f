//----------------------------------------------------------------------------------------------------------------------
// spurlug: HTTP status codes and the status of each reason
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/reason.h"

namespace spurlug::core::http_status
{

inline constexpr int Ok = 200;
inline constexpr int FirstRedirect = 300; ///< Successful statuses are from Ok to below this value.
inline constexpr int BadRequest = 400;
inline constexpr int Unauthorised = 401;
inline constexpr int NotFound = 404;
inline constexpr int RequestTimeout = 408;
inline constexpr int Conflict = 409;
inline constexpr int Gone = 410;
inline constexpr int PayloadTooLarge = 413;
inline constexpr int MisdirectedRequest = 421;
inline constexpr int TooManyRequests = 429;
inline constexpr int HeaderFieldsTooLarge = 431;
inline constexpr int FirstServerError = 500;
inline constexpr int BadGateway = 502;
inline constexpr int ServiceUnavailable = 503;
inline constexpr int GatewayTimeout = 504;

/// \brief HTTP status of the answer to a request that was refused or failed for `reason`.
[[nodiscard]] int statusOf(Reason reason) noexcept;

} // namespace spurlug::core::http_status
