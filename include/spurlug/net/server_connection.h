//----------------------------------------------------------------------------------------------------------------------
// spurlug: one HTTP/1.1 connection of a caller
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

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

/// \brief What a caller may send, and how long it may take.
struct ReadLimits
{
    std::size_t headBytes = 16 << 10; ///< Request line and header fields.
    std::size_t bodyBytes = 4 << 20;
    core::Duration headTimeout = absl::Seconds(5); ///< From a request's first byte to the end of its head.
    core::Duration bodyTimeout = absl::Seconds(30); ///< From there to the end of its body.
    core::Duration idleTimeout = absl::Seconds(60); ///< Between requests.
};

/// \brief Why no request was read.
enum class ReadEnd
{
    None,
    Closed, ///< The caller closed or reset the connection.
    Idle, ///< No request came within the idle timeout.
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    TooSlow, ///< A head or body did not end in time.
};

/// \brief A request, or why there is none.
struct ReadResult
{
    std::optional<Request> request;
    ReadEnd end = ReadEnd::None;
    std::string detail; ///< The parser's words, for logs.
    core::Time firstByteAt; ///< When the request began to arrive.
};

/// \brief Reads requests and writes responses, one at a time.
///
/// Writes return false once the connection is lost. Every write is given up at its deadline: the connection is reset
/// then, so that the caller cannot mistake a cut answer for a whole one.
class ServerConnection : public core::Counted<ServerConnection>
{
public:
    ServerConnection(Loop &loop, asio::ip::tcp::socket socket);
    ~ServerConnection();
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    [[nodiscard]] Task<ReadResult> read(ReadLimits limits);

    /// \brief Writes a whole response with its length.
    [[nodiscard]] Task<bool> write(Response response, bool keepAlive, core::Time deadline);
    /// \brief Writes the head of a response whose body follows in chunks.
    [[nodiscard]] Task<bool> writeHead(ResponseHead head, bool keepAlive, core::Time deadline);
    [[nodiscard]] Task<bool> writeChunk(std::string bytes, core::Time deadline);
    /// \brief Ends a body that was written in chunks.
    [[nodiscard]] Task<bool> writeEnd(core::Time deadline);

    /// \brief Calls `gone` once if the caller closes the connection before `stopWatching`.
    void watch(std::function<void()> gone);
    void stopWatching();

    /// \brief Ends the connection after what was written.
    void close();
    /// \brief Waits a moment for the caller to take a last answer in, then ends the connection: without this, bytes
    /// that were not read would make the system reset it.
    [[nodiscard]] Task<> closeGently();
    /// \brief Resets the connection: what was not delivered is lost, and the caller knows.
    void reset();

    /// \brief The caller's address, for logs.
    [[nodiscard]] const std::string &peer() const noexcept;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl; ///< Shared with handlers that may run after this object's end.
};

} // namespace spurlug::net

namespace spurlug::core
{

template<>
struct EnumNames<net::ReadEnd>
{
    using End = net::ReadEnd;
    static constexpr std::array table{
        EnumName<End>{End::None, "none"},
        EnumName<End>{End::Closed, "closed"},
        EnumName<End>{End::Idle, "idle"},
        EnumName<End>{End::Malformed, "malformed"},
        EnumName<End>{End::HeadTooLarge, "head_too_large"},
        EnumName<End>{End::BodyTooLarge, "body_too_large"},
        EnumName<End>{End::TooSlow, "too_slow"},
    };
};

} // namespace spurlug::core
