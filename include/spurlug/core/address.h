//----------------------------------------------------------------------------------------------------------------------
// spurlug: host and port of an endpoint
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace spurlug::core
{

/// \brief An IP address (or "localhost") and a port.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    /// \brief The address as `host:port`.
    [[nodiscard]] std::string text() const;
    [[nodiscard]] bool operator==(const Address &) const = default;
};

/// \brief Parses `host:port`.
/// \throws InvalidDocument when the text has no host, or a port outside 0 to 65535.
[[nodiscard]] Address parseAddress(std::string_view text);

} // namespace spurlug::core
