//----------------------------------------------------------------------------------------------------------------------
// spurlug: transfers the bytes of one relayed request: implementation
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/relay/request_handler.h" // Lets tools parse this file on its own.

namespace spurlug::relay
{

namespace detail
{

inline constexpr auto TargetCheckInterval = absl::Milliseconds(10); ///< Interval between checks for a free target.
/// Maximum wait after a refused reservation; requests that end in that time free memory.
inline constexpr auto MaxReserveDelay = absl::Milliseconds(200);
/// Maximum wait for the configuration, or for a confirmation that it is current. A daemon whose process was suspended
/// gets a new confirmation a few ms after it resumes, by one exchange with a directory reader; without the
/// wait, a daemon that was suspended for 3.5 s refused 87 callers. A daemon that has just started lacks its first
/// configuration for a shorter time; without the wait, 295 daemons that were killed at the same time refused 340
/// callers in the first 37 ms after they started.
inline constexpr auto ConfigurationTimeout = absl::Milliseconds(150);
inline constexpr auto ConfigurationCheckInterval
    = absl::Milliseconds(10); ///< Interval between checks during that wait.
/// Wait before a request is sent again after a target refused it.
inline constexpr auto RefusedRetryDelay = absl::Milliseconds(20);
inline constexpr double HoldTimeShare = 0.85; ///< Share of the time after which unused memory must be free again.

inline RequestInfo withContentDigest(RequestInfo facts, const net::Request &request, const std::string &body)
{
    facts.contentDigest = core::digestOf({request.method, request.target, body});
    return facts;
}

} // namespace detail

template<ProtocolCodec D>
RequestHandler<D>::RequestHandler(RelayContext &context, const D &codec, core::Ref<net::ServerConnection> caller,
                                  net::Request request, core::ByteReservation bodyMemory, RequestInfo facts,
                                  core::Time arrivedAt)
    : m_context(context)
    , m_codec(codec)
    , m_caller(std::move(caller))
    , m_bodyMemory(std::move(bodyMemory))
    , m_requestBody(std::make_shared<const std::string>(std::exchange(request.body, {})))
    , m_request(std::move(request))
    , m_progress(context, detail::withContentDigest(std::move(facts), m_request, *m_requestBody), arrivedAt)
    , m_inbox(core::makeRef<RequestInbox>(context.loop))
    , m_shutdownWatch(context.shutdown, [this] { m_inbox->events.post(ShutdownAdvanced{}); })
    , m_answerMemory(context.memory.answers)
    , m_lastEventId(m_progress.facts().resumeAfter)
{ }

template<ProtocolCodec D>
net::Task<std::optional<Refusal>> RequestHandler<D>::authorise()
{
    const auto until = core::now() + detail::ConfigurationTimeout;
    for (;;) {
        const auto now = core::now();
        auto refusal = m_progress.authorise(now);
        const bool keepsWaiting = refusal && m_context.missingDataExpectedSoon(refusal->reason, now) && now < until;
        if (!keepsWaiting) {
            co_return refusal;
        }
        co_await net::sleepFor(detail::ConfigurationCheckInterval);
    }
}

template<ProtocolCodec D>
net::Task<bool> RequestHandler<D>::run()
{
    const auto refusal = co_await authorise();
    if (refusal) {
        m_progress.finish(core::Outcome::NotRun, refusal->reason, refusal->status, core::now());
        m_context.metrics.countRefusal(refusal->reason);
        const bool refused = co_await sendRefusal(*refusal);
        co_return refused &&m_announcedKeepAlive;
    }
    m_caller->watch([inbox = m_inbox] { inbox->events.post(CallerDisconnected{}); });
    const bool answered = co_await runAttempts();
    m_caller->stopWatching();
    releaseReservations();
    co_return answered && !m_callerGone && m_announcedKeepAlive;
}

template<ProtocolCodec D>
net::Task<bool> RequestHandler<D>::runAttempts()
{
    for (;;) {
        const auto chosen = co_await awaitPlacement();
        auto next = NextStep::Fail;
        if (chosen) {
            next = co_await runAttempt(*chosen);
        }
        releaseReservations();
        if (next == NextStep::SendAgain && m_failureReason == core::Reason::TargetRefused) {
            co_await delayRetry(detail::RefusedRetryDelay);
        }
        if (m_callerGone) {
            m_progress.finish(m_progress.mayHaveRun() ? core::Outcome::MayHaveRun : core::Outcome::NotRun,
                              core::Reason::CallerDisconnected, 0, core::now());
            co_return false;
        }
        if (next == NextStep::Done) {
            co_return true;
        }
        if (next == NextStep::Fail) {
            break;
        }
    }
    const auto outcome = m_progress.mayHaveRun() ? core::Outcome::MayHaveRun : core::Outcome::NotRun;
    if (m_headForwarded) {
        m_progress.finish(outcome, m_failureReason, 0, core::now());
        m_caller->reset(); // Shows the caller that the events it has are not the complete stream.
        co_return false;
    }
    const auto finalRefusal = m_progress.finalRefusal(m_failureReason, core::now());
    m_progress.finish(outcome, m_failureReason, finalRefusal.status, core::now());
    co_return co_await sendRefusal(finalRefusal);
}

template<ProtocolCodec D>
net::Task<typename RequestHandler<D>::NextStep> RequestHandler<D>::runAttempt(const ChosenTargets &chosen)
{
    const bool reserved = co_await reserveMemory(chosen);
    if (!reserved) {
        // Other requests took the memory in the meantime.
        m_reserveDelay = std::min(m_reserveDelay * 2, core::Duration(detail::MaxReserveDelay));
        co_await delayRetry(m_reserveDelay);
        co_return NextStep::SendAgain;
    }
    // The configuration may have changed while the request waited.
    const auto refusal = co_await authorise();
    if (refusal) {
        m_failureReason = refusal->reason;
        co_return NextStep::Fail;
    }
    // So may the state of the targets: reserving memory takes time, and an engine may end or refuse requests meanwhile.
    if (memoryHelperEnded(chosen)) {
        m_failureReason = core::Reason::IncarnationEnded;
        co_return NextStep::SendAgain;
    }
    if (const auto unwanted = reasonToAvoid(*chosen.target, core::now())) {
        m_failureReason = *unwanted;
        co_return NextStep::SendAgain;
    }
    if (missesExit(&chosen, core::now())) {
        co_return NextStep::Fail;
    }
    startAttempt(chosen);
    co_return co_await awaitAnswer(chosen);
}

template<ProtocolCodec D>
net::Task<std::optional<ChosenTargets>> RequestHandler<D>::awaitPlacement()
{
    m_progress.setStage(RequestStage::AwaitingTarget);
    control::PlacementSession session(m_context, m_context.schedulerClient, m_inbox);
    m_grant = {};
    const auto service = m_progress.query(core::now()).service;
    if (!m_progress.mayHaveRun() && m_context.connector->links().refusesRequest(service, core::now())) {
        m_failureReason = core::Reason::NoPath;
        co_return std::nullopt;
    }
    for (;;) {
        const auto now = core::now();
        if (now >= m_progress.deadline()) {
            m_failureReason = core::Reason::DeadlinePassed;
            co_return std::nullopt;
        }
        if (m_progress.isWithheld()) {
            m_failureReason = core::Reason::CrashesTargets;
            co_return std::nullopt;
        }
        const auto query = m_progress.query(now);
        if (missesExit(nullptr, now)) {
            co_return std::nullopt;
        }
        if (m_progress.hasNoTarget(now)) {
            m_failureReason = m_progress.noTargetReason(now);
            co_return std::nullopt;
        }
        const auto availableAt = m_progress.availableAt(query, now);
        if (availableAt && m_progress.availableTooLate(*availableAt, now)) {
            m_failureReason = m_progress.unavailabilityReason(query, now);
            co_return std::nullopt;
        }
        if (availableAt) {
            const auto event = co_await m_inbox->events.take(waitUntil(m_progress.continueAt(*availableAt)));
            if (event && std::holds_alternative<CallerDisconnected>(*event)) {
                m_callerGone = true;
                co_return std::nullopt;
            }
            continue;
        }
        // A grant cannot be used before the list of targets is read; this daemon would then place the request alone.
        const bool listRead = m_context.targetsPosition.isKnown() && evacuationsKnown(m_context);
        const bool asked = listRead && session.sendIfDue(query, m_progress.priority(), now);
        if (!asked && m_progress.mayDecideAlone(query, now)) {
            if (auto chosen = m_progress.choose(now)) {
                m_progress.noteDecidedAlone(query, now);
                m_context.metrics.count(metrics::Counter::PlacementsWithoutScheduler, query.prompt ? 1 : 0);
                co_return chosen;
            }
        }
        m_failureReason = core::Reason::NoCapacity;
        if (m_progress.waitExpired(now, asked && session.isHeld())) {
            co_return std::nullopt;
        }
        const auto nextCheckAt = asked ? session.nextDueAt() : now + detail::TargetCheckInterval;
        const auto event = co_await m_inbox->events.take(waitUntil(nextCheckAt));
        if (event && std::holds_alternative<CallerDisconnected>(*event)) {
            m_callerGone = true;
            co_return std::nullopt;
        }
        if (const auto *arrived = event ? std::get_if<PlacementArrived>(&*event) : nullptr) {
            if (auto chosen = session.handleReply(arrived->answer, core::now())) {
                m_grant = arrived->answer;
                co_return chosen;
            }
            if (const auto retryAfter = session.refusal()) {
                m_progress.recordRefusal(*retryAfter);
                m_failureReason = core::Reason::PredictedLate;
                co_return std::nullopt;
            }
        }
    }
}

template<ProtocolCodec D>
net::Task<> RequestHandler<D>::delayRetry(core::Duration delay)
{
    m_progress.setStage(RequestStage::AwaitingTarget);
    const auto until = waitUntil(core::now() + delay);
    for (bool waits = true; waits;) {
        const auto event = co_await m_inbox->events.take(until);
        m_callerGone = m_callerGone || (event && std::holds_alternative<CallerDisconnected>(*event));
        waits = event && !m_callerGone && !std::holds_alternative<ShutdownAdvanced>(*event);
    }
}

template<ProtocolCodec D>
bool RequestHandler<D>::missesExit(const ChosenTargets *chosen, core::Time now)
{
    if (now < m_progress.latestStart(chosen)) {
        return false;
    }
    m_failureReason = core::Reason::Stopping;
    return true;
}

template<ProtocolCodec D>
core::Time RequestHandler<D>::waitUntil(core::Time earliest) const
{
    return std::min({earliest, m_progress.deadline(), m_progress.latestStart()});
}

template<ProtocolCodec D>
void RequestHandler<D>::abortForExit(core::Time now)
{
    const auto outcome = m_attempt->mayHaveSent() ? core::Outcome::MayHaveRun : core::Outcome::NotRun;
    m_attempt->abort();
    m_failureReason = core::Reason::Stopping;
    m_progress.endAttempt(outcome, m_failureReason, std::nullopt, "this daemon is about to exit", now);
}

template<ProtocolCodec D>
net::Task<bool> RequestHandler<D>::reserveMemory(const ChosenTargets &chosen)
{
    m_progress.setStage(RequestStage::ReservingMemory);
    const auto holdTime
        = std::min(m_context.settings.bounds.freeAfter * detail::HoldTimeShare, m_context.settings.bounds.longestHold);
    for (std::size_t i = 0; i < chosen.reservedTokens.size(); ++i) {
        const auto id = core::cat(m_context.settings.vm, "-", absl::ToUnixMillis(core::now()), "-",
                                  ++m_context.reservationCounter);
        const auto &target = chosen.helpers[i]->entry.id;
        auto onAnswer
            = [&context = m_context, &codec = m_codec, helper = chosen.helpers[i], id](const net::ResponseHead &head) {
                  applyTargetNotice(context, *helper, codec.readAnswer(head), id, core::now());
              };
        auto reservation
            = core::makeRef<Reservation>(m_context.loop, *m_context.connector, chosen.helpers[i], id,
                                         m_codec.reserveOrder(target, id, chosen.reservedTokens[i], holdTime),
                                         m_codec.releaseOrder(target, id), holdTime, std::move(onAnswer));
        const bool granted = co_await reservation->acquire(waitUntil(absl::InfiniteFuture()));
        if (!granted) {
            m_failureReason = core::Reason::ReservationRefused;
            m_progress.recordReservationRefusal(chosen.helpers[i], core::now());
            co_return false;
        }
        m_reservations.push_back(std::move(reservation));
    }
    co_return true;
}

template<ProtocolCodec D>
void RequestHandler<D>::releaseReservations()
{
    for (const auto &reservation : m_reservations) {
        reservation->release();
    }
    m_reservations.clear();
}

template<ProtocolCodec D>
bool RequestHandler<D>::memoryHelperEnded(const ChosenTargets &chosen) const
{
    const auto holders = chosen.helpers.begin() + static_cast<std::ptrdiff_t>(chosen.reservedTokens.size());
    return std::any_of(chosen.helpers.begin(), holders, [](const auto &helper) { return helper->hasEnded(); });
}

template<ProtocolCodec D>
void RequestHandler<D>::watchIncarnations(const ChosenTargets &chosen)
{
    auto notify = [inbox = m_inbox, attempt = m_progress.attempts()](const core::Ref<Target> &target) {
        inbox->events.post(IncarnationEnded{attempt, target});
    };
    m_incarnationWatches.clear();
    m_incarnationWatches.push_back(std::make_unique<IncarnationWatch>(chosen.target, notify));
    for (const auto &helper : chosen.helpers) {
        m_incarnationWatches.push_back(std::make_unique<IncarnationWatch>(helper, notify));
    }
}

template<ProtocolCodec D>
void RequestHandler<D>::startAttempt(const ChosenTargets &chosen)
{
    const auto now = core::now();
    m_progress.setStage(RequestStage::AtTarget);
    m_progress.beginAttempt(chosen, m_grant ? m_grant->vm : "", now);
    if (m_grant) {
        m_context.schedulerClient->noteGrantUsed(*m_grant);
    }
    watchIncarnations(chosen);
    m_isStream = false;
    m_body = {};
    m_events = {};
    m_answerMemory = core::ByteReservation(m_context.memory.answers);
    AttemptInfo facts;
    facts.targetId = chosen.target->entry.id;
    facts.target = chosen.target->entry.address;
    facts.organisation = m_progress.organisation();
    facts.timeLeft = m_progress.deadline() - now;
    facts.resumeAfter = m_lastEventId;
    for (std::size_t i = 0; i < chosen.helpers.size(); ++i) {
        facts.helpers.push_back(
            {chosen.helpers[i]->entry.address, i < m_reservations.size() ? m_reservations[i]->id() : ""});
    }
    if (m_progress.facts().prompt) {
        facts.priority = m_progress.enginePriority();
    }
    m_attempt = core::makeRef<Attempt>(m_context.loop, *m_context.connector, m_inbox, m_context.memory.answers,
                                       m_progress.attempts());
    // Whether a target accepts the request is checked again right before the write, not only when it is chosen.
    auto mayWrite = [target = chosen.target, helpers = chosen.helpers, &crashes = m_context.crashes,
                     suspects = m_progress.suspects(), &shutdown = m_context.shutdown,
                     expectedDuration = m_progress.expectedDuration(&chosen)] {
        const auto now = core::now();
        return !reasonToAvoid(*target, now) && now < shutdown.latestStart(expectedDuration)
            && std::none_of(suspects.begin(), suspects.end(),
                            [&crashes](const auto &digest) { return crashes.isQuarantined(digest); })
            && std::none_of(helpers.begin(), helpers.end(), [](const auto &helper) { return helper->isEvacuated(); });
    };
    m_attempt->start(chosen.target, m_codec.attemptRequest(m_request, facts), m_requestBody, detail::ConnectTimeout,
                     m_progress.deadline(), std::move(mayWrite));
}

template<ProtocolCodec D>
typename RequestHandler<D>::NextStep RequestHandler<D>::handleFailure(core::Outcome outcome, core::Reason reason,
                                                                      std::optional<TargetFault> fault,
                                                                      const std::string &detail)
{
    const auto now = core::now();
    m_failureReason = reason;
    m_incarnationWatches.clear();
    m_progress.endAttempt(outcome, reason, fault, detail, now);
    if (!m_progress.allowRetry(isRepeatable(), reason, now)) {
        return NextStep::Fail;
    }
    return NextStep::SendAgain;
}

template<ProtocolCodec D>
net::Task<bool> RequestHandler<D>::sendRefusal(Refusal refusal)
{
    constexpr auto WriteTimeout = absl::Seconds(2); // The answer is small, so a live caller reads it at once.
    m_progress.setStage(RequestStage::Answering);
    auto response = m_codec.refusal(refusal, m_progress.facts());
    co_return co_await m_caller->write(std::move(response), announceKeepAlive(),
                                       core::now() + core::Duration(WriteTimeout));
}

template<ProtocolCodec D>
bool RequestHandler<D>::isRepeatable() const
{
    const auto &route = m_progress.route();
    return route.repeatable() && !m_forwardsBody && (!m_headForwarded || m_lastEventId.has_value());
}

template<ProtocolCodec D>
bool RequestHandler<D>::announceKeepAlive()
{
    m_announcedKeepAlive = m_request.keepAlive && !m_context.shutdown.hasBegun();
    return m_announcedKeepAlive;
}

} // namespace spurlug::relay
