//----------------------------------------------------------------------------------------------------------------------
// spurlug: central placement of the prompts of all daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/control/scheduler.h"

#include "spurlug/core/log.h"
#include "spurlug/core/text.h"
#include "spurlug/relay/target_notice.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace spurlug::control
{

namespace
{

/// A daemon with work reports at least every half second; three lost reports in a row mean that it is gone.
constexpr auto ReportLife = absl::Milliseconds(1600);
/// A grant whose work is not reported within this time was not used, or its daemon is gone.
constexpr auto GrantLife = absl::Milliseconds(800);
constexpr auto AskLife = absl::Milliseconds(500); ///< Daemons repeat queued requests every 150 ms.
/// After this many consecutive requests found no engine, the rest of their kind (with or without the need for short
/// gaps) is left for the next round: they differ little, and each attempt costs some tens of us.
constexpr int MostVainLooks = 4;
constexpr auto LoadAge = absl::Milliseconds(20); ///< Network transit and processing delay at both ends.

/// Key under which the work of a grant is recorded, next to the VM names of reporting daemons.
std::string grantName(std::uint64_t number)
{
    return core::cat("grant ", number);
}

} // namespace

Scheduler::Scheduler(relay::RelayContext &context)
    : m_context(context)
{ }

void Scheduler::onWaiting(std::function<void()> notify)
{
    m_notifyWaiting = std::move(notify);
}

bool Scheduler::schedules(const std::string &service) const
{
    if (m_context.draining || !m_context.table) {
        return false;
    }
    const auto *spec = m_context.table->service(service);
    return spec != nullptr && spec->engine;
}

void Scheduler::report(const WorkReport &report, core::Time now)
{
    auto &heard = m_heard[report.vm];
    const auto known = std::tie(heard.incarnation, heard.sequence);
    if (std::tie(report.incarnation, report.sequence) <= known) {
        return;
    }
    heard = {report.incarnation, report.sequence, now};
    const auto domain = domainOf(report.failureDomain);
    m_context.targets.peerWork(report.vm, report.work, now);
    m_context.metrics.count(metrics::Counter::WorkReportsTaken);
    for (auto grant = m_grants.begin(); grant != m_grants.end();) {
        const bool told = grant->second.vm == report.vm && grant->first <= report.newestGrant;
        grant = told ? forget(grant) : std::next(grant);
    }
    for (const auto &target : m_context.targets.peerReport(report.unreachable, now)) {
        core::log(core::LogLevel::Info, "target_reported",
                  {{"target", target->entry.id}, {"by", report.vm}, {"reported", report.unreachable.size()}});
    }
    relay::takeLeavingNews(m_context, report.leaving, report.vm);
    relay::takeRateNews(m_context, report.rates, report.vm, now);
    for (const auto &outcome : report.outcomes) {
        takeOutcome(outcome, domain, now);
    }
}

const std::string &Scheduler::domainOf(const std::string &told) const
{
    return told.empty() ? m_context.settings.failureDomain : told;
}

void Scheduler::noteLink(const TargetOutcome &outcome, const std::string &domain, core::Time now)
{
    const auto target = m_context.targets.withHash(outcome.target);
    const auto asker = outcome.askedBy != 0 ? m_context.targets.withHash(outcome.askedBy) : nullptr;
    if (outcome.askedBy != 0 && !asker) {
        return; // The engine that asked is gone.
    }
    const auto &from = asker ? asker->entry.failureDomain : domain;
    const auto &to = target->entry.failureDomain;
    const bool unanswered = outcome.fault == relay::TargetFault::Unreachable;
    if (!outcome.fault) {
        m_context.links.reached(from, to);
    } else if (unanswered || asker) {
        m_context.links.failed(from, to, outcome.target, now);
    }
}

void Scheduler::noteHelp(relay::Target &target, const TargetOutcome &outcome, core::Time now)
{
    if (!outcome.fault) {
        target.helpPause.accepted();
        return;
    }
    target.helpPause.refused(now);
    if (*outcome.fault == relay::TargetFault::Silent) {
        target.health.failed(*outcome.fault, m_context.ejection, now);
    }
}

void Scheduler::takeOutcome(const TargetOutcome &outcome, const std::string &domain, core::Time now)
{
    const auto target = m_context.targets.withHash(outcome.target);
    if (!target) {
        return;
    }
    noteLink(outcome, domain, now);
    if (outcome.askedBy != 0) {
        noteHelp(*target, outcome, now);
        return;
    }
    if (!outcome.fault) {
        target->health.succeeded(now);
    } else if (*outcome.fault == relay::TargetFault::Busy) {
        target->fullPause.refused(now);
    } else {
        target->health.failed(*outcome.fault, m_context.ejection, now);
    }
}

Scheduler::Grants::iterator Scheduler::forget(Grants::iterator grant)
{
    m_context.targets.forgetPeer(grantName(grant->first));
    return m_grants.erase(grant);
}

PlacementAnswer Scheduler::ask(const PlacementAsk &ask, core::Time now)
{
    PlacementAnswer answer;
    answer.vm = m_context.settings.vm;
    answer.ask = ask.ask;
    if (!schedules(ask.service)) {
        return answer;
    }
    relay::takeRateNews(m_context, ask.rates, ask.vm, now);
    for (const auto &[number, grant] : m_grants) {
        if (grant.vm == ask.vm && grant.answer.ask == ask.ask) {
            return grant.answer;
        }
    }
    const auto known = std::find_if(m_waiting.begin(), m_waiting.end(), [&ask](const Waiting &waiting) {
        return waiting.ask.vm == ask.vm && waiting.ask.ask == ask.ask;
    });
    answer.kind = AnswerKind::Queued;
    if (known != m_waiting.end()) {
        known->heardAt = now;
        known->ask = ask; // The daemon's list of unwanted targets may have changed.
        return answer;
    }
    if (auto granted = place(ask, now - ask.waited, now)) {
        return *granted;
    }
    m_waiting.push_back({ask, now - ask.waited, now});
    m_context.metrics.count(metrics::Counter::AsksQueued);
    m_notifyWaiting();
    return answer;
}

core::Duration Scheduler::timeToSpare(const Waiting &waiting, core::Time now) const
{
    const auto &ask = waiting.ask;
    const auto *spec = m_context.table->service(ask.service);
    if (spec == nullptr || !spec->engine) {
        return absl::ZeroDuration(); // The configuration changed; the reply to a repeated request says so.
    }
    const auto parts = ask.tight ? 1 : m_context.settings.placement.mostHelpers + 1;
    const auto reading = relay::partMs(*spec->engine, ask.prompt.promptTokens, static_cast<std::size_t>(parts));
    return waiting.arrivedAt + ask.aim - now - absl::Milliseconds(reading);
}

void Scheduler::sortWaiting(core::Time now)
{
    const auto orderOf = [this, now](const Waiting &waiting) {
        const auto spare = timeToSpare(waiting, now);
        const bool late = spare < absl::ZeroDuration();
        return std::make_tuple(waiting.ask.priority, late, !waiting.ask.tight, spare);
    };
    using Order = decltype(orderOf(m_waiting.front()));
    std::vector<std::pair<Order, Waiting>> ordered;
    ordered.reserve(m_waiting.size());
    for (auto &waiting : m_waiting) {
        auto order = orderOf(waiting);
        ordered.emplace_back(std::move(order), std::move(waiting));
    }
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const auto &left, const auto &right) { return left.first < right.first; });
    m_waiting.clear();
    for (auto &[order, waiting] : ordered) {
        m_waiting.push_back(std::move(waiting));
    }
}

