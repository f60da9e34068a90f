//----------------------------------------------------------------------------------------------------------------------
// spurlug: parses and writes server-sent events
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace spurlug::dispatch
{

/// \brief One server-sent event.
struct SseEvent
{
    std::string name; ///< Value of the `event:` field; empty for a plain message.
    std::string id;
    std::string data;
};

/// \brief Incremental parser that splits a byte stream into server-sent events.
class SseParser
{
public:
    /// \brief Appends received bytes, which may end within an event.
    void feed(std::string_view bytes);

    /// \brief Returns the next complete event, or nullopt if there is none yet; comments are skipped.
    [[nodiscard]] std::optional<SseEvent> next();

    /// \brief Number of bytes of the event that is incomplete.
    [[nodiscard]] std::size_t pendingBytes() const noexcept;

private:
    std::string m_buffer;
    std::size_t m_parsedBytes = 0;
};

/// \brief Returns an event that has only a `data:` field; `data` is a single line.
[[nodiscard]] std::string writeSse(std::string_view data);

} // namespace spurlug::dispatch
