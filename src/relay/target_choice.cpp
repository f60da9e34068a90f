//----------------------------------------------------------------------------------------------------------------------
// spurlug: choice of the targets for a request, based on the known load of each
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/target_choice.h"

#include <algorithm>

namespace spurlug::relay
{

namespace
{

/// Fraction of the TTFT objective for which a request that tolerates only short gaps waits for a free target before it
/// may queue at one.
constexpr double WaitShare = 0.22;
/// Share of a service's targets up to which peers' unreachability reports are believed. If more are reported, the
/// network is assumed to be at fault.
constexpr double MostAvoidedShare = 0.34;

/// Whether targets that are warming up are eligible.
enum class ColdTargets
{
    PassedOver,
    AsTheyBear, ///< Those whose rate allows one more request now.
};

RateGiver giverOf(const RelayContext &context, const TargetQuery &query)
{
    if (query.forFleet) {
        return RateGiver::Scheduler;
    }
    const auto *service = context.table ? context.table->service(query.service) : nullptr;
    return service != nullptr && service->engine ? RateGiver::Alone : RateGiver::Everybody;
}

/// Builds the placement candidates of one request.
class CandidateList
{
public:
    CandidateList(const RelayContext &context, const TargetQuery &query, const TargetSet::Targets &targets,
                  ColdTargets coldTargets, core::Time now)
        : m_context(context)
        , m_query(query)
        , m_targets(targets)
        , m_coldTargets(coldTargets)
        , m_from(query.from.empty() ? context.settings.failureDomain : query.from)
        , m_now(now)
    {
        const auto reported = std::count_if(targets.begin(), targets.end(),
                                            [now](const auto &target) { return now < target->reportedUntil; });
        m_heedsReports = static_cast<double>(reported) <= static_cast<double>(targets.size()) * MostAvoidedShare;
        for (const auto &target : targets) {
            m_loads.push_back(target->load(now));
        }
    }

    [[nodiscard]] std::vector<Candidate> make() const
    {
        const auto slots = m_targets.empty() ? 1 : m_targets.front()->entry.slots;
        const auto tightOnly = enginesForTight(m_loads, slots, m_context.settings.placement);
        const bool someWell = anyUsable(false);
        std::size_t kept = 0;
        std::vector<Candidate> all;
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            const auto &target = *m_targets[i];
            Candidate candidate;
            candidate.load = m_loads[i];
            candidate.slots = target.entry.slots;
            candidate.atHome = target.entry.failureDomain == m_context.settings.failureDomain;
            candidate.mayAnswer = usable(i, !someWell);
            candidate.tightOnly = candidate.mayAnswer && kept < tightOnly;
            kept += candidate.tightOnly ? 1 : 0;
            candidate.mayHelp = mayHelp(target);
            all.push_back(candidate);
        }
        return all;
    }

private:
    [[nodiscard]] bool avoided(const Target &target) const
    {
        return m_heedsReports && m_now < target.reportedUntil;
    }

    /// Whether the target is warming up and its service sets a request rate for that state.
    [[nodiscard]] bool cold(const Target &target) const
    {
        return target.coldStart.lasts(m_now) && coldPerSecond() > 0;
    }

    [[nodiscard]] double coldPerSecond() const
    {
        const auto *service = m_context.table ? m_context.table->service(m_query.service) : nullptr;
        return service != nullptr ? service->coldPerSecond : 0;
    }

    [[nodiscard]] bool takesOneMore(const Target &target) const
    {
        const bool isCold = cold(target);
        if (isCold && m_coldTargets == ColdTargets::PassedOver) {
            return false;
        }
        const auto &limit = target.rateLimit;
        if (!isCold && !limit.perSecond()) {
            return true;
        }
        const RateShare share(giverOf(m_context, m_query), m_context.fleetKnowledge(m_now), m_context.settings.vm,
                              target.hash);
        const auto keeps = [&](const FleetRate &rate) { return share.takesOne(rate, target.recentSends, m_now); };
        return (!isCold || keeps(ColdStart::rate(coldPerSecond()))) && (!limit.perSecond() || keeps(limit.rate()));
    }

    [[nodiscard]] bool cutOff(const Target &target) const
    {
        return m_context.links.parted(m_from, target.entry.failureDomain, m_now);
    }

    [[nodiscard]] bool mayHelp(const Target &target) const
    {
        const auto &health = target.health;
        return !avoided(target) && !cold(target) && !target.rateLimit.perSecond() && !cutOff(target)
            && !health.ejected(m_now) && !health.onProbation() && !target.helpPause.lasts(m_now);
    }

    [[nodiscard]] bool anyUsable(bool evenEjected) const
    {
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            if (usable(i, evenEjected)) {
                return true;
            }
        }
        return false;
    }

    [[nodiscard]] bool usable(std::size_t index, bool evenEjected) const
    {
        const auto &target = *m_targets[index];
        const bool wanted = !m_query.onlyAt || contains(*m_query.onlyAt, target.hash);
        if (!wanted || contains(m_query.notAt, target.hash) || target.fullPause.lasts(m_now)) {
            return false;
        }
        if (!takesOneMore(target)) {
            return false;
        }
        if (evenEjected) {
            return true;
        }
        if (cutOff(target)) {
            return false;
        }
        // A daemon that also failed to reach the target probes it itself: if every daemon waited for the others, it
        // would never return to service.
        if (avoided(target) && !target.health.onProbation()) {
            return false;
        }
        const bool waitsForProof = target.health.onProbation() && m_loads[index].requests > 0;
        return !target.health.ejected(m_now) && !waitsForProof;
    }

