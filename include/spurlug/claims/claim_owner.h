//----------------------------------------------------------------------------------------------------------------------
// spurlug: commits the claims of a failure domain in batches
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

/// \brief Collects claim requests and commits them periodically, with one write per shard. Thread-safe.
///
/// Two owners at the same time cause conflicts, but never a second run of a request, because claims are stored by
/// conditional update.
class ClaimOwner
{
public:
    using OnAnswer = std::function<void(const ClaimAnswer &)>;

    ClaimOwner(const objects::HttpObjectApi &platform, metrics::Metrics &metrics);
    ~ClaimOwner();
    ClaimOwner(const ClaimOwner &) = delete;
    ClaimOwner &operator=(const ClaimOwner &) = delete;

    /// \brief Queues a claim request; `onAnswer` is called once, after the next commit.
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
