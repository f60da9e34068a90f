//----------------------------------------------------------------------------------------------------------------------
// spurlug: parser of completion request bodies
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace spurlug::admission
{

/// \brief Fields of a completion request that spurlug uses; the body itself is forwarded unchanged.
struct RequestBody
{
    std::string model;
    bool stream = false; ///< Whether the answer should be streamed.
    bool includeUsage = false; ///< Whether the stream should include token usage.
    std::int64_t maxTokens = 0; ///< Maximum number of answer tokens; 0 if not given.
    std::int64_t promptBytes = 0; ///< Total bytes of the prompt's texts.
    std::uint64_t prefixHash = 0; ///< Hash of the first 2048 bytes of the prompt; 0 if it is shorter.
};

/// \brief Parses a body without copying its prompt.
/// \throws Refused with MalformedBody.
[[nodiscard]] RequestBody parseRequestBody(std::string_view body);

} // namespace spurlug::admission
