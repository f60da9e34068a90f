//----------------------------------------------------------------------------------------------------------------------
// spurlug: target selection by expected time to first token
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/routing/choose.h"

#include "spurlug/core/rendezvous.h"
#include "spurlug/core/text.h"
#include "spurlug/routing/baselines.h"

#include <algorithm>

namespace spurlug::routing
{

namespace
{

using targets::TargetCondition;

std::string_view findUnusableReason(const targets::TargetView &target, const RouteRule &rule)
{
    if (target.report.condition == TargetCondition::Draining) {
        return "leaving";
    }
    if (target.cooldownLeft > absl::ZeroDuration()) {
        return "cooling down"; // The target requested it from this daemon.
    }
    if (target.report.condition == TargetCondition::Unreachable && target.reportAge < rule.staleAfter) {
        return "unreachable";
    }
    if (target.ejected) {
        return "ejected";
    }
    return {};
}

/// Makes failing or unreachable targets usable if no other target is: the evidence against them may be outdated, or the
/// fault may be this daemon's own.
void admitSuspectTargets(std::vector<Candidate> &candidates, const std::vector<targets::TargetView> &targets)
{
    const auto usable = [](const Candidate &candidate) { return candidate.usable; };
    if (std::any_of(candidates.begin(), candidates.end(), usable)) {
        return;
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const bool refusesRequests = targets[i].report.condition == TargetCondition::Draining
            || targets[i].cooldownLeft > absl::ZeroDuration();
        candidates[i].usable = !refusesRequests;
    }
}

std::optional<std::size_t> prefixHolder(std::uint64_t prefixHash, const std::vector<Candidate> &candidates)
{
    std::optional<std::size_t> best;
    std::uint64_t bestWeight = 0;
    const auto item = core::cat(prefixHash);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto weight = core::rendezvousWeight(item, candidates[i].id);
        if (candidates[i].usable && (!best || weight > bestWeight)) {
            best = i;
            bestWeight = weight;
        }
    }
    return best;
}

std::vector<std::size_t> nearBest(const std::vector<Candidate> &candidates, const RouteRule &rule)
{
    auto best = absl::InfiniteDuration();
    for (const auto &candidate : candidates) {
        if (candidate.usable) {
            best = std::min(best, candidate.estimatedTtft);
        }
    }
    const auto limit = std::max(best * (1 + rule.tieFraction), best + rule.tieSpan);
    std::vector<std::size_t> ties;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].usable && candidates[i].estimatedTtft <= limit) {
            ties.push_back(i);
        }
    }
    return ties;
}

std::vector<std::size_t> usableIndices(const std::vector<Candidate> &candidates)
{
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].usable) {
            usable.push_back(i);
        }
    }
    return usable;
}

/// Excludes targets that were tried before, unless no other target is usable.
void excludeTried(std::vector<Candidate> &candidates, const std::vector<std::string> &excluded)
{
    const auto tried = [&](const Candidate &candidate) {
        return std::find(excluded.begin(), excluded.end(), candidate.id) != excluded.end();
    };
    const bool anyUntriedUsable = std::any_of(candidates.begin(), candidates.end(), [&](const Candidate &candidate) {
        return candidate.usable && !tried(candidate);
    });
    if (!anyUntriedUsable) {
        return;
    }
    for (auto &candidate : candidates) {
        if (candidate.usable && tried(candidate)) {
            candidate.usable = false;
            candidate.unusableReason = "tried before";
        }
    }
}

} // namespace

core::Duration expectedTtft(const RouteRequest &request, const targets::TargetView &target, const RouteRule &rule)
{
    const bool stale = target.reportAge > rule.staleAfter;
    const auto reported = request.urgent ? target.report.urgentTokens : target.report.queuedTokens;
    // A short prompt can overtake a long one only between chunks.
    const bool longRunning = !stale && request.urgent && target.report.queuedTokens > target.report.urgentTokens;
    const auto chunk = longRunning ? rule.chunkTokens : 0;
    const auto ahead = (stale ? 0 : reported) + chunk + target.ownPrefillTokens;
    const auto rate = target.report.prefillRate > 0 ? target.report.prefillRate : rule.defaultPrefillRate;
    const auto streams = std::max(stale ? 0 : target.report.streams, target.ownStreams);
    return absl::Seconds(static_cast<double>(ahead + request.tokens) / rate)
        + rule.streamCost * static_cast<double>(streams);
}

