//----------------------------------------------------------------------------------------------------------------------
// spurlug: HTTP/1.1 client connection
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/net/client_connection.h"

#include "beast_convert.h"
#include "folded_line_finder.h"

#include "spurlug/core/text.h"
#include "spurlug/net/tunnel_stream.h"
#include "spurlug/net/write_error.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http.hpp>
#include <string_view>

namespace spurlug::net
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr unsigned HttpVersion = 11;
constexpr std::uint32_t MaxHeadBytes = 64 << 10;
constexpr std::uint64_t MaxBodyBytes = 256 << 20; // Limit for targets' answers; real ones are far smaller.

using Parser = http::response_parser<http::buffer_body>;

enum class ResponseKind
{
    Interim, ///< Another response to the same request follows.
    Final,
    Invalid,
};

/// No request asks for an upgrade, so that a 101 answers none.
ResponseKind kindOf(unsigned status) noexcept
{
    constexpr unsigned FirstInterimStatus = 100;
    constexpr unsigned SwitchingProtocols = 101;
    constexpr unsigned FirstFinalStatus = 200;
    if (status >= FirstFinalStatus) {
        return ResponseKind::Final;
    }
    const bool isInterim = status >= FirstInterimStatus && status != SwitchingProtocols;
    return isInterim ? ResponseKind::Interim : ResponseKind::Invalid;
}

ResponseHead toHead(const Parser &parser)
{
    const auto &message = parser.get();
    ResponseHead head;
    head.status = static_cast<int>(message.result_int());
    const auto phrase = message.reason();
    head.reasonPhrase.assign(phrase.data(), phrase.size());
    head.headers = fromBeast(message);
    if (parser.chunked()) {
        head.framing = BodyFraming::Chunked;
    } else if (parser.need_eof()) {
        head.framing = BodyFraming::UntilClose;
    } else if (parser.content_length()) {
        head.length = *parser.content_length();
    }
    return head;
}

} // namespace

struct ClientConnection::Impl : std::enable_shared_from_this<Impl>
{
    explicit Impl(Loop &loop)
        : socket(loop)
        , tunnel(socket)
        , expiry(socket.get_executor(), [this] { close(); })
    { }

    void close()
    {
        error_code ignored; // The socket may already be closed.
        socket.close(ignored);
    }

    /// Awaits an operation; closes the connection when it takes longer than `span`.
    template<typename Operation>
    Task<error_code> awaitWithTimeout(core::Duration span, Operation operation)
    {
        if (span <= absl::ZeroDuration()) {
            close();
            co_return error_code(asio::error::timed_out);
        }
        expiry.arm(toTimerDuration(span));
        const auto error = co_await operation();
        expiry.disarm();
        co_return expiry.expired() ? error_code(asio::error::timed_out) : error;
    }

    /// Connects the socket and sets its options.
    Task<error_code> connect(const asio::ip::address &host, std::uint16_t port)
    {
        auto [error] = co_await socket.async_connect(tcp::endpoint(host, port), Awaited);
        error_code ignored; // A failure only increases latency.
        if (!error) {
            socket.set_option(tcp::no_delay(true), ignored);
        }
        co_return error;
    }

    /// What was received and not parsed yet.
    [[nodiscard]] std::string_view bufferedBytes() const
    {
        const auto bytes = buffer.data();
        return {static_cast<const char *>(bytes.data()), bytes.size()};
    }

    /// Reads a head; what follows it stays in the buffer.
    template<typename Stream>
    Task<error_code> readHeader(Stream &stream, Parser &parser)
    {
        FoldedLineFinder foldedLines;
        bool isFolded = foldedLines.add(bufferedBytes());
        for (;;) {
            error_code error;
            buffer.consume(parser.put(buffer.data(), error));
            if (isFolded) {
                co_return http::make_error_code(http::error::bad_obs_fold);
            }
            if (error && error != http::error::need_more) {
                co_return error;
            }
            if (parser.is_header_done()) {
                co_return error_code();
            }
            const auto known = buffer.size();
            const auto room = beast::read_size(buffer, MaxHeadBytes);
            if (room == 0) {
                co_return http::make_error_code(http::error::buffer_overflow);
            }
            auto [readError, bytes] = co_await stream.async_read_some(buffer.prepare(room), Awaited);
            buffer.commit(bytes);
            if (readError) {
                co_return readError;
            }
            isFolded = foldedLines.add(bufferedBytes().substr(known));
        }
    }

    /// Reads a head through the tunnel, if there is one.
    Task<error_code> readHeader(Parser &parser)
    {
        if (isTunnelled) {
            co_return co_await readHeader(tunnel, parser);
        }
        co_return co_await readHeader(socket, parser);
    }

