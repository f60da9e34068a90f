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
constexpr auto AskAgainAfter = absl::Milliseconds(30);
/// A scheduler that answered neither of two requests by then is suspected. This is a fifth of the shortest time within
/// which the first event of a prompt should come.
constexpr auto SuspectAfter = absl::Milliseconds(80);
constexpr auto RepeatQueued = absl::Milliseconds(150); ///< Keeps a request queued; it expires there after 500 ms.
constexpr auto ProbeEvery = absl::Milliseconds(500); ///< Interval of probes to a suspected scheduler.
constexpr auto SuspectedFor = absl::Seconds(10); ///< It is used again then, in case its acknowledgements were lost.
constexpr std::size_t InTheFleet = 2; ///< Schedulers of the whole fleet that are tried in turn.
constexpr std::size_t Deputies = 2; ///< Schedulers of this failure domain that are tried after those.
/// After this many unresponsive schedulers, the daemon places the request itself: each costs the request 80 ms.
constexpr int MostSilent = 2;

/// Interval between reports while there is work. It grows with the number of daemons that report to one scheduler.
constexpr auto ReportPauseForEach = absl::Milliseconds(1);
constexpr auto ShortestReportPause = absl::Milliseconds(50);
constexpr auto LongestReportPause = absl::Milliseconds(500);
/// Delay of a report after a change, so that changes in quick succession share one report.
constexpr auto ChangePauseForEach = absl::Microseconds(30);
constexpr auto ShortestChangePause = absl::Milliseconds(2);
constexpr std::size_t MostOutcomes = 64; ///< Maximum in one report.
constexpr std::size_t MostExcluded = 32; ///< Maximum length of each of the lists `notAt` and `onlyAt` of a request.
/// Maximum length of the list `unwanted` of a request: 1 KB, which fits into a datagram. A grant of an unwanted target
/// beyond the list is rejected.
constexpr std::size_t MostUnwanted = 256;
/// Placement requests that are cancelled after an unwanted grant before the daemon places the caller's request itself.
constexpr int MostWithdrawn = 3;
/// Maximum of draining targets in a report. A release drains a few at a time, and their entries follow within a second.
constexpr std::size_t MostLeavingTold = 32;
constexpr std::size_t MostRatesTold = 32; ///< Maximum of target rates in a placement request or a report: 0.5 KB.

std::vector<std::uint32_t> firstOf(std::vector<std::uint32_t> hashes, std::size_t most)
{
    hashes.resize(std::min(hashes.size(), most));
    return hashes;
}

} // namespace

SchedulerClient::SchedulerClient(relay::RelayContext &context, Scheduler &own, Send send)
    : m_context(context)
    , m_own(own)
    , m_send(std::move(send))
    , m_changes(context.loop)
    , m_incarnation(static_cast<std::uint64_t>(absl::ToUnixNanos(absl::Now())))
    , m_newestAsk(context.random() >> 1U) // Schedulers may still know placement requests of a previous run.
{ }

bool SchedulerClient::suspected(const std::string &vm) const
{
    return m_suspects.contains(vm);
}

std::optional<ChosenScheduler> SchedulerClient::scheduler() const
{
    if (m_context.isolated) {
        return std::nullopt;
    }
    const auto &roster = m_context.roster;
    for (const auto &member : roster.holders(Role::Scheduler, InTheFleet)) {
        if (!suspected(member.vm)) {
            return ChosenScheduler{member, false};
        }
    }
    for (const auto &member : roster.holdersIn(m_context.settings.failureDomain, Role::Scheduler, Deputies)) {
        if (!suspected(member.vm)) {
            return ChosenScheduler{member, true};
        }
    }
    return std::nullopt;
}

std::uint64_t SchedulerClient::open(core::Ref<relay::RequestInbox> inbox)
{
    m_asks[++m_newestAsk] = std::move(inbox);
    return m_newestAsk;
}

void SchedulerClient::send(const PlacementAsk &ask, const ChosenScheduler &scheduler, core::Time now)
{
    m_context.metrics.count(metrics::Counter::AsksSent);
    if (scheduler.member.vm == m_context.settings.vm) {
        m_askedAt.erase(ask.ask);
        take(m_own.ask(ask, now), now);
        return;
    }
    if (m_lastScheduler != scheduler.member.vm) {
        m_lastScheduler = scheduler.member.vm;
        m_newestGrant = 0;
        m_send(scheduler.member.datagrams, compose(now)); // It may not know this daemon's work.
    }
    m_askedAt[ask.ask] = scheduler.member.datagrams;
    m_send(scheduler.member.datagrams, ask);
}

