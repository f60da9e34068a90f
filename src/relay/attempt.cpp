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

/// Reading from the target pauses while more bytes wait for a slow caller.
constexpr std::int64_t MaxQueuedBytes = 64 << 10;

/// Memory of a BytesArrived in the queue.
std::int64_t queuedSize(std::size_t bytes) noexcept
{
    return static_cast<std::int64_t>(bytes + sizeof(RequestEvent));
}

} // namespace

Attempt::Attempt(net::Loop &loop, TargetConnector &connector, core::Ref<RequestInbox> inbox, core::ByteBudget &budget,
                 int number)
    : m_loop(loop)
    , m_connector(connector)
    , m_inbox(std::move(inbox))
    , m_number(number)
    , m_queueMemory(budget)
    , m_roomTimer(loop)
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
    m_roomTimer.cancel();
    if (m_connected.connection) {
        m_connected.connection->abort();
    }
}

void Attempt::noteHandled(std::size_t bytes)
{
    m_queuedBytes -= queuedSize(bytes);
    m_roomTimer.cancel();
}

net::Task<> Attempt::awaitRoom()
{
    const auto hasRoom = [this] {
        // Without a place in the budget, one piece at a time is read.
        return m_queueMemory.resize(m_queuedBytes + queuedSize(net::MaxBodyPieceBytes)) || m_queuedBytes == 0;
    };
    while (!m_aborted && (m_queuedBytes > MaxQueuedBytes || !hasRoom())) {
        m_roomTimer.expires_after(net::toTimerDuration(absl::InfiniteDuration()));
        co_await m_roomTimer.async_wait(net::Awaited);
    }
}

void Attempt::postBytes(std::string bytes)
{
    m_queuedBytes += queuedSize(bytes.size());
    m_inbox->events.post(BytesArrived{m_number, std::move(bytes)});
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
        co_await awaitRoom();
        if (m_aborted) {
            co_return;
        }
        auto piece = co_await m_connected.connection->readBody(deadline);
        if (!piece.bytes.empty()) {
            postBytes(std::move(piece.bytes));
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
