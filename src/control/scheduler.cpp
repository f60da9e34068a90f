//----------------------------------------------------------------------------------------------------------------------
// spurlug: central placement of the prompts of all daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/control/scheduler.h"

#include "spurlug/core/log.h"
#include "spurlug/core/text.h"
#include "spurlug/relay/target_notice.h"

#include <absl/time/clock.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace spurlug::control
{

namespace
{

/// A daemon with work reports at least every half second; three lost reports in a row mean that it is gone.
constexpr auto ReportTtl = absl::Milliseconds(1600);
/// A grant whose work is not reported within this time was not used, or its daemon is gone.
constexpr auto GrantTtl = absl::Milliseconds(800);
constexpr auto QueuedRequestTtl = absl::Milliseconds(500); ///< Daemons repeat queued requests every 150 ms.
/// After this many consecutive requests found no engine, the rest of their kind (with or without the need for short
/// gaps) is left for the next round: they differ little, and each attempt costs some tens of us.
constexpr int MaxFailedPlacements = 4;
constexpr auto GaugeInterval = absl::Seconds(1); ///< Interval between updates of the gauges.
constexpr auto AssumedLoadAge = absl::Milliseconds(20); ///< Network transit and processing delay at both ends.

/// Key under which the work of a grant is recorded, next to the VM names of reporting daemons.
std::string grantKey(std::uint64_t number)
{
    return core::cat("grant ", number);
}

} // namespace

Scheduler::Scheduler(relay::RelayContext &context)
    : m_context(context)
    , m_views(static_cast<std::uint64_t>(absl::ToUnixNanos(absl::Now())))
{ }

void Scheduler::setQueuedCallback(std::function<void()> callback)
{
    m_onQueued = std::move(callback);
}

bool Scheduler::canSchedule(const std::string &service) const
{
    if (m_context.draining || !m_context.table) {
        return false;
    }
    const auto *spec = m_context.table->serviceNamed(service);
    return spec != nullptr && spec->engine;
}

void Scheduler::applyReport(const WorkReport &report, core::Time now)
{
    auto &state = m_reportStates[report.vm];
    const auto known = std::tie(state.incarnation, state.sequence);
    if (std::tie(report.incarnation, report.sequence) <= known) {
        return;
    }
    state = {report.incarnation, report.sequence, now};
    const auto domain = domainOrOwn(report.failureDomain);
    m_context.targets.setPeerWork(report.vm, report.work, now);
    m_context.metrics.count(metrics::Counter::WorkReportsReceived);
    for (auto grant = m_grants.begin(); grant != m_grants.end();) {
        const bool covered = grant->second.vm == report.vm && grant->first <= report.newestGrant;
        grant = covered ? removeGrant(grant) : std::next(grant);
    }
    for (const auto &target : m_context.targets.notePeerReport(report.unreachable, now)) {
        core::log(core::LogLevel::Info, "target_reported",
                  {{"target", target->entry.id}, {"by", report.vm}, {"reported", report.unreachable.size()}});
    }
    relay::applyDrainingReports(m_context, report.draining, report.vm);
    relay::applyRateReports(m_context, report.rates, report.vm, now);
    for (const auto &outcome : report.outcomes) {
        applyOutcome(outcome, domain, now);
    }
}

const std::string &Scheduler::domainOrOwn(const std::string &domain) const
{
    return domain.empty() ? m_context.settings.failureDomain : domain;
}

void Scheduler::recordLinkOutcome(const TargetOutcome &outcome, const std::string &requesterDomain, core::Time now)
{
    const auto target = m_context.targets.findByHash(outcome.target);
    const auto requester
        = outcome.requestingEngine != 0 ? m_context.targets.findByHash(outcome.requestingEngine) : nullptr;
    if (outcome.requestingEngine != 0 && !requester) {
        return; // The engine that asked is gone.
    }
    const auto &from = requester ? requester->entry.failureDomain : requesterDomain;
    const auto &to = target->entry.failureDomain;
    const bool unreachable = outcome.fault == relay::TargetFault::Unreachable;
    if (!outcome.fault) {
        m_context.links.noteSuccess(from, to);
    } else if (unreachable || requester) {
        m_context.links.noteFailure(from, to, outcome.target, now);
    }
}

void Scheduler::recordHelpOutcome(relay::Target &target, const TargetOutcome &outcome, core::Time now)
{
    if (!outcome.fault) {
        target.helpBackoff.noteSuccess();
        return;
    }
    target.helpBackoff.noteRefusal(now);
    if (*outcome.fault == relay::TargetFault::Timeout) {
        target.health.noteFailure(*outcome.fault, m_context.ejection, now);
    }
}

void Scheduler::applyOutcome(const TargetOutcome &outcome, const std::string &requesterDomain, core::Time now)
{
    const auto target = m_context.targets.findByHash(outcome.target);
    if (!target) {
        return;
    }
    recordLinkOutcome(outcome, requesterDomain, now);
    if (outcome.requestingEngine != 0) {
        recordHelpOutcome(*target, outcome, now);
        return;
    }
    if (!outcome.fault) {
        target->health.noteSuccess(now);
    } else if (*outcome.fault == relay::TargetFault::Busy) {
        target->refusalBackoff.noteRefusal(now);
    } else {
        target->health.noteFailure(*outcome.fault, m_context.ejection, now);
    }
}

Scheduler::Grants::iterator Scheduler::removeGrant(Grants::iterator grant)
{
    m_context.targets.removePeer(grantKey(grant->first));
    return m_grants.erase(grant);
}

PlacementReply Scheduler::handleRequest(const PlacementRequest &ask, core::Time now)
{
    PlacementReply reply;
    reply.vm = m_context.settings.vm;
    reply.requestNumber = ask.requestNumber;
    if (!canSchedule(ask.service)) {
        return reply;
    }
    relay::applyRateReports(m_context, ask.rates, ask.vm, now);
    for (const auto &[number, grant] : m_grants) {
        if (grant.vm == ask.vm && grant.reply.requestNumber == ask.requestNumber) {
            return grant.reply;
        }
    }
    const auto known = std::find_if(m_queue.begin(), m_queue.end(), [&ask](const QueuedRequest &waiting) {
        return waiting.request.vm == ask.vm && waiting.request.requestNumber == ask.requestNumber;
    });
    reply.kind = ReplyKind::Queued;
    if (known != m_queue.end()) {
        known->lastReceivedAt = now;
        known->request = ask; // The daemon's list of unwanted targets may have changed.
        attachLoadView(reply, ask.vm, now);
        return reply;
    }
    if (auto granted = place(ask, now - ask.waited, now)) {
        return *granted;
    }
    m_queue.push_back({ask, now - ask.waited, now});
    m_context.metrics.count(metrics::Counter::PlacementRequestsQueued);
    m_onQueued();
    attachLoadView(reply, ask.vm, now);
    return reply;
}

std::array<overload::KindLoad, overload::KindCount> Scheduler::currentKindLoads(core::Time /*now*/) const
{
    std::array<overload::KindLoad, overload::KindCount> loads;
    for (const auto &waiting : m_queue) {
        const auto kind = waiting.request.shortGaps ? overload::Kind::ShortGaps : overload::Kind::LongGaps;
        ++loads[static_cast<std::size_t>(kind)].waiting;
    }
    return loads;
}

void Scheduler::attachLoadView(PlacementReply &reply, const std::string &vm, core::Time now)
{
    if (!m_context.features().admission) {
        return;
    }
    reply.load = m_views.publish(vm, currentKindLoads(now), m_context.roster.size(), {}, now);
    if (reply.load) {
        m_context.metrics.count(metrics::Counter::LoadViewsSent);
        m_context.loadViews.accept(*reply.load, now, absl::Now()); // For answers to heartbeats.
    }
}

void Scheduler::updateGauges(core::Time now)
{
    if (!m_context.features().admission || now - m_gaugesUpdatedAt < GaugeInterval) {
        return;
    }
    m_gaugesUpdatedAt = now;
    const auto loads = currentKindLoads(now);
    const auto &shortGaps = loads[static_cast<std::size_t>(overload::Kind::ShortGaps)];
    const auto &longGaps = loads[static_cast<std::size_t>(overload::Kind::LongGaps)];
    m_context.metrics.setGauge("backlog_short", shortGaps.waiting);
    m_context.metrics.setGauge("backlog_long", longGaps.waiting);
    m_context.metrics.setGauge("drain_short_per_s", shortGaps.drainPerSecond);
    m_context.metrics.setGauge("drain_long_ms_per_s", longGaps.drainPerSecond);
}

core::Duration Scheduler::slackTime(const QueuedRequest &queued, core::Time now) const
{
    const auto &request = queued.request;
    const auto *spec = m_context.table->serviceNamed(request.service);
    if (spec == nullptr || !spec->engine) {
        return absl::ZeroDuration(); // The configuration changed; the reply to a repeated request says so.
    }
    const auto engines = request.shortGaps ? 1 : m_context.settings.placement.mostHelpers + 1;
    const auto prefillMs
        = relay::prefillPartMs(*spec->engine, request.prompt.promptTokens, static_cast<std::size_t>(engines));
    return queued.arrivedAt + request.ttftObjective - now - absl::Milliseconds(prefillMs);
}

void Scheduler::sortQueue(core::Time now)
{
    const auto orderOf = [this, now](const QueuedRequest &waiting) {
        const auto slack = slackTime(waiting, now);
        const bool late = slack < absl::ZeroDuration();
        return std::make_tuple(waiting.request.priority, late, !waiting.request.shortGaps, slack);
    };
    using Order = decltype(orderOf(m_queue.front()));
    std::vector<std::pair<Order, QueuedRequest>> ordered;
    ordered.reserve(m_queue.size());
    for (auto &waiting : m_queue) {
        auto order = orderOf(waiting);
        ordered.emplace_back(std::move(order), std::move(waiting));
    }
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const auto &left, const auto &right) { return left.first < right.first; });
    m_queue.clear();
    for (auto &[order, waiting] : ordered) {
        m_queue.push_back(std::move(waiting));
    }
}

