//----------------------------------------------------------------------------------------------------------------------
// spurlug: decides whether and when a failed request is retried
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/dispatch/retry.h"

#include <algorithm>

namespace spurlug::dispatch
{

RetryDecision decideRetry(const RetryState &state, const AttemptResult &result, const RetryPolicy &policy,
                          double jitter, core::Time now)
{
    using core::Outcome;
    using core::Reason;
    if (result.outcome == Outcome::Completed || result.reason == Reason::CallerDisconnected) {
        return {};
    }
    if (result.outcome == Outcome::MayHaveRun && !state.repeatable) {
        return {false, {}, Reason::NotRepeatable};
    }
    if (state.attemptsMade >= policy.maxAttempts) {
        return {false, {}, Reason::RetryBudget};
    }
    const auto backoff = std::min(policy.initialDelay * (1 << (state.attemptsMade - 1)), policy.maxDelay);
    const auto delay = backoff / 2 + backoff / 2 * jitter;
    if (now + delay >= state.deadline) {
        return {false, {}, Reason::DeadlinePassed};
    }
    return {true, delay, Reason::None};
}

RetryBudget::RetryBudget(double retriesPerRequest, double maxRetries)
    : m_retriesPerRequest(retriesPerRequest)
    , m_maxRetries(maxRetries)
    , m_availableRetries(maxRetries)
{ }

void RetryBudget::deposit()
{
    absl::MutexLock lock(&m_mutex);
    m_availableRetries = std::min(m_maxRetries, m_availableRetries + m_retriesPerRequest);
}

bool RetryBudget::withdraw()
{
    absl::MutexLock lock(&m_mutex);
    if (m_availableRetries < 1) {
        return false;
    }
    m_availableRetries -= 1;
    return true;
}

} // namespace spurlug::dispatch
