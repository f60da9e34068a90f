//----------------------------------------------------------------------------------------------------------------------
// spurlug: HTTP message types
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/net/http_message.h"

#include "spurlug/core/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>

namespace spurlug::net
{

namespace
{

constexpr std::array<std::string_view, 9> HopByHopNames{
    "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade"};

} // namespace

void Headers::add(std::string_view name, std::string_view value)
{
    m_fields.push_back({std::string(name), std::string(value)});
}

void Headers::set(std::string_view name, std::string_view value)
{
    remove(name);
    add(name, value);
}

void Headers::remove(std::string_view name)
{
    std::erase_if(m_fields, [&](const HeaderField &field) { return core::equalsIgnoreCase(field.name, name); });
}

const std::string *Headers::find(std::string_view name) const noexcept
{
    const auto found = std::find_if(m_fields.begin(), m_fields.end(),
                                    [&](const HeaderField &field) { return core::equalsIgnoreCase(field.name, name); });
    return found == m_fields.end() ? nullptr : &found->value;
}

std::string_view Headers::value(std::string_view name) const noexcept
{
    const auto *found = find(name);
    return found != nullptr ? std::string_view(*found) : std::string_view();
}

bool Headers::containsToken(std::string_view name, std::string_view token) const
{
    for (const auto &field : m_fields) {
        if (!core::equalsIgnoreCase(field.name, name)) {
            continue;
        }
        for (const auto piece : absl::StrSplit(field.value, ',')) {
            const auto trimmed = absl::StripAsciiWhitespace(piece);
            if (core::equalsIgnoreCase({trimmed.data(), trimmed.size()}, token)) {
                return true;
            }
        }
    }
    return false;
}

const std::vector<HeaderField> &Headers::fields() const noexcept
{
    return m_fields;
}

bool isHopByHop(const Headers &headers, std::string_view name)
{
    const bool listed = std::any_of(HopByHopNames.begin(), HopByHopNames.end(),
                                    [&](std::string_view hop) { return core::equalsIgnoreCase(hop, name); });
    return listed || headers.containsToken("Connection", name);
}

} // namespace spurlug::net
