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

std::string_view unusableBecause(const targets::TargetView &target, const RouteRule &rule)
{
    if (target.report.condition == TargetCondition::Leaving) {
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
void admitDoubtful(std::vector<Candidate> &candidates, const std::vector<targets::TargetView> &targets)
{
    const auto usable = [](const Candidate &candidate) { return candidate.usable; };
    if (std::any_of(candidates.begin(), candidates.end(), usable)) {
        return;
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const bool wantsNone
            = targets[i].report.condition == TargetCondition::Leaving || targets[i].cooldownLeft > absl::ZeroDuration();
        candidates[i].usable = !wantsNone;
    }
}

std::optional<std::size_t> holderOf(std::uint64_t prefix, const std::vector<Candidate> &candidates)
{
    std::optional<std::size_t> best;
    std::uint64_t bestWeight = 0;
    const auto item = core::cat(prefix);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto weight = core::rendezvousWeight(item, candidates[i].id);
        if (candidates[i].usable && (!best || weight > bestWeight)) {
            best = i;
            bestWeight = weight;
        }
    }
    return best;
}

std::vector<std::size_t> aboutBest(const std::vector<Candidate> &candidates, const RouteRule &rule)
{
    auto best = absl::InfiniteDuration();
    for (const auto &candidate : candidates) {
        if (candidate.usable) {
            best = std::min(best, candidate.expected);
        }
    }
    const auto bound = std::max(best * (1 + rule.tieShare), best + rule.tieSpan);
    std::vector<std::size_t> equal;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].usable && candidates[i].expected <= bound) {
            equal.push_back(i);
        }
    }
    return equal;
}

std::vector<std::size_t> usableOnes(const std::vector<Candidate> &candidates)
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
void setAsideTried(std::vector<Candidate> &candidates, const std::vector<std::string> &excluded)
{
    const auto tried = [&](const Candidate &candidate) {
        return std::find(excluded.begin(), excluded.end(), candidate.id) != excluded.end();
    };
    const bool othersUsable = std::any_of(candidates.begin(), candidates.end(), [&](const Candidate &candidate) {
        return candidate.usable && !tried(candidate);
    });
    if (!othersUsable) {
        return;
    }
    for (auto &candidate : candidates) {
        if (candidate.usable && tried(candidate)) {
            candidate.usable = false;
            candidate.why = "tried before";
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
    const auto ahead = (stale ? 0 : reported) + chunk + target.ownTokens;
    const auto rate = target.report.prefillRate > 0 ? target.report.prefillRate : rule.defaultPrefillRate;
    const auto streams = std::max(stale ? 0 : target.report.streams, target.ownStreams);
    return absl::Seconds(static_cast<double>(ahead + request.tokens) / rate)
        + rule.streamCost * static_cast<double>(streams);
}

namespace
{

/// Marks a target as unusable instead of removing it, so that indices match the caller's list.
targets::TargetView setAside(targets::TargetView target)
{
    target.report.condition = TargetCondition::Leaving;
    return target;
}

bool isSound(const targets::TargetView &target, const RouteRule &rule)
{
    return unusableBecause(target, rule).empty();
}

template<typename Keep>
std::vector<targets::TargetView> keepOnly(const std::vector<targets::TargetView> &targets, Keep keep)
{
    std::vector<targets::TargetView> kept;
    kept.reserve(targets.size());
    for (const auto &target : targets) {
        kept.push_back(keep(target) ? target : setAside(target));
    }
    return kept;
}

} // namespace

Choice chooseAcrossDomains(const RouteRequest &request, const std::vector<targets::TargetView> &targets,
                           const std::string &home, const std::vector<std::string> &excluded, const RouteRule &rule,
                           std::uint64_t pick)
{
    const auto atHome = [&](const auto &target) { return target.failureDomain == home; };
    const auto heardOf
        = [&](const auto &target) { return target.reportAge <= rule.remoteFresh && isSound(target, rule); };
    const bool homeSound = std::any_of(targets.begin(), targets.end(),
                                       [&](const auto &target) { return atHome(target) && isSound(target, rule); });
    if (homeSound) {
        auto choice = chooseTarget(request, keepOnly(targets, atHome), excluded, rule, pick);
        if (choice.chosen && choice.candidates[*choice.chosen].expected <= rule.spillAfter) {
            return choice;
        }
    }
    const bool remoteHeardOf = std::any_of(targets.begin(), targets.end(),
                                           [&](const auto &target) { return !atHome(target) && heardOf(target); });
    if (!homeSound && !remoteHeardOf) {
        return chooseTarget(request, targets, excluded, rule, pick);
    }
    auto eligible = keepOnly(targets, [&](const auto &target) { return atHome(target) || heardOf(target); });
    auto costly = rule;
    for (auto &target : eligible) {
        if (!atHome(target)) {
            const auto rate = target.report.prefillRate > 0 ? target.report.prefillRate : rule.defaultPrefillRate;
            target.ownTokens += static_cast<std::int64_t>(absl::ToDoubleSeconds(rule.spillPenalty) * rate);
        }
    }
    costly.staleAfter = rule.remoteFresh;
    return chooseTarget(request, eligible, excluded, costly, pick);
}

Choice chooseTarget(const RouteRequest &request, const std::vector<targets::TargetView> &targets,
                    const std::vector<std::string> &excluded, const RouteRule &rule, std::uint64_t pick)
{
    Choice choice;
    choice.candidates.reserve(targets.size());
    for (const auto &target : targets) {
        const auto why = unusableBecause(target, rule);
        choice.candidates.push_back({target.id, expectedTtft(request, target, rule), why.empty(), why});
    }
    admitDoubtful(choice.candidates, targets);
    setAsideTried(choice.candidates, excluded);
    if (rule.strategy != config::RoutingStrategy::ExpectedTtft) {
        choice.chosen = chooseByBaseline(rule.strategy, targets, usableOnes(choice.candidates), pick);
        return choice;
    }
    if (request.prefix != 0 && rule.affinityBonus > absl::ZeroDuration()) {
        if (const auto holder = holderOf(request.prefix, choice.candidates)) {
            choice.candidates[*holder].expected -= rule.affinityBonus;
        }
    }
    const auto equal = aboutBest(choice.candidates, rule);
    if (!equal.empty()) {
        choice.chosen = equal[pick % equal.size()];
    }
    return choice;
}

} // namespace spurlug::routing