    Task<error_code> readSome(Parser &parser)
    {
        if (isTunnelled) {
            auto [error, bytes] = co_await http::async_read_some(tunnel, buffer, parser, Awaited);
            co_return error;
        }
        auto [error, bytes] = co_await http::async_read_some(socket, buffer, parser, Awaited);
        co_return error;
    }

    /// Whether the answer ended with the connection, which broke.
    [[nodiscard]] bool endedByBreak() const
    {
        return parser->need_eof() && brokeWhileSending && !isTunnelled; // A proxy reports how the target's ended.
    }

    tcp::socket socket;
    TunnelStream tunnel;
    bool isTunnelled = false; ///< Whether responses are read from `tunnel`.
    OperationTimeout expiry;
    /// Its limit bounds what no limit of the parser covers, such as the size line of a chunk.
    beast::flat_buffer buffer{MaxHeadBytes};
    http::request<http::span_body<const char>> request;
    SharedBody body; ///< The bytes of the request's body.
    std::unique_ptr<Parser> parser;
    std::string lastError;
    std::uint64_t maxBodyBytes = MaxBodyBytes;
    bool bodyTooLarge = false;
    bool refused = false;
    bool requestSent = false;
    bool brokeWhileSending = false; ///< Whether the write of the request failed because the connection broke.
    bool serverKeepsAlive = false; ///< Whether the server keeps the connection open after this response.
};

ClientConnection::ClientConnection(Loop &loop)
    : m_impl(std::make_shared<Impl>(loop))
{ }

ClientConnection::~ClientConnection()
{
    abort();
}

Task<std::string> ClientConnection::connect(core::Address address, core::Duration timeout)
{
    const auto impl = m_impl;
    error_code invalid;
    const auto host = asio::ip::make_address(address.host, invalid);
    if (invalid) {
        impl->lastError = core::cat(address.host, " is not an IP address");
        co_return impl->lastError;
    }
    const auto error = co_await impl->awaitWithTimeout(timeout, [&] { return impl->connect(host, address.port); });
    impl->refused = error == asio::error::connection_refused;
    if (error) {
        impl->lastError = core::cat("connect: ", error.message());
        impl->close();
        co_return impl->lastError;
    }
    co_return std::string();
}

Task<TunnelResult> ClientConnection::connectThrough(TunnelRequest tunnel, core::Duration timeout)
{
    constexpr auto ProxyMargin = absl::Milliseconds(10); // For the transit of the proxy's response.
    const auto impl = m_impl;
    error_code invalid;
    const auto host = asio::ip::make_address(tunnel.proxy.host, invalid);
    if (invalid) {
        impl->lastError = core::cat(tunnel.proxy.host, " is not an IP address");
        co_return TunnelResult::ProxyUnavailable;
    }
    const auto startedAt = core::now();
    auto result = TunnelResult::ProxyUnavailable;
    const auto error = co_await impl->awaitWithTimeout(timeout, [&]() -> Task<error_code> {
        const auto connectError = co_await impl->connect(host, tunnel.proxy.port);
        if (connectError) {
            co_return connectError;
        }
        const auto timeLeft = startedAt + timeout - core::now() - ProxyMargin;
        const auto request = writeTunnelRequest(tunnel, timeLeft);
        http::request<http::empty_body> message;
        message.version(HttpVersion);
        message.method_string(request.method);
        message.target(request.target);
        toBeast(request.headers, message);
        auto [writeError, sent] = co_await http::async_write(impl->socket, message, Awaited);
        if (writeError) {
            co_return writeError;
        }
        http::response_parser<http::empty_body> parser;
        parser.skip(true); // What follows the head of an open tunnel are frames.
        auto [readError, received]
            = co_await http::async_read_header(impl->socket, impl->tunnel.received(), parser, Awaited);
        if (!readError) {
            const auto field = parser.get()[TunnelErrorField];
            result = readTunnelResponse(static_cast<int>(parser.get().result_int()), {field.data(), field.size()});
        }
        co_return readError;
    });
    if (error) {
        result = TunnelResult::ProxyUnavailable;
    }
    impl->isTunnelled = result == TunnelResult::Open;
    if (!impl->isTunnelled) {
        impl->lastError = core::cat("tunnel: ", core::nameOf(result), error ? " " + error.message() : "");
        impl->close();
    }
    co_return result;
}

void ClientConnection::limitBodies(std::uint64_t maxBytes) noexcept
{
    m_impl->maxBodyBytes = maxBytes;
}

bool ClientConnection::bodyTooLarge() const noexcept
{
    return m_impl->bodyTooLarge;
}

void ClientConnection::startSend(const Request &request)
{
    startSend(request, std::make_shared<const std::string>(request.body));
}

