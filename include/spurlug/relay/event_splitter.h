//----------------------------------------------------------------------------------------------------------------------
// spurlug: whole events of a stream, as they were sent
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace spurlug::relay
{

/// \brief One event, to be passed on byte for byte.
struct StreamEvent
{
    std::string bytes; ///< The blank line at its end included.
    std::optional<std::int64_t> id;
};

/// \brief Cuts a stream of server-sent events into whole events without changing a byte.
class EventSplitter
{
public:
    void feed(std::string_view bytes);

    /// \brief Takes the next whole event; nothing while it has not arrived whole.
    [[nodiscard]] std::optional<StreamEvent> next();

    /// \brief Whether bytes wait that are no whole event yet.
    [[nodiscard]] bool inTheMiddle() const noexcept;

    /// \brief Bytes that wait.
    [[nodiscard]] std::size_t waiting() const noexcept;

private:
    std::string m_buffer;
};

} // namespace spurlug::relay