std::optional<PlacementAnswer> Scheduler::place(const PlacementAsk &ask, core::Time arrivedAt, core::Time now)
{
    relay::PromptRequest request;
    request.prompt = ask.prompt;
    request.aim = ask.aim;
    request.tight = ask.tight;
    request.waited = now - arrivedAt;
    request.mayQueue = relay::mayQueueAfter(request.waited, ask.aim);
    request.patience = ask.patience;
    if (const auto found = m_context.pauses.find(ask.service); found != m_context.pauses.end()) {
        request.pauses = found->second;
    }
    request.loadAge = LoadAge;
    relay::TargetQuery query;
    query.service = ask.service;
    query.prompt = request;
    query.notAt = ask.notAt;
    if (!ask.onlyAt.empty()) {
        query.onlyAt = ask.onlyAt;
    }
    query.unwanted = ask.unwanted;
    query.atHome = ask.atHome;
    query.forFleet = true;
    query.nearHelpers = ask.nearHelpers;
    query.from = domainOf(ask.failureDomain);
    const auto chosen = relay::chooseTargets(m_context, query, now);
    if (!chosen) {
        return std::nullopt;
    }
    PlacementAnswer answer;
    answer.vm = m_context.settings.vm;
    answer.ask = ask.ask;
    answer.kind = AnswerKind::Granted;
    answer.grant = ++m_newestGrant;
    answer.target = chosen->target->hash;
    for (const auto &helper : chosen->helpers) {
        answer.helpers.push_back(helper->hash);
    }
    answer.holdingTokens = chosen->holdingTokens;
    answer.expected = chosen->expected;
    answer.partRead = chosen->partRead;
    std::vector<targets::TargetWork> works;
    for (const auto &[target, work] : relay::workOf(*chosen, ask.prompt)) {
        works.push_back({target->hash, work, absl::ToInt64Microseconds(chosen->expected)});
    }
    works.back().work.tightRequests = ask.tight ? 1 : 0;
    m_context.targets.peerWork(grantName(answer.grant), works, now);
    m_grants[answer.grant] = {answer, ask.vm, now};
    m_context.metrics.count(metrics::Counter::PlacementsGranted);
    return answer;
}

