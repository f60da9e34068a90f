//----------------------------------------------------------------------------------------------------------------------
// spurlug: one sending of a request to a target
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/control/messages.h"
#include "spurlug/core/counted.h"
#include "spurlug/net/client_connection.h"
#include "spurlug/net/mailbox.h"
#include "spurlug/relay/target_set.h"

#include <functional>
#include <string>
#include <variant>

namespace spurlug::relay
{

/// \brief The head of an answer arrived.
struct HeadArrived
{
    int attempt = 0;
    net::ResponseHead head;
};

/// \brief Bytes of an answer arrived.
struct BytesArrived
{
    int attempt = 0;
    std::string bytes;
};

/// \brief How far an attempt came before it ended.
enum class AttemptStage
{
    NotSent, ///< No connection: the target has seen nothing of the request.
    Withheld, ///< Nothing was written: while it connected it came out that the target must get nothing more.
    Sent, ///< The connection failed after that.
    Answered, ///< The whole answer arrived.
};

/// \brief An attempt ended.
struct AttemptEnded
{
    int attempt = 0;
    AttemptStage stage = AttemptStage::Sent;
    std::string detail; ///< What went wrong, for logs.
};

/// \brief The caller closed its connection.
struct CallerGone
{ };

/// \brief The scheduler answered.
struct PlacementArrived
{
    control::PlacementAnswer answer;
};

/// \brief What happens to a request.
/// \brief The life of a target, or of an engine that helps it, is over.
struct LifeOver
{
    int attempt = 0;
    core::Ref<Target> target;
};

using RequestEvent = std::variant<HeadArrived, BytesArrived, AttemptEnded, CallerGone, PlacementArrived, LifeOver>;

/// \brief The events of one request; outlives it while an attempt still runs.
struct RequestInbox : core::Counted<RequestInbox>
{
    explicit RequestInbox(net::Loop &loop)
        : events(loop)
    { }

    net::Mailbox<RequestEvent> events;
};

/// \brief Sends a request and posts what comes back. Each attempt has a connection of its own: on a kept one a failure
/// would not tell whether the target had seen the request.
class Attempt : public core::Counted<Attempt>
{
public:
    /// \param number Counted from 1 within a request; events carry it.
    Attempt(net::Loop &loop, core::Ref<RequestInbox> inbox, int number);

    /// \brief Whether the request may still be written.
    using MayWrite = std::function<bool()>;

    /// \brief Begins. The attempt keeps itself alive until it ends.
    /// \param mayWrite Asked once there is a connection.
    void start(const core::Address &target, net::Request message, core::Duration connectTimeout, core::Time deadline,
               MayWrite mayWrite);

    /// \brief Gives the attempt up: its connection ends, so that the target stops working on it.
    void abort();

private:
    [[nodiscard]] net::Task<> run(core::Address target, net::Request message, core::Duration connectTimeout,
                                  core::Time deadline, MayWrite mayWrite);
    void end(AttemptStage stage, std::string detail);

    net::Loop &m_loop;
    core::Ref<RequestInbox> m_inbox;
    const int m_number;
    net::ClientConnection m_connection;
    bool m_aborted = false;
};

} // namespace spurlug::relay
