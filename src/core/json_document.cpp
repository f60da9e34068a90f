//----------------------------------------------------------------------------------------------------------------------
// spurlug: JSON documents of other programs
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/json_document.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace spurlug::core
{

int jsonDepth(std::string_view text) noexcept
{
    int depth = 0;
    int maxDepth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString) {
            i += c == '\\' ? 1 : 0;
            inString = c != '"';
        } else if (c == '"') {
            inString = true;
        } else if (c == '{' || c == '[') {
            maxDepth = std::max(maxDepth, ++depth);
        } else if (c == '}' || c == ']') {
            --depth;
        }
    }
    return maxDepth;
}

nlohmann::json parseJson(std::string_view text)
{
    if (jsonDepth(text) > MaxJsonDepth) {
        return nlohmann::json::value_t::discarded;
    }
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace spurlug::core
