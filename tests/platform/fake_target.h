//----------------------------------------------------------------------------------------------------------------------
// spurlug: a fake of the platform's targets for tests
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/time.h"
#include "spurlug/net/http_message.h"
#include "spurlug/net/io.h"
#include "spurlug/net/listener.h"
#include "spurlug/net/server_connection.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spurlug::test
{

/// \brief How a target answers a request.
struct Behaviour
{
    enum class Fault
    {
        None,
        Shed, ///< Answers 503 and states that the request did not run.
        Hang, ///< Accepts the request and does not answer.
        DropAnswer, ///< Runs the request and closes the connection without an answer.
        ResetAnswer, ///< Runs the request and resets the connection without an answer.
        TruncateBody, ///< Sends half of the body, then resets the connection.
        WrongId, ///< Answers with the id of another request.
        NoSignature,
        Encoded,
        Garbage, ///< Bytes that are not an HTTP answer.
        AmbiguousBusy, ///< Answers 503 without stating whether the request ran.
    };

    /// How the connection ends after `rawAnswer`.
    enum class RawEnd
    {
        Close,
        HalfClose, ///< The target sends nothing more, but neither reads the rest of the request nor closes.
        Reset,
    };

    Fault fault = Fault::None;
    int status = 200;
    core::Duration processingTime = absl::ZeroDuration(); ///< Time before the head of the answer is sent.
    std::string body = "the answer";
    int eventCount = 0; ///< If greater than 0, the answer is a stream of this many events.
    core::Duration eventInterval = absl::Milliseconds(5); ///< Interval between events.
    int resetAtEvent = -1; ///< Resets the connection within the first event whose id is at least this; -1: never.
    int omittedEvent = -1; ///< Id of an event that is omitted; -1: none.
    /// If not empty, the target answers with these bytes as soon as the first bytes of the request arrive, reads no
    /// more, and ends the connection; `{id}` stands for the request's ID.
    std::string rawAnswer;
    RawEnd rawEnd = RawEnd::Close;
    core::Duration rawEndDelay = absl::Milliseconds(30); ///< Time from the last byte of `rawAnswer` to that end.
    std::string endlessPart; ///< Sent again and again after `rawAnswer`, until the other side closes; empty: none.
    bool crashesAfterRawAnswer = false; ///< The process ends instead of closing the connection.
    /// Time from the end of the connection until the process of such a crash stops to listen.
    core::Duration listensAfterCrash = absl::ZeroDuration();
    std::string retryAfter; ///< Retry-After header of a 503; empty: none.
};

/// \brief A request that reached a target, whether it ran or not.
struct Arrival
{
    core::Time at;
    std::string daemon; ///< Daemon that the caller named in the header `Sent-To`.
    std::string path;
};

/// \brief One process of a service: records the requests that reach it and answers them as scripted.
class FakeTarget
{
public:
    FakeTarget(net::Loop &loop, std::string id);

    Behaviour behaviour;
    std::vector<Behaviour> script; ///< Used for the next requests, one each, before `behaviour`.
    bool draining = false; ///< All answers announce that the target shuts down.
    std::string remainingWarmUp; ///< Remaining warm-up time header of all answers; empty: none.
    std::string rateLimit; ///< Rate limit header of all answers; empty: none.
    std::string crashingBody; ///< Body of a request that crashes the process when it runs; empty: none.
    /// IDs of prompt parts that crash the process when it begins to answer a prompt with them.
    std::set<std::string> crashingParts;
    core::Duration crashDelay = absl::Milliseconds(10); ///< Time from the start of such a request to the crash.

    [[nodiscard]] const std::string &id() const noexcept;
    [[nodiscard]] const core::Address &address() const noexcept;
    /// \brief Requests that the target started to run.
    [[nodiscard]] const std::vector<net::Request> &startedRequests() const noexcept;
    /// \brief When the target started to run each of them.
    [[nodiscard]] const std::vector<core::Time> &startTimes() const noexcept;
    /// \brief All requests that reached the target, including reserve and release requests. There are no health checks.
    [[nodiscard]] const std::vector<Arrival> &arrivals() const noexcept;
    /// \brief Number of reserve and release requests that named another incarnation than the one that got them.
    [[nodiscard]] int misdirectedMemoryRequests() const noexcept;
    /// \brief Number of requests whose connection ended before the answer was complete.
    [[nodiscard]] int abandonedRequests() const noexcept;
    /// \brief Current memory reservations: tokens by id.
    [[nodiscard]] const std::map<std::string, std::int64_t> &reservations() const noexcept;
    /// \brief Stops listening: new connections are refused.
    void stopListening();
    /// \brief Crashes the process: it stops listening and resets all connections.
    void crash();
    /// \brief Resets all open connections; the target continues to listen.
    void resetConnections();
    /// \brief Sends nothing more over the connections that are open now, as behind a partition.
    void hangConnections();
    /// \brief Replaces the incarnation silently: requests in progress are never answered and their connections stay
    /// open. The new incarnation listens at the same address and has no reservations.
    void replaceIncarnation(std::string id);
    [[nodiscard]] bool hasCrashed() const noexcept;

private:
    [[nodiscard]] net::Task<> serve(net::asio::ip::tcp::socket socket);
    [[nodiscard]] net::Task<> serveRaw(net::asio::ip::tcp::socket socket);
    [[nodiscard]] net::Task<bool> answer(core::Ref<net::ServerConnection> connection, net::Request request);
    /// Waits until the other side closes a connection over which nothing may be sent.
    [[nodiscard]] net::Task<> awaitClose(core::Ref<net::ServerConnection> connection);
    [[nodiscard]] net::Task<bool> stream(core::Ref<net::ServerConnection> connection, const net::Request &request,
                                         const Behaviour &responseBehaviour);
    /// Whether the request crashes the process.
    [[nodiscard]] bool crashesProcess(const net::Request &request) const;
    [[nodiscard]] net::Response applyMemoryRequest(const net::Request &request);
    void addNoticeHeaders(net::ResponseHead &head) const;
    [[nodiscard]] net::ResponseHead makeHead(const net::Request &request, const Behaviour &responseBehaviour) const;

    net::Loop &m_loop;
    std::string m_id;
    int m_incarnation = 1; ///< Number of the incarnation, from 1.
    net::Listener m_listener;
    std::vector<net::Request> m_startedRequests;
    std::vector<core::Time> m_startTimes;
    std::vector<Arrival> m_arrivals;
    int m_abandonedRequests = 0;
    int m_misdirectedMemoryRequests = 0;
    bool m_crashed = false;
    std::set<core::Ref<net::ServerConnection>> m_connections; ///< Open connections.
    std::set<core::Ref<net::ServerConnection>> m_hungConnections; ///< Nothing is sent over these.
    std::map<std::string, std::int64_t> m_reservations;
};

} // namespace spurlug::test
