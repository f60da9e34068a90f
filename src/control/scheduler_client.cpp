//----------------------------------------------------------------------------------------------------------------------
// spurlug: client side of the scheduler protocol
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/control/scheduler_client.h"

#include "spurlug/core/log.h"
#include "spurlug/relay/target_notice.h"

#include <absl/time/clock.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace spurlug::control
{

namespace
{

/// Transit between failure domains and processing at the scheduler take some ms; datagrams are lost occasionally.
constexpr auto RetryInterval = absl::Milliseconds(30);
/// A scheduler that answered neither of two requests by then is suspected. This is a fifth of the shortest time within
/// which the first event of a prompt should come.
constexpr auto SchedulerTimeout = absl::Milliseconds(80);
constexpr auto QueuedRepeatInterval
    = absl::Milliseconds(150); ///< Keeps a request queued; it expires there after 500 ms.
constexpr auto ProbeInterval = absl::Milliseconds(500); ///< Interval of probes to a suspected scheduler.
constexpr auto SuspicionTtl = absl::Seconds(10); ///< It is used again then, in case its acknowledgements were lost.
constexpr std::size_t FleetCandidates = 2; ///< Schedulers of the whole fleet that are tried in turn.
constexpr std::size_t LocalCandidates = 2; ///< Schedulers of this failure domain that are tried after those.
/// After this many unresponsive schedulers, the daemon places the request itself: each costs the request 80 ms.
constexpr int MaxUnresponsive = 2;

/// Interval between reports while there is work. It grows with the number of daemons that report to one scheduler.
constexpr auto ReportIntervalPerDaemon = absl::Milliseconds(1);
constexpr auto MinReportInterval = absl::Milliseconds(50);
constexpr auto MaxReportInterval = absl::Milliseconds(500);
/// Delay of a report after a change, so that changes in quick succession share one report.
constexpr auto ChangeDelayPerDaemon = absl::Microseconds(30);
constexpr auto MinChangeDelay = absl::Milliseconds(2);
constexpr std::size_t MaxOutcomes = 64; ///< Maximum in one report.
constexpr std::size_t MaxListedTargets
    = 32; ///< Maximum length of each of the lists `excludedTargets` and `allowedTargets` of a request.
/// Maximum length of the list `unwanted` of a request: 1 KB, which fits into a datagram. A grant of an unwanted target
/// beyond the list is rejected.
constexpr std::size_t MaxAvoidedTargets = 256;
/// Placement requests that are cancelled after an unwanted grant before the daemon places the caller's request itself.
constexpr int MaxCancelledRequests = 3;
/// Maximum of draining targets in a report. A release drains a few at a time, and their entries follow within a second.
constexpr std::size_t MaxReportedDraining = 32;
constexpr std::size_t MaxReportedRates = 32; ///< Maximum of target rates in a placement request or a report: 0.5 KB.

std::vector<std::uint32_t> firstOf(std::vector<std::uint32_t> hashes, std::size_t maxCount)
{
    hashes.resize(std::min(hashes.size(), maxCount));
    return hashes;
}

/// Adds the targets that this daemon has ejected, unless none would remain: if it alone can't reach them, the scheduler
/// ignores its report and would grant them again.
std::vector<std::uint32_t> excludedWithEjected(const relay::TargetQuery &query, const relay::RelayContext &context,
                                               core::Time now)
{
    if (!context.features().targetFeedback) {
        return query.excludedTargets;
    }
    auto extended = query.excludedTargets;
    bool anyRemains = false;
    for (const auto &target : context.targets.availableTargets(query.service, now)) {
        const bool allowed = !query.allowedTargets || relay::contains(*query.allowedTargets, target->hash);
        if (!allowed || relay::contains(query.excludedTargets, target->hash)
            || relay::contains(query.avoidedTargets, target->hash)) {
            continue;
        }
        if (target->health.isEjected(now)) {
            extended.push_back(target->hash);
        } else {
            anyRemains = true;
        }
    }
    return anyRemains ? extended : query.excludedTargets;
}

} // namespace

SchedulerClient::SchedulerClient(relay::RelayContext &context, Scheduler &ownScheduler, Send send)
    : m_context(context)
    , m_ownScheduler(ownScheduler)
    , m_send(std::move(send))
    , m_changeMailbox(context.loop)
    , m_incarnation(static_cast<std::uint64_t>(absl::ToUnixNanos(absl::Now())))
    , m_newestRequest(context.random() >> 1U) // Schedulers may still know placement requests of a previous run.
{ }

bool SchedulerClient::isSuspected(const std::string &vm) const
{
    return m_suspects.contains(vm);
}

std::optional<ChosenScheduler> SchedulerClient::scheduler() const
{
    if (m_context.isolated) {
        return std::nullopt;
    }
    const auto &roster = m_context.roster;
    for (const auto &member : roster.holders(Role::Scheduler, FleetCandidates)) {
        if (!isSuspected(member.vm)) {
            return ChosenScheduler{member, false};
        }
    }
    for (const auto &member : roster.holdersIn(m_context.settings.failureDomain, Role::Scheduler, LocalCandidates)) {
        if (!isSuspected(member.vm)) {
            return ChosenScheduler{member, true};
        }
    }
    return std::nullopt;
}

std::uint64_t SchedulerClient::openRequest(core::Ref<relay::RequestInbox> inbox)
{
    m_openRequests[++m_newestRequest] = std::move(inbox);
    return m_newestRequest;
}

void SchedulerClient::sendRequest(const PlacementRequest &request, const ChosenScheduler &scheduler, core::Time now)
{
    m_context.metrics.count(metrics::Counter::PlacementRequestsSent);
    if (scheduler.member.vm == m_context.settings.vm) {
        m_lastSentTo.erase(request.requestNumber);
        handleReply(m_ownScheduler.handleRequest(request, now), now);
        return;
    }
    if (m_lastScheduler != scheduler.member.vm) {
        m_lastScheduler = scheduler.member.vm;
        m_newestGrant = 0;
        m_send(scheduler.member.datagramAddress, composeReport(now)); // It may not know this daemon's work.
    }
    m_lastSentTo[request.requestNumber] = scheduler.member.datagramAddress;
    m_send(scheduler.member.datagramAddress, request);
}

void SchedulerClient::closeRequest(std::uint64_t requestNumber, bool grantUsed)
{
    m_openRequests.erase(requestNumber);
    const auto asked = m_lastSentTo.extract(requestNumber);
    if (grantUsed) {
        return;
    }
    const PlacementCancel cancel{m_context.settings.vm, requestNumber};
    m_ownScheduler.cancel(cancel);
    if (!asked.empty()) {
        m_send(asked.mapped(), cancel);
    }
}

void SchedulerClient::handleReply(const PlacementReply &reply, core::Time now)
{
    if (reply.kind == ReplyKind::Declined) {
        suspect(reply.vm, "it cannot schedule the service", now);
    } else {
        clearSuspicion(reply.vm, now);
    }
    if (reply.load) {
        m_context.takeLoadView(*reply.load, now);
    }
    const auto request = m_openRequests.find(reply.requestNumber);
    if (request != m_openRequests.end()) {
        request->second->events.post(relay::PlacementArrived{reply});
    }
}

void SchedulerClient::noteGrantUsed(const PlacementReply &reply)
{
    if (reply.vm == m_context.settings.vm) {
        m_ownScheduler.noteGrantUsed(reply.grantNumber);
    } else if (reply.vm == m_lastScheduler) {
        m_newestGrant = std::max(m_newestGrant, reply.grantNumber);
    }
}

void SchedulerClient::suspect(const std::string &vm, std::string_view reason, core::Time now)
{
    if (!m_suspects.emplace(vm, Suspicion{now, now}).second) {
        return; // Already suspected.
    }
    m_context.metrics.count(metrics::Counter::SchedulersSuspected);
    core::log(core::LogLevel::Warning, "scheduler_left_aside", {{"vm", vm}, {"reason", reason}});
}

void SchedulerClient::clearSuspicion(const std::string &vm, core::Time now)
{
    const auto suspicion = m_suspects.extract(vm);
    if (!suspicion.empty()) {
        core::log(core::LogLevel::Info, "scheduler_answers",
                  {{"vm", vm}, {"afterMs", core::toMs(now - suspicion.mapped().since)}});
    }
}

void SchedulerClient::noteWorkChanged()
{
    if (!m_changePending) {
        m_changePending = true;
        m_changeMailbox.post(WorkChanged{});
    }
}

void SchedulerClient::queueOutcome(const TargetOutcome &outcome)
{
    if (m_outcomes.size() < MaxOutcomes) {
        m_outcomes.push_back(outcome);
    }
}

WorkReport SchedulerClient::composeReport(core::Time now)
{
    WorkReport report;
    report.vm = m_context.settings.vm;
    report.failureDomain = m_context.settings.failureDomain;
    report.incarnation = m_incarnation;
    report.sequence = ++m_sequence;
    report.newestGrant = m_newestGrant;
    report.work = m_context.targets.localWork(now);
    report.unreachable = m_context.targets.unreachableTargets(now, m_context.ejection);
    report.draining = relay::drainingReports(m_context, MaxReportedDraining);
    report.rates = relay::rateReports(m_context, MaxReportedRates, now);
    report.outcomes = std::exchange(m_outcomes, {});
    m_context.metrics.count(metrics::Counter::WorkReportsSent);
    return report;
}

void SchedulerClient::sendReport(core::Time now)
{
    m_changePending = false;
    const auto chosen = scheduler();
    if (!chosen || chosen->member.vm == m_context.settings.vm) {
        m_outcomes.clear();
        return;
    }
    auto report = composeReport(now);
    const bool hasContent = !report.work.empty() || m_lastReportHadWork || !report.outcomes.empty();
    m_lastReportHadWork = !report.work.empty();
    if (hasContent) {
        m_lastScheduler = chosen->member.vm;
        m_send(chosen->member.datagramAddress, std::move(report));
    }
}

void SchedulerClient::probeSuspects(core::Time now)
{
    std::erase_if(m_suspects, [&](const auto &item) {
        return now - item.second.since > SuspicionTtl || m_context.roster.find(item.first) == nullptr;
    });
    for (auto &[vm, suspicion] : m_suspects) {
        if (now - suspicion.probedAt < ProbeInterval || vm == m_context.settings.vm) {
            continue;
        }
        suspicion.probedAt = now;
        auto report = composeReport(now);
        report.wantsAck = true;
        m_send(m_context.roster.find(vm)->datagramAddress, std::move(report));
    }
}

core::Duration SchedulerClient::reportInterval() const
{
    const auto interval = ReportIntervalPerDaemon * static_cast<double>(m_context.daemonCount);
    return std::clamp(core::Duration(interval), core::Duration(MinReportInterval), core::Duration(MaxReportInterval));
}

net::Task<> SchedulerClient::reportWork()
{
    for (;;) {
        const auto timeout = m_lastReportHadWork ? reportInterval() : core::Duration(MaxReportInterval);
        const auto change = co_await m_changeMailbox.take(core::now() + timeout);
        if (change) {
            const auto delay = ChangeDelayPerDaemon * static_cast<double>(m_context.daemonCount);
            co_await net::sleepFor(std::max(core::Duration(delay), core::Duration(MinChangeDelay)));
        }
        const auto now = core::now();
        sendReport(now);
        probeSuspects(now);
    }
}

PlacementSession::PlacementSession(relay::RelayContext &context, SchedulerClient *client,
                                   core::Ref<relay::RequestInbox> inbox)
    : m_context(context)
    , m_client(client)
    , m_inbox(std::move(inbox))
{ }

PlacementSession::~PlacementSession()
{
    if (m_requestNumber != 0) {
        m_client->closeRequest(m_requestNumber, m_granted);
    }
}

bool PlacementSession::sendIfDue(const relay::TargetQuery &query, int priority, core::Time now)
{
    if (m_client == nullptr || m_grantUnusable || m_unresponsiveCount >= MaxUnresponsive || !query.prompt) {
        return false;
    }
    auto scheduler = m_client->scheduler();
    const bool timedOut
        = !m_queued && scheduler && scheduler->member.vm == m_schedulerVm && now - m_requestedAt >= SchedulerTimeout;
    if (timedOut) {
        m_client->suspect(m_schedulerVm, "it does not answer", now);
        ++m_unresponsiveCount;
        scheduler = m_unresponsiveCount < MaxUnresponsive ? m_client->scheduler() : std::nullopt;
    }
    if (!scheduler) {
        return false;
    }
    if (scheduler->member.vm != m_schedulerVm || now >= m_nextDueAt) {
        sendRequest(*scheduler, query, priority, now);
    }
    return true;
}

void PlacementSession::sendRequest(const ChosenScheduler &scheduler, const relay::TargetQuery &query, int priority,
                                   core::Time now)
{
    if (m_requestNumber == 0) {
        m_requestNumber = m_client->openRequest(m_inbox);
    }
    if (scheduler.member.vm != m_schedulerVm) {
        m_schedulerVm = scheduler.member.vm;
        m_requestedAt = now;
        m_queued = false;
    } else if (m_queued) {
        m_queued = false; // It must confirm the queueing again.
        m_requestedAt = now;
    }
    PlacementRequest request;
    request.vm = m_context.settings.vm;
    request.failureDomain = m_context.settings.failureDomain;
    request.requestNumber = m_requestNumber;
    request.service = query.service;
    request.prompt = query.prompt->prompt;
    request.ttftObjective = query.prompt->ttftObjective;
    request.shortGaps = query.prompt->shortGaps;
    request.longGap = query.prompt->longGap;
    request.waited = query.prompt->waited;
    request.callerTimeout = query.prompt->callerTimeout;
    request.priority = priority;
    request.excludedTargets = firstOf(excludedWithEjected(query, m_context, now), MaxListedTargets);
    request.allowedTargets = firstOf(query.allowedTargets.value_or(std::vector<std::uint32_t>()), MaxListedTargets);
    request.avoidedTargets = firstOf(query.avoidedTargets, MaxAvoidedTargets);
    request.rates = relay::rateReports(m_context, MaxReportedRates, now);
    request.localDomainOnly = scheduler.fallback;
    request.localHelpersOnly = query.localHelpersOnly;
    const auto features = m_context.features();
    if (features.admission || features.fairShares) {
        request.organisation = query.organisation;
    }
    if (features.admission) {
        request.digest = query.digest;
        request.timeLeft = query.timeLeft;
        request.mayHaveRun = query.mayHaveRun;
    }
    m_mayHaveRun = query.mayHaveRun;
    m_nextDueAt = now + RetryInterval;
    m_client->sendRequest(request, scheduler, now);
}

void PlacementSession::cancelRequest()
{
    ++m_cancelledCount;
    m_client->closeRequest(m_requestNumber, false);
    m_requestNumber = 0;
    m_queued = false;
    m_requestedAt = absl::InfinitePast();
    m_schedulerVm.clear();
    m_nextDueAt = absl::InfinitePast();
}

std::optional<relay::ChosenTargets> PlacementSession::handleReply(const PlacementReply &reply, core::Time now)
{
    if (reply.requestNumber != m_requestNumber || reply.kind == ReplyKind::Declined) {
        return std::nullopt;
    }
    if (reply.kind == ReplyKind::Refused && reply.vm != m_schedulerVm) {
        return std::nullopt; // Another scheduler decides now; it may grant the request.
    }
    if (reply.kind == ReplyKind::Refused && !m_mayHaveRun) {
        m_refusal = reply.retryAfter;
        return std::nullopt;
    }
    if (reply.kind == ReplyKind::Queued || reply.kind == ReplyKind::Refused) {
        m_queued = true;
        m_held = true;
        m_nextDueAt = now + QueuedRepeatInterval;
        return std::nullopt;
    }
    const auto usable = [&](std::uint32_t hash) -> core::Ref<relay::Target> {
        auto target = m_context.targets.findByHash(hash);
        return target && !relay::reasonToAvoid(*target, now) ? target : nullptr;
    };
    const auto unwanted = m_context.targets.avoidedTargets(now);
    const auto granted = m_context.targets.findByHash(reply.target);
    const bool avoided = relay::contains(unwanted, reply.target) || (granted && granted->isEvacuated());
    if (m_cancelledCount < MaxCancelledRequests && avoided) {
        cancelRequest(); // The target became unwanted after the request was sent; the next one names it.
        return std::nullopt;
    }
    relay::ChosenTargets chosen;
    chosen.target = usable(reply.target);
    bool complete = chosen.target != nullptr;
    for (std::size_t i = 0; i < reply.helpers.size(); ++i) {
        auto helper = usable(reply.helpers[i]);
        const bool reservesMemory = i < reply.reservedTokens.size();
        complete = complete && (helper || !reservesMemory);
        if (helper) {
            chosen.helpers.push_back(std::move(helper));
        }
    }
    if (!complete) {
        m_grantUnusable = true; // The scheduler's target list differs in age from this daemon's.
        core::log(core::LogLevel::Info, "grant_unusable", {{"scheduler", reply.vm}, {"grant", reply.grantNumber}});
        return std::nullopt;
    }
    chosen.reservedTokens = reply.reservedTokens;
    // The remaining engines prefill the parts of helpers that this daemon cannot use.
    const auto partScale
        = static_cast<double>(reply.helpers.size() + 1) / static_cast<double>(chosen.helpers.size() + 1);
    chosen.expectedTtft = reply.expectedTtft + reply.partPrefillTime * (partScale - 1);
    chosen.partPrefillTime = reply.partPrefillTime * partScale;
    chosen.published = reply.published;
    m_granted = true;
    return chosen;
}

} // namespace spurlug::control
