//----------------------------------------------------------------------------------------------------------------------
// spurlug: choice of the targets for a request, based on the known load of each
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/target_choice.h"

#include "spurlug/core/log.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace spurlug::relay
{

namespace
{

/// Fraction of the TTFT objective for which a request that tolerates only short gaps waits for a free target before it
/// may queue at one.
constexpr double QueueingWaitShare = 0.22;
/// Share of a service's targets up to which peers' unreachability reports are believed. If more are reported, the
/// network is assumed to be at fault.
constexpr double MaxAvoidedShare = 0.34;
/// Interval of the counts of available engines. A ramp adds an engine of a domain with 18 every 120 ms.
constexpr auto EngineCountInterval = absl::Milliseconds(20);

/// One request in so many goes to a slow target whose speed was not observed lately, which would otherwise keep its
/// estimate for some time after it has recovered. Targets that are not slow need no samples.
constexpr std::uint64_t SamplingInterval = 50;
/// Observed times of equal targets differ by about this: a pass takes longer while prompts are prefilled in it, and the
/// load at the time of the choice is not known exactly.
constexpr double NoiseRatio = 1.25;

/// Ratio of the observed times of a service's median target to its published costs; 1 while the feature is off.
double medianSpeed(const RelayContext &context, const std::string &service)
{
    const auto found = context.speeds.find(service);
    return context.features().targetFeedback && found != context.speeds.end() ? found->second.median : 1;
}

/// The times of a target by those of the service's median target. A deviation of up to NoiseRatio counts as none, and a
/// target without recent samples counts as a median one.
double relativeSpeed(const Target &target, double medianSpeed, core::Time now)
{
    if (!target.speed.isKnown(now)) {
        return 1;
    }
    const auto ratio = target.speed.ratio(now) / medianSpeed;
    return ratio / std::clamp(ratio, 1 / NoiseRatio, NoiseRatio);
}

/// Whether targets that are warming up are eligible.
enum class WarmingUpTargets
{
    Excluded,
    RateLimited, ///< Those whose rate allows one more request now.
};

SenderRole senderRole(const RelayContext &context, const TargetQuery &query)
{
    if (query.forScheduler) {
        return SenderRole::Scheduler;
    }
    const auto *service = context.table ? context.table->serviceNamed(query.service) : nullptr;
    return service != nullptr && service->engine ? SenderRole::Unscheduled : SenderRole::AnyDaemon;
}

/// Builds the placement candidates of one request.
class CandidateBuilder
{
public:
    CandidateBuilder(const RelayContext &context, const TargetQuery &query, const TargetSet::Targets &targets,
                     WarmingUpTargets warmingUpTargets, core::Time now)
        : m_context(context)
        , m_query(query)
        , m_targets(targets)
        , m_warmingUpTargets(warmingUpTargets)
        , m_medianSpeed(medianSpeed(context, query.service))
        , m_senderDomain(query.senderDomain.empty() ? context.settings.failureDomain : query.senderDomain)
        , m_now(now)
    {
        const auto reportedCount = std::count_if(targets.begin(), targets.end(), [now](const auto &target) {
            return now < target->reportedUnreachableUntil;
        });
        m_trustsReports = static_cast<double>(reportedCount) <= static_cast<double>(targets.size()) * MaxAvoidedShare;
        for (const auto &target : targets) {
            m_loads.push_back(target->load(now));
        }
    }

    /// \param engineLimits Engines of failure domains that may answer, where these are not all.
    [[nodiscard]] std::vector<Candidate> build(const overload::EngineCounts &engineLimits) const
    {
        const auto slots = m_targets.empty() ? 1 : m_targets.front()->entry.slots;
        const auto reservedEngines = enginesForShortGaps(m_loads, slots, m_context.settings.placement);
        const bool anyHealthy = anyUsable(false);
        std::size_t reservedCount = 0;
        std::vector<Candidate> candidates;
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            const auto &target = *m_targets[i];
            Candidate candidate;
            candidate.load = m_loads[i];
            candidate.slots = target.entry.slots;
            candidate.isLocalDomain = target.entry.failureDomain == m_context.settings.failureDomain;
            candidate.mayAnswer = isUsable(i, !anyHealthy);
            const bool isSlow = m_context.features().targetFeedback && target.reportedSlow;
            candidate.reservedForShortGaps = candidate.mayAnswer && !isSlow && reservedCount < reservedEngines;
            reservedCount += candidate.reservedForShortGaps ? 1 : 0;
            candidate.mayHelp = mayHelp(target);
            if (m_context.features().targetFeedback) {
                candidate.speed = relativeSpeed(target, m_medianSpeed, m_now);
            }
            candidates.push_back(candidate);
        }
        if (anyHealthy) {
            applyLimits(engineLimits, candidates);
        }
        return candidates;
    }

    /// Whether the target is usable for some time, whatever the query excludes. Refusals, rate limits and probes are
    /// left out: they change within milliseconds.
    [[nodiscard]] bool isSteadilyUsable(std::size_t index) const
    {
        const auto &target = *m_targets[index];
        return isHealthy(target) && !isWarmingUp(target) && !target.cooldown().isActive(m_now);
    }

private:
    /// Keeps requests from engines beyond the limit of their failure domain. Those reserved for short gaps stay so.
    void applyLimits(overload::EngineCounts engineLimits, std::vector<Candidate> &candidates) const
    {
        for (std::size_t i = 0; i < candidates.size() && !engineLimits.empty(); ++i) {
            const auto limit = engineLimits.find(m_targets[i]->entry.failureDomain);
            if (limit != engineLimits.end() && candidates[i].mayAnswer) {
                candidates[i].mayAnswer = limit->second > 0;
                limit->second -= limit->second > 0 ? 1 : 0;
            }
        }
    }

    [[nodiscard]] bool isReportedUnreachable(const Target &target) const
    {
        return m_trustsReports && m_now < target.reportedUnreachableUntil;
    }

    /// Whether the target is warming up and its service sets a request rate for that state.
    [[nodiscard]] bool isWarmingUp(const Target &target) const
    {
        return target.warmUp.isActive(m_now) && warmUpPerSecond() > 0;
    }

    [[nodiscard]] double warmUpPerSecond() const
    {
        const auto *service = m_context.table ? m_context.table->serviceNamed(m_query.service) : nullptr;
        return service != nullptr ? service->warmUpRequestsPerSecond : 0;
    }

    [[nodiscard]] bool rateAllowsRequest(const Target &target) const
    {
        const bool warmingUp = isWarmingUp(target);
        if (warmingUp && m_warmingUpTargets == WarmingUpTargets::Excluded) {
            return false;
        }
        const auto &limit = target.rateLimit;
        if (!warmingUp && !limit.perSecond()) {
            return true;
        }
        const LocalRateShare share(senderRole(m_context, m_query), m_context.fleetView(m_now), m_context.settings.vm,
                                   target.hash);
        const auto allows = [&](const FleetRate &rate) { return share.allowsRequest(rate, target.recentSends, m_now); };
        return (!warmingUp || allows(WarmUp::rate(warmUpPerSecond()))) && (!limit.perSecond() || allows(limit.rate()));
    }

    [[nodiscard]] bool isPartitioned(const Target &target) const
    {
        return m_context.links.isDown(m_senderDomain, target.entry.failureDomain, m_now);
    }

    [[nodiscard]] bool mayHelp(const Target &target) const
    {
        const auto &health = target.health;
        return !isReportedUnreachable(target) && !isWarmingUp(target) && !target.rateLimit.perSecond()
            && !isPartitioned(target) && !health.isEjected(m_now) && !health.isOnProbation()
            && !target.helpBackoff.isActive(m_now);
    }

    [[nodiscard]] bool anyUsable(bool includeEjected) const
    {
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            if (isUsable(i, includeEjected)) {
                return true;
            }
        }
        return false;
    }

    [[nodiscard]] bool isUsable(std::size_t index, bool includeEjected) const
    {
        const auto &target = *m_targets[index];
        const bool isAllowed = !m_query.allowedTargets || contains(*m_query.allowedTargets, target.hash);
        if (!isAllowed || contains(m_query.excludedTargets, target.hash) || target.refusalBackoff.isActive(m_now)) {
            return false;
        }
        if (!rateAllowsRequest(target)) {
            return false;
        }
        if (includeEjected) {
            return true;
        }
        const bool probeInProgress = target.health.isOnProbation() && m_loads[index].requests > 0;
        return isHealthy(target) && !probeInProgress;
    }

    [[nodiscard]] bool isHealthy(const Target &target) const
    {
        if (isPartitioned(target)) {
            return false;
        }
        // A daemon that also failed to reach the target probes it itself: if every daemon waited for the others, it
        // would never return to service.
        if (isReportedUnreachable(target) && !target.health.isOnProbation()) {
            return false;
        }
        return !target.health.isEjected(m_now);
    }

    const RelayContext &m_context;
    const TargetQuery &m_query;
    const TargetSet::Targets &m_targets;
    const WarmingUpTargets m_warmingUpTargets;
    const double m_medianSpeed;
    const std::string m_senderDomain; ///< Failure domain of the requesting daemon.
    const core::Time m_now;
    bool m_trustsReports = true; ///< False if so many targets are reported unreachable that the reports are ignored.
    std::vector<Outstanding> m_loads;
};

