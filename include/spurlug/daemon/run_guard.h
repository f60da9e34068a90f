//----------------------------------------------------------------------------------------------------------------------
// spurlug: a request whose caller is being answered
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

/// \brief Time between looks at whether the caller is still there.
inline constexpr auto CallerLookInterval = absl::Milliseconds(250);

/// \brief Abandons its run when the caller's side ends, in whatever way, and gives a claimed key back if nothing ran.
struct RunGuard
{
    using GiveBack = std::function<void()>;

    core::Ref<dispatch::RequestRun> run;
    limits::OrganisationLimiter::LongPlace longPlace;
    GiveBack giveBack; ///< Null when no key was claimed.

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
