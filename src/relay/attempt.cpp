//----------------------------------------------------------------------------------------------------------------------
// spurlug: one attempt to send a request to a target
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/attempt.h"

#include "spurlug/net/spawn.h"

namespace spurlug::relay
{

namespace
{

/// Maximum number of queued events for a slow caller before reading from the target pauses.
constexpr std::size_t MaxQueuedEvents = 64;
constexpr auto QueueCheckInterval = absl::Milliseconds(5); ///< Interval between checks of the queue during that pause.

} // namespace

Attempt::Attempt(net::Loop &loop, TargetConnector &connector, core::Ref<RequestInbox> inbox, int number)
    : m_loop(loop)
    , m_connector(connector)
    , m_inbox(std::move(inbox))
    , m_number(number)
{ }

void Attempt::start(core::Ref<Target> target, net::Request message, net::SharedBody body, core::Duration connectTimeout,
                    core::Time deadline, MayWrite mayWrite)
{
    net::spawn(m_loop, "attempt",
               [](core::Ref<Attempt> self, core::Ref<Target> to, net::Request sent, net::SharedBody sentBody,
                  core::Duration timeout, core::Time until, MayWrite may) -> net::Task<> {
                   co_await self->run(std::move(to), std::move(sent), std::move(sentBody), timeout, until,
                                      std::move(may));
               }(core::Ref<Attempt>(this), std::move(target), std::move(message), std::move(body), connectTimeout,
                                                                          deadline, std::move(mayWrite)));
}

void Attempt::abort()
{
    m_aborted = true;
    if (m_connected.connection) {
        m_connected.connection->abort();
    }
}

void Attempt::postEnd(AttemptStage stage, std::string detail)
{
    if (!m_aborted) {
        m_inbox->events.post(AttemptEnded{m_number, stage, std::move(detail)});
    }
}

void Attempt::postBreak()
{
    if (!m_aborted) {
        const auto &connection = *m_connected.connection;
        m_inbox->events.post(
            AttemptEnded{m_number, AttemptStage::Sent, connection.lastError(), false, connection.tunnelLost()});
    }
}

net::Task<> Attempt::run(core::Ref<Target> target, net::Request message, net::SharedBody body,
                         core::Duration connectTimeout, core::Time deadline, MayWrite mayWrite)
{
    if (m_aborted) {
        co_return;
    }
    auto connected = co_await m_connector.connect(std::move(target), connectTimeout, deadline);
    if (m_aborted) {
        co_return;
    }
    if (!connected.connection) {
        m_inbox->events.post(
            AttemptEnded{m_number, AttemptStage::NotConnected, connected.error, connected.targetAtFault});
        co_return;
    }
    m_connected = std::move(connected);
    if (!m_connected.peer.empty()) {
        m_inbox->events.post(TunnelOpened{m_number, m_connected.peer});
    }
    if (!mayWrite()) {
        m_connected.connection->abort();
        postEnd(AttemptStage::Cancelled, {});
        co_return;
    }
    m_sending = true;
    m_connected.connection->startSend(message, std::move(body));
    auto head = co_await m_connected.connection->readHead(deadline);
    if (!head) {
        postBreak();
        co_return;
    }
    m_inbox->events.post(HeadArrived{m_number, std::move(*head)});
    for (;;) {
        while (m_inbox->events.size() > MaxQueuedEvents && !m_aborted) {
            co_await net::sleepFor(QueueCheckInterval);
        }
        if (m_aborted) {
            co_return;
        }
        auto piece = co_await m_connected.connection->readBody(deadline);
        if (!piece.bytes.empty()) {
            m_inbox->events.post(BytesArrived{m_number, std::move(piece.bytes)});
        }
        if (piece.state == net::BodyPiece::State::Complete) {
            postEnd(AttemptStage::Answered, {});
            co_return;
        }
        if (piece.state == net::BodyPiece::State::Failed) {
            postBreak();
            co_return;
        }
    }
}

} // namespace spurlug::relay
