//----------------------------------------------------------------------------------------------------------------------
// spurlug: transfers the bytes of one relayed request: answers of targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/relay/request_handler.h" // Lets tools parse this file on its own.

namespace spurlug::relay
{

namespace detail
{

/// Size up to which a non-stream answer is collected before it is passed on, and limit of a stream event. If the target
/// of a smaller answer fails, the caller gets a complete answer: that of another target, or an error.
inline constexpr std::size_t MaxCollectedBytes = 256 << 10;

} // namespace detail

template<ProtocolCodec D>
net::Task<typename RequestHandler<D>::NextStep> RequestHandler<D>::handleEvent(RequestEvent event,
                                                                               const ChosenTargets &chosen, bool &ended)
{
    if (std::holds_alternative<CallerDisconnected>(event)) {
        m_callerGone = true;
        m_attempt->abort();
        m_progress.endAttempt(core::Outcome::MayHaveRun, core::Reason::CallerDisconnected, std::nullopt,
                              "the caller closed its connection", core::now());
        ended = true;
        co_return NextStep::Done;
    }
    const auto current = m_progress.attempts();
    if (auto *head = std::get_if<HeadArrived>(&event); head != nullptr && head->attempt == current) {
        co_return co_await handleHead(std::move(head->head), ended);
    }
    if (auto *bytes = std::get_if<BytesArrived>(&event); bytes != nullptr && bytes->attempt == current) {
        const auto next = co_await handleBytes(bytes->bytes, ended);
        m_attempt->noteHandled(bytes->bytes.size());
        co_return next;
    }
    if (const auto *opened = std::get_if<TunnelOpened>(&event); opened != nullptr && opened->attempt == current) {
        m_progress.recordTunnel(opened->peer);
        co_return NextStep::Done;
    }
    if (auto *end = std::get_if<AttemptEnded>(&event); end != nullptr && end->attempt == current) {
        ended = true;
        co_return co_await handleEnd(*end, chosen);
    }
    if (const auto *incarnationEnd = std::get_if<IncarnationEnded>(&event);
        incarnationEnd != nullptr && incarnationEnd->attempt == current) {
        co_return handleIncarnationEnd(*incarnationEnd->target, ended);
    }
    co_return NextStep::Done; // The event belongs to an earlier, aborted attempt.
}

template<ProtocolCodec D>
net::Task<typename RequestHandler<D>::NextStep> RequestHandler<D>::handleHead(net::ResponseHead head, bool &ended)
{
    const auto answer = m_codec.readAnswer(head);
    const auto result = evaluateAnswer(answer, m_progress.facts().id);
    const auto now = core::now();
    const bool blamesHelper = answer.failedHelper && *answer.failedHelper != m_progress.target()->entry.address;
    const bool isMisdirected = answer.requestId == m_progress.facts().id && answer.wrongTarget && !blamesHelper;
    if (isMisdirected || isOwnAnswer(answer, m_progress.facts().id)) {
        applyTargetNotice(m_context, *m_progress.target(), answer, m_progress.facts().id, now);
        noteLimitLifted(*m_progress.target(), answer, m_progress.sentAt(), now);
    }
    if (answer.failedHelper) {
        if (const auto helper = m_progress.helperAt(*answer.failedHelper)) {
            m_progress.recordHelpFailure(helper, now);
        }
    }
    const auto detail = core::cat("status ", answer.status);
    if (result.outcome != core::Outcome::Completed) {
        m_attempt->abort();
        ended = true;
        co_return handleFailure(result.outcome, result.reason, result.fault, detail);
    }
    if (result.fault && isRepeatable()) {
        // The target itself failed, so another one may succeed. If none can be tried, this answer is passed on.
        if (m_progress.allowRetry(true, core::Reason::TargetFailed, now)) {
            m_attempt->abort();
            ended = true;
            m_failureReason = core::Reason::TargetFailed;
            m_progress.endAttempt(core::Outcome::MayHaveRun, m_failureReason, result.fault, detail, now);
            co_return NextStep::SendAgain;
        }
    }
    m_isStream = answer.isEventStream && !result.fault;
    m_head = std::move(head);
    if (m_headForwarded && !m_isStream) {
        m_attempt->abort(); // The caller already has the head of a stream, so no other answer can follow.
        ended = true;
        co_return handleFailure(core::Outcome::MayHaveRun, core::Reason::TargetFailed, TargetFault::MalformedResponse,
                                detail);
    }
    co_return NextStep::Done;
}

template<ProtocolCodec D>
net::Task<typename RequestHandler<D>::NextStep> RequestHandler<D>::handleBytes(const std::string &bytes, bool &ended)
{
    if (!m_isStream) {
        const bool mayReceive = co_await handlePart(bytes);
        if (!mayReceive) {
            abortForLostCaller();
            ended = true;
        }
        co_return NextStep::Done;
    }
    m_events.append(bytes);
    for (auto event = m_events.next(); event; event = m_events.next()) {
        const bool inOrder = !event->id || !m_lastEventId || *event->id == *m_lastEventId + 1;
        if (!inOrder) {
            m_attempt->abort();
            ended = true;
            co_return handleFailure(core::Outcome::MayHaveRun, core::Reason::StreamInterrupted,
                                    TargetFault::MalformedResponse,
                                    core::cat("stream event ID ", *event->id, " does not follow ", *m_lastEventId));
        }
        m_progress.recordAnswer(core::now());
        const bool forwarded = co_await forwardEvent(std::move(*event));
        if (!forwarded) {
            abortForLostCaller();
            ended = true;
            co_return NextStep::Done;
        }
    }
    co_return limitPartialEvent(ended);
}

template<ProtocolCodec D>
typename RequestHandler<D>::NextStep RequestHandler<D>::limitPartialEvent(bool &ended)
{
    const auto bytes = m_events.bufferedBytes();
    const bool tooLarge = bytes > detail::MaxCollectedBytes;
    const bool hasMemory = m_answerMemory.resize(static_cast<std::int64_t>(bytes)) || bytes <= net::MaxBodyPieceBytes;
    if (!tooLarge && hasMemory) {
        return NextStep::Done;
    }
    m_attempt->abort();
    ended = true;
    if (tooLarge) {
        return handleFailure(core::Outcome::MayHaveRun, core::Reason::StreamInterrupted, TargetFault::MalformedResponse,
                             core::cat("a stream event exceeds ", detail::MaxCollectedBytes, " bytes"));
    }
    return handleFailure(core::Outcome::MayHaveRun, core::Reason::BodyMemoryFull, std::nullopt,
                         core::cat("no memory for a stream event of more than ", bytes, " bytes"));
}

template<ProtocolCodec D>
net::Task<bool> RequestHandler<D>::handlePart(const std::string &bytes)
{
    m_body += bytes;
    const bool collects = !m_forwardsBody && m_body.size() <= detail::MaxCollectedBytes
        && (m_answerMemory.resize(static_cast<std::int64_t>(m_body.capacity()))
            || m_body.size() <= net::MaxBodyPieceBytes);
    if (collects) {
        co_return true;
    }
    if (!m_forwardsBody) {
        m_forwardsBody = true;
        const bool headWritten = co_await forwardHead(m_head.length);
        if (!headWritten) {
            co_return false;
        }
    }
    m_progress.setStage(RequestStage::Answering);
    const bool written = co_await m_caller->writePart(std::exchange(m_body, {}), m_progress.deadline());
    m_answerMemory = core::ByteReservation(m_context.memory.answers);
    m_progress.setStage(RequestStage::AtTarget);
    co_return written;
}

template<ProtocolCodec D>
void RequestHandler<D>::abortForLostCaller()
{
    m_callerGone = true;
    m_attempt->abort();
    m_progress.endAttempt(core::Outcome::MayHaveRun, core::Reason::CallerDisconnected, std::nullopt,
                          "writing the answer to the caller failed", core::now());
}

template<ProtocolCodec D>
net::Task<bool> RequestHandler<D>::forwardHead(std::optional<std::uint64_t> length)
{
    m_headForwarded = true;
    m_progress.setStage(RequestStage::Answering);
    auto head = m_codec.answerHead(m_head);
    const bool written
        = co_await m_caller->writeHead(std::move(head), announceKeepAlive(), m_progress.deadline(), length);
    co_return written;
}

template<ProtocolCodec D>
net::Task<bool> RequestHandler<D>::forwardEvent(StreamEvent event)
{
    if (!m_headForwarded) {
        const bool headWritten = co_await forwardHead(std::nullopt);
        if (!headWritten) {
            co_return false;
        }
    }
    if (event.id) {
        m_lastEventId = event.id;
    }
    m_context.metrics.count(metrics::Counter::TokensRelayed);
    m_progress.setStage(RequestStage::Answering);
    const bool written = co_await m_caller->writePart(std::move(event.bytes), m_progress.deadline());
    m_progress.setStage(RequestStage::AtTarget);
    co_return written;
}

template<ProtocolCodec D>
net::Task<typename RequestHandler<D>::NextStep> RequestHandler<D>::handleEnd(const AttemptEnded &end,
                                                                             const ChosenTargets &chosen)
{
    if (end.stage == AttemptStage::NotConnected) {
        co_return handleFailure(core::Outcome::NotRun, core::Reason::ConnectFailed,
                                end.targetAtFault ? std::optional(TargetFault::Unreachable) : std::nullopt, end.detail);
    }
    if (end.stage == AttemptStage::Cancelled) {
        const auto now = core::now();
        m_failureReason = reasonToAvoid(*m_progress.target(), now).value_or(core::Reason::TargetLeaving);
        if (m_progress.isWithheld()) {
            m_failureReason = core::Reason::CrashesTargets;
        }
        const bool stops = missesExit(&chosen, now);
        m_progress.cancelAttempt(m_failureReason, now);
        // Nothing was sent, so another attempt does not count as a retry.
        co_return stops ? NextStep::Fail : NextStep::SendAgain;
    }
    if (end.stage == AttemptStage::Sent) {
        if (end.peerLost) {
            m_context.connector->notePeerLost(m_attempt->peer(), core::now());
            co_return handleFailure(core::Outcome::MayHaveRun, core::Reason::PathLost, std::nullopt, end.detail);
        }
        const auto check = co_await checkAfterEnd(m_progress.target());
        if (check == EndCheck::PathLost) {
            co_return handleFailure(core::Outcome::MayHaveRun, core::Reason::PathLost, std::nullopt, end.detail);
        }
        const bool isStreamCut = m_headForwarded && !m_forwardsBody;
        const auto reason = isStreamCut ? core::Reason::StreamInterrupted : core::Reason::TargetFailed;
        co_return handleFailure(core::Outcome::MayHaveRun, reason, TargetFault::ConnectionLost, end.detail);
    }
    if (m_isStream && m_events.hasPartialEvent()) {
        // The stream is complete by its framing, so that its target ended it.
        const auto check = co_await checkAfterEnd(m_progress.target());
        static_cast<void>(check); // Only records a crash.
        co_return handleFailure(core::Outcome::MayHaveRun, core::Reason::StreamInterrupted, TargetFault::ConnectionLost,
                                "the stream ended inside an event");
    }
    const bool mayLackEnd = co_await endedWithTarget();
    if (mayLackEnd) {
        const auto reason = m_isStream ? core::Reason::StreamInterrupted : core::Reason::TargetFailed;
        co_return handleFailure(core::Outcome::MayHaveRun, reason, TargetFault::ConnectionLost,
                                "the target ended, and with it an answer without framing");
    }
    if (!m_isStream) {
        co_return co_await forwardAnswer();
    }
    const auto now = core::now();
    m_progress.recordAnswer(now);
    m_progress.recordPartsSound(now);
    m_progress.endAttempt(core::Outcome::Completed, core::Reason::None, std::nullopt, "", now);
    bool written = true;
    if (!m_headForwarded) {
        written = co_await forwardHead(std::nullopt);
    }
    if (written) {
        m_progress.setStage(RequestStage::Answering);
        written = co_await m_caller->writeEnd(m_progress.deadline());
    }
    m_callerGone = !written;
    m_progress.finish(core::Outcome::Completed, core::Reason::None, m_head.status, core::now());
    co_return NextStep::Done;
}

template<ProtocolCodec D>
net::Task<typename RequestHandler<D>::NextStep> RequestHandler<D>::forwardAnswer()
{
    const auto now = core::now();
    const bool failed = m_head.status >= core::http_status::FirstServerError;
    m_progress.recordAnswer(now);
    m_progress.endAttempt(core::Outcome::Completed, failed ? core::Reason::TargetFailed : core::Reason::None,
                          failed ? std::optional(TargetFault::ErrorResponse) : std::nullopt, "", now);
    m_progress.setStage(RequestStage::Answering);
    bool written = false;
    if (m_forwardsBody) {
        written = co_await m_caller->writeEnd(m_progress.deadline());
    } else {
        net::Response response{m_codec.answerHead(m_head), std::move(m_body)};
        written = co_await m_caller->write(std::move(response), announceKeepAlive(), m_progress.deadline());
    }
    m_callerGone = !written;
    m_progress.finish(core::Outcome::Completed, failed ? core::Reason::TargetFailed : core::Reason::None, m_head.status,
                      core::now());
    co_return NextStep::Done;
}

} // namespace spurlug::relay
