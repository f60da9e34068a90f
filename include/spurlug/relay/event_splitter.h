//----------------------------------------------------------------------------------------------------------------------
// spurlug: splits an event stream into complete events
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace spurlug::relay
{

/// \brief One server-sent event with its original bytes.
struct StreamEvent
{
    std::string bytes; ///< Bytes of the event, including the blank line at its end.
    std::optional<std::int64_t> id; ///< Value of the `id` field, if it is a whole number.
};

/// \brief Splits a stream of server-sent events into complete events without changing any byte.
class EventSplitter
{
public:
    /// \brief Appends received bytes.
    void append(std::string_view bytes);

    /// \brief Removes and returns the next event; nothing until it is complete.
    [[nodiscard]] std::optional<StreamEvent> next();

    /// \brief Whether any bytes are buffered. After `next` returned nothing, they are an incomplete event.
    [[nodiscard]] bool hasPartialEvent() const noexcept;

    /// \brief Number of buffered bytes.
    [[nodiscard]] std::size_t bufferedBytes() const noexcept;

private:
    /// Length of the first event including its blank line; nothing if it is incomplete.
    [[nodiscard]] std::optional<std::size_t> findEventEnd();

    std::string m_buffer;
    std::size_t m_lineStart = 0; ///< Start of the first line that is not known to be complete.
    std::size_t m_searchFrom = 0; ///< No line ends between `m_lineStart` and this position.
};

} // namespace spurlug::relay
