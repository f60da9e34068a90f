//----------------------------------------------------------------------------------------------------------------------
// spurlug: splits an event stream into complete events
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/event_splitter.h"

#include "spurlug/core/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

namespace spurlug::relay
{

namespace
{

/// Length of the first event including its blank line; npos if it is incomplete.
std::size_t eventLength(const std::string &buffer)
{
    std::size_t lineStart = 0;
    for (;;) {
        const auto lineEnd = buffer.find('\n', lineStart);
        if (lineEnd == std::string::npos) {
            return std::string::npos;
        }
        const bool blank = lineEnd == lineStart || (lineEnd == lineStart + 1 && buffer[lineStart] == '\r');
        if (blank) {
            return lineEnd + 1;
        }
        lineStart = lineEnd + 1;
    }
}

std::optional<std::int64_t> eventId(const std::string &event)
{
    constexpr std::string_view Field = "id:";
    for (const auto line : absl::StrSplit(event, '\n')) {
        if (line.substr(0, Field.size()) != absl::string_view(Field.data(), Field.size())) {
            continue;
        }
        const auto text = absl::StripAsciiWhitespace(line.substr(Field.size()));
        std::int64_t id = 0;
        return core::parseInteger({text.data(), text.size()}, id) ? std::optional(id) : std::nullopt;
    }
    return std::nullopt;
}

} // namespace

void EventSplitter::append(std::string_view bytes)
{
    m_buffer.append(bytes);
}

std::optional<StreamEvent> EventSplitter::next()
{
    const auto length = eventLength(m_buffer);
    if (length == std::string::npos) {
        return std::nullopt;
    }
    StreamEvent event;
    event.bytes = m_buffer.substr(0, length);
    event.id = eventId(event.bytes);
    m_buffer.erase(0, length);
    return event;
}

bool EventSplitter::hasPartialEvent() const noexcept
{
    return !m_buffer.empty();
}

std::size_t EventSplitter::bufferedBytes() const noexcept
{
    return m_buffer.size();
}

} // namespace spurlug::relay