TargetSet::Targets eligibleTargets(const RelayContext &context, const TargetQuery &query, core::Time now)
{
    auto targets = context.targets.availableTargets(query.service, now);
    std::erase_if(targets, [&query](const auto &target) { return contains(query.avoidedTargets, target->hash); });
    if (!query.localDomainOnly) {
        return targets;
    }
    TargetSet::Targets localTargets;
    for (const auto &target : targets) {
        if (target->entry.failureDomain == context.settings.failureDomain) {
            localTargets.push_back(target);
        }
    }
    return localTargets.empty() ? targets : localTargets;
}

/// Shares of a plain service's failure domains that apply to one choice.
struct PlainShares
{
    overload::DomainSizes sizes; ///< Domains that this daemon reaches.
    overload::Shares shares; ///< By failure domain; empty if the choice doesn't go by shares.

    /// Share of one target, given that the targets of a domain are used by their slots.
    [[nodiscard]] double shareOf(const Target &target) const
    {
        const auto share = shares.find(target.entry.failureDomain);
        const auto size = sizes.find(target.entry.failureDomain);
        if (share == shares.end() || size == sizes.end() || size->second.slots <= 0) {
            return 0;
        }
        return share->second * std::max(target.entry.slots, 1) / static_cast<double>(size->second.slots);
    }
};

