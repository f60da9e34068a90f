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
/// A host whose process ended refuses a connection within one round trip, 1 to 3 ms; the request waits for that. During
/// a network partition no connection is refused, so the target does not count as ended.
inline constexpr auto CrashCheckTimeout = absl::Milliseconds(50);

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
        if (std::holds_alternative<HeadArrived>(*event) || std::holds_alternative<BytesArrived>(*event)) {
            m_progress.recordActivity(now);
            silence.lastActivityAt = now;
            silence.failedChecks = 0;
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
    if (m_progress.targetIsAlive(core::now())) {
        co_return std::nullopt; // The target is slow, not dead: repeating the work elsewhere would slow everything
                                // down.
    }
    const bool reachable = co_await checkReachable(chosen.target);
    const auto now = core::now();
    if (m_inbox->events.size() > 0) {
        co_return std::nullopt; // An event arrived in the meantime: the target answered, or its incarnation ended.
    }
    silence.failedChecks = reachable ? 0 : silence.failedChecks + 1;
    if (reachable && now - silence.lastActivityAt < m_progress.silenceTimeout(chosen, silence.bodyStarted)) {
        m_progress.recordActivity(now);
        co_return std::nullopt;
    }
    if (!isRepeatable() || !m_progress.allowRetry(true, core::Reason::TargetUnresponsive, now)) {
        co_return abortOrWait(silence, now);
    }
    m_attempt->abort();
    m_failureReason = core::Reason::TargetUnresponsive;
    // With helpers it is unknown which engine is at fault, unless the target accepts no connections.
    auto fault = chosen.helpers.empty() ? std::optional(TargetFault::Timeout) : std::nullopt;
    if (!reachable) {
        fault = TargetFault::Unreachable;
    }
    m_incarnationWatches.clear();
    m_progress.endAttempt(core::Outcome::MayHaveRun, m_failureReason, fault,
                          reachable ? "silence" : "the target sent nothing and accepts no connections", now);
    co_return NextStep::SendAgain;
}

template<ProtocolCodec D>
std::optional<typename RequestHandler<D>::NextStep> RequestHandler<D>::abortOrWait(SilenceState &silence,
                                                                                   core::Time now)
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
    m_failureReason = core::Reason::TargetUnresponsive;
    m_progress.endAttempt(core::Outcome::MayHaveRun, m_failureReason, TargetFault::Unreachable,
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
net::Task<bool> RequestHandler<D>::checkReachable(core::Ref<Target> target)
{
    if (m_progress.route().kind != config::RouteKind::Stream) {
        co_return true;
    }
    const auto checked = co_await m_context.connector->connect(target, detail::ConnectTimeout);
    if (checked.refused) {
        m_progress.recordTargetCrash(target, core::now());
    }
    if (checked.connection && m_progress.usesEngine()) {
        checked.connection->startSend(m_codec.lifeCheck(target->entry.id));
        const auto head = co_await checked.connection->readHead(core::now() + detail::ConnectTimeout);
        if (head) {
            applyTargetNotice(m_context, *target, m_codec.readAnswer(*head), m_progress.facts().id, core::now());
        }
    }
    co_return checked.connection != nullptr;
}

template<ProtocolCodec D>
net::Task<> RequestHandler<D>::checkForCrash(core::Ref<Target> target)
{
    const auto checked = co_await m_context.connector->connect(target, detail::CrashCheckTimeout);
    if (checked.refused) {
        m_progress.recordTargetCrash(target, core::now());
    }
}

} // namespace spurlug::relay
