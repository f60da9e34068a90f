//----------------------------------------------------------------------------------------------------------------------
// spurlug: HTTP/1.1 server connection to a caller
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/net/server_connection.h"

#include "beast_convert.h"

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>
#include <utility>

namespace spurlug::net
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr unsigned HttpVersion = 11;
constexpr auto LingerTimeout = absl::Milliseconds(500); // For the caller to receive the last answer before the close.
constexpr std::size_t MaxLingerBytes = 8 << 20; // Maximum number of bytes discarded while lingering.
constexpr std::size_t MinBufferBytes = 4 << 10;
constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

ReadFailure toReadFailure(const error_code &error, bool expired, bool interrupted)
{
    if (interrupted) {
        return ReadFailure::Interrupted;
    }
    if (expired) {
        return ReadFailure::TimedOut;
    }
    if (error == http::error::header_limit) {
        return ReadFailure::HeadTooLarge;
    }
    if (error == http::error::body_limit) {
        return ReadFailure::BodyTooLarge;
    }
    const bool isParserError = error.category() == http::make_error_code(http::error::bad_method).category();
    const bool isConnectionEnd = error == http::error::end_of_stream || error == http::error::partial_message;
    return isParserError && !isConnectionEnd ? ReadFailure::Malformed : ReadFailure::Closed;
}

/// Whether the end of the body is certain. A coding that is not decoded here may hide it, and what follows the head
/// would be taken for the next request.
bool hasKnownFraming(const http::fields &fields)
{
    const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
    return first == last || (std::next(first) == last && beast::iequals(first->value(), "chunked"));
}

Request toRequest(http::request<http::string_body> message, bool hasBody)
{
    Request request;
    const auto method = message.method_string();
    const auto target = message.target();
    request.method.assign(method.data(), method.size());
    request.target.assign(target.data(), target.size());
    request.headers = fromBeast(message);
    request.hasBody = hasBody;
    request.keepAlive = message.keep_alive();
    request.body = std::move(message.body());
    return request;
}

template<typename Body>
void fillHead(http::response<Body> &message, const ResponseHead &head, bool keepAlive)
{
    message.version(HttpVersion);
    message.result(static_cast<unsigned>(head.status));
    if (!head.reasonPhrase.empty()) {
        message.reason(head.reasonPhrase);
    }
    toBeast(head.headers, message);
    if (!keepAlive) {
        message.set(http::field::connection, "close");
    }
}

} // namespace

struct ServerConnection::Impl : std::enable_shared_from_this<Impl>
{
    explicit Impl(tcp::socket accepted)
        : socket(std::move(accepted))
        , expiry(socket.get_executor(), [this] { reset(); })
    { }