/// The failure domains that this daemon reaches, with their daemons and their usable targets of a service.
overload::DomainSizes knownSizes(const RelayContext &context, const std::string &service, core::Time now)
{
    TargetQuery query;
    query.service = service;
    const auto &ownDomain = context.settings.failureDomain;
    const auto targets = context.targets.availableTargets(service, now);
    const CandidateBuilder builder(context, query, targets, WarmingUpTargets::Excluded, now);
    overload::DomainSizes sizes;
    for (const auto &[domain, daemons] : context.domainSizes) {
        if (!context.links.isDown(ownDomain, domain, now)) {
            sizes[domain].daemons = daemons;
        }
    }
    sizes[ownDomain].daemons = std::max<std::size_t>(sizes[ownDomain].daemons, 1);
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (builder.isSteadilyUsable(i)) {
            auto &size = sizes[targets[i]->entry.failureDomain];
            ++size.targets;
            size.slots += std::max(targets[i]->entry.slots, 1);
        }
    }
    return sizes;
}

void logShareChanges(RelayContext &context, const std::string &service, const overload::ShareUpdate &update,
                     const overload::DomainSizes &sizes, core::Time now)
{
    for (const auto &change : update.changes) {
        std::int64_t suppressed = 0;
        if (!context.shareChangeLog.tryLog(change.domain, now, suppressed)) {
            continue;
        }
        const auto size = sizes.find(change.domain);
        const auto known = size == sizes.end() ? overload::DomainSize{} : size->second;
        core::log(core::LogLevel::Info, "domain_share_changed",
                  {{"domain", change.domain},
                   {"service", service},
                   {"from", change.from},
                   {"to", change.to},
                   {"daemons", known.daemons},
                   {"targets", known.targets},
                   {"suppressed", suppressed}});
    }
}

