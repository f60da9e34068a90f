//----------------------------------------------------------------------------------------------------------------------
// spurlug: TCP tunnels through another daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/net/tunnel.h"

#include "spurlug/core/counted.h"
#include "spurlug/core/error.h"
#include "spurlug/core/http_status.h"
#include "spurlug/core/text.h"
#include "spurlug/net/spawn.h"
#include "spurlug/net/tunnel_stream.h"
#include "spurlug/net/write_error.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <vector>

namespace spurlug::net
{

namespace
{

using asio::ip::tcp;
using boost::system::error_code;

constexpr std::string_view ConnectTimeoutField = "Connect-Timeout-Ms";
constexpr std::string_view LifetimeField = "Tunnel-Lifetime-Ms";
constexpr std::size_t MaxFrameBytes = 16 << 10;
/// Time for the client to read the end of the target's answer before the connection is closed.
constexpr auto LingerTimeout = absl::Milliseconds(500);

/// Both connections of a tunnel. Closing one ends the coroutine that reads from it.
struct Tunnel : core::RefCounted<Tunnel>
{
    Tunnel(tcp::socket clientSocket, tcp::socket targetSocket)
        : client(std::move(clientSocket))
        , target(std::move(targetSocket))
        , expiry(client.get_executor())
    { }

    static void close(tcp::socket &socket)
    {
        error_code ignored; // It may be closed already.
        socket.close(ignored);
    }

    /// Closes both connections after a time, in place of an earlier expiry.
    void expireAfter(core::Duration time)
    {
        expiry.expires_after(toTimerDuration(time));
        expiry.async_wait([self = core::Ref<Tunnel>(this)](const error_code &error) {
            if (!error) {
                close(self->client);
                close(self->target);
            }
        });
    }

    tcp::socket client;
    tcp::socket target;
    bool targetBroke = false; ///< Whether a write showed that the target's connection broke.
    Timer expiry;
};

/// Passes the client's bytes on until it closes; discards them once the target accepts no more.
Task<> forwardRequest(core::Ref<Tunnel> tunnel)
{
    std::vector<char> buffer(MaxFrameBytes);
    bool targetAccepts = true;
    for (;;) {
        auto [readError, received] = co_await tunnel->client.async_read_some(asio::buffer(buffer), Awaited);
        if (readError) {
            break;
        }
        if (targetAccepts) {
            auto [writeError, sent]
                = co_await asio::async_write(tunnel->target, asio::buffer(buffer.data(), received), Awaited);
            targetAccepts = !writeError;
            tunnel->targetBroke = showsBrokenConnection(writeError);
        }
    }
    Tunnel::close(tunnel->target); // The client is gone: the target stops its work.
    Tunnel::close(tunnel->client);
    tunnel->expiry.cancel();
}

std::array<unsigned char, sizeof(FrameLength)> framePrefix(FrameLength length)
{
    std::array<unsigned char, sizeof(FrameLength)> prefix{};
    boost::endian::store_big_u32(prefix.data(), length);
    return prefix;
}

/// Passes the target's bytes on in frames until its connection ends.
Task<> forwardAnswer(core::Ref<Tunnel> tunnel)
{
    std::vector<char> buffer(MaxFrameBytes);
    for (;;) {
        auto [readError, received] = co_await tunnel->target.async_read_some(asio::buffer(buffer), Awaited);
        if (readError) {
            const bool closedInOrder = readError == asio::error::eof && !tunnel->targetBroke;
            const auto mark = framePrefix(closedInOrder ? TargetClosedMark : TargetBrokeMark);
            auto [writeError, sent] = co_await asio::async_write(tunnel->client, asio::buffer(mark), Awaited);
            if (!writeError) {
                tunnel->client.shutdown(tcp::socket::shutdown_send, writeError);
                tunnel->expireAfter(LingerTimeout); // `forwardRequest` ends when the client closes.
            }
            co_return;
        }
        const auto prefix = framePrefix(static_cast<FrameLength>(received));
        const std::array<asio::const_buffer, 2> frame{asio::buffer(prefix), asio::buffer(buffer.data(), received)};
        auto [writeError, sent] = co_await asio::async_write(tunnel->client, frame, Awaited);
        if (writeError) {
            co_return; // `forwardRequest` sees the same and closes the target's connection.
        }
    }
}

std::optional<core::Duration> milliseconds(const Headers &headers, std::string_view name)
{
    std::int64_t value = 0;
    if (!core::parseInteger(headers.value(name), value) || value <= 0) {
        return std::nullopt;
    }
    return absl::Milliseconds(value);
}

} // namespace

Request writeTunnelRequest(const TunnelRequest &tunnel, core::Duration connectTimeout)
{
    Request request;
    request.method = "CONNECT";
    request.target = tunnel.target.text();
    request.headers.add("Host", request.target);
    request.headers.add(ConnectTimeoutField, core::cat(std::max<std::int64_t>(core::toMs(connectTimeout), 1)));
    request.headers.add(LifetimeField, core::cat(std::max<std::int64_t>(core::toMs(tunnel.lifetime), 1)));
    return request;
}

std::optional<RequestedTunnel> readTunnelRequest(const Request &request)
{
    const auto connectTimeout = milliseconds(request.headers, ConnectTimeoutField);
    const auto lifetime = milliseconds(request.headers, LifetimeField);
    if (request.method != "CONNECT" || !connectTimeout || !lifetime) {
        return std::nullopt;
    }
    try {
        return RequestedTunnel{core::parseAddress(request.target), *connectTimeout, *lifetime};
    } catch (const core::InvalidDocument &) {
        return std::nullopt;
    }
}

ResponseHead writeTunnelResponse(TunnelResult result)
{
    ResponseHead head;
    switch (result) {
    case TunnelResult::Open:
        head.status = core::http_status::Ok;
        return head;
    case TunnelResult::TargetRefused:
    case TunnelResult::TargetUnreachable:
        head.status = core::http_status::BadGateway;
        break;
    case TunnelResult::ProxyUnavailable:
        head.status = core::http_status::ServiceUnavailable;
        break;
    }
    head.headers.add(TunnelErrorField, core::nameOf(result));
    return head;
}

TunnelResult readTunnelResponse(int status, std::string_view errorField)
{
    if (status == core::http_status::Ok) {
        return TunnelResult::Open;
    }
    if (status == core::http_status::BadGateway) {
        for (const auto result : {TunnelResult::TargetRefused, TunnelResult::TargetUnreachable}) {
            if (errorField == core::nameOf(result)) {
                return result;
            }
        }
    }
    return TunnelResult::ProxyUnavailable;
}

Task<> relayTunnel(tcp::socket client, tcp::socket target, core::Duration lifetime)
{
    auto tunnel = core::makeRef<Tunnel>(std::move(client), std::move(target));
    tunnel->expireAfter(lifetime);
    spawn(tunnel->client.get_executor(), "tunnel", forwardAnswer(tunnel));
    co_await forwardRequest(tunnel);
}

} // namespace spurlug::net
