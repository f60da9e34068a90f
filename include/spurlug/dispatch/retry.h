//----------------------------------------------------------------------------------------------------------------------
// spurlug: decides whether and when a failed request is retried
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

/// \brief Maximum number of attempts, and the exponential backoff between them.
struct RetryPolicy
{
    int maxAttempts = 4;
    core::Duration initialDelay = core::fromMs(10); ///< Doubles with each attempt; half of each delay is random jitter.
    core::Duration maxDelay = core::fromMs(500);
};

/// \brief State of a request after a failed attempt.
struct RetryState
{
    bool repeatable = true; ///< Whether the request may be executed more than once.
    int attemptsMade = 0; ///< Attempts made so far.
    core::Time deadline;
};

/// \brief Whether to retry after a failed attempt, and when.
struct RetryDecision
{
    bool retry = false;
    core::Duration delay; ///< Wait before the next attempt.
    core::Reason refusalReason
        = core::Reason::None; ///< Why a retry was refused; None if the attempt was complete or its caller is gone.
};

/// \brief Decides whether to retry, without regard to the retry budget.
///
/// A request that may have run is retried only if it is repeatable.
/// \param jitter Random number from 0 to 1.
[[nodiscard]] RetryDecision decideRetry(const RetryState &state, const AttemptResult &result, const RetryPolicy &policy,
                                        double jitter, core::Time now);

/// \brief Limits retries to a share of recent requests, so that retries do not overload a failing pool.
class RetryBudget
{
public:
    /// \brief Creates a full budget from the retries that each request adds and the maximum number of retries in it.
    explicit RetryBudget(double retriesPerRequest = 0.2, double maxRetries = 50);

    /// \brief Adds the share of one new request to the budget.
    void deposit() ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Takes one retry from the budget.
    /// \returns False if less than one retry is left.
    [[nodiscard]] bool withdraw() ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    const double m_retriesPerRequest;
    const double m_maxRetries;
    absl::Mutex m_mutex;
    double m_availableRetries ABSL_GUARDED_BY(m_mutex);
};

} // namespace spurlug::dispatch