std::optional<PlacementReply> Scheduler::place(const PlacementRequest &placementRequest, core::Time arrivedAt,
                                               core::Time now)
{
    relay::PromptRequest request;
    request.prompt = placementRequest.prompt;
    request.ttftObjective = placementRequest.ttftObjective;
    request.shortGaps = placementRequest.shortGaps;
    request.waited = now - arrivedAt;
    request.mayQueue = relay::mayQueueAtEngine(request.waited, placementRequest.ttftObjective);
    request.callerTimeout = placementRequest.callerTimeout;
    if (const auto found = m_context.pauses.find(placementRequest.service); found != m_context.pauses.end()) {
        request.toleratedGaps = found->second;
    }
    request.loadAge = AssumedLoadAge;
    relay::TargetQuery query;
    query.service = placementRequest.service;
    query.prompt = request;
    query.excludedTargets = placementRequest.excludedTargets;
    if (!placementRequest.allowedTargets.empty()) {
        query.allowedTargets = placementRequest.allowedTargets;
    }
    query.avoidedTargets = placementRequest.avoidedTargets;
    query.localDomainOnly = placementRequest.localDomainOnly;
    query.forScheduler = true;
    query.localHelpersOnly = placementRequest.localHelpersOnly;
    query.senderDomain = domainOrOwn(placementRequest.failureDomain);
    const auto chosen = relay::chooseTargets(m_context, query, now);
    if (!chosen) {
        return std::nullopt;
    }
    PlacementReply reply;
    reply.vm = m_context.settings.vm;
    reply.requestNumber = placementRequest.requestNumber;
    reply.kind = ReplyKind::Granted;
    reply.grantNumber = ++m_newestGrant;
    reply.target = chosen->target->hash;
    for (const auto &helper : chosen->helpers) {
        reply.helpers.push_back(helper->hash);
    }
    reply.reservedTokens = chosen->reservedTokens;
    reply.expectedTtft = chosen->expectedTtft;
    reply.partPrefillTime = chosen->partPrefillTime;
    std::vector<targets::TargetWork> works;
    for (const auto &[target, work] : relay::addedWork(*chosen, placementRequest.prompt)) {
        works.push_back({target->hash, work, absl::ToInt64Microseconds(chosen->expectedTtft)});
    }
    works.back().work.shortGapRequests = placementRequest.shortGaps ? 1 : 0;
    m_context.targets.setPeerWork(grantKey(reply.grantNumber), works, now);
    m_grants[reply.grantNumber] = {reply, placementRequest.vm, now};
    m_context.metrics.count(metrics::Counter::PlacementsGranted);
    return reply;
}

