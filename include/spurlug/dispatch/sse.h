//----------------------------------------------------------------------------------------------------------------------
// spurlug: server-sent events
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace spurlug::dispatch
{

/// \brief One server-sent event.
struct SseEvent
{
    std::string name; ///< Of the `event:` field; empty for a plain message.
    std::string id;
    std::string data;
};

/// \brief Cuts a stream of bytes into server-sent events.
class SseParser
{
public:
    /// \brief Adds bytes as they arrive.
    void feed(std::string_view bytes);

    /// \brief Takes the next whole event; comments are passed over.
    [[nodiscard]] std::optional<SseEvent> next();

private:
    std::string m_buffer;
    std::size_t m_start = 0;
};

/// \brief Writes a plain message with `data`.
[[nodiscard]] std::string writeSse(std::string_view data);

} // namespace spurlug::dispatch
