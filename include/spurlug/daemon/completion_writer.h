//----------------------------------------------------------------------------------------------------------------------
// spurlug: answers of model engines in the shape callers expect
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace spurlug::daemon
{

/// \brief Which of the two completion interfaces a caller uses.
enum class CompletionKind
{
    Chat,
    Text,
};

/// \brief Writes the last events of a stream, and whole answers for callers that do not stream.
class CompletionWriter
{
public:
    CompletionWriter(CompletionKind kind, std::string requestId, std::string model);

    /// \brief Adds the text of one chunk, for a whole answer.
    void addChunk(std::string_view payload);

    /// \brief The whole answer.
    /// \param finishPayload The engine's word on usage and finish reason.
    [[nodiscard]] std::string wholeAnswer(std::string_view finishPayload) const;

    /// \brief The events that end a stream.
    [[nodiscard]] std::string streamEnd(std::string_view finishPayload, bool includeUsage) const;

private:
    [[nodiscard]] nlohmann::ordered_json head(std::string_view object) const;

    CompletionKind m_kind;
    std::string m_requestId;
    std::string m_model;
    std::string m_text;
};

/// \brief Prompt tokens that an engine counted; 0 when it did not say.
[[nodiscard]] std::int64_t promptTokensOf(std::string_view finishPayload);

} // namespace spurlug::daemon
