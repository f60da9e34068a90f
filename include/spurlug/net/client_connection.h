//----------------------------------------------------------------------------------------------------------------------
// spurlug: HTTP/1.1 client connection
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/counted.h"
#include "spurlug/core/time.h"
#include "spurlug/net/http_message.h"
#include "spurlug/net/io.h"
#include "spurlug/net/tunnel.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace spurlug::net
{

inline constexpr std::size_t MaxBodyPieceBytes = 8 << 10; ///< Maximum size of a piece of a body.

/// \brief A piece of a body.
struct BodyPiece
{
    enum class State
    {
        More, ///< More follows.
        Complete, ///< The body is complete according to its framing.
        Failed, ///< The connection failed before the end of the body.
    };

    std::string bytes;
    State state = State::More;
};

/// \brief A connection for one or more requests and their responses, one at a time.
///
/// The request is sent while the response is awaited, because a server may answer before it has read a long body.
/// `abort` cancels the pending operation.
class ClientConnection : public core::RefCounted<ClientConnection>
{
public:
    explicit ClientConnection(Loop &loop);
    ~ClientConnection();
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    /// \brief Connects to a server.
    /// \returns Empty on success, otherwise the error; nothing was sent in that case.
    [[nodiscard]] Task<std::string> connect(core::Address address, core::Duration timeout);

    /// \brief Connects to a server through a proxy.
    /// \param timeout For the connection to the proxy and the proxy's connection to the server.
    /// \returns Open on success; nothing was sent to the server otherwise.
    [[nodiscard]] Task<TunnelResult> connectThrough(TunnelRequest tunnel, core::Duration timeout);

    /// \brief Limits the bodies of the following responses, in bytes; a larger one is a failed response.
    void limitBodies(std::uint64_t maxBytes) noexcept;
    /// \brief Whether the last response failed because its body exceeds the limit.
    [[nodiscard]] bool bodyTooLarge() const noexcept;

    /// \brief Starts to send a request; `readHead` awaits its response.
    void startSend(const Request &request);
    /// \brief The same with a body that others hold too, in place of the request's own.
    void startSend(const Request &request, SharedBody body);

    /// \brief Awaits the head of the response; interim responses (1xx but 101) are skipped.
    /// \returns Nothing when the connection failed, the response is malformed, or the deadline passed.
    [[nodiscard]] Task<std::optional<ResponseHead>> readHead(core::Time deadline);

    /// \brief Awaits the next piece of the body.
    [[nodiscard]] Task<BodyPiece> readBody(core::Time deadline);

    /// \brief Whether the connection can be used for another request: the request was sent completely, the response is
    /// complete by its framing, no byte followed it and the server keeps the connection open.
    [[nodiscard]] bool isReusable() const;

    /// \brief Whether the last `connect` was refused: the host is up, but nothing listens on the port.
    [[nodiscard]] bool connectionRefused() const noexcept;

    /// \brief Whether the connection to the proxy failed, so that nothing is known about the server.
    [[nodiscard]] bool tunnelLost() const noexcept;

    /// \brief Gives up the connected socket. Nothing may have been sent over it or read from it.
    [[nodiscard]] asio::ip::tcp::socket releaseSocket();

    /// \brief The last error, for logs.
    [[nodiscard]] const std::string &lastError() const noexcept;

    /// \brief Closes the connection at once.
    void abort();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl; ///< Shared with handlers that may run after this object is destroyed.
};

inline constexpr std::uint64_t MaxExchangeBytes = 4 << 20; ///< Default limit for the body of a collected response.

/// \brief Sends a request over an established connection and awaits the whole response.
/// \param error Set to the error when there is no response; empty otherwise.
/// \param maxBodyBytes Limit for the body of the response.
/// \returns Nothing when the response did not arrive completely.
[[nodiscard]] Task<std::optional<Response>> exchange(ClientConnection &connection, Request request, core::Time deadline,
                                                     std::string &error, std::uint64_t maxBodyBytes = MaxExchangeBytes);

/// \brief Sends a request over a new connection and awaits the whole response.
/// \param deadline Deadline of the whole exchange.
/// \param error Set to the error when there is no response; empty otherwise.
/// \returns Nothing when the response did not arrive completely, or its body exceeds `MaxExchangeBytes`.
[[nodiscard]] Task<std::optional<Response>> exchange(Loop &loop, core::Address address, Request request,
                                                     core::Time deadline, std::string &error);

} // namespace spurlug::net
