//----------------------------------------------------------------------------------------------------------------------
// spurlug: TCP tunnels through another daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/enum_names.h"
#include "spurlug/core/time.h"
#include "spurlug/net/http_message.h"
#include "spurlug/net/io.h"

#include <boost/asio/ip/tcp.hpp>
#include <optional>

namespace spurlug::net
{

/// \brief How a request for a tunnel ended.
enum class TunnelResult
{
    Open,
    TargetRefused, ///< The proxy was refused: the target's host is up, but nothing listens there.
    TargetUnreachable, ///< The proxy connects to other targets, but not to this one.
    ProxyUnavailable, ///< The proxy was not reached, declines, or its own links may be down.
};

/// \brief A request for a tunnel.
struct TunnelRequest
{
    core::Address proxy;
    core::Address target;
    /// The proxy closes the tunnel after this time, so that it does not keep tunnels of hosts that lost power.
    core::Duration lifetime = absl::ZeroDuration();
};

/// \brief A tunnel that a proxy is asked to open, as read from the CONNECT request.
struct RequestedTunnel
{
    core::Address target;
    core::Duration connectTimeout;
    core::Duration lifetime;
};

/// \brief The CONNECT request for a tunnel.
/// \param connectTimeout Time in which the proxy must connect to the target.
[[nodiscard]] Request writeTunnelRequest(const TunnelRequest &tunnel, core::Duration connectTimeout);
/// \brief Reads a CONNECT request; nothing if it is malformed.
[[nodiscard]] std::optional<RequestedTunnel> readTunnelRequest(const Request &request);
/// \brief The proxy's response.
[[nodiscard]] ResponseHead writeTunnelResponse(TunnelResult result);
/// \brief Reads the proxy's response. Any response that is not one of `writeTunnelResponse` is ProxyUnavailable.
[[nodiscard]] TunnelResult readTunnelResponse(int status, std::string_view errorField);
/// \brief Name of the header field for `errorField`.
inline constexpr std::string_view TunnelErrorField = "Tunnel-Error";

/// \brief Passes bytes between the host that asked for a tunnel and its target until one of them closes.
///
/// The target's bytes are sent in frames (tunnel_stream.h), because a proxy that dies closes the connection just like a
/// target does at the end of an answer without a length.
[[nodiscard]] Task<> relayTunnel(asio::ip::tcp::socket client, asio::ip::tcp::socket target, core::Duration lifetime);

} // namespace spurlug::net

namespace spurlug::core
{

template<>
struct EnumNames<net::TunnelResult>
{
    using Result = net::TunnelResult;
    static constexpr std::array table{
        EnumName<Result>{Result::Open, "open"},
        EnumName<Result>{Result::TargetRefused, "refused"},
        EnumName<Result>{Result::TargetUnreachable, "unreachable"},
        EnumName<Result>{Result::ProxyUnavailable, "unavailable"},
    };
};

} // namespace spurlug::core
