//----------------------------------------------------------------------------------------------------------------------
// spurlug: converts answers of model engines to the OpenAI format for callers
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace spurlug::daemon
{

/// \brief The completion endpoint that a caller uses.
enum class CompletionKind
{
    Chat,
    Text,
};

/// \brief Writes the final events of a stream, and full answers for callers that do not stream.
class CompletionWriter
{
public:
    CompletionWriter(CompletionKind kind, std::string requestId, std::string model);

    /// \brief Appends the text of one chunk to the full answer.
    void addChunk(std::string_view payload);

    /// \brief Returns the full answer as JSON.
    /// \param finishPayload Usage and finish reason as the engine sent them.
    [[nodiscard]] std::string fullAnswer(std::string_view finishPayload) const;

    /// \brief Returns the events that end a stream; `includeUsage` adds one with the token usage.
    [[nodiscard]] std::string finalEvents(std::string_view finishPayload, bool includeUsage) const;

private:
    [[nodiscard]] nlohmann::ordered_json head(std::string_view object) const;

    CompletionKind m_kind;
    std::string m_requestId;
    std::string m_model;
    std::string m_text;
};

/// \brief Number of prompt tokens that the engine reported; 0 if it reported none.
[[nodiscard]] std::int64_t promptTokensOf(std::string_view finishPayload);

} // namespace spurlug::daemon