    void reset()
    {
        error_code ignored; // The connection is closed whether or not each step succeeds.
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    /// Awaits an operation; resets the connection when it takes longer than `span`.
    template<typename Operation>
    Task<error_code> awaitWithTimeout(core::Duration span, Operation operation)
    {
        expiry.arm(toTimerDuration(span));
        const auto error = co_await operation();
        expiry.disarm();
        co_return error;
    }

    template<typename Message>
    Task<bool> send(Message &message, core::Duration span)
    {
        const auto error = co_await awaitWithTimeout(span, [&]() -> Task<error_code> {
            auto [failure, bytes] = co_await http::async_write(socket, message, Awaited);
            co_return failure;
        });
        co_return !error;
    }

    Task<bool> sendBytes(std::string bytes, core::Duration span)
    {
        const auto error = co_await awaitWithTimeout(span, [&]() -> Task<error_code> {
            auto [failure, sent] = co_await asio::async_write(socket, asio::buffer(bytes), Awaited);
            co_return failure;
        });
        co_return !error;
    }

    void awaitReadable()
    {
        socket.async_wait(
            tcp::socket::wait_read,
            asio::bind_cancellation_slot(watchCancellation.slot(), [self = shared_from_this()](error_code error) {
                if (!error) {
                    self->onReadable();
                }
            }));
    }

    /// Distinguishes the end of the connection from a pipelined request.
    void onReadable()
    {
        if (!onClosed) {
            return;
        }
        char byte = 0;
        const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool wouldBlock = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
        if (wouldBlock) {
            awaitReadable();
        } else if (received <= 0) {
            const auto call = std::exchange(onClosed, nullptr);
            call();
        } // Otherwise a pipelined request arrived; the connection cannot be watched until it is read.
    }

    tcp::socket socket;
    beast::flat_buffer buffer;
    OperationTimeout expiry;
    enum class ReadState
    {
        None, ///< No `read` is in progress.
        Idle, ///< Waits for the first byte of a request.
        Receiving, ///< A part of a request has arrived.
    };
    ReadState readState = ReadState::None;
    bool readInterrupted = false;
    bool writesChunks = true; ///< Whether the body of the current response is sent in chunks.
    asio::cancellation_signal watchCancellation;
    std::function<void()> onClosed;
    std::string peer;
};

ServerConnection::ServerConnection(Loop &, tcp::socket socket)
    : m_impl(std::make_shared<Impl>(std::move(socket)))
{
    error_code error;
    const auto endpoint = m_impl->socket.remote_endpoint(error);
    m_impl->peer = error ? "unknown" : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

ServerConnection::~ServerConnection()
{
    stopWatching();
    close();
}

Task<ReadResult> ServerConnection::read(ReadLimits limits)
{
    const auto impl = m_impl;
    ReadResult result;
    impl->readInterrupted = false;
    impl->readState = Impl::ReadState::Idle;
    if (impl->buffer.size() == 0) {
        const auto error = co_await impl->awaitWithTimeout(limits.idleTimeout, [&]() -> Task<error_code> {
            auto [failure] = co_await impl->socket.async_wait(tcp::socket::wait_read, Awaited);
            co_return failure;
        });
        if (error) {
            const bool idle = impl->expiry.expired() || impl->readInterrupted;
            impl->readState = Impl::ReadState::None;
            result.failure = idle ? ReadFailure::Idle : ReadFailure::Closed;
            co_return result;
        }
    }
    // Bounds what no limit of the parser covers, such as the size line of a chunk.
    impl->buffer.max_size(std::max({limits.maxHeadBytes, MinBufferBytes, impl->buffer.size()}));
    impl->readState = Impl::ReadState::Receiving;
    result.firstByteAt = core::now();
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.maxHeadBytes));
    parser.body_limit(limits.maxBodyBytes);
    auto error = co_await impl->awaitWithTimeout(limits.headTimeout, [&]() -> Task<error_code> {
        auto [failure, bytes] = co_await http::async_read_header(impl->socket, impl->buffer, parser, Awaited);
        co_return failure;
    });
    if (!error && !hasKnownFraming(parser.get())) {
        error = http::error::bad_transfer_encoding;
    }
    if (limits.bodyBudget != nullptr) {
        result.bodyMemory = core::ByteReservation(*limits.bodyBudget);
    }
    // A body with a length is refused before it is read; one in chunks as it grows.
    const auto length = error ? boost::optional<std::uint64_t>() : parser.content_length();
    bool hasMemory = result.bodyMemory.resize(static_cast<std::int64_t>(length.value_or(0)));
    if (!error && hasMemory && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        const bool sent = co_await impl->sendBytes(std::string(ContinueResponse), limits.headTimeout);
        if (!sent) {
            impl->readState = Impl::ReadState::None;
            result.failure = impl->readInterrupted ? ReadFailure::Interrupted : ReadFailure::Closed;
            co_return result;
        }
    }
    if (!error && hasMemory && !parser.is_done()) {
        error = co_await impl->awaitWithTimeout(limits.bodyTimeout, [&]() -> Task<error_code> {
            error_code failure;
            while (!failure && hasMemory && !parser.is_done()) {
                auto [readError, bytes] = co_await http::async_read_some(impl->socket, impl->buffer, parser, Awaited);
                failure = readError;
                const auto held = std::max<std::uint64_t>(parser.get().body().size(), length.value_or(0));
                hasMemory = result.bodyMemory.resize(static_cast<std::int64_t>(held));
            }
            co_return failure;
        });
    }
    impl->readState = Impl::ReadState::None;
    if (!error && !hasMemory) {
        result.failure = ReadFailure::BodyMemoryFull;
        co_return result;
    }
    if (error) {
        result.failure = toReadFailure(error, impl->expiry.expired(), impl->readInterrupted);
        result.detail = error.message();
        co_return result;
    }
    const bool hasBody = parser.chunked() || parser.get().find(http::field::content_length) != parser.get().end();
    result.request = toRequest(parser.release(), hasBody);
    co_return result;
}

