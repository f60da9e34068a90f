//----------------------------------------------------------------------------------------------------------------------
// spurlug: a host and a port
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace spurlug::core
{

/// \brief An IP number (or "localhost") and a port, written `host:port`.
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const;
    [[nodiscard]] bool operator==(const Address &) const = default;
};

/// \brief Reads `host:port`.
/// \throws InvalidDocument when the text has no host, or a port outside 0 to 65535.
[[nodiscard]] Address parseAddress(std::string_view text);

} // namespace spurlug::core
