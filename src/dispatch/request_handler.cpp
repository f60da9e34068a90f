//----------------------------------------------------------------------------------------------------------------------
// spurlug: relays one admitted request to its targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/dispatch/request_handler.h"

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

constexpr auto EngineSilenceTimeout = absl::Seconds(4); // Engines send one SSE comment per second during prefill.
constexpr auto MaxGrantCallTime = absl::Seconds(1);
constexpr auto BrokerBackoff = absl::Milliseconds(100);

AttemptResult deadlineResult(bool mayHaveRun)
{
    return {mayHaveRun ? Outcome::MayHaveRun : Outcome::NotRun, Reason::DeadlinePassed, 0, "the deadline has passed"};
}

} // namespace

RequestHandler::RequestHandler(HandlerContext &context, AdmittedRequest request)
    : m_context(context)
    , m_request(std::move(request))
    , m_random(core::fastHash(m_request.id))
{
    ++m_context.requestsInProgress;
    m_context.retryBudget.deposit();
    m_context.metrics.count(metrics::Counter::RequestsAdmitted);
    m_decision.requestId = m_request.id;
    m_decision.organisation = m_request.organisation;
    m_decision.requestClass = m_request.requestClass;
    m_decision.route = m_request.route;
    m_decision.generation = m_request.configuration->generation;
    m_decision.promptTokens = m_request.promptTokens;
    m_decision.engines = m_request.engines;
    m_decision.deadline = m_request.deadline - m_request.arrivedAt;
}

RequestHandler::~RequestHandler()
{
    if (!m_finalOutput) {
        abandon();
    }
    m_context.decisions.add(std::move(m_decision));
    --m_context.requestsInProgress;
}

const AdmittedRequest &RequestHandler::request() const noexcept
{
    return m_request;
}

std::optional<core::Outcome> RequestHandler::outcome() const noexcept
{
    return m_finalOutput ? std::optional(m_decision.outcome) : std::nullopt;
}

Output RequestHandler::next(core::Duration wait)
{
    if (m_finalOutput) {
        return *m_finalOutput;
    }
    const auto now = core::now();
    if (now >= m_request.deadline) {
        return fail(deadlineResult(m_mayHaveRun || m_channel != nullptr), now);
    }
    return advance(std::min(wait, m_request.deadline - now), now);
}

void RequestHandler::abandon()
{
    if (!m_finalOutput) {
        const auto outcome = m_mayHaveRun || m_channel != nullptr ? Outcome::MayHaveRun : Outcome::NotRun;
        [[maybe_unused]] const auto output
            = fail({outcome, Reason::CallerDisconnected, 0, "the caller is gone"}, core::now());
    }
}

Output RequestHandler::advance(core::Duration wait, core::Time now)
{
    if (m_channel) {
        return awaitEvent(wait, now);
    }
    if (now < m_nextAttemptAt) {
        absl::SleepFor(std::min(wait, m_nextAttemptAt - now));
        return NoOutput{};
    }
    if (m_request.isLong && !m_group && !prepareGroup(wait, now)) {
        return NoOutput{};
    }
    startAttempt(core::now());
    return NoOutput{};
}

Output RequestHandler::awaitEvent(core::Duration wait, core::Time now)
{
    auto event = m_channel->pop(wait);
    return event ? handleEvent(std::move(*event), std::max(now, core::now())) : Output(NoOutput{});
}

bool RequestHandler::prepareGroup(core::Duration wait, core::Time now)
{
    const auto granted = requestGrant(wait, now);
    if (!granted) {
        return false;
    }
    m_group = reserveGroup(*granted, now);
    if (!m_group) {
        m_context.metrics.countRetry(Reason::ReservationRefused);
        std::uniform_real_distribution<double> jitter(0.5, 1.5);
        m_nextAttemptAt = core::now() + BrokerBackoff * jitter(m_random);
        return false;
    }
    m_decision.waitedForGrant = core::now() - m_request.arrivedAt;
    m_context.metrics.addSample(metrics::Timer::GrantWait, m_decision.waitedForGrant);
    return true;
}

std::optional<grants::TicketedGrant> RequestHandler::requestGrant(core::Duration wait, core::Time now)
{
    const grants::GrantRequest ask{m_request.id,           m_request.organisation, m_request.weight,
                                   m_request.promptTokens, m_request.engines,      m_request.arrivedAt};
    try {
        return m_context.acquireGrant(m_request.route, ask, std::min(wait, MaxGrantCallTime));
    } catch (const core::NetworkError &) {
        m_context.metrics.countRetry(Reason::BrokerUnreachable);
        m_nextAttemptAt = now + BrokerBackoff;
        return std::nullopt;
    }
}