void SchedulerClient::close(std::uint64_t ask, bool needed)
{
    m_asks.erase(ask);
    const auto asked = m_askedAt.extract(ask);
    if (needed) {
        return;
    }
    const PlacementCancel cancel{m_context.settings.vm, ask};
    m_own.cancel(cancel);
    if (!asked.empty()) {
        m_send(asked.mapped(), cancel);
    }
}

void SchedulerClient::take(const PlacementAnswer &answer, core::Time now)
{
    if (answer.kind == AnswerKind::NotHere) {
        suspect(answer.vm, "it cannot schedule the service", now);
    } else {
        trust(answer.vm, now);
    }
    const auto asked = m_asks.find(answer.ask);
    if (asked != m_asks.end()) {
        asked->second->events.post(relay::PlacementArrived{answer});
    }
}

void SchedulerClient::begun(const PlacementAnswer &answer)
{
    if (answer.vm == m_context.settings.vm) {
        m_own.begun(answer.grant);
    } else if (answer.vm == m_lastScheduler) {
        m_newestGrant = std::max(m_newestGrant, answer.grant);
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

void SchedulerClient::trust(const std::string &vm, core::Time now)
{
    const auto suspicion = m_suspects.extract(vm);
    if (!suspicion.empty()) {
        core::log(core::LogLevel::Info, "scheduler_answers",
                  {{"vm", vm}, {"afterMs", core::toMs(now - suspicion.mapped().since)}});
    }
}

void SchedulerClient::workChanged()
{
    if (!m_changed) {
        m_changed = true;
        m_changes.post(Changed{});
    }
}

void SchedulerClient::outcome(const TargetOutcome &outcome)
{
    if (m_outcomes.size() < MostOutcomes) {
        m_outcomes.push_back(outcome);
    }
}

WorkReport SchedulerClient::compose(core::Time now)
{
    WorkReport report;
    report.vm = m_context.settings.vm;
    report.failureDomain = m_context.settings.failureDomain;
    report.incarnation = m_incarnation;
    report.sequence = ++m_sequence;
    report.newestGrant = m_newestGrant;
    report.work = m_context.targets.ownWork(now);
    report.unreachable = m_context.targets.unreachable(now);
    report.leaving = relay::leavingNews(m_context, MostLeavingTold);
    report.rates = relay::rateNews(m_context, MostRatesTold, now);
    report.outcomes = std::exchange(m_outcomes, {});
    m_context.metrics.count(metrics::Counter::WorkReportsSent);
    return report;
}

void SchedulerClient::report(core::Time now)
{
    m_changed = false;
    const auto chosen = scheduler();
    if (!chosen || chosen->member.vm == m_context.settings.vm) {
        m_outcomes.clear();
        return;
    }
    auto report = compose(now);
    const bool news = !report.work.empty() || m_reportedWork || !report.outcomes.empty();
    m_reportedWork = !report.work.empty();
    if (news) {
        m_lastScheduler = chosen->member.vm;
        m_send(chosen->member.datagrams, std::move(report));
    }
}

void SchedulerClient::probeSuspects(core::Time now)
{
    std::erase_if(m_suspects, [&](const auto &item) {
        return now - item.second.since > SuspectedFor || m_context.roster.find(item.first) == nullptr;
    });
    for (auto &[vm, suspicion] : m_suspects) {
        if (now - suspicion.probedAt < ProbeEvery || vm == m_context.settings.vm) {
            continue;
        }
        suspicion.probedAt = now;
        auto report = compose(now);
        report.wantsWord = true;
        m_send(m_context.roster.find(vm)->datagrams, std::move(report));
    }
}

core::Duration SchedulerClient::interval() const
{
    const auto pause = ReportPauseForEach * static_cast<double>(m_context.daemons);
    return std::clamp(core::Duration(pause), core::Duration(ShortestReportPause), core::Duration(LongestReportPause));
}

net::Task<> SchedulerClient::reportWork()
{
    for (;;) {
        const auto span = m_reportedWork ? interval() : core::Duration(LongestReportPause);
        const auto change = co_await m_changes.take(core::now() + span);
        if (change) {
            const auto pause = ChangePauseForEach * static_cast<double>(m_context.daemons);
            co_await net::sleepFor(std::max(core::Duration(pause), core::Duration(ShortestChangePause)));
        }
        const auto now = core::now();
        report(now);
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
    if (m_ask != 0) {
        m_client->close(m_ask, m_granted);
    }
}

bool PlacementSession::pursue(const relay::TargetQuery &query, int priority, core::Time now)
{
    if (m_client == nullptr || m_unusable || m_silent >= MostSilent || !query.prompt) {
        return false;
    }
    auto scheduler = m_client->scheduler();
    const bool silent
        = !m_queued && scheduler && scheduler->member.vm == m_scheduler && now - m_askedAt >= SuspectAfter;
    if (silent) {
        m_client->suspect(m_scheduler, "it does not answer", now);
        ++m_silent;
        scheduler = m_silent < MostSilent ? m_client->scheduler() : std::nullopt;
    }
    if (!scheduler) {
        return false;
    }
    if (scheduler->member.vm != m_scheduler || now >= m_dueAt) {
        sendTo(*scheduler, query, priority, now);
    }
    return true;
}

void PlacementSession::sendTo(const ChosenScheduler &scheduler, const relay::TargetQuery &query, int priority,
                              core::Time now)
{
    if (m_ask == 0) {
        m_ask = m_client->open(m_inbox);
    }
    if (scheduler.member.vm != m_scheduler) {
        m_scheduler = scheduler.member.vm;
        m_askedAt = now;
        m_queued = false;
    } else if (m_queued) {
        m_queued = false; // It must confirm the queueing again.
        m_askedAt = now;
    }
    PlacementAsk ask;
    ask.vm = m_context.settings.vm;
    ask.failureDomain = m_context.settings.failureDomain;
    ask.ask = m_ask;
    ask.service = query.service;
    ask.prompt = query.prompt->prompt;
    ask.aim = query.prompt->aim;
    ask.tight = query.prompt->tight;
    ask.waited = query.prompt->waited;
    ask.patience = query.prompt->patience;
    ask.priority = priority;
    ask.notAt = firstOf(query.notAt, MostExcluded);
    ask.onlyAt = firstOf(query.onlyAt.value_or(std::vector<std::uint32_t>()), MostExcluded);
    ask.unwanted = firstOf(query.unwanted, MostUnwanted);
    ask.rates = relay::rateNews(m_context, MostRatesTold, now);
    ask.atHome = scheduler.deputy;
    ask.nearHelpers = query.nearHelpers;
    m_dueAt = now + AskAgainAfter;
    m_client->send(ask, scheduler, now);
}

void PlacementSession::withdraw()
{
    ++m_withdrawn;
    m_client->close(m_ask, false);
    m_ask = 0;
    m_queued = false;
    m_askedAt = absl::InfinitePast();
    m_scheduler.clear();
    m_dueAt = absl::InfinitePast();
}

std::optional<relay::ChosenTargets> PlacementSession::take(const PlacementAnswer &answer, core::Time now)
{
    if (answer.ask != m_ask || answer.kind == AnswerKind::NotHere) {
        return std::nullopt;
    }
    if (answer.kind == AnswerKind::Queued) {
        m_queued = true;
        m_dueAt = now + RepeatQueued;
        return std::nullopt;
    }
    const auto usable = [&](std::uint32_t hash) -> core::Ref<relay::Target> {
        auto target = m_context.targets.withHash(hash);
        return target && !relay::unwantedNow(*target, now) ? target : nullptr;
    };
    const auto unwanted = m_context.targets.unwantedHere(now);
    const auto granted = m_context.targets.withHash(answer.target);
    const bool crossed = relay::contains(unwanted, answer.target) || (granted && granted->evacuated());
    if (m_withdrawn < MostWithdrawn && crossed) {
        withdraw(); // The target became unwanted after the request was sent; the next one names it.
        return std::nullopt;
    }
    relay::ChosenTargets chosen;
    chosen.target = usable(answer.target);
    bool whole = chosen.target != nullptr;
    for (std::size_t i = 0; i < answer.helpers.size(); ++i) {
        auto helper = usable(answer.helpers[i]);
        const bool holdsMemory = i < answer.holdingTokens.size();
        whole = whole && (helper || !holdsMemory);
        if (helper) {
            chosen.helpers.push_back(std::move(helper));
        }
    }
    if (!whole) {
        m_unusable = true; // The scheduler's target list differs in age from this daemon's.
        core::log(core::LogLevel::Info, "grant_unusable", {{"scheduler", answer.vm}, {"grant", answer.grant}});
        return std::nullopt;
    }
    chosen.holdingTokens = answer.holdingTokens;
    // The remaining engines prefill the parts of helpers that this daemon cannot use.
    const auto longer = static_cast<double>(answer.helpers.size() + 1) / static_cast<double>(chosen.helpers.size() + 1);
    chosen.expected = answer.expected + answer.partRead * (longer - 1);
    chosen.partRead = answer.partRead * longer;
    m_granted = true;
    return chosen;
}

} // namespace spurlug::control