void ClientConnection::startSend(const Request &request, SharedBody body)
{
    auto &message = m_impl->request;
    message = {};
    m_impl->body = std::move(body);
    const auto &bytes = *m_impl->body;
    message.version(HttpVersion);
    message.method_string(request.method);
    message.target(request.target);
    toBeast(request.headers, message);
    if (request.hasBody || !bytes.empty()) {
        message.body() = {bytes.data(), bytes.size()};
        message.content_length(bytes.size());
    }
    m_impl->requestSent = false;
    m_impl->brokeWhileSending = false;
    m_impl->parser = nullptr;
    http::async_write(m_impl->socket, message, [impl = m_impl](const error_code &error, std::size_t) {
        impl->requestSent = !error;
        impl->brokeWhileSending = showsBrokenConnection(error);
        if (error && error != asio::error::operation_aborted) {
            impl->lastError = core::cat("send: ", error.message());
        }
    });
}

Task<std::optional<ResponseHead>> ClientConnection::readHead(core::Time deadline)
{
    const auto impl = m_impl;
    for (;;) {
        impl->parser = std::make_unique<Parser>();
        auto &parser = *impl->parser;
        parser.header_limit(MaxHeadBytes);
        parser.body_limit(impl->maxBodyBytes);
        parser.skip(impl->request.method() == http::verb::head);
        const auto error
            = co_await impl->awaitWithTimeout(deadline - core::now(), [&] { return impl->readHeader(parser); });
        if (error) {
            impl->bodyTooLarge = error == http::error::body_limit;
            impl->lastError = core::cat("head: ", error.message());
            impl->close();
            co_return std::nullopt;
        }
        switch (kindOf(parser.get().result_int())) {
        case ResponseKind::Interim:
            break;
        case ResponseKind::Final:
            impl->serverKeepsAlive = parser.keep_alive();
            co_return toHead(parser);
        case ResponseKind::Invalid:
            impl->lastError = core::cat("head: status ", parser.get().result_int());
            impl->close();
            co_return std::nullopt;
        }
    }
}

Task<BodyPiece> ClientConnection::readBody(core::Time deadline)
{
    const auto impl = m_impl;
    auto &parser = *impl->parser;
    std::array<char, MaxBodyPieceBytes> bytes{};
    BodyPiece piece;
    while (!parser.is_done() && piece.bytes.empty()) {
        auto &body = parser.get().body();
        body.data = bytes.data();
        body.size = bytes.size();
        body.more = true;
        auto error = co_await impl->awaitWithTimeout(deadline - core::now(), [&] { return impl->readSome(parser); });
        if (error == http::error::need_buffer) {
            error = {};
        }
        piece.bytes.assign(bytes.data(), bytes.size() - parser.get().body().size);
        if (!error && parser.is_done() && impl->endedByBreak()) {
            error = asio::error::connection_reset;
        }
        if (error) {
            impl->bodyTooLarge = error == http::error::body_limit;
            impl->lastError = core::cat("body: ", error.message());
            impl->close();
            piece.state = BodyPiece::State::Failed;
            co_return piece;
        }
    }
    piece.state = parser.is_done() ? BodyPiece::State::Complete : BodyPiece::State::More;
    co_return piece;
}

bool ClientConnection::isReusable() const
{
    const auto &impl = *m_impl;
    return impl.socket.is_open() && impl.requestSent && impl.serverKeepsAlive && impl.parser && impl.parser->is_done()
        && impl.buffer.size() == 0;
}

bool ClientConnection::connectionRefused() const noexcept
{
    return m_impl->refused;
}

bool ClientConnection::tunnelLost() const noexcept
{
    return m_impl->isTunnelled && m_impl->tunnel.isLost();
}

tcp::socket ClientConnection::releaseSocket()
{
    return std::move(m_impl->socket);
}

const std::string &ClientConnection::lastError() const noexcept
{
    return m_impl->lastError;
}

void ClientConnection::abort()
{
    m_impl->close();
}

Task<std::optional<Response>> exchange(Loop &loop, core::Address address, Request request, core::Time deadline,
                                       std::string &error)
{
    ClientConnection connection(loop);
    error = co_await connection.connect(address, deadline - core::now());
    if (!error.empty()) {
        co_return std::nullopt;
    }
    co_return co_await exchange(connection, std::move(request), deadline, error);
}

Task<std::optional<Response>> exchange(ClientConnection &connection, Request request, core::Time deadline,
                                       std::string &error, std::uint64_t maxBodyBytes)
{
    connection.limitBodies(maxBodyBytes);
    connection.startSend(request);
    auto head = co_await connection.readHead(deadline);
    if (!head) {
        error = connection.lastError();
        co_return std::nullopt;
    }
    Response response{std::move(*head), {}};
    for (;;) {
        auto piece = co_await connection.readBody(deadline);
        response.body += piece.bytes;
        if (piece.state == BodyPiece::State::Complete) {
            co_return response;
        }
        if (piece.state == BodyPiece::State::Failed) {
            error = connection.lastError();
            co_return std::nullopt;
        }
    }
}

} // namespace spurlug::net
