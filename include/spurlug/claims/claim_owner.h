//----------------------------------------------------------------------------------------------------------------------
// spurlug: commits the claims of a failure domain together
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/claims/commit.h"
#include "spurlug/core/periodic.h"
#include "spurlug/metrics/metrics.h"
#include "spurlug/objects/object_api.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <functional>
#include <memory>
#include <vector>

namespace spurlug::claims
{

/// \brief Collects wishes and commits them in one write a shard and round. Safe to use from several threads.
///
/// Two owners at once cost conflicts, never a second run: the conditional update decides.
class ClaimOwner
{
public:
    using OnAnswer = std::function<void(const ClaimAnswer &)>;

    ClaimOwner(const objects::HttpObjectApi &platform, metrics::Metrics &metrics);
    ~ClaimOwner();
    ClaimOwner(const ClaimOwner &) = delete;
    ClaimOwner &operator=(const ClaimOwner &) = delete;

    /// \brief Adds a wish; `onAnswer` is called once, after the next round.
    void wish(ClaimWish wish, OnAnswer onAnswer) ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    struct Waiting
    {
        ClaimWish wish;
        OnAnswer onAnswer;
    };

    core::Duration commitRound() ABSL_LOCKS_EXCLUDED(m_mutex);
    void commitShard(int shard, const std::vector<Waiting> &waiting);

    const objects::HttpObjectApi &m_platform;
    metrics::Metrics &m_metrics;
    absl::Mutex m_mutex;
    std::vector<Waiting> m_waiting ABSL_GUARDED_BY(m_mutex);
    std::unique_ptr<core::Periodic> m_committer;
};

} // namespace spurlug::claims