namespace
{

/// Marks a target as unusable instead of removing it, so that indices match the caller's list.
targets::TargetView markUnusable(targets::TargetView target)
{
    target.report.condition = TargetCondition::Draining;
    return target;
}

bool isSound(const targets::TargetView &target, const RouteRule &rule)
{
    return findUnusableReason(target, rule).empty();
}

template<typename Keep>
std::vector<targets::TargetView> markOthersUnusable(const std::vector<targets::TargetView> &targets, Keep keep)
{
    std::vector<targets::TargetView> marked;
    marked.reserve(targets.size());
    for (const auto &target : targets) {
        marked.push_back(keep(target) ? target : markUnusable(target));
    }
    return marked;
}

} // namespace

Choice chooseAcrossDomains(const RouteRequest &request, const std::vector<targets::TargetView> &targets,
                           const std::string &localDomain, const std::vector<std::string> &excluded,
                           const RouteRule &rule, std::uint64_t randomValue)
{
    const auto isLocal = [&](const auto &target) { return target.failureDomain == localDomain; };
    const auto isRecent
        = [&](const auto &target) { return target.reportAge <= rule.maxRemoteReportAge && isSound(target, rule); };
    const bool anyLocalUsable = std::any_of(
        targets.begin(), targets.end(), [&](const auto &target) { return isLocal(target) && isSound(target, rule); });
    if (anyLocalUsable) {
        auto choice = chooseTarget(request, markOthersUnusable(targets, isLocal), excluded, rule, randomValue);
        if (choice.chosen && choice.candidates[*choice.chosen].estimatedTtft <= rule.spillThreshold) {
            return choice;
        }
    }
    const bool anyRemoteRecent = std::any_of(targets.begin(), targets.end(),
                                             [&](const auto &target) { return !isLocal(target) && isRecent(target); });
    if (!anyLocalUsable && !anyRemoteRecent) {
        return chooseTarget(request, targets, excluded, rule, randomValue);
    }
    auto eligible
        = markOthersUnusable(targets, [&](const auto &target) { return isLocal(target) || isRecent(target); });
    auto remoteRule = rule;
    for (auto &target : eligible) {
        if (!isLocal(target)) {
            const auto rate = target.report.prefillRate > 0 ? target.report.prefillRate : rule.defaultPrefillRate;
            target.ownPrefillTokens += static_cast<std::int64_t>(absl::ToDoubleSeconds(rule.spillPenalty) * rate);
        }
    }
    remoteRule.staleAfter = rule.maxRemoteReportAge;
    return chooseTarget(request, eligible, excluded, remoteRule, randomValue);
}

Choice chooseTarget(const RouteRequest &request, const std::vector<targets::TargetView> &targets,
                    const std::vector<std::string> &excluded, const RouteRule &rule, std::uint64_t randomValue)
{
    Choice choice;
    choice.candidates.reserve(targets.size());
    for (const auto &target : targets) {
        const auto reason = findUnusableReason(target, rule);
        choice.candidates.push_back({target.id, expectedTtft(request, target, rule), reason.empty(), reason});
    }
    admitSuspectTargets(choice.candidates, targets);
    excludeTried(choice.candidates, excluded);
    if (rule.strategy != config::RoutingStrategy::ExpectedTtft) {
        choice.chosen = chooseByBaseline(rule.strategy, targets, usableIndices(choice.candidates), randomValue);
        return choice;
    }
    if (request.prefixHash != 0 && rule.affinityBonus > absl::ZeroDuration()) {
        if (const auto cachedAt = prefixHolder(request.prefixHash, choice.candidates)) {
            choice.candidates[*cachedAt].estimatedTtft -= rule.affinityBonus;
        }
    }
    const auto ties = nearBest(choice.candidates, rule);
    if (!ties.empty()) {
        choice.chosen = ties[randomValue % ties.size()];
    }
    return choice;
}

} // namespace spurlug::routing
