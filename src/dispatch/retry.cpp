//----------------------------------------------------------------------------------------------------------------------
// spurlug: decides whether and when a failed request is retried
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/dispatch/retry.h"

#include <algorithm>

namespace spurlug::dispatch
{

RetryDecision decideRetry(const RetryState &state, const AttemptEnd &end, const RetryRule &rule, double jitter,
                          core::Time now)
{
    using core::Outcome;
    using core::Reason;
    if (end.outcome == Outcome::Completed || end.reason == Reason::CallerGone) {
        return {};
    }
    if (end.outcome == Outcome::MayHaveRun && !state.repeatable) {
        return {false, {}, Reason::NotRepeatable};
    }
    if (state.attempts >= rule.mostAttempts) {
        return {false, {}, Reason::RetryBudget};
    }
    const auto full = std::min(rule.firstDelay * (1 << (state.attempts - 1)), rule.longestDelay);
    const auto delay = full / 2 + full / 2 * jitter;
    if (now + delay >= state.deadline) {
        return {false, {}, Reason::DeadlinePassed};
    }
    return {true, delay, Reason::None};
}

RetryBudget::RetryBudget(double share, double most)
    : m_share(share)
    , m_most(most)
    , m_saved(most)
{ }

void RetryBudget::deposit()
{
    absl::MutexLock lock(&m_mutex);
    m_saved = std::min(m_most, m_saved + m_share);
}

bool RetryBudget::withdraw()
{
    absl::MutexLock lock(&m_mutex);
    if (m_saved < 1) {
        return false;
    }
    m_saved -= 1;
    return true;
}

} // namespace spurlug::dispatch
