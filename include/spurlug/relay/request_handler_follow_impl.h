//----------------------------------------------------------------------------------------------------------------------
// spurlug: transfers the bytes of one relayed request: an attempt until it is answered or aborted
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/relay/request_handler.h" // Lets tools parse this file on its own.

namespace spurlug::relay
{

namespace detail
{

/// Consecutive failed connections after which a target counts as dead: a single failure may be due to a lost packet.
/// Checks are at least 0.6 s apart.
inline constexpr int DeadAfterFailedChecks = 2;
/// A host whose process ended refuses a connection within one round trip, 1 to 3 ms; the request waits for that. If the
/// own link does not answer, there is time to reach the target through a peer.
inline constexpr auto CrashCheckTimeout = absl::Milliseconds(100);
/// The system closes the sockets of a process that is killed one by one, the one that accepts connections often last.
inline constexpr auto ProcessEndTime = absl::Milliseconds(50);
/// Time after which a connection that only checks a target is not needed any more.
inline constexpr auto CheckLifetime = absl::Seconds(1);

} // namespace detail

template<ProtocolCodec D>
net::Task<typename RequestHandler<D>::NextStep> RequestHandler<D>::awaitAnswer(const ChosenTargets &chosen)
{
    SilenceState silence;
    silence.lastActivityAt = core::now();
    for (;;) {
        auto until = m_progress.deadline();
        if (!silence.waitsForDeadline) {
            until = std::min(until, core::now() + m_progress.silenceCheckDelay(chosen, silence.bodyStarted));
        }
        auto event = co_await m_inbox->events.take(until);
        const auto now = core::now();
        if (!event && now >= m_progress.deadline()) {
            m_attempt->abort();
            m_failureReason = core::Reason::DeadlinePassed;
            m_progress.endAttempt(core::Outcome::MayHaveRun, m_failureReason, std::nullopt,
                                  "the target did not finish its answer by the deadline", now);
            co_return NextStep::Fail;
        }
        if (!event) {
            const auto next = co_await abortIfDead(chosen, silence);
            if (next) {
                co_return *next;
            }
            continue;
        }
        // A stream that has begun goes on until the exit; nothing is left to answer.
        if (std::holds_alternative<ShutdownAdvanced>(*event) && now >= m_context.shutdown.answerBy()
            && !m_headForwarded) {
            abortForExit(now);
            co_return NextStep::Fail;
        }
        if (std::holds_alternative<HeadArrived>(*event) || std::holds_alternative<BytesArrived>(*event)) {
            m_progress.recordActivity(now);
            silence.lastActivityAt = now;
            silence.failedChecks = 0;
            if (m_attempt->peer().empty()) {
                m_context.connector->links().noteBytes(chosen.target->entry, now);
            }
        }
        bool ended = false;
        const bool isBytes = std::holds_alternative<BytesArrived>(*event);
        const auto next = co_await handleEvent(std::move(*event), chosen, ended);
        if (ended) {
            co_return next;
        }
        silence.bodyStarted = silence.bodyStarted || isBytes;
    }
}

template<ProtocolCodec D>
net::Task<std::optional<typename RequestHandler<D>::NextStep>>
RequestHandler<D>::abortIfDead(const ChosenTargets &chosen, SilenceState &silence)
{
    if (m_progress.targetIsAlive(core::now()) && !isPathSuspect(core::now())) {
        co_return std::nullopt; // The target is slow, not dead: repeating the work elsewhere would slow everything
                                // down.
    }
    const auto check = co_await checkTarget(chosen.target);
    const auto now = core::now();
    if (m_inbox->events.size() > 0) {
        co_return std::nullopt; // An event arrived in the meantime: the target answered, or its incarnation ended.
    }
    const bool reachable = check == TargetCheck::Reachable;
    silence.failedChecks = reachable ? 0 : silence.failedChecks + 1;
    if (reachable && now - silence.lastActivityAt < m_progress.silenceTimeout(chosen, silence.bodyStarted)) {
        m_progress.recordActivity(now);
        co_return std::nullopt;
    }
    const auto reason = check == TargetCheck::PathLost ? core::Reason::PathLost : core::Reason::TargetUnresponsive;
    if (!isRepeatable() || !m_progress.allowRetry(true, reason, now)) {
        co_return abortOrWait(silence, check, now);
    }
    m_attempt->abort();
    m_failureReason = reason;
    m_incarnationWatches.clear();
    m_progress.endAttempt(core::Outcome::MayHaveRun, m_failureReason, silenceFault(check, !chosen.helpers.empty()),
                          reachable ? "silence" : "the target sent nothing and accepts no connections", now);
    co_return NextStep::SendAgain;
}

template<ProtocolCodec D>
std::optional<TargetFault> RequestHandler<D>::silenceFault(TargetCheck check, bool hasHelpers) noexcept
{
    switch (check) {
    case TargetCheck::Unreachable:
        return TargetFault::Unreachable;
    case TargetCheck::Reachable: // With helpers it is unknown which engine is at fault.
        return hasHelpers ? std::nullopt : std::optional(TargetFault::Timeout);
    case TargetCheck::PathLost:
    case TargetCheck::Unproven:
        break;
    }
    return std::nullopt;
}

template<ProtocolCodec D>
std::optional<typename RequestHandler<D>::NextStep> RequestHandler<D>::abortOrWait(SilenceState &silence,
                                                                                   TargetCheck check, core::Time now)
{
    const bool dead = silence.failedChecks >= detail::DeadAfterFailedChecks;
    if (!dead) {
        silence.waitsForDeadline = silence.failedChecks == 0;
        return std::nullopt;
    }
    if (silence.bodyStarted && m_reservations.empty()) {
        silence.waitsForDeadline
            = true; // Keep the stream open: the part that the caller has is worth more than an early error.
        return std::nullopt;
    }
    m_attempt->abort();
    m_failureReason = check == TargetCheck::PathLost ? core::Reason::PathLost : core::Reason::TargetUnresponsive;
    m_progress.endAttempt(core::Outcome::MayHaveRun, m_failureReason, silenceFault(check, !m_reservations.empty()),
                          "the target sent nothing and accepts no connections; no other target can be tried", now);
    return NextStep::Fail;
}

template<ProtocolCodec D>
typename RequestHandler<D>::NextStep RequestHandler<D>::handleIncarnationEnd(const Target &ended, bool &aborted)
{
    aborted = m_progress.dependsOn(ended);
    if (!aborted) {
        return NextStep::Done;
    }
    m_attempt->abort();
    return handleFailure(core::Outcome::MayHaveRun, core::Reason::IncarnationEnded, std::nullopt,
                         core::cat("the incarnation of ", ended.entry.id, " ended"));
}

template<ProtocolCodec D>
bool RequestHandler<D>::isPathSuspect(core::Time now) const
{
    return !m_attempt->peer().empty() || m_context.connector->links().isDown(m_progress.target()->entry, now);
}

template<ProtocolCodec D>
net::Task<typename RequestHandler<D>::TargetCheck> RequestHandler<D>::checkTarget(core::Ref<Target> target)
{
    auto &connector = *m_context.connector;
    const auto peer = m_attempt->peer();
    if (m_progress.route().kind != config::RouteKind::Stream) {
        const bool linkDown = peer.empty() && connector.links().isDown(target->entry, core::now());
        co_return linkDown ? TargetCheck::PathLost : TargetCheck::Reachable;
    }
    TargetConnection checked;
    if (!peer.empty()) {
        checked = co_await connector.connectThrough(peer, target, detail::ConnectTimeout);
    }
    if (!checked.connection) {
        checked = co_await connector.connect(target, detail::ConnectTimeout, core::now() + detail::CheckLifetime);
    }
    if (checked.refused) {
        m_progress.recordTargetCrash(target, core::now());
    }
    if (!checked.connection) {
        co_return checked.targetAtFault ? TargetCheck::Unreachable : TargetCheck::Unproven;
    }
    if (m_progress.usesEngine()) {
        co_await checkIncarnation(target, checked.connection);
    }
    const bool mayWork = peer.empty() && connector.links().openConnectionsWork(target->entry.service);
    co_return checked.peer == peer || mayWork ? TargetCheck::Reachable : TargetCheck::PathLost;
}

template<ProtocolCodec D>
net::Task<> RequestHandler<D>::checkIncarnation(core::Ref<Target> target, core::Ref<net::ClientConnection> connection)
{
    connection->startSend(m_codec.lifeCheck(target->entry.id));
    const auto head = co_await connection->readHead(core::now() + detail::ConnectTimeout);
    if (head) {
        applyTargetNotice(m_context, *target, m_codec.readAnswer(*head), m_progress.facts().id, core::now());
    }
}

template<ProtocolCodec D>
net::Task<typename RequestHandler<D>::EndCheck> RequestHandler<D>::checkAfterEnd(core::Ref<Target> target)
{
    const auto checked
        = co_await m_context.connector->connect(target, detail::CrashCheckTimeout, core::now() + detail::CheckLifetime);
    if (checked.refused) {
        // A draining target may have ended as planned, which says nothing about the content of the request.
        if (!target->isDraining()) {
            m_progress.recordTargetCrash(target, core::now());
        }
        co_return EndCheck::Ended;
    }
    const bool pathLost = checked.connection && m_attempt->peer().empty() && !checked.peer.empty();
    co_return pathLost ? EndCheck::PathLost : EndCheck::Unknown;
}

template<ProtocolCodec D>
net::Task<bool> RequestHandler<D>::endedWithTarget()
{
    if (m_head.framing != net::BodyFraming::UntilClose) {
        co_return false;
    }
    const auto target = m_progress.target();
    auto check = co_await checkAfterEnd(target);
    if (check == EndCheck::Unknown) {
        co_await net::sleepFor(detail::ProcessEndTime);
        check = co_await checkAfterEnd(target);
    }
    co_return check == EndCheck::Ended;
}

} // namespace spurlug::relay
