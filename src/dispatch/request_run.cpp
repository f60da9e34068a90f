//----------------------------------------------------------------------------------------------------------------------
// spurlug: relays one admitted request to its targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/dispatch/request_run.h"

#include "spurlug/core/error.h"
#include "spurlug/core/hash.h"
#include "spurlug/core/log.h"
#include "spurlug/core/text.h"
#include "spurlug/dispatch/target_client.h"

#include <absl/strings/str_join.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace spurlug::dispatch
{

namespace
{

using core::Outcome;
using core::Reason;

constexpr auto EngineSilence = absl::Seconds(4); // Engines send one SSE comment per second during prefill.
constexpr auto LongestGrantCall = absl::Seconds(1);
constexpr auto BrokerBackoff = absl::Milliseconds(100);

AttemptEnd deadlineEnd(bool mayHaveRun)
{
    return {mayHaveRun ? Outcome::MayHaveRun : Outcome::NotRun, Reason::DeadlinePassed, 0, "the deadline has passed"};
}

} // namespace

RequestRun::RequestRun(RunContext &context, AdmittedRequest request)
    : m_context(context)
    , m_request(std::move(request))
    , m_random(core::fastHash(m_request.id))
{
    ++m_context.inProgress;
    m_context.retryBudget.deposit();
    m_context.metrics.count(metrics::Counter::RequestsAdmitted);
    m_decision.requestId = m_request.id;
    m_decision.organisation = m_request.organisation;
    m_decision.requestClass = m_request.requestClass;
    m_decision.route = m_request.route;
    m_decision.generation = m_request.configuration->generation;
    m_decision.tokens = m_request.tokens;
    m_decision.engines = m_request.engines;
    m_decision.deadline = m_request.deadline - m_request.arrivedAt;
}

RequestRun::~RequestRun()
{
    if (!m_end) {
        abandon();
    }
    m_context.decisions.add(std::move(m_decision));
    --m_context.inProgress;
}

const AdmittedRequest &RequestRun::request() const noexcept
{
    return m_request;
}

std::optional<core::Outcome> RequestRun::outcome() const noexcept
{
    return m_end ? std::optional(m_decision.outcome) : std::nullopt;
}

Output RequestRun::next(core::Duration wait)
{
    if (m_end) {
        return *m_end;
    }
    const auto now = core::now();
    if (now >= m_request.deadline) {
        return fail(deadlineEnd(m_mayHaveRun || m_channel != nullptr), now);
    }
    return pursue(std::min(wait, m_request.deadline - now), now);
}

void RequestRun::abandon()
{
    if (!m_end) {
        const auto outcome = m_mayHaveRun || m_channel != nullptr ? Outcome::MayHaveRun : Outcome::NotRun;
        [[maybe_unused]] const auto end = fail({outcome, Reason::CallerGone, 0, "the caller is gone"}, core::now());
    }
}

Output RequestRun::pursue(core::Duration wait, core::Time now)
{
    if (m_channel) {
        return awaitEvent(wait, now);
    }
    if (now < m_notBefore) {
        absl::SleepFor(std::min(wait, m_notBefore - now));
        return Quiet{};
    }
    if (m_request.isLong && !m_group && !prepareGroup(wait, now)) {
        return Quiet{};
    }
    startAttempt(core::now());
    return Quiet{};
}

Output RequestRun::awaitEvent(core::Duration wait, core::Time now)
{
    auto event = m_channel->pop(wait);
    return event ? take(std::move(*event), std::max(now, core::now())) : Output(Quiet{});
}

bool RequestRun::prepareGroup(core::Duration wait, core::Time now)
{
    const auto granted = askForGrant(wait, now);
    if (!granted) {
        return false;
    }
    m_group = reserveGroup(*granted, now);
    if (!m_group) {
        m_context.metrics.countRetry(Reason::ReservationRefused);
        std::uniform_real_distribution<double> jitter(0.5, 1.5);
        m_notBefore = core::now() + BrokerBackoff * jitter(m_random);
        return false;
    }
    m_decision.waitedForGrant = core::now() - m_request.arrivedAt;
    m_context.metrics.time(metrics::Timer::GrantWait, m_decision.waitedForGrant);
    return true;
}

std::optional<grants::Granted> RequestRun::askForGrant(core::Duration wait, core::Time now)
{
    const grants::Ask ask{m_request.id,     m_request.organisation, m_request.weight,
                          m_request.tokens, m_request.engines,      m_request.arrivedAt};
    try {
        return m_context.acquireGrant(m_request.route, ask, std::min(wait, LongestGrantCall));
    } catch (const core::NetworkError &) {
        m_context.metrics.countRetry(Reason::BrokerUnreachable);
        m_notBefore = now + BrokerBackoff;
        return std::nullopt;
    }
}

core::Ref<grants::Group> RequestRun::reserveGroup(const grants::Granted &granted, core::Time now)
{
    std::vector<grants::GroupMember> members;
    for (const auto &view : m_context.targets.views(*m_request.targets, now)) {
        if (std::find(granted.targets.begin(), granted.targets.end(), view.id) != granted.targets.end()) {
            members.push_back({view.id, view.address});
        }
    }
    const auto tokensEach = (m_request.kvTokens + m_request.engines - 1) / m_request.engines;
    const auto reservationId = core::cat(m_request.id, "-", m_attempts + 1);
    return m_context.groups.reserve(std::move(members), reservationId, tokensEach, granted.ticket);
}

std::optional<targets::TargetView> RequestRun::chooseShort(core::Time now)
{
    const auto views = m_context.targets.views(*m_request.targets, now);
    const routing::RouteRequest route{m_request.tokens, !m_request.isLong, m_request.prefix};
    auto rule = m_context.routeRule;
    rule.strategy = m_request.routing;
    const bool byTurns = rule.strategy == config::RoutingStrategy::RoundRobin;
    const auto pick = byTurns ? m_context.turn++ : m_random();
    auto choice = routing::chooseAcrossDomains(route, views, m_context.failureDomain, m_tried, rule, pick);
    m_context.metrics.time(metrics::Timer::RouteDecision, core::now() - now);
    m_decision.attempts.back().candidates = std::move(choice.candidates);
    if (!choice.chosen) {
        return std::nullopt;
    }
    const auto &chosen = views[*choice.chosen];
    if (chosen.failureDomain != m_context.failureDomain) {
        m_context.metrics.count(metrics::Counter::RequestsSpilled);
    }
    return chosen;
}

void RequestRun::startAttempt(core::Time now)
{
    ++m_attempts;
    explain::AttemptRecord record;
    record.at = now - m_request.arrivedAt;
    m_decision.attempts.push_back(std::move(record));
    if (m_group) {
        std::vector<std::string> ids;
        for (const auto &member : m_group->members()) {
            ids.push_back(member.id);
        }
        sendTo(m_group->members().front().address, ids, now);
        return;
    }
    if (const auto target = chooseShort(now)) {
        sendTo(target->address, {target->id}, now);
        return;
    }
    m_channel = core::makeCounted<EventChannel>();
    m_channel->push(AttemptEnd{Outcome::NotRun, Reason::NoTarget, 0, "no target can take the request"});
}

void RequestRun::sendTo(const core::Address &address, const std::vector<std::string> &ids, core::Time now)
{
    m_current = ids;
    m_decision.attempts.back().chosen = ids;
    m_reassembly.begin(m_attempts);
    m_channel = core::makeCounted<EventChannel>();
    for (const auto &id : ids) {
        m_context.targets.dispatched(id, m_request.id, m_request.tokens / static_cast<std::int64_t>(ids.size()), now);
    }
    m_context.metrics.count(metrics::Counter::AttemptsStarted);
    const auto attempt = makeAttempt(address);
    const auto kind = m_request.kind;
    // The attempt reads the request body, which this object owns, so the task holds a reference to this object.
    const bool started
        = m_context.attempts.tryRun([attempt, kind, channel = m_channel, run = core::Ref<RequestRun>(this)] {
              if (kind == TargetKind::Engine) {
                  EngineClient().run(attempt, *channel);
              } else {
                  ServiceClient().run(attempt, *channel);
              }
          });
    if (!started) {
        m_channel->push(AttemptEnd{Outcome::NotRun, Reason::Overloaded, 0, "no thread is free for an attempt"});
    }
}

AttemptRequest RequestRun::makeAttempt(const core::Address &address) const
{
    AttemptRequest attempt;
    attempt.requestId = m_request.id;
    attempt.attempt = m_attempts;
    attempt.target = address;
    attempt.path = m_request.path;
    attempt.method = m_request.method;
    attempt.body = &m_request.body;
    attempt.headers = m_request.headers;
    attempt.timeout = m_request.deadline - core::now();
    if (m_request.kind == TargetKind::Service) {
        return attempt;
    }
    attempt.timeout = std::min(attempt.timeout, core::Duration(EngineSilence));
    attempt.headers.emplace_back("Event-Stream", "1");
    attempt.headers.emplace_back("Priority", core::cat(m_request.priority));
    attempt.headers.emplace_back("Resume-From", core::cat(m_reassembly.next()));
    if (m_group) {
        attempt.headers.emplace_back("Reservation", m_group->reservationId());
        const auto members = absl::StrJoin(
            m_group->members(), ",", [](std::string *out, const auto &member) { out->append(member.address.text()); });
        attempt.headers.emplace_back("Group-Members", members);
    }
    return attempt;
}

Output RequestRun::take(AttemptEvent event, core::Time now)
{
    if (auto *token = std::get_if<TokenEvent>(&event)) {
        return takeToken(std::move(*token), now);
    }
    if (auto *finish = std::get_if<FinishEvent>(&event)) {
        m_reassembly.finish(m_attempts, finish->total);
        m_finish = std::move(*finish);
        return Quiet{};
    }
    if (auto *head = std::get_if<HeadEvent>(&event)) {
        m_headSent = true;
        noteFirstToken(now);
        return std::move(*head);
    }
    if (auto *bytes = std::get_if<BytesEvent>(&event)) {
        return std::move(*bytes);
    }
    return takeEnd(std::get<AttemptEnd>(event), now);
}

Output RequestRun::takeToken(TokenEvent event, core::Time now)
{
    noteFirstToken(now);
    if (m_lastToken != absl::InfinitePast()) {
        m_context.metrics.time(metrics::Timer::BetweenTokens, now - m_lastToken);
    }
    m_lastToken = now;
    const auto droppedBefore = m_reassembly.dropped();
    Tokens tokens{m_reassembly.accept(m_attempts, event.offset, std::move(event.payload))};
    m_context.metrics.count(metrics::Counter::EventsDropped, m_reassembly.dropped() - droppedBefore);
    m_context.metrics.count(metrics::Counter::TokensRelayed, static_cast<std::int64_t>(tokens.payloads.size()));
    return tokens.payloads.empty() ? Output(Quiet{}) : Output(std::move(tokens));
}

void RequestRun::noteFirstToken(core::Time now)
{
    if (m_decision.firstToken != absl::InfiniteDuration()) {
        return;
    }
    m_decision.firstToken = now - m_request.arrivedAt;
    for (const auto &id : m_current) {
        m_context.targets.firstToken(id, m_request.id);
    }
    if (m_request.kind == TargetKind::Engine) {
        m_context.metrics.time(metrics::firstTokenTimer(m_request.tokens), m_decision.firstToken);
    }
}

Output RequestRun::takeEnd(const AttemptEnd &end, core::Time now)
{
    const bool whole = m_request.kind == TargetKind::Service || m_reassembly.complete();
    if (end.outcome == Outcome::Completed && whole) {
        closeAttempt(end, now);
        recordEnd(Outcome::Completed, Reason::None, now);
        m_end = Finished{m_finish ? m_finish->payload : std::string()};
        return *m_end;
    }
    if (end.outcome == Outcome::Completed) {
        return afterFailure({Outcome::MayHaveRun, Reason::StreamCut, end.status, "tokens are missing", true}, now);
    }
    return afterFailure(end, now);
}

Output RequestRun::afterFailure(const AttemptEnd &end, core::Time now)
{
    closeAttempt(end, now);
    m_mayHaveRun = m_mayHaveRun || end.outcome == Outcome::MayHaveRun;
    std::uniform_real_distribution<double> jitter(0, 1);
    const RetryState state{m_request.repeatable && !m_headSent, m_attempts, m_request.deadline};
    const auto decision = decideRetry(state, end, m_context.retryRule, jitter(m_random), now);
    const bool clientFault = end.status >= 400 && end.status < 500 && end.status != 429;
    if (!decision.retry || clientFault) {
        return fail(end, now);
    }
    if (!m_context.retryBudget.withdraw()) {
        auto refused = end;
        refused.reason = Reason::RetryBudget;
        return fail(refused, now);
    }
    m_context.metrics.countRetry(end.reason);
    if (m_reassembly.next() > 0) {
        m_context.metrics.count(metrics::Counter::StreamsResumed);
    }
    m_notBefore = now + decision.delay;
    return Quiet{};
}

void RequestRun::closeAttempt(const AttemptEnd &end, core::Time now)
{
    for (const auto &id : m_current) {
        m_context.targets.ended(id, m_request.id, end.targetFailed && id == m_current.front(), now);
    }
    if (!m_current.empty() && end.retryAfterSeconds > 0) {
        m_context.targets.askedForCooldown(m_current.front(), absl::Seconds(end.retryAfterSeconds), now);
    }
    if (!m_current.empty() && end.outcome != Outcome::Completed) {
        m_tried.push_back(m_current.front());
    }
    if (!m_decision.attempts.empty()) {
        auto &record = m_decision.attempts.back();
        record.outcome = end.outcome;
        record.reason = end.reason;
        record.detail = end.detail;
    }
    m_current.clear();
    if (m_channel) {
        m_channel->cancel();
        m_channel = nullptr;
    }
    m_group = nullptr;
}

Output RequestRun::fail(AttemptEnd end, core::Time now)
{
    closeAttempt(end, now);
    if (m_mayHaveRun) {
        end.outcome = Outcome::MayHaveRun;
    }
    recordEnd(end.outcome, end.reason, now);
    m_end = Failed{std::move(end)};
    return *m_end;
}

void RequestRun::recordEnd(Outcome outcome, Reason reason, core::Time now)
{
    m_decision.outcome = outcome;
    m_decision.reason = reason;
    m_decision.total = now - m_request.arrivedAt;
    m_context.metrics.countEnd(outcome, reason);
    if (outcome != Outcome::Completed) {
        core::log(core::LogLevel::Info, "request_failed",
                  {{"request", m_request.id},
                   {"reason", core::nameOf(reason)},
                   {"outcome", core::nameOf(outcome)},
                   {"attempts", m_attempts}});
    }
}

} // namespace spurlug::dispatch
