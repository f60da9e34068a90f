//----------------------------------------------------------------------------------------------------------------------
// spurlug: host and port of an endpoint
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/address.h"

#include "spurlug/core/error.h"
#include "spurlug/core/text.h"

namespace spurlug::core
{

std::string Address::text() const
{
    return cat(host, ":", port);
}

Address parseAddress(std::string_view text)
{
    constexpr std::uint32_t MaxPort = 65535;
    const auto colon = text.rfind(':');
    std::uint32_t port = 0;
    if (colon == std::string_view::npos || colon == 0 || !parseInteger(text.substr(colon + 1), port)
        || port > MaxPort) {
        throw InvalidDocument(cat("expected HOST:PORT, found '", text, "'"));
    }
    return {std::string(text.substr(0, colon)), static_cast<std::uint16_t>(port)};
}

} // namespace spurlug::core
