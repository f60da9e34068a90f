//----------------------------------------------------------------------------------------------------------------------
// spurlug: commits the claims of a failure domain in batches
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/claims/commit.h"
#include "spurlug/core/periodic_thread.h"
#include "spurlug/metrics/metrics.h"
#include "spurlug/objects/object_api.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <functional>
#include <memory>
#include <vector>

namespace spurlug::claims
{

/// \brief Collects claim requests and commits them periodically, with one write per shard. Thread-safe.
///
/// Two owners at the same time cause conflicts, but never a second run of a request, because claims are stored by
/// conditional update.
class ClaimCommitter
{
public:
    using OnAnswer = std::function<void(const ClaimAnswer &)>;

    ClaimCommitter(const objects::HttpObjectApi &platform, metrics::Metrics &metrics);
    ~ClaimCommitter();
    ClaimCommitter(const ClaimCommitter &) = delete;
    ClaimCommitter &operator=(const ClaimCommitter &) = delete;

    /// \brief Queues a claim request; `onReply` is called once, after the next commit.
    void submit(ClaimWish wish, OnAnswer onAnswer) ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    struct PendingRequest
    {
        ClaimWish request;
        OnAnswer onAnswer;
    };

    core::Duration commitPending() ABSL_LOCKS_EXCLUDED(m_mutex);
    void commitShard(int shard, const std::vector<PendingRequest> &pending);

    const objects::HttpObjectApi &m_platform;
    metrics::Metrics &m_metrics;
    absl::Mutex m_mutex;
    std::vector<PendingRequest> m_pending ABSL_GUARDED_BY(m_mutex);
    std::unique_ptr<core::PeriodicThread> m_committer;
};

} // namespace spurlug::claims
