//----------------------------------------------------------------------------------------------------------------------
// spurlug: this daemon's dealings with the scheduler
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

/// Ways between failure domains and work at the scheduler take some ms; datagrams get lost now and then.
constexpr auto AskAgainAfter = absl::Milliseconds(30);
/// A scheduler that said nothing to two asks by then is left aside: a fifth of the shortest aim of a prompt.
constexpr auto SuspectAfter = absl::Milliseconds(80);
constexpr auto RepeatQueued = absl::Milliseconds(150); ///< Keeps an ask waiting; it lapses there after 500 ms.
constexpr auto ProbeEvery = absl::Milliseconds(500); ///< Of a scheduler that was left aside.
constexpr auto SuspectedFor = absl::Seconds(10); ///< It is asked again then, should its words have been lost.
constexpr std::size_t InTheFleet = 2; ///< Schedulers of the whole fleet that are tried, one after the other.
constexpr std::size_t Deputies = 2; ///< In this failure domain, after those.
/// A request tries this many silent schedulers, then its daemon decides alone: each costs it 80 ms.
constexpr int MostSilent = 2;

/// Pause between reports while there is work: the more daemons report to one scheduler, the longer.
constexpr auto ReportPauseForEach = absl::Milliseconds(1);
constexpr auto ShortestReportPause = absl::Milliseconds(50);
constexpr auto LongestReportPause = absl::Milliseconds(500);
/// Changes that follow each other are told together.
constexpr auto ChangePauseForEach = absl::Microseconds(30);
constexpr auto ShortestChangePause = absl::Milliseconds(2);
constexpr std::size_t MostOutcomes = 64; ///< In one report.
constexpr std::size_t MostExcluded = 32; ///< Targets that an ask names.
/// Targets that an ask names as unwanted: 1 KB, which a datagram carries whole. A grant of another one is turned down.
constexpr std::size_t MostUnwanted = 256;
constexpr int MostWithdrawn = 3; ///< Asks of one request after a grant that its daemon must not use; then it decides.
/// Targets that a report names as leaving; a release takes a few at a time, and their entries follow within a second.
constexpr std::size_t MostLeavingTold = 32;
constexpr std::size_t MostRatesTold = 32; ///< Targets of which an ask or a report names the rate: 0.5 KB.

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
    , m_newestAsk(context.random() >> 1U) // Asks of an earlier life may still be known.
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
        m_send(scheduler.member.datagrams, compose(now)); // It may know nothing of this daemon's work.
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
        suspect(answer.vm, "it schedules nothing", now);
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
        return; // It is known already.
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
        m_queued = false; // It must say so again.
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
        withdraw(); // It came to be so since the ask was sent: the next one names it.
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
        m_unusable = true; // One list of targets is newer than the other.
        core::log(core::LogLevel::Info, "grant_unusable", {{"scheduler", answer.vm}, {"grant", answer.grant}});
        return std::nullopt;
    }
    chosen.holdingTokens = answer.holdingTokens;
    // The others read the parts of helpers that this daemon must not use.
    const auto longer = static_cast<double>(answer.helpers.size() + 1) / static_cast<double>(chosen.helpers.size() + 1);
    chosen.expected = answer.expected + answer.partRead * (longer - 1);
    chosen.partRead = answer.partRead * longer;
    m_granted = true;
    return chosen;
}

} // namespace spurlug::control