    const RelayContext &m_context;
    const TargetQuery &m_query;
    const TargetSet::Targets &m_targets;
    const ColdTargets m_coldTargets;
    const std::string m_from; ///< Failure domain of the requesting daemon.
    const core::Time m_now;
    bool m_heedsReports = true; ///< False if so many targets are reported unreachable that the reports are ignored.
    std::vector<Outstanding> m_loads;
};

TargetSet::Targets targetsFor(const RelayContext &context, const TargetQuery &query, core::Time now)
{
    auto targets = context.targets.listed(query.service, now);
    std::erase_if(targets, [&query](const auto &target) { return contains(query.unwanted, target->hash); });
    if (!query.atHome) {
        return targets;
    }
    TargetSet::Targets home;
    for (const auto &target : targets) {
        if (target->entry.failureDomain == context.settings.failureDomain) {
            home.push_back(target);
        }
    }
    return home.empty() ? targets : home;
}

/// Chooses among candidates such that the answering engine can reach its helpers.
class Chooser
{
public:
    Chooser(RelayContext &context, const TargetQuery &query, const TargetSet::Targets &targets, core::Time now)
        : m_context(context)
        , m_query(query)
        , m_targets(targets)
        , m_now(now)
        , m_pick(context.random())
    { }

    [[nodiscard]] std::optional<Placement> choose() const
    {
        auto placement = chooseAmong(ColdTargets::PassedOver);
        const bool someCold = std::any_of(m_targets.begin(), m_targets.end(),
                                          [this](const auto &target) { return target->coldStart.lasts(m_now); });
        if (!placement && someCold) {
            placement = chooseAmong(ColdTargets::AsTheyBear);
        }
        return placement;
    }

private:
    [[nodiscard]] std::optional<Placement> chooseAmong(ColdTargets coldTargets) const
    {
        auto candidates = CandidateList(m_context, m_query, m_targets, coldTargets, m_now).make();
        auto placement = place(candidates);
        if (!placement || allMayHelp(*placement)) {
            return placement;
        }
        const auto &answersIn = domainOf(placement->target);
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            candidates[i].mayAnswer = candidates[i].mayAnswer && domainOf(i) == answersIn;
            candidates[i].mayHelp = candidates[i].mayHelp && helps(answersIn, domainOf(i));
        }
        return place(candidates);
    }

    [[nodiscard]] std::optional<Placement> place(const std::vector<Candidate> &candidates) const
    {
        const auto *spec = m_context.table ? m_context.table->service(m_query.service) : nullptr;
        const auto &rule = m_context.settings.placement;
        if (m_query.prompt && spec != nullptr && spec->engine) {
            return placePrompt(*spec->engine, *m_query.prompt, candidates, rule, m_pick);
        }
        return placePlain(candidates, rule, m_pick);
    }

    [[nodiscard]] const std::string &domainOf(std::size_t candidate) const
    {
        return m_targets[candidate]->entry.failureDomain;
    }

    /// Whether engines of one failure domain may help one of another.
    [[nodiscard]] bool helps(const std::string &answersIn, const std::string &helpsIn) const
    {
        return answersIn == helpsIn || !(m_query.nearHelpers || m_context.links.parted(answersIn, helpsIn, m_now));
    }

    [[nodiscard]] bool allMayHelp(const Placement &placement) const
    {
        const auto &answersIn = domainOf(placement.target);
        return std::all_of(placement.helpers.begin(), placement.helpers.end(),
                           [&](std::size_t helper) { return helps(answersIn, domainOf(helper)); });
    }

    const RelayContext &m_context;
    const TargetQuery &m_query;
    const TargetSet::Targets &m_targets;
    const core::Time m_now;
    const std::uint64_t m_pick;
};

} // namespace

bool mayQueueAfter(core::Duration waited, core::Duration aim) noexcept
{
    return waited >= aim * WaitShare;
}

std::optional<ChosenTargets> chooseTargets(RelayContext &context, const TargetQuery &query, core::Time now)
{
    const auto targets = targetsFor(context, query, now);
    const Chooser chooser(context, query, targets, now);
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
    for (const auto &holding : placement->holdings) {
        chosen.holdingTokens.push_back(holding.tokens);
    }
    chosen.expected = placement->expected;
    chosen.partRead = placement->partRead;
    return chosen;
}

std::vector<std::pair<core::Ref<Target>, Outstanding>> workOf(const ChosenTargets &chosen, const PromptFacts &prompt)
{
    const auto readMicros = absl::ToInt64Microseconds(chosen.partRead);
    std::vector<std::pair<core::Ref<Target>, Outstanding>> works;
    std::int64_t held = 0;
    for (std::size_t i = 0; i < chosen.helpers.size(); ++i) {
        Outstanding work;
        work.parts = 1;
        work.partMicros = readMicros;
        work.memoryTokens = i < chosen.holdingTokens.size() ? chosen.holdingTokens[i] : 0;
        held += work.memoryTokens;
        works.emplace_back(chosen.helpers[i], work);
    }
    Outstanding work;
    work.requests = 1;
    work.readMicros = readMicros;
    work.memoryTokens = std::max<std::int64_t>(prompt.memoryTokens() - held, 0);
    works.emplace_back(chosen.target, work);
    return works;
}

} // namespace spurlug::relay