bool ServerConnection::isReceiving() const noexcept
{
    return m_impl->readState == Impl::ReadState::Receiving;
}

bool ServerConnection::isIdle() const noexcept
{
    return m_impl->readState == Impl::ReadState::Idle;
}

void ServerConnection::interruptRead()
{
    if (m_impl->readState != Impl::ReadState::None) {
        m_impl->readInterrupted = true;
        error_code ignored; // The caller may have closed the connection.
        m_impl->socket.cancel(ignored);
    }
}

Task<bool> ServerConnection::write(Response response, bool keepAlive, core::Time deadline)
{
    const auto impl = m_impl;
    http::response<http::string_body> message;
    fillHead(message, response.head, keepAlive);
    message.body() = std::move(response.body);
    message.content_length(message.body().size());
    co_return co_await impl->send(message, deadline - core::now());
}

Task<bool> ServerConnection::writeHead(ResponseHead head, bool keepAlive, core::Time deadline,
                                       std::optional<std::uint64_t> length)
{
    const auto impl = m_impl;
    http::response<http::empty_body> message;
    fillHead(message, head, keepAlive);
    impl->writesChunks = !length;
    if (length) {
        message.content_length(*length);
    } else {
        message.chunked(true);
    }
    http::response_serializer<http::empty_body> serializer(message);
    const auto error = co_await impl->awaitWithTimeout(deadline - core::now(), [&]() -> Task<error_code> {
        auto [failure, bytes] = co_await http::async_write_header(impl->socket, serializer, Awaited);
        co_return failure;
    });
    co_return !error;
}

Task<bool> ServerConnection::writeHeadOnly(ResponseHead head, core::Time deadline)
{
    const auto impl = m_impl;
    http::response<http::empty_body> message;
    fillHead(message, head, true);
    co_return co_await impl->send(message, deadline - core::now());
}

Task<bool> ServerConnection::writePart(std::string bytes, core::Time deadline)
{
    const auto impl = m_impl;
    if (!impl->writesChunks) {
        co_return co_await impl->sendBytes(std::move(bytes), deadline - core::now());
    }
    const auto error = co_await impl->awaitWithTimeout(deadline - core::now(), [&]() -> Task<error_code> {
        auto [failure, sent] = co_await asio::async_write(impl->socket, http::make_chunk(asio::buffer(bytes)), Awaited);
        co_return failure;
    });
    co_return !error;
}

Task<bool> ServerConnection::writeEnd(core::Time deadline)
{
    const auto impl = m_impl;
    if (!impl->writesChunks) {
        co_return true;
    }
    const auto error = co_await impl->awaitWithTimeout(deadline - core::now(), [&]() -> Task<error_code> {
        auto [failure, sent] = co_await asio::async_write(impl->socket, http::make_chunk_last(), Awaited);
        co_return failure;
    });
    co_return !error;
}

void ServerConnection::watch(std::function<void()> onClosed)
{
    m_impl->onClosed = std::move(onClosed);
    m_impl->awaitReadable();
}

void ServerConnection::stopWatching()
{
    m_impl->onClosed = nullptr;
    m_impl->watchCancellation.emit(asio::cancellation_type::all);
}

void ServerConnection::close()
{
    error_code ignored; // The caller may have closed the connection already.
    m_impl->socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_impl->socket.close(ignored);
}

Task<> ServerConnection::closeLingering()
{
    const auto impl = m_impl;
    error_code ignored; // The caller may have closed the connection already.
    impl->socket.shutdown(tcp::socket::shutdown_send, ignored);
    const auto error = co_await impl->awaitWithTimeout(LingerTimeout, [&]() -> Task<error_code> {
        std::array<char, 8192> discarded{};
        error_code failure;
        for (std::size_t total = 0; !failure && total < MaxLingerBytes;) {
            auto [readError, bytes] = co_await impl->socket.async_read_some(asio::buffer(discarded), Awaited);
            failure = readError;
            total += bytes;
        }
        co_return failure;
    });
    static_cast<void>(error); // An error is expected: the read ends when the caller closes the connection.
    close();
}

void ServerConnection::reset()
{
    m_impl->reset();
}

tcp::socket ServerConnection::releaseSocket()
{
    return std::move(m_impl->socket);
}

const std::string &ServerConnection::peerAddress() const noexcept
{
    return m_impl->peer;
}

} // namespace spurlug::net