void Scheduler::cancel(const PlacementCancel &cancel)
{
    std::erase_if(m_waiting, [&cancel](const Waiting &waiting) {
        return waiting.ask.vm == cancel.vm && waiting.ask.ask == cancel.ask;
    });
    for (auto grant = m_grants.begin(); grant != m_grants.end();) {
        const bool meant = grant->second.vm == cancel.vm && grant->second.answer.ask == cancel.ask;
        grant = meant ? forget(grant) : std::next(grant);
    }
}

void Scheduler::begun(std::uint64_t grant)
{
    const auto found = m_grants.find(grant);
    if (found != m_grants.end()) {
        forget(found);
    }
}

std::vector<std::pair<std::string, PlacementAnswer>> Scheduler::serveWaiting(core::Time now)
{
    std::vector<std::pair<std::string, PlacementAnswer>> grants;
    if (m_waiting.empty() || !m_context.table) {
        return grants;
    }
    sortWaiting(now);
    int vainTight = 0;
    int vainLoose = 0;
    bool someInTimeWait = false; // A request that tolerates longer gaps found no engine, but can still be in time.
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        const bool late = timeToSpare(*waiting, now) < absl::ZeroDuration();
        auto &vain = waiting->ask.tight ? vainTight : vainLoose;
        const bool stepsBack = late && !waiting->ask.tight && someInTimeWait;
        auto answer = vain >= MostVainLooks || stepsBack ? std::optional<PlacementAnswer>()
                                                         : place(waiting->ask, waiting->arrivedAt, now);
        if (!answer) {
            ++vain;
            someInTimeWait = someInTimeWait || (!late && !waiting->ask.tight);
            ++waiting;
            continue;
        }
        vain = 0;
        grants.emplace_back(waiting->ask.vm, std::move(*answer));
        waiting = m_waiting.erase(waiting);
    }
    return grants;
}

void Scheduler::forgetSilent(core::Time now)
{
    std::erase_if(m_waiting, [now](const Waiting &waiting) { return now - waiting.heardAt > AskLife; });
    for (auto grant = m_grants.begin(); grant != m_grants.end();) {
        grant = now - grant->second.grantedAt > GrantLife ? forget(grant) : std::next(grant);
    }
    for (auto &[vm, heard] : m_heard) {
        if (now - heard.at > ReportLife) {
            m_context.targets.forgetPeer(vm);
        }
    }
}

} // namespace spurlug::control
