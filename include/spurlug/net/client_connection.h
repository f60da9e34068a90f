//----------------------------------------------------------------------------------------------------------------------
// spurlug: one HTTP/1.1 exchange with a server
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/counted.h"
#include "spurlug/core/time.h"
#include "spurlug/net/http_message.h"
#include "spurlug/net/io.h"

#include <memory>
#include <optional>
#include <string>

namespace spurlug::net
{

/// \brief Some bytes of a body.
struct BodyPiece
{
    enum class State
    {
        More, ///< More follows.
        Complete, ///< The body ended as its framing says.
        Broken, ///< The connection failed before that.
    };

    std::string bytes;
    State state = State::More;
};

/// \brief A connection for one request and its response, or for several one after the other.
///
/// The request is sent while the response is awaited: a server may answer before it has read a long body. `abort` ends
/// whatever is awaited.
class ClientConnection : public core::Counted<ClientConnection>
{
public:
    explicit ClientConnection(Loop &loop);
    ~ClientConnection();
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    /// \brief Connects.
    /// \returns Empty when connected, else what went wrong. Nothing was sent then.
    [[nodiscard]] Task<std::string> connect(core::Address address, core::Duration timeout);

    /// \brief Begins to send a request; `readHead` awaits its response.
    void startSend(const Request &request);

    /// \brief Awaits the head of the response; interim responses (1xx) are passed over.
    /// \returns Nothing when the connection failed, the bytes are no response, or the deadline passed.
    [[nodiscard]] Task<std::optional<ResponseHead>> readHead(core::Time deadline);

    /// \brief Awaits some of the body.
    [[nodiscard]] Task<BodyPiece> readBody(core::Time deadline);

    /// \brief Whether the connection can take another request: the response ended by its framing, the request was sent
    /// whole, no byte followed and neither side wants to close.
    [[nodiscard]] bool reusable() const;

    /// \brief Whether the last `connect` was refused: the host lives, and nothing listens there.
    [[nodiscard]] bool refused() const noexcept;

    /// \brief What went wrong last, for logs.
    [[nodiscard]] const std::string &problem() const noexcept;

    /// \brief Ends the connection at once.
    void abort();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl; ///< Shared with handlers that may run after this object's end.
};

/// \brief Sends a request over a connection of its own and awaits the whole response.
/// \param deadline For everything.
/// \param problem Set when there is no response.
/// \returns Nothing when the response did not arrive whole.
[[nodiscard]] Task<std::optional<Response>> exchange(Loop &loop, core::Address address, Request request,
                                                     core::Time deadline, std::string &problem);

} // namespace spurlug::net
