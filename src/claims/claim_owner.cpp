//----------------------------------------------------------------------------------------------------------------------
// spurlug: commits the claims of a failure domain in batches
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/claims/claim_owner.h"

#include <absl/time/clock.h>
#include <array>
#include <utility>

namespace spurlug::claims
{

namespace
{

constexpr auto RoundInterval = absl::Milliseconds(250);

} // namespace

ClaimOwner::ClaimOwner(const objects::HttpObjectApi &platform, metrics::Metrics &metrics)
    : m_platform(platform)
    , m_metrics(metrics)
    , m_committer(std::make_unique<core::Periodic>("claims", [this] { return commitRound(); }))
{ }

ClaimOwner::~ClaimOwner()
{
    m_committer.reset();
    commitRound();
}

void ClaimOwner::wish(ClaimWish wish, OnAnswer onAnswer)
{
    absl::MutexLock lock(&m_mutex);
    m_waiting.push_back({std::move(wish), std::move(onAnswer)});
}

core::Duration ClaimOwner::commitRound()
{
    std::vector<Waiting> waiting;
    {
        absl::MutexLock lock(&m_mutex);
        waiting.swap(m_waiting);
    }
    std::array<std::vector<Waiting>, Shards> byShard;
    for (auto &item : waiting) {
        byShard[static_cast<std::size_t>(shardOf(item.wish.name))].push_back(std::move(item));
    }
    for (int shard = 0; shard < Shards; ++shard) {
        commitShard(shard, byShard[static_cast<std::size_t>(shard)]);
    }
    return RoundInterval;
}

void ClaimOwner::commitShard(int shard, const std::vector<Waiting> &waiting)
{
    if (waiting.empty()) {
        return;
    }
    std::vector<ClaimWish> wishes;
    wishes.reserve(waiting.size());
    for (const auto &item : waiting) {
        wishes.push_back(item.wish);
    }
    m_metrics.count(metrics::Counter::PlatformReads);
    m_metrics.count(metrics::Counter::PlatformWrites);
    const auto answers = commit(m_platform, shard, wishes, absl::ToUnixSeconds(absl::Now()));
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        waiting[i].onAnswer(answers[i]);
    }
}

} // namespace spurlug::claims
