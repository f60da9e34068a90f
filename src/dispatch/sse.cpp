//----------------------------------------------------------------------------------------------------------------------
// spurlug: parses and writes server-sent events
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/dispatch/sse.h"

#include "spurlug/core/text.h"

#include <algorithm>

namespace spurlug::dispatch
{

namespace
{

constexpr std::string_view Separator = "\n\n";

std::string_view fieldValue(std::string_view line, std::string_view name)
{
    auto value = line.substr(name.size());
    if (value.starts_with(" ")) {
        value.remove_prefix(1);
    }
    return value;
}

bool readField(std::string_view line, std::string_view name, std::string &value)
{
    if (!line.starts_with(name)) {
        return false;
    }
    value = fieldValue(line, name);
    return true;
}

SseEvent parseEvent(std::string_view block)
{
    SseEvent event;
    while (!block.empty()) {
        const auto lineEnd = std::min(block.find('\n'), block.size());
        const auto line = block.substr(0, lineEnd);
        block.remove_prefix(std::min(lineEnd + 1, block.size()));
        [[maybe_unused]] const bool isKnownField = readField(line, "data:", event.data)
            || readField(line, "id:", event.id) || readField(line, "event:", event.name);
    }
    return event;
}

} // namespace

void SseParser::feed(std::string_view bytes)
{
    if (m_parsedBytes > 0) {
        m_buffer.erase(0, m_parsedBytes);
        m_parsedBytes = 0;
    }
    m_buffer.append(bytes);
}

std::optional<SseEvent> SseParser::next()
{
    while (true) {
        const auto end = m_buffer.find(Separator, m_parsedBytes);
        if (end == std::string::npos) {
            return std::nullopt;
        }
        const auto block = std::string_view(m_buffer).substr(m_parsedBytes, end - m_parsedBytes);
        m_parsedBytes = end + Separator.size();
        auto event = parseEvent(block);
        if (!event.data.empty() || !event.name.empty()) {
            return event;
        }
    }
}

std::size_t SseParser::pendingBytes() const noexcept
{
    return m_buffer.size() - m_parsedBytes;
}

std::string writeSse(std::string_view data)
{
    return core::cat("data: ", data, "\n\n");
}

} // namespace spurlug::dispatch