void Scheduler::cancel(const PlacementCancel &cancel)
{
    std::erase_if(m_queue, [&cancel](const QueuedRequest &waiting) {
        return waiting.request.vm == cancel.vm && waiting.request.requestNumber == cancel.requestNumber;
    });
    for (auto grant = m_grants.begin(); grant != m_grants.end();) {
        const bool matches = grant->second.vm == cancel.vm && grant->second.reply.requestNumber == cancel.requestNumber;
        grant = matches ? removeGrant(grant) : std::next(grant);
    }
}

void Scheduler::noteGrantUsed(std::uint64_t grant)
{
    const auto found = m_grants.find(grant);
    if (found != m_grants.end()) {
        removeGrant(found);
    }
}

std::vector<std::pair<std::string, PlacementReply>> Scheduler::placeQueued(core::Time now)
{
    std::vector<std::pair<std::string, PlacementReply>> grants;
    if (m_queue.empty() || !m_context.table) {
        return grants;
    }
    sortQueue(now);
    int failedShortGaps = 0;
    int failedLongGaps = 0;
    bool inTimeRequestWaiting
        = false; // A request that tolerates longer gaps found no engine, but can still be in time.
    for (auto queued = m_queue.begin(); queued != m_queue.end();) {
        const bool late = slackTime(*queued, now) < absl::ZeroDuration();
        auto &failures = queued->request.shortGaps ? failedShortGaps : failedLongGaps;
        const bool deferred = late && !queued->request.shortGaps && inTimeRequestWaiting;
        auto reply = failures >= MaxFailedPlacements || deferred ? std::optional<PlacementReply>()
                                                                 : place(queued->request, queued->arrivedAt, now);
        if (!reply) {
            ++failures;
            inTimeRequestWaiting = inTimeRequestWaiting || (!late && !queued->request.shortGaps);
            ++queued;
            continue;
        }
        failures = 0;
        grants.emplace_back(queued->request.vm, std::move(*reply));
        queued = m_queue.erase(queued);
    }
    return grants;
}

void Scheduler::removeExpired(core::Time now)
{
    updateGauges(now);
    std::erase_if(m_queue,
                  [now](const QueuedRequest &waiting) { return now - waiting.lastReceivedAt > QueuedRequestTtl; });
    for (auto grant = m_grants.begin(); grant != m_grants.end();) {
        grant = now - grant->second.grantedAt > GrantTtl ? removeGrant(grant) : std::next(grant);
    }
    for (auto &[vm, heard] : m_reportStates) {
        if (now - heard.receivedAt > ReportTtl) {
            m_context.targets.removePeer(vm);
        }
    }
}

} // namespace spurlug::control
