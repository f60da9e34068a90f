//----------------------------------------------------------------------------------------------------------------------
// spurlug: whether, when and why a request is sent again
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/reason.h"
#include "spurlug/core/time.h"
#include "spurlug/dispatch/attempt.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <cstdint>

namespace spurlug::dispatch
{

/// \brief Bounds on retries.
struct RetryRule
{
    int mostAttempts = 4;
    core::Duration firstDelay = core::fromMs(10); ///< Doubles with each attempt; half of it is jitter.
    core::Duration longestDelay = core::fromMs(500);
};

/// \brief What is known of a request when an attempt has failed.
struct RetryState
{
    bool repeatable = true; ///< Whether the work may be done twice.
    int attempts = 0; ///< Attempts made so far.
    core::Time deadline;
};

/// \brief What to do after a failed attempt.
struct RetryDecision
{
    bool retry = false;
    core::Duration delay; ///< Wait before the next attempt.
    core::Reason refusedBecause = core::Reason::None; ///< Why not, when the attempt itself would allow it.
};

/// \brief Decides on a retry, the retry budget not counted.
///
/// A request that may have run is sent again only when it may be repeated.
/// \param jitter A random number from 0 to 1.
[[nodiscard]] RetryDecision decideRetry(const RetryState &state, const AttemptEnd &end, const RetryRule &rule,
                                        double jitter, core::Time now);

/// \brief Keeps retries to a share of recent requests, so that a failing pool is not drowned by them.
class RetryBudget
{
public:
    /// \param share Retries allowed per request.
    /// \param most Most retries saved up.
    explicit RetryBudget(double share = 0.2, double most = 50);

    /// \brief Notes a first attempt.
    void deposit() ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Takes one retry.
    /// \returns False when the budget is spent.
    [[nodiscard]] bool withdraw() ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    const double m_share;
    const double m_most;
    absl::Mutex m_mutex;
    double m_saved ABSL_GUARDED_BY(m_mutex);
};

} // namespace spurlug::dispatch
