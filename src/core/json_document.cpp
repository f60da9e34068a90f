//----------------------------------------------------------------------------------------------------------------------
// spurlug: JSON documents of other programs
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/json_document.h"

#include <algorithm>

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

} // namespace spurlug::core