core::Ref<grants::Group> RequestHandler::reserveGroup(const grants::TicketedGrant &granted, core::Time now)
{
    std::vector<grants::GroupMember> members;
    for (const auto &view : m_context.targets.views(*m_request.targets, now)) {
        if (std::find(granted.targets.begin(), granted.targets.end(), view.id) != granted.targets.end()) {
            members.push_back({view.id, view.address});
        }
    }
    const auto tokensPerEngine = (m_request.kvTokens + m_request.engines - 1) / m_request.engines;
    const auto reservationId = core::cat(m_request.id, "-", m_attemptCount + 1);
    return m_context.groups.reserve(std::move(members), reservationId, tokensPerEngine, granted.ticket);
}

std::optional<targets::TargetView> RequestHandler::selectTarget(core::Time now)
{
    const auto views = m_context.targets.views(*m_request.targets, now);
    const routing::RouteRequest route{m_request.promptTokens, !m_request.isLong, m_request.prefixHash};
    auto rule = m_context.routeRule;
    rule.strategy = m_request.routing;
    const bool isRoundRobin = rule.strategy == config::RoutingStrategy::RoundRobin;
    const auto choiceSeed = isRoundRobin ? m_context.roundRobinCounter++ : m_random();
    auto choice = routing::chooseAcrossDomains(route, views, m_context.failureDomain, m_triedTargets, rule, choiceSeed);
    m_context.metrics.addSample(metrics::Timer::RouteDecision, core::now() - now);
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

void RequestHandler::startAttempt(core::Time now)
{
    ++m_attemptCount;
    explain::AttemptRecord record;
    record.startedAfter = now - m_request.arrivedAt;
    m_decision.attempts.push_back(std::move(record));
    if (m_group) {
        std::vector<std::string> ids;
        for (const auto &member : m_group->members()) {
            ids.push_back(member.id);
        }
        sendTo(m_group->members().front().address, ids, now);
        return;
    }
    if (const auto target = selectTarget(now)) {
        sendTo(target->address, {target->id}, now);
        return;
    }
    m_channel = core::makeRef<EventChannel>();
    m_channel->push(AttemptResult{Outcome::NotRun, Reason::NoTarget, 0, "no target can take the request"});
}

void RequestHandler::sendTo(const core::Address &address, const std::vector<std::string> &ids, core::Time now)
{
    m_currentTargets = ids;
    m_decision.attempts.back().chosen = ids;
    m_reassembler.beginAttempt(m_attemptCount);
    m_channel = core::makeRef<EventChannel>();
    for (const auto &id : ids) {
        m_context.targets.recordDispatch(id, m_request.id,
                                         m_request.promptTokens / static_cast<std::int64_t>(ids.size()), now);
    }
    m_context.metrics.count(metrics::Counter::AttemptsStarted);
    const auto attempt = makeAttemptRequest(address);
    const auto kind = m_request.kind;
    // The attempt reads the request body, which this object owns, so the task holds a reference to this object.
    const bool started
        = m_context.attemptPool.trySubmit([attempt, kind, channel = m_channel, run = core::Ref<RequestHandler>(this)] {
              if (kind == TargetKind::Engine) {
                  EngineClient().run(attempt, *channel);
              } else {
                  ServiceClient().run(attempt, *channel);
              }
          });
    if (!started) {
        m_channel->push(AttemptResult{Outcome::NotRun, Reason::Overloaded, 0, "no thread is free for an attempt"});
    }
}

AttemptRequest RequestHandler::makeAttemptRequest(const core::Address &address) const
{
    AttemptRequest attempt;
    attempt.requestId = m_request.id;
    attempt.attempt = m_attemptCount;
    attempt.target = address;
    attempt.path = m_request.path;
    attempt.method = m_request.method;
    attempt.body = &m_request.body;
    attempt.headers = m_request.headers;
    attempt.timeout = m_request.deadline - core::now();
    if (m_request.kind == TargetKind::Service) {
        return attempt;
    }
    attempt.timeout = std::min(attempt.timeout, core::Duration(EngineSilenceTimeout));
    attempt.headers.emplace_back("Event-Stream", "1");
    attempt.headers.emplace_back("Priority", core::cat(m_request.priority));
    attempt.headers.emplace_back("Resume-From", core::cat(m_reassembler.nextOffset()));
    if (m_group) {
        attempt.headers.emplace_back("Reservation", m_group->reservationId());
        const auto members = absl::StrJoin(
            m_group->members(), ",", [](std::string *out, const auto &member) { out->append(member.address.text()); });
        attempt.headers.emplace_back("Group-Members", members);
    }
    return attempt;
}

Output RequestHandler::handleEvent(AttemptEvent event, core::Time now)
{
    if (auto *token = std::get_if<TokenEvent>(&event)) {
        return handleToken(std::move(*token), now);
    }
    if (auto *finish = std::get_if<FinishEvent>(&event)) {
        m_reassembler.setTotal(m_attemptCount, finish->tokenCount);
        m_finishEvent = std::move(*finish);
        return NoOutput{};
    }
    if (auto *head = std::get_if<HeadEvent>(&event)) {
        m_headReceived = true;
        recordFirstToken(now);
        return std::move(*head);
    }
    if (auto *bytes = std::get_if<BytesEvent>(&event)) {
        return std::move(*bytes);
    }
    return handleResult(std::get<AttemptResult>(event), now);
}

Output RequestHandler::handleToken(TokenEvent event, core::Time now)
{
    recordFirstToken(now);
    if (m_lastTokenAt != absl::InfinitePast()) {
        m_context.metrics.addSample(metrics::Timer::TokenGap, now - m_lastTokenAt);
    }
    m_lastTokenAt = now;
    const auto droppedBefore = m_reassembler.droppedEvents();
    Tokens tokens{m_reassembler.accept(m_attemptCount, event.offset, std::move(event.payload))};
    m_context.metrics.count(metrics::Counter::EventsDropped, m_reassembler.droppedEvents() - droppedBefore);
    m_context.metrics.count(metrics::Counter::TokensRelayed, static_cast<std::int64_t>(tokens.payloads.size()));
    return tokens.payloads.empty() ? Output(NoOutput{}) : Output(std::move(tokens));
}

void RequestHandler::recordFirstToken(core::Time now)
{
    if (m_decision.timeToFirstToken != absl::InfiniteDuration()) {
        return;
    }
    m_decision.timeToFirstToken = now - m_request.arrivedAt;
    for (const auto &id : m_currentTargets) {
        m_context.targets.recordFirstToken(id, m_request.id);
    }
    if (m_request.kind == TargetKind::Engine) {
        m_context.metrics.addSample(metrics::firstTokenTimer(m_request.promptTokens), m_decision.timeToFirstToken);
    }
}

Output RequestHandler::handleResult(const AttemptResult &result, core::Time now)
{
    const bool isComplete = m_request.kind == TargetKind::Service || m_reassembler.isComplete();
    if (result.outcome == Outcome::Completed && isComplete) {
        endAttempt(result, now);
        recordOutcome(Outcome::Completed, Reason::None, now);
        m_finalOutput = Finished{m_finishEvent ? m_finishEvent->payload : std::string()};
        return *m_finalOutput;
    }
    if (result.outcome == Outcome::Completed) {
        return retryOrFail({Outcome::MayHaveRun, Reason::StreamInterrupted, result.status, "tokens are missing", true},
                           now);
    }
    return retryOrFail(result, now);
}

Output RequestHandler::retryOrFail(const AttemptResult &result, core::Time now)
{
    endAttempt(result, now);
    m_mayHaveRun = m_mayHaveRun || result.outcome == Outcome::MayHaveRun;
    std::uniform_real_distribution<double> jitter(0, 1);
    const RetryState state{m_request.repeatable && !m_headReceived, m_attemptCount, m_request.deadline};
    const auto decision = decideRetry(state, result, m_context.retryPolicy, jitter(m_random), now);
    const bool isClientError = result.status >= 400 && result.status < 500 && result.status != 429;
    if (!decision.retry || isClientError) {
        return fail(result, now);
    }
    if (!m_context.retryBudget.withdraw()) {
        auto refusedResult = result;
        refusedResult.reason = Reason::RetryBudget;
        return fail(refusedResult, now);
    }
    m_context.metrics.countRetry(result.reason);
    if (m_reassembler.nextOffset() > 0) {
        m_context.metrics.count(metrics::Counter::StreamsResumed);
    }
    m_nextAttemptAt = now + decision.delay;
    return NoOutput{};
}

void RequestHandler::endAttempt(const AttemptResult &result, core::Time now)
{
    for (const auto &id : m_currentTargets) {
        m_context.targets.recordEnd(id, m_request.id, result.targetFailed && id == m_currentTargets.front(), now);
    }
    if (!m_currentTargets.empty() && result.retryAfterSeconds > 0) {
        m_context.targets.recordCooldown(m_currentTargets.front(), absl::Seconds(result.retryAfterSeconds), now);
    }
    if (!m_currentTargets.empty() && result.outcome != Outcome::Completed) {
        m_triedTargets.push_back(m_currentTargets.front());
    }
    if (!m_decision.attempts.empty()) {
        auto &record = m_decision.attempts.back();
        record.outcome = result.outcome;
        record.reason = result.reason;
        record.detail = result.detail;
    }
    m_currentTargets.clear();
    if (m_channel) {
        m_channel->cancel();
        m_channel = nullptr;
    }
    m_group = nullptr;
}

Output RequestHandler::fail(AttemptResult result, core::Time now)
{
    endAttempt(result, now);
    if (m_mayHaveRun) {
        result.outcome = Outcome::MayHaveRun;
    }
    recordOutcome(result.outcome, result.reason, now);
    m_finalOutput = Failed{std::move(result)};
    return *m_finalOutput;
}

void RequestHandler::recordOutcome(Outcome outcome, Reason reason, core::Time now)
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
                   {"attempts", m_attemptCount}});
    }
}

} // namespace spurlug::dispatch
