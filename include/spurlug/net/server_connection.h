//----------------------------------------------------------------------------------------------------------------------
// spurlug: HTTP/1.1 server connection to a caller
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/byte_budget.h"
#include "spurlug/core/counted.h"
#include "spurlug/core/enum_names.h"
#include "spurlug/core/time.h"
#include "spurlug/net/http_message.h"
#include "spurlug/net/io.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace spurlug::net
{

/// \brief Size limits and timeouts for reading a request.
struct ReadLimits
{
    std::size_t maxHeadBytes = 16 << 10; ///< Request line and header fields.
    std::size_t maxBodyBytes = 4 << 20;
    core::Duration headTimeout = absl::Seconds(5); ///< From a request's first byte to the end of its head.
    core::Duration bodyTimeout = absl::Seconds(30); ///< From the end of the head to the end of the body.
    core::Duration idleTimeout = absl::Seconds(60); ///< Between requests.
    core::ByteBudget *bodyBudget = nullptr; ///< Limit for all bodies held at the same time; null: none.
};

/// \brief Why no request was read.
enum class ReadFailure
{
    None,
    Closed, ///< The caller closed or reset the connection.
    Idle, ///< No request arrived within the idle timeout.
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    BodyMemoryFull, ///< The body would exceed the budget.
    TimedOut, ///< A head or body was not complete within its timeout.
    Interrupted, ///< `interruptRead` was called while a part of a request had arrived.
};

/// \brief A request, or the reason why there is none.
struct ReadResult
{
    std::optional<Request> request;
    core::ByteReservation bodyMemory; ///< Of the request's body.
    ReadFailure failure = ReadFailure::None;
    std::string detail; ///< Error message of the parser, for logs.
    core::Time firstByteAt; ///< Arrival of the first byte of the request.
};

/// \brief Reads requests and writes responses, one at a time.
///
/// Writes return false once the connection is lost. A write that misses its deadline resets the connection, so that the
/// caller cannot mistake a truncated answer for a complete one.
class ServerConnection : public core::RefCounted<ServerConnection>
{
public:
    ServerConnection(Loop &loop, asio::ip::tcp::socket socket);
    ~ServerConnection();
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    /// \brief Awaits the next request.
    [[nodiscard]] Task<ReadResult> read(ReadLimits limits);
    /// \brief Whether a part of a request has arrived that is not complete yet.
    [[nodiscard]] bool isReceiving() const noexcept;
    /// \brief Whether a `read` is in progress and nothing has arrived: the last answer, if any, was written.
    [[nodiscard]] bool isIdle() const noexcept;
    /// \brief Ends a `read` in progress as Interrupted, or as Idle if nothing has arrived. The connection stays open.
    void interruptRead();

    /// \brief Writes a complete response with its length.
    [[nodiscard]] Task<bool> write(Response response, bool keepAlive, core::Time deadline);
    /// \brief Writes the head of a response whose body follows.
    /// \param length Length of the body in bytes, if it is known; otherwise the body is sent in chunks.
    [[nodiscard]] Task<bool> writeHead(ResponseHead head, bool keepAlive, core::Time deadline,
                                       std::optional<std::uint64_t> length = std::nullopt);
    /// \brief Writes the head of a response without a body and without a length, as for an open tunnel.
    [[nodiscard]] Task<bool> writeHeadOnly(ResponseHead head, core::Time deadline);
    /// \brief Writes a part of the body that is not empty; a chunk unless the head had a length.
    [[nodiscard]] Task<bool> writePart(std::string bytes, core::Time deadline);
    /// \brief Marks the end of the body, if the head had no length.
    [[nodiscard]] Task<bool> writeEnd(core::Time deadline);

    /// \brief Calls `gone` once if the caller closes the connection before `stopWatching`.
    void watch(std::function<void()> onClosed);
    /// \brief Stops watching the connection; `gone` is not called any more.
    void stopWatching();

    /// \brief Closes the connection; data already written is still delivered.
    void close();
    /// \brief Discards what the caller still sends for a short time, then closes the connection. Without this, unread
    /// bytes would make the system reset the connection before the caller has received the last answer.
    [[nodiscard]] Task<> closeLingering();
    /// \brief Resets the connection: undelivered data is lost, and the caller sees an error.
    void reset();

    /// \brief Gives up the socket after a request was read and answered. Nothing else may have arrived over it.
    [[nodiscard]] asio::ip::tcp::socket releaseSocket();

    /// \brief The caller's address, for logs.
    [[nodiscard]] const std::string &peerAddress() const noexcept;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl; ///< Shared with handlers that may run after this object is destroyed.
};

} // namespace spurlug::net

namespace spurlug::core
{

template<>
struct EnumNames<net::ReadFailure>
{
    using End = net::ReadFailure;
    static constexpr std::array table{
        EnumName<End>{End::None, "none"},
        EnumName<End>{End::Closed, "closed"},
        EnumName<End>{End::Idle, "idle"},
        EnumName<End>{End::Malformed, "malformed"},
        EnumName<End>{End::HeadTooLarge, "head_too_large"},
        EnumName<End>{End::BodyTooLarge, "body_too_large"},
        EnumName<End>{End::BodyMemoryFull, "body_memory_full"},
        EnumName<End>{End::TimedOut, "too_slow"},
        EnumName<End>{End::Interrupted, "interrupted"},
    };
};

} // namespace spurlug::core
