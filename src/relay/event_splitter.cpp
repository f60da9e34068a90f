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

std::optional<std::size_t> EventSplitter::findEventEnd()
{
    for (;;) {
        const auto lineEnd = m_buffer.find('\n', m_searchFrom);
        if (lineEnd == std::string::npos) {
            m_searchFrom = m_buffer.size();
            return std::nullopt;
        }
        const bool blank = lineEnd == m_lineStart || (lineEnd == m_lineStart + 1 && m_buffer[m_lineStart] == '\r');
        m_lineStart = lineEnd + 1;
        m_searchFrom = m_lineStart;
        if (blank) {
            return m_lineStart;
        }
    }
}

std::optional<StreamEvent> EventSplitter::next()
{
    const auto length = findEventEnd();
    if (!length) {
        return std::nullopt;
    }
    StreamEvent event;
    event.bytes = m_buffer.substr(0, *length);
    event.id = eventId(event.bytes);
    m_buffer.erase(0, *length);
    m_lineStart = 0;
    m_searchFrom = 0;
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