/// Updates the shares of a plain service; the result is empty if the choice doesn't go by shares.
PlainShares updateShares(RelayContext &context, const TargetQuery &query, core::Time now)
{
    const auto *service = context.table ? context.table->serviceNamed(query.service) : nullptr;
    if (!context.features().domainShift || service == nullptr || service->engine) {
        return {};
    }
    PlainShares result;
    result.sizes = knownSizes(context, query.service, now);
    auto &shares = context.domainShares[query.service];
    const auto update = shares.update(context.settings.failureDomain, result.sizes, now);
    if (update.startsRamp) {
        context.metrics.count(metrics::Counter::DomainRamps);
    }
    logShareChanges(context, query.service, update, result.sizes, now);
    result.shares = shares.shares(now);
    return result;
}

/// Updates the ramps of the engines of a service and returns the limits that apply to the scheduler's choices.
overload::EngineCounts updateEngineLimits(RelayContext &context, const TargetQuery &query, core::Time now)
{
    if (!context.features().domainShift || !query.forScheduler || !query.prompt) {
        return {};
    }
    auto &ramps = context.engineRamps[query.service];
    if (now - ramps.updatedAt() >= EngineCountInterval) {
        overload::EngineCounts available;
        for (const auto &[domain, size] : knownSizes(context, query.service, now)) {
            available[domain] = size.targets;
        }
        const auto begun = ramps.update(available, now);
        context.metrics.count(metrics::Counter::DomainRamps, static_cast<std::int64_t>(begun));
    }
    return ramps.limits();
}

/// Chooses among candidates such that the answering engine can reach its helpers.
class TargetChooser
{
public:
    TargetChooser(RelayContext &context, const TargetQuery &query, const TargetSet::Targets &targets, core::Time now)
        : m_context(context)
        , m_query(query)
        , m_targets(targets)
        , m_now(now)
        , m_randomValue(context.random())
        , m_plainShares(updateShares(context, query, now))
        , m_engineLimits(updateEngineLimits(context, query, now))
    { }

