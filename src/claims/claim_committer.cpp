//----------------------------------------------------------------------------------------------------------------------
// spurlug: commits the claims of a failure domain in batches
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/claims/claim_committer.h"

#include <absl/time/clock.h>
#include <array>
#include <utility>

namespace spurlug::claims
{

namespace
{

constexpr auto CommitInterval = absl::Milliseconds(250);

} // namespace

ClaimCommitter::ClaimCommitter(const objects::HttpObjectApi &platform, metrics::Metrics &metrics)
    : m_platform(platform)
    , m_metrics(metrics)
    , m_committer(std::make_unique<core::PeriodicThread>("claims", [this] { return commitPending(); }))
{ }

ClaimCommitter::~ClaimCommitter()
{
    m_committer.reset();
    commitPending();
}

void ClaimCommitter::submit(ClaimWish wish, OnAnswer onAnswer)
{
    absl::MutexLock lock(&m_mutex);
    m_pending.push_back({std::move(wish), std::move(onAnswer)});
}

core::Duration ClaimCommitter::commitPending()
{
    std::vector<PendingRequest> pending;
    {
        absl::MutexLock lock(&m_mutex);
        pending.swap(m_pending);
    }
    std::array<std::vector<PendingRequest>, ShardCount> byShard;
    for (auto &item : pending) {
        byShard[static_cast<std::size_t>(shardOf(item.request.name))].push_back(std::move(item));
    }
    for (int shard = 0; shard < ShardCount; ++shard) {
        commitShard(shard, byShard[static_cast<std::size_t>(shard)]);
    }
    return CommitInterval;
}

void ClaimCommitter::commitShard(int shard, const std::vector<PendingRequest> &pending)
{
    if (pending.empty()) {
        return;
    }
    std::vector<ClaimWish> requests;
    requests.reserve(pending.size());
    for (const auto &item : pending) {
        requests.push_back(item.request);
    }
    m_metrics.count(metrics::Counter::PlatformReads);
    m_metrics.count(metrics::Counter::PlatformWrites);
    const auto answers = commit(m_platform, shard, requests, absl::ToUnixSeconds(absl::Now()));
    for (std::size_t i = 0; i < pending.size(); ++i) {
        pending[i].onAnswer(answers[i]);
    }
}

} // namespace spurlug::claims
