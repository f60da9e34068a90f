//----------------------------------------------------------------------------------------------------------------------
// spurlug: transfers the bytes of one relayed request: an attempt until it is answered or aborted
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/relay/request_run.h" // Lets tools parse this file on its own.

namespace spurlug::relay
{

namespace detail
{

/// Consecutive failed connections after which a target counts as dead: a single failure may be due to a lost packet.
/// Checks are at least 0.6 s apart.
inline constexpr int RefusedWhenDead = 2;
/// A host whose process ended refuses a connection within one round trip, 1 to 3 ms; the request waits for that. During
/// a network partition no connection is refused, so the target does not count as ended.
inline constexpr auto EndCheckTimeout = absl::Milliseconds(50);

} // namespace detail

template<Dialect D>
net::Task<typename RequestRun<D>::Next> RequestRun<D>::follow(const ChosenTargets &chosen)
{
    Silence silence;
    silence.heardAt = core::now();
    for (;;) {
        auto until = m_progress.deadline();
        if (!silence.patient) {
            until = std::min(until, core::now() + m_progress.patience(chosen, silence.answering));
        }
        auto event = co_await m_inbox->events.take(until);
        const auto now = core::now();
        if (!event && now >= m_progress.deadline()) {
            m_attempt->abort();
            m_failure = core::Reason::DeadlinePassed;
            m_progress.endAttempt(core::Outcome::MayHaveRun, m_failure, std::nullopt,
                                  "the target did not finish its answer by the deadline", now);
            co_return Next::Fail;
        }
        if (!event) {
            const auto next = co_await leaveIfDead(chosen, silence);
            if (next) {
                co_return *next;
            }
            continue;
        }
        if (std::holds_alternative<HeadArrived>(*event) || std::holds_alternative<BytesArrived>(*event)) {
            m_progress.heard(now);
            silence.heardAt = now;
            silence.refusedConnections = 0;
        }
        bool ended = false;
        const bool isBytes = std::holds_alternative<BytesArrived>(*event);
        const auto next = co_await take(std::move(*event), chosen, ended);
        if (ended) {
            co_return next;
        }
        silence.answering = silence.answering || isBytes;
    }
}

template<Dialect D>
net::Task<std::optional<typename RequestRun<D>::Next>> RequestRun<D>::leaveIfDead(const ChosenTargets &chosen,
                                                                                  Silence &silence)
{
    if (m_progress.targetLives(core::now())) {
        co_return std::nullopt; // The target is slow, not dead: repeating the work elsewhere would slow everything
                                // down.
    }
    const bool reachable = co_await reaches(chosen.target);
    const auto now = core::now();
    if (m_inbox->events.size() > 0) {
        co_return std::nullopt; // An event arrived in the meantime: the target answered, or its incarnation ended.
    }
    silence.refusedConnections = reachable ? 0 : silence.refusedConnections + 1;
    if (reachable && now - silence.heardAt < m_progress.longestSilence(chosen, silence.answering)) {
        m_progress.heard(now);
        co_return std::nullopt;
    }
    if (!mayRepeat() || !m_progress.takeResend(true, core::Reason::TargetSilent, now)) {
        co_return endOrWait(silence, now);
    }
    m_attempt->abort();
    m_failure = core::Reason::TargetSilent;
    // With helpers it is unknown which engine is at fault, unless the target accepts no connections.
    auto fault = chosen.helpers.empty() ? std::optional(TargetFault::Silent) : std::nullopt;
    if (!reachable) {
        fault = TargetFault::Unreachable;
    }
    m_watches.clear();
    m_progress.endAttempt(core::Outcome::MayHaveRun, m_failure, fault,
                          reachable ? "silence" : "the target sent nothing and accepts no connections", now);
    co_return Next::SendAgain;
}

template<Dialect D>
std::optional<typename RequestRun<D>::Next> RequestRun<D>::endOrWait(Silence &silence, core::Time now)
{
    const bool dead = silence.refusedConnections >= detail::RefusedWhenDead;
    if (!dead) {
        silence.patient = silence.refusedConnections == 0;
        return std::nullopt;
    }
    if (silence.answering && m_reservations.empty()) {
        silence.patient = true; // Keep the stream open: the part that the caller has is worth more than an early error.
        return std::nullopt;
    }
    m_attempt->abort();
    m_failure = core::Reason::TargetSilent;
    m_progress.endAttempt(core::Outcome::MayHaveRun, m_failure, TargetFault::Unreachable,
                          "the target sent nothing and accepts no connections; no other target can be tried", now);
    return Next::Fail;
}

template<Dialect D>
typename RequestRun<D>::Next RequestRun<D>::leaveLife(const Target &ended, bool &given)
{
    given = m_progress.needs(ended);
    if (!given) {
        return Next::Done;
    }
    m_attempt->abort();
    return afterFailure(core::Outcome::MayHaveRun, core::Reason::LifeOver, std::nullopt,
                        core::cat("the incarnation of ", ended.entry.id, " ended"));
}

template<Dialect D>
net::Task<bool> RequestRun<D>::reaches(core::Ref<Target> target)
{
    if (m_progress.route().kind != config::RouteKind::Stream) {
        co_return true;
    }
    net::ClientConnection connection(m_context.loop);
    const auto problem = co_await connection.connect(target->entry.address, detail::ConnectTimeout);
    if (connection.refused()) {
        m_progress.targetEnded(target, core::now());
    }
    if (problem.empty() && m_progress.atEngine()) {
        connection.startSend(m_dialect.lifeCheck(target->entry.id));
        const auto head = co_await connection.readHead(core::now() + detail::ConnectTimeout);
        if (head) {
            takeTargetNotice(m_context, *target, m_dialect.readAnswer(*head), m_progress.facts().id, core::now());
        }
    }
    co_return problem.empty();
}

template<Dialect D>
net::Task<> RequestRun<D>::checkForEnd(core::Ref<Target> target)
{
    net::ClientConnection connection(m_context.loop);
    const auto problem = co_await connection.connect(target->entry.address, detail::EndCheckTimeout);
    if (!problem.empty() && connection.refused()) {
        m_progress.targetEnded(target, core::now());
    }
}

} // namespace spurlug::relay