    [[nodiscard]] std::optional<Placement> choose() const
    {
        if (m_context.features().targetFeedback && (m_randomValue >> 32U) % SamplingInterval == 0) {
            if (auto sampling = chooseForSampling()) {
                return sampling;
            }
        }
        auto placement = chooseWithinLimits();
        const bool anyWarmingUp = std::any_of(m_targets.begin(), m_targets.end(),
                                              [this](const auto &target) { return target->warmUp.isActive(m_now); });
        if (!placement && anyWarmingUp) {
            placement = chooseAmong(WarmingUpTargets::RateLimited, {});
        }
        return placement;
    }

private:
    /// Chooses one of the slow targets without requests whose speed was not observed lately, at random; nothing if
    /// there is none.
    [[nodiscard]] std::optional<Placement> chooseForSampling() const
    {
        auto candidates = CandidateBuilder(m_context, m_query, m_targets, WarmingUpTargets::Excluded, m_now).build({});
        std::vector<std::size_t> stale;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            // A sample arrives only with a whole answer. Further requests until then would fill the slow target.
            const bool needsSample
                = candidates[i].speed > 1 && candidates[i].load.requests == 0 && m_targets[i]->speed.isStale(m_now);
            if (std::exchange(candidates[i].mayAnswer, false) && needsSample) {
                stale.push_back(i);
            }
        }
        if (stale.empty()) {
            return std::nullopt;
        }
        candidates[stale[m_randomValue % stale.size()]].mayAnswer = true;
        auto placement = place(candidates);
        return placement && helpersReachable(*placement) ? placement : std::nullopt;
    }

    /// Uses engines beyond the limits of their failure domains only if the request would be late without them.
    [[nodiscard]] std::optional<Placement> chooseWithinLimits() const
    {
        auto limited = chooseAmong(WarmingUpTargets::Excluded, m_engineLimits);
        if (m_engineLimits.empty() || (limited && isInTime(*limited))) {
            return limited;
        }
        auto unlimited = chooseAmong(WarmingUpTargets::Excluded, {});
        const bool isBetter = unlimited && (!limited || unlimited->expectedTtft < limited->expectedTtft);
        return isBetter ? unlimited : limited;
    }

    [[nodiscard]] bool isInTime(const Placement &placement) const
    {
        return m_query.prompt->waited + placement.expectedTtft <= m_query.prompt->ttftObjective;
    }

    [[nodiscard]] std::optional<Placement> chooseAmong(WarmingUpTargets warmingUpTargets,
                                                       const overload::EngineCounts &engineLimits) const
    {
        auto candidates = CandidateBuilder(m_context, m_query, m_targets, warmingUpTargets, m_now).build(engineLimits);
        auto placement = place(candidates);
        if (!placement || helpersReachable(*placement)) {
            return placement;
        }
        const auto &targetDomain = domainOf(placement->target);
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            candidates[i].mayAnswer = candidates[i].mayAnswer && domainOf(i) == targetDomain;
            candidates[i].mayHelp = candidates[i].mayHelp && mayHelpAcross(targetDomain, domainOf(i));
        }
        return place(candidates);
    }

    [[nodiscard]] std::optional<Placement> place(const std::vector<Candidate> &candidates) const
    {
        const auto *spec = m_context.table ? m_context.table->serviceNamed(m_query.service) : nullptr;
        const auto &rule = m_context.settings.placement;
        if (m_query.prompt && spec != nullptr && spec->engine) {
            return placePrompt(*spec->engine, *m_query.prompt, candidates, rule, m_randomValue);
        }
        if (!m_plainShares.shares.empty()) {
            return placePlainByShare(withShares(candidates), rule, m_randomValue);
        }
        return placePlain(candidates, rule, m_randomValue);
    }

    [[nodiscard]] std::vector<Candidate> withShares(std::vector<Candidate> candidates) const
    {
        const auto &shares = m_plainShares.shares;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const auto domain = shares.find(domainOf(i));
            candidates[i].domain = static_cast<std::size_t>(std::distance(shares.begin(), domain));
            candidates[i].share = m_plainShares.shareOf(*m_targets[i]) / candidates[i].speed;
            candidates[i].ownRequests = m_targets[i]->localWork(m_now).requests;
        }
        return candidates;
    }

    [[nodiscard]] const std::string &domainOf(std::size_t candidate) const
    {
        return m_targets[candidate]->entry.failureDomain;
    }

    /// Whether engines of one failure domain may help one of another.
    [[nodiscard]] bool mayHelpAcross(const std::string &targetDomain, const std::string &helperDomain) const
    {
        return targetDomain == helperDomain
            || !(m_query.localHelpersOnly || m_context.links.isDown(targetDomain, helperDomain, m_now));
    }

    [[nodiscard]] bool helpersReachable(const Placement &placement) const
    {
        const auto &targetDomain = domainOf(placement.target);
        return std::all_of(placement.helpers.begin(), placement.helpers.end(),
                           [&](std::size_t helper) { return mayHelpAcross(targetDomain, domainOf(helper)); });
    }

    const RelayContext &m_context;
    const TargetQuery &m_query;
    const TargetSet::Targets &m_targets;
    const core::Time m_now;
    const std::uint64_t m_randomValue;
    const PlainShares m_plainShares;
    const overload::EngineCounts m_engineLimits;
};

