//----------------------------------------------------------------------------------------------------------------------
// spurlug: central placement of the prompts of all daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/control/scheduler.h"

#include "spurlug/core/log.h"
#include "spurlug/core/text.h"
#include "spurlug/relay/target_notice.h"
#include "spurlug/relay/target_speed.h"

#include <absl/time/clock.h>
#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <numeric>
#include <string_view>

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
/// Failed placements of a kind after which a round with admission by prediction ends for it, however many succeed in
/// between. Prompts that tolerate longer gaps differ in size: behind the largest, others may still find an engine.
constexpr int MaxFailedPlacementsPerRound = 16;
constexpr auto NoPrompt = std::numeric_limits<std::int64_t>::max(); ///< Larger than any prompt, tokens.
constexpr auto GaugeInterval = absl::Seconds(1); ///< Interval between updates of the gauges.
constexpr auto AssumedLoadAge = absl::Milliseconds(20); ///< Network transit and processing delay at both ends.

/// Key under which the work of a grant is recorded, next to the VM names of reporting daemons.
std::string grantKey(std::uint64_t number)
{
    return core::cat("grant ", number);
}

/// Whether a request can use only a part of the engines, so that others need not wait behind it. Daemons leave out
/// single targets that they do not reach; this leaves a request enough engines.
bool isConstrained(const PlacementRequest &request, std::size_t targetCount)
{
    constexpr std::size_t MinLeftOutPart = 4; // A quarter of the targets.
    const auto leftOut = request.excludedTargets.size() + request.avoidedTargets.size();
    return !request.allowedTargets.empty() || request.localDomainOnly || leftOut * MinLeftOutPart > targetCount;
}

} // namespace

Scheduler::Scheduler(relay::RelayContext &context)
    : m_context(context)
    , m_admission(context)
    , m_fairQueue(context.settings.overload)
    , m_floors(context.settings.overload.floorShare)
    , m_views(static_cast<std::uint64_t>(absl::ToUnixNanos(absl::Now())))
{ }

void Scheduler::setQueuedCallback(std::function<void()> callback)
{
    m_onQueued = std::move(callback);
}

bool Scheduler::canSchedule(const std::string &service) const
{
    if (m_context.shutdown.hasBegun() || !m_context.table) {
        return false;
    }
    const auto *spec = m_context.table->serviceNamed(service);
    return spec != nullptr && spec->engine;
}

