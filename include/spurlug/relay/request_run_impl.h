//----------------------------------------------------------------------------------------------------------------------
// spurlug: transfers the bytes of one relayed request: implementation
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/relay/request_run.h" // Lets tools parse this file on its own.

namespace spurlug::relay
{

namespace detail
{

inline constexpr auto ChoosePause = absl::Milliseconds(10); ///< Interval between checks for a free target.
/// Maximum wait after a refused reservation; requests that end in that time free memory.
inline constexpr auto LongestReservePause = absl::Milliseconds(200);
/// Maximum wait for the configuration, or for a confirmation that it is current. A daemon whose process was suspended
/// gets a new confirmation a few ms after it resumes, by one exchange with a directory reader; without the
/// wait, a daemon that was suspended for 3.5 s refused 87 callers. A daemon that has just started lacks its first
/// configuration for a shorter time; without the wait, 295 daemons that were killed at the same time refused 340
/// callers in the first 37 ms after they started.
inline constexpr auto KnowledgeWait = absl::Milliseconds(150);
inline constexpr auto KnowledgeLook = absl::Milliseconds(10); ///< Interval between checks during that wait.
/// Wait before a request is sent again after a target refused it.
inline constexpr auto RefusedPause = absl::Milliseconds(20);
inline constexpr double HoldShare = 0.85; ///< Share of the time after which unused memory must be free again.

inline RequestFacts withContent(RequestFacts facts, const net::Request &request)
{
    facts.content = core::digestOf({request.method, request.target, request.body});
    return facts;
}

} // namespace detail

template<Dialect D>
RequestRun<D>::RequestRun(RelayContext &context, const D &dialect, core::Ref<net::ServerConnection> caller,
                          net::Request request, RequestFacts facts, core::Time arrivedAt)
    : m_context(context)
    , m_dialect(dialect)
    , m_caller(std::move(caller))
    , m_request(std::move(request))
    , m_progress(context, detail::withContent(std::move(facts), m_request), arrivedAt)
    , m_inbox(core::makeCounted<RequestInbox>(context.loop))
    , m_lastEvent(m_progress.facts().resumeAfter)
{ }

template<Dialect D>
net::Task<std::optional<Refusal>> RequestRun<D>::authorise()
{
    const auto until = core::now() + detail::KnowledgeWait;
    for (;;) {
        const auto now = core::now();
        auto refusal = m_progress.authorise(now);
        const bool waits = refusal && m_context.knowledgeMayComeSoon(refusal->reason, now) && now < until;
        if (!waits) {
            co_return refusal;
        }
        co_await net::sleepFor(detail::KnowledgeLook);
    }
}

template<Dialect D>
net::Task<bool> RequestRun<D>::run()
{
    const auto refusal = co_await authorise();
    if (refusal) {
        m_progress.finish(core::Outcome::NotRun, refusal->reason, refusal->status, core::now());
        m_context.metrics.countRefusal(refusal->reason);
        co_return co_await refuse(*refusal);
    }
    m_caller->watch([inbox = m_inbox] { inbox->events.post(CallerGone{}); });
    const bool answered = co_await pursue();
    m_caller->stopWatching();
    releaseAll();
    co_return answered && !m_callerGone && keepsAlive();
}

template<Dialect D>
net::Task<bool> RequestRun<D>::pursue()
{
    for (;;) {
        const auto chosen = co_await chooseOrWait();
        auto next = Next::Fail;
        if (chosen) {
            next = co_await attempt(*chosen);
        }
        releaseAll();
        if (m_callerGone) {
            m_progress.finish(m_progress.ranSomewhere() ? core::Outcome::MayHaveRun : core::Outcome::NotRun,
                              core::Reason::CallerGone, 0, core::now());
            co_return false;
        }
        if (next == Next::Done) {
            co_return true;
        }
        if (next == Next::Fail) {
            break;
        }
        if (m_failure == core::Reason::TargetRefused) {
            co_await net::sleepFor(detail::RefusedPause);
        }
    }
    const auto outcome = m_progress.ranSomewhere() ? core::Outcome::MayHaveRun : core::Outcome::NotRun;
    if (m_headPassed) {
        m_progress.finish(outcome, m_failure, 0, core::now());
        m_caller->reset(); // Shows the caller that the events it has are not the complete stream.
        co_return false;
    }
    const auto word = m_progress.lastWord(m_failure, core::now());
    m_progress.finish(outcome, m_failure, word.status, core::now());
    co_return co_await refuse(word);
}

template<Dialect D>
net::Task<typename RequestRun<D>::Next> RequestRun<D>::attempt(const ChosenTargets &chosen)
{
    const bool reserved = co_await reserve(chosen);
    if (!reserved) {
        // Other requests took the memory in the meantime.
        m_reservePause = std::min(m_reservePause * 2, core::Duration(detail::LongestReservePause));
        co_await net::sleepFor(m_reservePause);
        co_return Next::SendAgain;
    }
    // The configuration may have changed while the request waited.
    const auto refusal = co_await authorise();
    if (refusal) {
        m_failure = refusal->reason;
        co_return Next::Fail;
    }
    // So may the state of the targets: reserving memory takes time, and an engine may end or refuse requests meanwhile.
    if (holderEnded(chosen)) {
        m_failure = core::Reason::LifeOver;
        co_return Next::SendAgain;
    }
    if (const auto unwanted = unwantedNow(*chosen.target, core::now())) {
        m_failure = *unwanted;
        co_return Next::SendAgain;
    }
    send(chosen);
    co_return co_await follow(chosen);
}

template<Dialect D>
net::Task<std::optional<ChosenTargets>> RequestRun<D>::chooseOrWait()
{
    control::PlacementSession session(m_context, m_context.scheduling, m_inbox);
    m_grant = {};
    for (;;) {
        const auto now = core::now();
        if (now >= m_progress.deadline()) {
            m_failure = core::Reason::DeadlinePassed;
            co_return std::nullopt;
        }
        const auto query = m_progress.query(now);
        if (m_progress.hasNoTarget(now)) {
            m_failure = m_progress.whyNoTarget(now);
            co_return std::nullopt;
        }
        const auto backAt = m_progress.backAt(query, now);
        if (backAt && m_progress.backTooLate(*backAt, now)) {
            m_failure = m_progress.whyAway(query, now);
            co_return std::nullopt;
        }
        if (backAt) {
            const auto event = co_await m_inbox->events.take(m_progress.wakeAt(*backAt));
            if (event && std::holds_alternative<CallerGone>(*event)) {
                m_callerGone = true;
                co_return std::nullopt;
            }
            continue;
        }
        // A grant cannot be used before the list of targets is read; this daemon would then place the request alone.
        const bool listRead = m_context.targetsPosition.known() && evacuationsKnown(m_context);
        const bool asked = listRead && session.pursue(query, m_progress.priority(), now);
        if (!asked) {
            if (auto chosen = m_progress.choose(now)) {
                m_context.metrics.count(metrics::Counter::DecidedAlone, query.prompt ? 1 : 0);
                co_return chosen;
            }
        }
        m_failure = core::Reason::NoCapacity;
        if (m_progress.waitedEnough(now)) {
            co_return std::nullopt;
        }
        const auto look = asked ? session.dueAt() : now + detail::ChoosePause;
        const auto event = co_await m_inbox->events.take(std::min(m_progress.deadline(), look));
        if (event && std::holds_alternative<CallerGone>(*event)) {
            m_callerGone = true;
            co_return std::nullopt;
        }
        if (const auto *arrived = event ? std::get_if<PlacementArrived>(&*event) : nullptr) {
            if (auto chosen = session.take(arrived->answer, core::now())) {
                m_grant = arrived->answer;
                co_return chosen;
            }
        }
    }
}

template<Dialect D>
net::Task<bool> RequestRun<D>::reserve(const ChosenTargets &chosen)
{
    const auto hold
        = std::min(m_context.settings.bounds.freeAfter * detail::HoldShare, m_context.settings.bounds.longestHold);
    for (std::size_t i = 0; i < chosen.holdingTokens.size(); ++i) {
        const auto id
            = core::cat(m_context.settings.vm, "-", absl::ToUnixMillis(core::now()), "-", ++m_context.reservations);
        const auto &target = chosen.helpers[i]->entry.id;
        auto hear = [&context = m_context, &dialect = m_dialect, helper = chosen.helpers[i],
                     id](const net::ResponseHead &head) {
            takeTargetNotice(context, *helper, dialect.readAnswer(head), id, core::now());
        };
        auto reservation
            = core::makeCounted<Reservation>(m_context.loop, chosen.helpers[i]->entry.address, id,
                                             m_dialect.reserveOrder(target, id, chosen.holdingTokens[i], hold),
                                             m_dialect.releaseOrder(target, id), hold, std::move(hear));
        const bool granted = co_await reservation->acquire(m_progress.deadline());
        if (!granted) {
            m_failure = core::Reason::ReservationRefused;
            m_progress.memoryRefused(chosen.helpers[i], core::now());
            co_return false;
        }
        m_reservations.push_back(std::move(reservation));
    }
    co_return true;
}

template<Dialect D>
void RequestRun<D>::releaseAll()
{
    for (const auto &reservation : m_reservations) {
        reservation->release();
    }
    m_reservations.clear();
}

template<Dialect D>
bool RequestRun<D>::holderEnded(const ChosenTargets &chosen) const
{
    const auto holders = chosen.helpers.begin() + static_cast<std::ptrdiff_t>(chosen.holdingTokens.size());
    return std::any_of(chosen.helpers.begin(), holders, [](const auto &helper) { return helper->over(); });
}

template<Dialect D>
void RequestRun<D>::watchLives(const ChosenTargets &chosen)
{
    auto tell = [inbox = m_inbox, attempt = m_progress.attempts()](const core::Ref<Target> &target) {
        inbox->events.post(LifeOver{attempt, target});
    };
    m_watches.clear();
    m_watches.push_back(std::make_unique<LifeWatch>(chosen.target, tell));
    for (const auto &helper : chosen.helpers) {
        m_watches.push_back(std::make_unique<LifeWatch>(helper, tell));
    }
}

template<Dialect D>
void RequestRun<D>::send(const ChosenTargets &chosen)
{
    const auto now = core::now();
    m_progress.begin(chosen, m_grant ? m_grant->vm : "", now);
    if (m_grant) {
        m_context.scheduling->begun(*m_grant);
    }
    watchLives(chosen);
    m_isStream = false;
    m_body.clear();
    m_events = {};
    AttemptFacts facts;
    facts.targetId = chosen.target->entry.id;
    facts.target = chosen.target->entry.address;
    facts.organisation = m_progress.organisation();
    facts.timeLeft = m_progress.deadline() - now;
    facts.resumeAfter = m_lastEvent;
    for (std::size_t i = 0; i < chosen.helpers.size(); ++i) {
        facts.helpers.push_back(
            {chosen.helpers[i]->entry.address, i < m_reservations.size() ? m_reservations[i]->id() : ""});
    }
    if (m_progress.facts().prompt) {
        facts.priority = m_progress.enginePriority();
    }
    m_attempt = core::makeCounted<Attempt>(m_context.loop, m_inbox, m_progress.attempts());
    // Whether a target accepts the request is checked again right before the write, not only when it is chosen.
    auto mayWrite = [target = chosen.target, helpers = chosen.helpers] {
        return !unwantedNow(*target, core::now())
            && std::none_of(helpers.begin(), helpers.end(), [](const auto &helper) { return helper->evacuated(); });
    };
    m_attempt->start(chosen.target->entry.address, m_dialect.attemptRequest(m_request, facts), detail::ConnectTimeout,
                     m_progress.deadline(), std::move(mayWrite));
}

template<Dialect D>
typename RequestRun<D>::Next RequestRun<D>::afterFailure(core::Outcome outcome, core::Reason reason,
                                                         std::optional<TargetFault> fault, const std::string &detail)
{
    const auto now = core::now();
    m_failure = reason;
    m_watches.clear();
    m_progress.endAttempt(outcome, reason, fault, detail, now);
    if (!m_progress.takeResend(mayRepeat(), reason, now)) {
        return Next::Fail;
    }
    return Next::SendAgain;
}

template<Dialect D>
net::Task<bool> RequestRun<D>::refuse(Refusal refusal)
{
    constexpr auto WriteTimeout = absl::Seconds(2); // The answer is small, so a live caller reads it at once.
    auto response = m_dialect.refusal(refusal, m_progress.facts());
    const bool written
        = co_await m_caller->write(std::move(response), keepsAlive(), core::now() + core::Duration(WriteTimeout));
    co_return written &&keepsAlive();
}

template<Dialect D>
bool RequestRun<D>::mayRepeat() const
{
    const auto &route = m_progress.route();
    return route.repeatable() && (!m_headPassed || m_lastEvent.has_value());
}

template<Dialect D>
bool RequestRun<D>::keepsAlive() const
{
    return m_request.keepAlive && !m_context.draining;
}

} // namespace spurlug::relay