/// Times of a chosen engine by its published costs; unknown if engines help it, because each of them may be slow.
PublishedTimes publishedTimes(const RelayContext &context, const TargetQuery &query, const ChosenTargets &chosen,
                              core::Time now)
{
    const auto *spec = context.table ? context.table->serviceNamed(query.service) : nullptr;
    if (spec == nullptr || !spec->engine) {
        return {};
    }
    PublishedTimes published;
    auto load = chosen.target->load(now);
    load.decodingRequests = load.requests + 1; // Those that are in prefill now decode together with this one.
    load.decodingContextTokens += query.prompt->prompt.promptTokens;
    published.pass = absl::Milliseconds(decodePassMs(*spec->engine, load));
    if (chosen.helpers.empty()) {
        const auto median = medianSpeed(context, query.service);
        published.ttft = chosen.expectedTtft / (median * relativeSpeed(*chosen.target, median, now));
    }
    return published;
}

} // namespace

bool mayQueueAtEngine(core::Duration waited, core::Duration ttftObjective) noexcept
{
    return waited >= ttftObjective * QueueingWaitShare;
}

std::optional<ChosenTargets> chooseTargets(RelayContext &context, const TargetQuery &query, core::Time now)
{
    const auto targets = eligibleTargets(context, query, now);
    if (context.features().targetFeedback) {
        static_cast<void>(serviceSpeed(context, query.service, now));
    }
    const TargetChooser chooser(context, query, targets, now);
    const auto placement = chooser.choose();
    if (!placement) {
        return std::nullopt;
    }
    ChosenTargets chosen;
    chosen.target = targets[placement->target];
    chosen.target->recentSends.add(now);
    for (const auto helper : placement->helpers) {
        chosen.helpers.push_back(targets[helper]);
    }
    for (const auto &holding : placement->reservations) {
        chosen.reservedTokens.push_back(holding.tokens);
    }
    // The choice compares the targets with each other; the expected time also allows for costs that are off for all.
    chosen.expectedTtft = placement->expectedTtft * medianSpeed(context, query.service);
    chosen.partPrefillTime = placement->partPrefillTime;
    if (context.features().targetFeedback && query.prompt) {
        chosen.published = publishedTimes(context, query, chosen, now);
    }
    return chosen;
}

std::vector<std::pair<core::Ref<Target>, Outstanding>> addedWork(const ChosenTargets &chosen, const PromptInfo &prompt)
{
    const auto prefillMicros = absl::ToInt64Microseconds(chosen.partPrefillTime);
    std::vector<std::pair<core::Ref<Target>, Outstanding>> works;
    std::int64_t reserved = 0;
    for (std::size_t i = 0; i < chosen.helpers.size(); ++i) {
        Outstanding work;
        work.prefillParts = 1;
        work.partPrefillMicros = prefillMicros;
        work.memoryTokens = i < chosen.reservedTokens.size() ? chosen.reservedTokens[i] : 0;
        reserved += work.memoryTokens;
        works.emplace_back(chosen.helpers[i], work);
    }
    Outstanding work;
    work.requests = 1;
    work.prefillMicros = prefillMicros;
    work.memoryTokens = std::max<std::int64_t>(prompt.maxMemoryTokens() - reserved, 0);
    works.emplace_back(chosen.target, work);
    return works;
}

} // namespace spurlug::relay
