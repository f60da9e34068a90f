//----------------------------------------------------------------------------------------------------------------------
// spurlug: transfers the bytes of one relayed request: answers of targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/relay/request_run.h" // Lets tools parse this file on its own.

namespace spurlug::relay
{

template<Dialect D>
net::Task<typename RequestRun<D>::Next> RequestRun<D>::take(RequestEvent event, const ChosenTargets &, bool &ended)
{
    if (std::holds_alternative<CallerGone>(event)) {
        m_callerGone = true;
        m_attempt->abort();
        m_progress.endAttempt(core::Outcome::MayHaveRun, core::Reason::CallerGone, std::nullopt,
                              "the caller closed its connection", core::now());
        ended = true;
        co_return Next::Done;
    }
    const auto current = m_progress.attempts();
    if (auto *head = std::get_if<HeadArrived>(&event); head != nullptr && head->attempt == current) {
        co_return co_await takeHead(std::move(head->head), ended);
    }
    if (auto *bytes = std::get_if<BytesArrived>(&event); bytes != nullptr && bytes->attempt == current) {
        co_return co_await takeBytes(bytes->bytes, ended);
    }
    if (auto *end = std::get_if<AttemptEnded>(&event); end != nullptr && end->attempt == current) {
        ended = true;
        co_return co_await takeEnd(*end);
    }
    if (const auto *over = std::get_if<LifeOver>(&event); over != nullptr && over->attempt == current) {
        co_return leaveLife(*over->target, ended);
    }
    co_return Next::Done; // The event belongs to an earlier, aborted attempt.
}

template<Dialect D>
net::Task<typename RequestRun<D>::Next> RequestRun<D>::takeHead(net::ResponseHead head, bool &ended)
{
    const auto answer = m_dialect.readAnswer(head);
    const auto verdict = judgeAnswer(answer, m_progress.facts().id);
    const auto now = core::now();
    const bool blamesHelper = answer.faultAt && *answer.faultAt != m_progress.target()->entry.address;
    const bool misdirected = answer.requestId == m_progress.facts().id && answer.wrongTarget && !blamesHelper;
    if (misdirected || isOwnAnswer(answer, m_progress.facts().id)) {
        takeTargetNotice(m_context, *m_progress.target(), answer, m_progress.facts().id, now);
        noteUnlimited(*m_progress.target(), answer, m_progress.sentAt(), now);
    }
    if (answer.faultAt) {
        if (const auto helper = m_progress.helperAt(*answer.faultAt)) {
            m_progress.helpRefused(helper, now);
        }
    }
    const auto detail = core::cat("status ", answer.status);
    if (verdict.outcome != core::Outcome::Completed) {
        m_attempt->abort();
        ended = true;
        co_return afterFailure(verdict.outcome, verdict.reason, verdict.fault, detail);
    }
    if (verdict.fault && mayRepeat()) {
        // The target itself failed, so another one may succeed. If none can be tried, this answer is passed on.
        if (m_progress.takeResend(true, core::Reason::TargetFailed, now)) {
            m_attempt->abort();
            ended = true;
            m_failure = core::Reason::TargetFailed;
            m_progress.endAttempt(core::Outcome::MayHaveRun, m_failure, verdict.fault, detail, now);
            co_return Next::SendAgain;
        }
    }
    m_isStream = answer.isEventStream && !verdict.fault;
    m_head = std::move(head);
    if (m_headPassed && !m_isStream) {
        m_attempt->abort(); // The caller already has the head of a stream, so no other answer can follow.
        ended = true;
        co_return afterFailure(core::Outcome::MayHaveRun, core::Reason::TargetFailed, TargetFault::Garbled, detail);
    }
    co_return Next::Done;
}

template<Dialect D>
net::Task<typename RequestRun<D>::Next> RequestRun<D>::takeBytes(const std::string &bytes, bool &ended)
{
    if (!m_isStream) {
        m_body += bytes;
        co_return Next::Done;
    }
    m_events.feed(bytes);
    for (auto event = m_events.next(); event; event = m_events.next()) {
        const bool inOrder = !event->id || !m_lastEvent || *event->id == *m_lastEvent + 1;
        if (!inOrder) {
            m_attempt->abort();
            ended = true;
            co_return afterFailure(core::Outcome::MayHaveRun, core::Reason::StreamCut, TargetFault::Garbled,
                                   core::cat("stream event ID ", *event->id, " does not follow ", *m_lastEvent));
        }
        m_progress.answered(core::now());
        const bool passed = co_await passEvent(std::move(*event));
        if (!passed) {
            m_callerGone = true;
            m_attempt->abort();
            m_progress.endAttempt(core::Outcome::MayHaveRun, core::Reason::CallerGone, std::nullopt,
                                  "writing the answer to the caller failed", core::now());
            ended = true;
            co_return Next::Done;
        }
    }
    co_return Next::Done;
}

template<Dialect D>
net::Task<bool> RequestRun<D>::passHead()
{
    m_headPassed = true;
    auto head = m_dialect.answerHead(m_head);
    const bool written = co_await m_caller->writeHead(std::move(head), keepsAlive(), m_progress.deadline());
    co_return written;
}

template<Dialect D>
net::Task<bool> RequestRun<D>::passEvent(StreamEvent event)
{
    if (!m_headPassed) {
        const bool headWritten = co_await passHead();
        if (!headWritten) {
            co_return false;
        }
    }
    if (event.id) {
        m_lastEvent = event.id;
    }
    m_context.metrics.count(metrics::Counter::TokensRelayed);
    co_return co_await m_caller->writeChunk(std::move(event.bytes), m_progress.deadline());
}

template<Dialect D>
net::Task<typename RequestRun<D>::Next> RequestRun<D>::takeEnd(const AttemptEnded &end)
{
    if (end.stage == AttemptStage::NotSent) {
        co_return afterFailure(core::Outcome::NotRun, core::Reason::ConnectFailed, TargetFault::Unreachable,
                               end.detail);
    }
    if (end.stage == AttemptStage::Withheld) {
        const auto now = core::now();
        m_failure = unwantedNow(*m_progress.target(), now).value_or(core::Reason::TargetLeaving);
        m_progress.withhold(m_failure, now);
        co_return Next::SendAgain; // Nothing was sent, so this does not count as a retry.
    }
    if (end.stage == AttemptStage::Sent) {
        co_await checkForEnd(m_progress.target());
        const auto reason = m_headPassed ? core::Reason::StreamCut : core::Reason::TargetFailed;
        co_return afterFailure(core::Outcome::MayHaveRun, reason, TargetFault::Broken, end.detail);
    }
    if (!m_isStream) {
        co_return co_await passWhole();
    }
    if (m_events.inTheMiddle()) {
        co_await checkForEnd(m_progress.target());
        co_return afterFailure(core::Outcome::MayHaveRun, core::Reason::StreamCut, TargetFault::Broken,
                               "the stream ended inside an event");
    }
    const auto now = core::now();
    m_progress.answered(now);
    m_progress.endAttempt(core::Outcome::Completed, core::Reason::None, std::nullopt, "", now);
    bool written = true;
    if (!m_headPassed) {
        written = co_await passHead();
    }
    if (written) {
        written = co_await m_caller->writeEnd(m_progress.deadline());
    }
    m_callerGone = !written;
    m_progress.finish(core::Outcome::Completed, core::Reason::None, m_head.status, core::now());
    co_return Next::Done;
}

template<Dialect D>
net::Task<typename RequestRun<D>::Next> RequestRun<D>::passWhole()
{
    const auto now = core::now();
    const bool failed = m_head.status >= core::http_status::FirstServerError;
    m_progress.answered(now);
    m_progress.endAttempt(core::Outcome::Completed, failed ? core::Reason::TargetFailed : core::Reason::None,
                          failed ? std::optional(TargetFault::Error) : std::nullopt, "", now);
    net::Response response{m_dialect.answerHead(m_head), std::move(m_body)};
    const bool written = co_await m_caller->write(std::move(response), keepsAlive(), m_progress.deadline());
    m_callerGone = !written;
    m_progress.finish(core::Outcome::Completed, failed ? core::Reason::TargetFailed : core::Reason::None, m_head.status,
                      core::now());
    co_return Next::Done;
}

} // namespace spurlug::relay
