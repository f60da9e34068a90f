//----------------------------------------------------------------------------------------------------------------------
// spurlug: one attempt to send a request to a target
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/control/messages.h"
#include "spurlug/core/byte_budget.h"
#include "spurlug/core/counted.h"
#include "spurlug/net/client_connection.h"
#include "spurlug/net/mailbox.h"
#include "spurlug/relay/target_connector.h"
#include "spurlug/relay/target_set.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

namespace spurlug::relay
{

/// \brief The head of an answer arrived.
struct HeadArrived
{
    int attempt = 0; ///< Number of the attempt, as in all events of an attempt.
    net::ResponseHead head;
};

/// \brief Bytes of an answer's body arrived.
struct BytesArrived
{
    int attempt = 0;
    std::string bytes;
};

/// \brief The stage at which an attempt ended.
enum class AttemptStage
{
    NotConnected, ///< No connection: the target has received nothing of the request.
    Cancelled, ///< Nothing was written: the target became unavailable to this daemon while the attempt connected.
    Sent, ///< The attempt failed after sending had started.
    Answered, ///< The complete answer arrived.
};

/// \brief An attempt ended.
struct AttemptEnded
{
    int attempt = 0;
    AttemptStage stage = AttemptStage::Sent;
    std::string detail; ///< Description of the failure, for logs.
    /// NotConnected: whether the target is at fault, not the link.
    bool targetAtFault = false;
    /// Sent: whether the peer failed through which the target was reached, so that nothing is known about the target.
    bool peerLost = false;
};

/// \brief The attempt is connected to its target through a peer.
struct TunnelOpened
{
    int attempt = 0;
    std::string peer; ///< Name of its VM.
};

/// \brief The caller closed its connection.
struct CallerDisconnected
{ };

/// \brief The daemon's shutdown began, or the time has come to end the request.
struct ShutdownAdvanced
{ };

/// \brief The scheduler answered a placement request.
struct PlacementArrived
{
    control::PlacementReply answer;
};

/// \brief The incarnation of the target, or of an engine that helps it, ended.
struct IncarnationEnded
{
    int attempt = 0;
    core::Ref<Target> target;
};

/// \brief An event of a request.
using RequestEvent = std::variant<HeadArrived, BytesArrived, AttemptEnded, TunnelOpened, CallerDisconnected,
                                  ShutdownAdvanced, PlacementArrived, IncarnationEnded>;

/// \brief The event queue of one request; outlives the request while an attempt still runs.
struct RequestInbox : core::RefCounted<RequestInbox>
{
    explicit RequestInbox(net::Loop &loop)
        : events(loop)
    { }

    net::Mailbox<RequestEvent> events;
};

/// \brief Sends a request to a target and posts the resulting events. Each attempt uses a new connection: if a reused
/// connection fails, it is unknown whether the target received the request.
class Attempt : public core::RefCounted<Attempt>
{
public:
    /// \param budget Limit for the bytes of all answers that wait to be handled.
    /// \param number Number of the attempt within the request, from 1; events contain it.
    Attempt(net::Loop &loop, TargetConnector &connector, core::Ref<RequestInbox> inbox, core::ByteBudget &budget,
            int number);

    /// \brief Whether the request may still be written.
    using MayWrite = std::function<bool()>;

    /// \brief Starts the attempt, which keeps itself alive until it ends.
    /// \param message The request without its body.
    /// \param mayWrite Called once the connection is established.
    void start(core::Ref<Target> target, net::Request message, net::SharedBody body, core::Duration connectTimeout,
               core::Time deadline, MayWrite mayWrite);

    /// \brief Aborts the attempt: closes its connection, so that the target stops processing the request.
    void abort();

    /// \brief Notes that bytes of a BytesArrived were handled, so that the next ones may be read.
    void noteHandled(std::size_t bytes);

    /// \brief VM of the peer through which the target is reached; empty: over this daemon's own link.
    [[nodiscard]] const std::string &peer() const noexcept
    {
        return m_connected.peer;
    }

    /// \brief Whether any of the request may have been written.
    [[nodiscard]] bool mayHaveSent() const noexcept
    {
        return m_sending;
    }

private:
    [[nodiscard]] net::Task<> run(core::Ref<Target> target, net::Request message, net::SharedBody body,
                                  core::Duration connectTimeout, core::Time deadline, MayWrite mayWrite);
    /// Waits until the request has handled enough of the bytes that were posted.
    [[nodiscard]] net::Task<> awaitRoom();
    void postBytes(std::string bytes);
    /// Posts AttemptEnded unless the attempt was aborted.
    void postEnd(AttemptStage stage, std::string detail);
    /// Posts AttemptEnded for a connection that failed after the request was sent.
    void postBreak();

    net::Loop &m_loop;
    TargetConnector &m_connector;
    core::Ref<RequestInbox> m_inbox;
    const int m_number;
    std::int64_t m_queuedBytes = 0; ///< Memory of the events that wait to be handled.
    core::ByteReservation m_queueMemory; ///< The same, and the next piece.
    net::Timer m_roomTimer; ///< Cancelled when bytes were handled.
    TargetConnection m_connected; ///< Without a connection until it is established.
    bool m_sending = false; ///< Whether writing the request has started.
    bool m_aborted = false;
};

} // namespace spurlug::relay
