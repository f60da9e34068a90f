//----------------------------------------------------------------------------------------------------------------------
// spurlug: ties a request to the response to its caller
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/counted.h"
#include "spurlug/dispatch/request_run.h"
#include "spurlug/limits/organisation_limiter.h"

#include <functional>
#include <utility>

namespace spurlug::daemon
{

/// \brief Interval between checks whether the caller is still connected.
inline constexpr auto CallerLookInterval = absl::Milliseconds(250);

/// \brief Abandons its request when the response to the caller ends for any reason, and releases a claimed idempotency
/// key if no target can have run the request.
struct RunGuard
{
    using GiveBack = std::function<void()>;

    core::Ref<dispatch::RequestRun> run;
    limits::OrganisationLimiter::LongPlace longPlace;
    GiveBack giveBack; ///< Releases the claim; null if no key was claimed.

    RunGuard(core::Ref<dispatch::RequestRun> theRun, limits::OrganisationLimiter::LongPlace place, GiveBack theGiveBack)
        : run(std::move(theRun))
        , longPlace(std::move(place))
        , giveBack(std::move(theGiveBack))
    { }
    ~RunGuard()
    {
        run->abandon();
        if (giveBack && run->outcome() == core::Outcome::NotRun) {
            giveBack();
        }
    }
    RunGuard(const RunGuard &) = delete;
    RunGuard &operator=(const RunGuard &) = delete;
};

} // namespace spurlug::daemon
