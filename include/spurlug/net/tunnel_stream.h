//----------------------------------------------------------------------------------------------------------------------
// spurlug: reading of the frames of a TCP tunnel
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/net/io.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/compose.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <optional>

namespace spurlug::net
{

/// \brief Length of a frame's payload in bytes, big-endian, which precedes the payload; or one of the marks below.
using FrameLength = std::uint32_t;
inline constexpr FrameLength TargetClosedMark = 0; ///< The target closed its connection; nothing follows.
inline constexpr FrameLength TargetBrokeMark = 0xffffffff; ///< The target's connection broke; nothing follows.

/// \brief Reads the target's bytes from the frames of a tunnel. An asynchronous read stream for Beast.
class TunnelStream
{
public:
    using executor_type = asio::ip::tcp::socket::executor_type;

    explicit TunnelStream(asio::ip::tcp::socket &socket)
        : m_socket(socket)
    { }

    // Beast requires the names of the next two functions.
    [[nodiscard]] executor_type get_executor() // NOLINT(readability-identifier-naming)
    {
        return m_socket.get_executor();
    }

    /// \brief Bytes that were received and are not read yet; those that follow the proxy's response belong here.
    [[nodiscard]] boost::beast::flat_buffer &received() noexcept
    {
        return m_received;
    }

    /// \brief Whether the connection to the proxy ended before the proxy reported the end of the target's connection.
    [[nodiscard]] bool isLost() const noexcept
    {
        return m_lost;
    }

    /// \brief Reads bytes of the target. The error is `eof` only if the target closed its connection.
    template<typename Buffers, typename Token>
    auto async_read_some(const Buffers &buffers, Token &&token) // NOLINT(readability-identifier-naming)
    {
        using boost::system::error_code;
        return asio::async_compose<Token, void(error_code, std::size_t)>(
            [this, buffers, step = Step::Start](auto &self, error_code error = {}, std::size_t bytes = 0) mutable {
                if (step == Step::Start && m_received.size() > 0) {
                    step = Step::Resumed; // A handler must not run within the function that starts the operation.
                    asio::post(m_socket.get_executor(), std::move(self));
                    return;
                }
                if (step == Step::Reading) {
                    m_received.commit(bytes);
                    if (error) {
                        m_lost = true;
                        self.complete(error == asio::error::eof ? error_code(asio::error::connection_reset) : error, 0);
                        return;
                    }
                }
                if (const auto payload = takePayload(buffers)) {
                    self.complete(payload->error, payload->bytes);
                    return;
                }
                step = Step::Reading;
                m_socket.async_read_some(m_received.prepare(MaxReadBytes), std::move(self));
            },
            token, m_socket);
    }

private:
    enum class Step
    {
        Start,
        Resumed, ///< Continues with bytes that were received earlier.
        Reading,
    };

    struct Payload
    {
        boost::system::error_code error;
        std::size_t bytes = 0;
    };

    static constexpr std::size_t MaxReadBytes = 16 << 10;

    /// Moves received payload into the buffers; nothing if more bytes must be received first.
    template<typename Buffers>
    [[nodiscard]] std::optional<Payload> takePayload(const Buffers &buffers)
    {
        if (m_end) {
            return Payload{*m_end, 0};
        }
        if (m_frameBytesLeft == 0) {
            if (m_received.size() < sizeof(FrameLength)) {
                return std::nullopt;
            }
            std::array<unsigned char, sizeof(FrameLength)> prefix{};
            asio::buffer_copy(asio::buffer(prefix), m_received.data());
            m_received.consume(prefix.size());
            const auto length = boost::endian::load_big_u32(prefix.data());
            if (length == TargetClosedMark || length == TargetBrokeMark) {
                m_end = length == TargetClosedMark ? boost::system::error_code(asio::error::eof)
                                                   : boost::system::error_code(asio::error::connection_reset);
                return Payload{*m_end, 0};
            }
            m_frameBytesLeft = length;
        }
        const auto bytes = asio::buffer_copy(buffers, m_received.data(), m_frameBytesLeft);
        if (bytes == 0) {
            return std::nullopt;
        }
        m_received.consume(bytes);
        m_frameBytesLeft -= static_cast<FrameLength>(bytes);
        return Payload{{}, bytes};
    }

    asio::ip::tcp::socket &m_socket;
    boost::beast::flat_buffer m_received;
    FrameLength m_frameBytesLeft = 0;
    std::optional<boost::system::error_code> m_end; ///< Set once the proxy reported the end of the target's connection.
    bool m_lost = false;
};

} // namespace spurlug::net