void Scheduler::applyReport(const WorkReport &report, core::Time now)
{
    auto &state = m_reportStates[report.vm];
    const auto age = state.order.ageOf(report.incarnation, report.sequence, now);
    if (age == membership::MessageAge::Repeated || age == membership::MessageAge::Outdated) {
        return;
    }
    state.order.record(report.incarnation, report.sequence, now);
    state.receivedAt = now;
    m_admission.noteActivity(now);
    m_context.targets.setPeerWork(report.vm, report.work, now);
    m_context.metrics.count(metrics::Counter::WorkReportsReceived);
    for (auto grant = m_grants.begin(); grant != m_grants.end();) {
        const bool covered = grant->second.vm == report.vm && grant->first <= report.newestGrant;
        grant = covered ? removeGrant(grant) : std::next(grant);
    }
    for (const auto &target : m_context.targets.notePeerReport(report.unreachable, now, m_context.ejection)) {
        core::log(core::LogLevel::Info, "target_reported",
                  {{"target", target->entry.id}, {"by", report.vm}, {"reported", report.unreachable.size()}});
    }
    relay::applyDrainingReports(m_context, report.draining, report.vm);
    relay::applyRateReports(m_context, report.rates, report.vm, now);
    for (const auto &outcome : report.outcomes) {
        applyOutcome(outcome, report, now);
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

void Scheduler::applyOutcome(const TargetOutcome &outcome, const WorkReport &report, core::Time now)
{
    const auto target = m_context.targets.findByHash(outcome.target);
    if (!target) {
        return;
    }
    const bool wasEjected = target->health.isEjected(now);
    recordLinkOutcome(outcome, domainOrOwn(report.failureDomain), now);
    relay::applySpeedSamples(m_context, *target, {outcome.firstRatio, outcome.gapRatio}, now);
    if (outcome.requestingEngine != 0) {
        recordHelpOutcome(*target, outcome, now);
        return;
    }
    if (!outcome.fault) {
        if (m_context.ejection.byEvidence) {
            target->reportedUnreachableUntil = absl::InfinitePast(); // It answers, whatever was reported before.
        }
        if (outcome.firstEventOnly) {
            target->health.noteFirstEvent(now);
        } else {
            target->health.noteSuccess(now);
        }
    } else if (*outcome.fault == relay::TargetFault::Busy) {
        target->refusalBackoff.noteRefusal(now);
    } else if (target->health.noteFailure(*outcome.fault, m_context.ejection, now)) {
        m_context.metrics.count(metrics::Counter::EjectionsSpared);
    }
    if (!wasEjected && target->health.isEjected(now)) {
        m_context.metrics.count(metrics::Counter::EjectionsByReport);
        core::log(core::LogLevel::Info, "target_ejected",
                  {{"target", target->entry.id},
                   {"by", report.vm},
                   {"domain", report.failureDomain},
                   {"fault", core::nameOf(*outcome.fault)}});
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
        reply.expectedWait = known->ticket.expectedWait;
        attachLoadView(reply, ask.vm, now);
        return reply;
    }
    if (m_admission.isActive()) {
        return admit({ask, now - ask.waited, now, now, {}}, now);
    }
    QueuedRequest queued{ask, now - ask.waited, now, now, {}};
    if (auto granted = waitsBehindOthers(ask) ? std::nullopt : place(ask, queued.arrivedAt, now)) {
        noteDirectGrant(queued, now);
        return *granted;
    }
    m_queue.push_back(std::move(queued));
    m_context.metrics.count(metrics::Counter::PlacementRequestsQueued);
    m_onQueued();
    attachLoadView(reply, ask.vm, now);
    return reply;
}

PlacementReply Scheduler::admit(QueuedRequest queued, core::Time now)
{
    const auto &request = queued.request;
    m_admission.noteActivity(now);
    if (auto refusal = m_admission.findRefusal(request)) {
        return *refusal;
    }
    const auto vm = request.vm;
    queued.ticket = m_admission.admit(request, queued.arrivedAt, now);
    if (!request.shortGaps) {
        updateInTimePromptWaits(now);
    }
    const bool waits = waitsBehindOthers(request);
    if (!waits) {
        if (auto granted = place(request, queued.arrivedAt, now)) {
            m_admission.noteArrival(request, queued.ticket, now);
            m_admission.noteGrant(request, queued.ticket, granted->expectedTtft, now);
            if (!request.mayHaveRun) { // Such a request precedes those that wait.
                m_admission.noteGrantAtOnce(request.service, kindOf(request), now);
            }
            noteDirectGrant(queued, now);
            return *granted;
        }
    }
    const auto ahead = workAhead(queued);
    const auto verdict = m_admission.decide(request, queued.ticket, ahead, now);
    // The next round decides about a request that arrives after engines may have become free, and about a prompt with
    // longer gaps that was not tried: it may find an engine where those ahead, of other sizes, find none.
    const bool engineMayBeFree = (waits && !request.shortGaps) || !m_admission.recentlyFull(request, now);
    const bool mayRefuse = m_admission.mayRefuse(request, now) && !engineMayBeFree;
    if (verdict == overload::Verdict::Refuse && mayRefuse) {
        auto refusal = m_admission.refuse(request, queued.ticket, ahead, now);
        attachLoadView(refusal, vm, now);
        return refusal;
    }
    if (!isConstrained(request, m_context.targets.all().size())) {
        m_admission.noteWaiting(request.service, kindOf(request), now);
    }
    m_admission.noteArrival(request, queued.ticket, now);
    PlacementReply reply;
    reply.vm = m_context.settings.vm;
    reply.requestNumber = request.requestNumber;
    reply.kind = ReplyKind::Queued;
    reply.expectedWait = queued.ticket.expectedWait;
    m_queue.push_back(std::move(queued));
    m_context.metrics.count(metrics::Counter::PlacementRequestsQueued);
    m_onQueued();
    attachLoadView(reply, vm, now);
    return reply;
}

overload::WorkAhead Scheduler::workAhead(const QueuedRequest &queued) const
{
    overload::WorkAhead ahead;
    const auto &request = queued.request;
    const auto startBy = [](const AdmissionTicket &ticket) {
        return ticket.prompt.arrivedAt + ticket.prompt.ttftObjective - ticket.prompt.leastTtft;
    };
    const auto comesFirst = [&queued, ownStart = startBy(queued.ticket), &startBy](const AdmissionTicket &other) {
        return other.returnedOnTime != queued.ticket.returnedOnTime ? other.returnedOnTime : startBy(other) <= ownStart;
    };
    for (const auto &other : m_queue) {
        const auto &ticket = other.ticket;
        if (other.request.shortGaps != request.shortGaps || other.request.priority > request.priority
            || other.request.service != request.service) {
            continue;
        }
        const bool moreUrgent = other.request.priority < request.priority;
        if (!moreUrgent && !ticket.inTime) {
            ahead.late += ticket.work;
        } else if (moreUrgent || comesFirst(ticket)) {
            ahead.inTime += ticket.work;
        }
    }
    return ahead;
}

bool Scheduler::waitsBehindOthers(const PlacementRequest &request) const
{
    // Requests that a daemon sends again go ahead: their callers already have a part of the time behind them.
    if (request.mayHaveRun) {
        return false;
    }
    // Long prompts differ in the engines that they need, so only fair shares make one wait for another.
    const bool fairShares = m_context.features().fairShares;
    const bool inTimeOnly = m_admission.isActive() && request.shortGaps;
    const auto targetCount = m_context.targets.all().size();
    return (fairShares || inTimeOnly) && std::any_of(m_queue.begin(), m_queue.end(), [&](const QueuedRequest &other) {
               const auto &earlier = other.request;
               if (earlier.service != request.service || earlier.shortGaps != request.shortGaps) {
                   return false;
               }
               const bool isAhead = !isConstrained(earlier, targetCount) && earlier.priority <= request.priority;
               return isAhead && (!inTimeOnly || other.ticket.inTime);
           });
}

void Scheduler::noteGrant(const QueuedRequest &queued, const PlacementReply &grant, core::Time now)
{
    if (m_admission.isActive()) {
        m_admission.noteGrant(queued.request, queued.ticket, grant.expectedTtft, now);
        m_context.metrics.addSample(metrics::Timer::QueueWait, now - queued.queuedAt);
    }
}

std::vector<std::pair<std::string, PlacementReply>> Scheduler::refuseHopeless(core::Time now)
{
    std::vector<std::pair<std::string, PlacementReply>> refusals;
    if (!m_admission.isActive()) {
        return refusals;
    }
    // The queue is in the order of placement, so that the work ahead of a request is that of the entries before it.
    std::vector<LaneBacklog> backlogs;
    const auto backlogOf = [&backlogs](const PlacementRequest &request) -> LaneBacklog & {
        const auto found = std::find_if(backlogs.begin(), backlogs.end(), [&request](const LaneBacklog &backlog) {
            return backlog.kind == kindOf(request) && backlog.service == request.service;
        });
        return found != backlogs.end()
            ? *found
            : backlogs.emplace_back(LaneBacklog{request.service, kindOf(request), {}, false});
    };
    auto kept = m_queue.begin();
    for (auto queued = m_queue.begin(); queued != m_queue.end(); ++queued) {
        const auto &request = queued->request;
        auto &backlog = backlogOf(request);
        auto &ahead = backlog.work;
        backlog.unplaced = backlog.unplaced || !isConstrained(request, m_context.targets.all().size());
        const bool inTime = canBeInTime(*queued, now);
        const auto verdict
            = inTime ? overload::Verdict::InTime : m_admission.decide(request, queued->ticket, ahead, now);
        if (verdict == overload::Verdict::Refuse && m_admission.mayRefuse(request, now)) {
            refusals.emplace_back(request.vm, m_admission.refuse(request, queued->ticket, ahead, now));
            continue;
        }
        (inTime ? ahead.inTime : ahead.late) += queued->ticket.work;
        if (kept != queued) {
            *kept = std::move(*queued);
        }
        ++kept;
    }
    m_queue.erase(kept, m_queue.end());
    for (auto &[vm, refusal] : refusals) {
        attachLoadView(refusal, vm, now);
    }
    m_admission.noteRound(backlogs, now);
    return refusals;
}

bool Scheduler::canBeInTime(const QueuedRequest &queued, core::Time now) const
{
    const bool hasSlack = slackTime(queued, now) >= absl::ZeroDuration();
    return m_admission.isActive() ? hasSlack && m_admission.canBeInTime(queued.request, queued.ticket, now) : hasSlack;
}

std::array<overload::KindLoad, overload::KindCount> Scheduler::currentKindLoads(core::Time now) const
{
    std::array<overload::KindLoad, overload::KindCount> loads;
    std::array<double, overload::KindCount> waitingWork{};
    for (const auto &waiting : m_queue) {
        const auto kind = static_cast<std::size_t>(kindOf(waiting.request));
        ++loads[kind].waiting;
        waitingWork[kind] += waiting.ticket.work;
    }
    for (const auto kind : {overload::Kind::ShortGaps, overload::Kind::LongGaps}) {
        auto &load = loads[static_cast<std::size_t>(kind)];
        load.drainPerSecond = m_admission.drainPerSecond(kind, now);
        if (load.drainPerSecond > 0) {
            load.expectedWait = absl::Seconds(waitingWork[static_cast<std::size_t>(kind)] / load.drainPerSecond);
        }
    }
    return loads;
}

void Scheduler::attachLoadView(PlacementReply &reply, const std::string &vm, core::Time now)
{
    if (!m_context.features().admission || !m_views.isDue(vm, now)) {
        return; // The backlog is summed over the queue, which costs too much for each reply.
    }
    reply.load = m_views.publish(vm, currentKindLoads(now), m_context.roster.size(), m_fairQueue.excesses(), now);
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

void Scheduler::updateInTimePromptWaits(core::Time now)
{
    m_inTimePromptWaits = std::any_of(m_queue.begin(), m_queue.end(), [this, now](const QueuedRequest &waiting) {
        return !waiting.request.shortGaps && canBeInTime(waiting, now);
    });
}

double Scheduler::engineMs(const PlacementRequest &request) const
{
    const auto *spec = m_context.table->serviceNamed(request.service);
    if (spec == nullptr || !spec->engine) {
        return 0; // The configuration changed.
    }
    const auto &costs = *spec->engine;
    const auto slots = std::max(costs.slots, 1);
    const auto stepMs = costs.stepMs + costs.perSequenceMs * slots;
    return relay::prefillPartMs(costs, request.prompt.promptTokens, 1)
        + static_cast<double>(request.prompt.maxAnswerTokens) * stepMs / slots;
}

std::vector<std::size_t> Scheduler::grantOrder(const std::vector<overload::QueueItem> &items)
{
    if (m_context.features().fairShares) {
        return m_fairQueue.order(items);
    }
    const auto orderOf = [&items](std::size_t index) {
        const auto &item = items[index];
        const bool ahead = !item.late && item.returnsOnTime;
        return std::make_tuple(item.priority, item.late, !ahead, !item.shortGaps, item.slack);
    };
    std::vector<std::size_t> indices(items.size());
    std::iota(indices.begin(), indices.end(), 0);
    std::stable_sort(indices.begin(), indices.end(),
                     [&orderOf](std::size_t left, std::size_t right) { return orderOf(left) < orderOf(right); });
    return indices;
}

overload::QueueItem Scheduler::queueItem(const QueuedRequest &queued, core::Time now) const
{
    const auto &request = queued.request;
    overload::QueueItem item;
    item.priority = request.priority;
    item.late = !canBeInTime(queued, now);
    item.returnsOnTime = queued.ticket.returnedOnTime;
    item.shortGaps = request.shortGaps;
    item.organisation = request.organisation;
    item.costMs = m_context.features().fairShares ? engineMs(request) : 0;
    item.slack = slackTime(queued, now);
    return item;
}

void Scheduler::noteDirectGrant(const QueuedRequest &queued, core::Time now)
{
    if (m_context.features().fairShares && !m_queue.empty()) {
        const auto item = queueItem(queued, now);
        m_fairQueue.noteGrant(item);
        m_floors.noteGrant(item);
    }
}

std::vector<overload::QueueItem> Scheduler::sortQueue(core::Time now)
{
    std::vector<overload::QueueItem> items;
    items.reserve(m_queue.size());
    for (const auto &waiting : m_queue) {
        items.push_back(queueItem(waiting, now));
    }
    std::vector<QueuedRequest> orderedQueue;
    std::vector<overload::QueueItem> orderedItems;
    orderedQueue.reserve(m_queue.size());
    orderedItems.reserve(m_queue.size());
    for (const auto index : grantOrder(items)) {
        orderedQueue.push_back(std::move(m_queue[index]));
        orderedItems.push_back(items[index]);
    }
    m_queue = std::move(orderedQueue);
    return orderedItems;
}

std::optional<PlacementReply> Scheduler::place(const PlacementRequest &placementRequest, core::Time arrivedAt,
                                               core::Time now)
{
    relay::PromptRequest request;
    request.prompt = placementRequest.prompt;
    request.ttftObjective = placementRequest.ttftObjective;
    request.shortGaps = placementRequest.shortGaps;
    request.gapsByEngine = m_context.features().admission;
    request.longGap = request.gapsByEngine && placementRequest.longGap;
    request.inTimePromptWaits = !request.gapsByEngine || m_inTimePromptWaits;
    request.waited = now - arrivedAt;
    // With admission by prediction, short-gap prompts wait here: one that is queued at an engine cannot be overtaken.
    request.mayQueue = (!m_admission.isActive() || !placementRequest.shortGaps)
        && relay::mayQueueAtEngine(request.waited, placementRequest.ttftObjective);
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
    reply.published = chosen->published;
    std::vector<targets::TargetWork> works;
    for (const auto &[target, work] : relay::addedWork(*chosen, placementRequest.prompt)) {
        works.push_back({target->hash, work, absl::ToInt64Microseconds(chosen->publishedTtft())});
    }
    works.back().work.shortGapRequests = placementRequest.shortGaps ? 1 : 0;
    works.back().work.longGapRequests = request.longGap ? 1 : 0;
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
        static_cast<void>(refuseHopeless(now)); // Notes that nothing waits.
        m_fairQueue.reset();
        return grants;
    }
    const auto items = sortQueue(now);
    m_inTimePromptWaits
        = std::any_of(items.begin(), items.end(), [](const auto &item) { return !item.late && !item.shortGaps; });
    const bool countsPerRound = m_context.features().admission;
    std::map<std::pair<std::string_view, bool>, FailedPlacements> failed; // By service and kind (short gaps).
    // Size of the smallest prompt that tolerates longer gaps, found no engine, but can still be in time.
    auto smallestInTime = NoPrompt;
    std::vector<bool> granted(m_queue.size());
    overload::GrantRound round(items, m_context.features().fairShares ? &m_floors : nullptr);
    while (const auto index = round.next()) {
        const auto &item = items[*index];
        const auto &request = m_queue[*index].request;
        auto &failures = failed[{request.service, item.shortGaps}];
        // A late prompt leaves the engines to one that can be in time. With admission by prediction, it does so only
        // for one that is no larger: a larger one found none of the engines sufficient that serve the late one.
        const bool yields = countsPerRound ? smallestInTime <= request.prompt.promptTokens : smallestInTime != NoPrompt;
        const bool deferred = item.late && !item.shortGaps && yields && !round.isFloorAttempt();
        const bool ended = endsRound(failures, item.shortGaps);
        auto reply
            = ended || deferred ? std::optional<PlacementReply>() : place(request, m_queue[*index].arrivedAt, now);
        if (!reply) {
            const bool counts = !countsPerRound || !deferred;
            if (counts && !round.isFloorAttempt()) {
                ++failures.consecutive;
                ++failures.total;
            }
            if (!item.late && !item.shortGaps) {
                smallestInTime = std::min(smallestInTime, request.prompt.promptTokens);
            }
            continue;
        }
        failures.consecutive = 0;
        noteQueuedGrant(item, round);
        noteGrant(m_queue[*index], *reply, now);
        grants.emplace_back(request.vm, std::move(*reply));
        granted[*index] = true;
    }
    std::vector<QueuedRequest> stillQueued;
    for (std::size_t i = 0; i < granted.size(); ++i) {
        if (!granted[i]) {
            stillQueued.push_back(std::move(m_queue[i]));
        }
    }
    m_queue = std::move(stillQueued);
    auto refusals = refuseHopeless(now);
    std::move(refusals.begin(), refusals.end(), std::back_inserter(grants));
    return grants;
}

bool Scheduler::endsRound(const FailedPlacements &failures, bool shortGaps) const
{
    const bool countsPerRound = m_context.features().admission;
    const bool similarPromptsFailed = failures.consecutive >= MaxFailedPlacements && (shortGaps || !countsPerRound);
    return similarPromptsFailed || (countsPerRound && failures.total >= MaxFailedPlacementsPerRound);
}

void Scheduler::noteQueuedGrant(const overload::QueueItem &item, overload::GrantRound &round)
{
    if (!m_context.features().fairShares) {
        return;
    }
    m_fairQueue.noteGrant(item);
    round.noteGrant();
    if (round.isFloorAttempt()) {
        m_context.metrics.count(metrics::Counter::FairGrantsFloor);
    }
}

void Scheduler::removeExpired(core::Time now)
{
    updateGauges(now);
    std::erase_if(m_queue,
                  [now](const QueuedRequest &waiting) { return now - waiting.lastReceivedAt > QueuedRequestTtl; });
    m_admission.removeExpired(now);
    for (auto grant = m_grants.begin(); grant != m_grants.end();) {
        const bool expired = now - grant->second.grantedAt > GrantTtl;
        m_context.metrics.count(metrics::Counter::GrantsExpired, expired ? 1 : 0);
        grant = expired ? removeGrant(grant) : std::next(grant);
    }
    for (auto &[vm, heard] : m_reportStates) {
        if (now - heard.receivedAt > ReportTtl) {
            m_context.targets.removePeer(vm);
        }
    }
}

} // namespace spurlug::control
