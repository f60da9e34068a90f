//----------------------------------------------------------------------------------------------------------------------
// spurlug: what a completion request asks for
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace spurlug::admission
{

/// \brief The fields of a completion request that spurlug acts on; the body itself is passed on as it came.
struct RequestBody
{
    std::string model;
    bool stream = false;
    bool includeUsage = false;
    std::int64_t maxTokens = 0; ///< 0: not given.
    std::int64_t promptBytes = 0; ///< Bytes of all texts of the prompt.
    std::uint64_t prefix = 0; ///< Hash of the prompt's first kilobytes; 0 when it is shorter.
};

/// \brief Reads a body without keeping a copy of its prompt.
/// \throws Refused with MalformedBody.
[[nodiscard]] RequestBody readRequestBody(std::string_view body);

} // namespace spurlug::admission
