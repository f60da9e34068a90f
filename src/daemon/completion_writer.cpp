//----------------------------------------------------------------------------------------------------------------------
// spurlug: converts answers of model engines to the OpenAI format for callers
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/daemon/completion_writer.h"

#include "spurlug/core/json_document.h"
#include "spurlug/core/text.h"
#include "spurlug/dispatch/sse.h"

#include <absl/time/clock.h>
#include <utility>

namespace spurlug::daemon
{

namespace
{

struct FinishInfo
{
    nlohmann::json reason = "stop";
    nlohmann::json usage;
};

FinishInfo readFinish(std::string_view payload)
{
    FinishInfo info;
    const auto value = core::parseJson(payload);
    if (value.is_object()) {
        info.reason = value.value("finish_reason", nlohmann::json("stop"));
        info.usage = value.value("usage", nlohmann::json::object());
    }
    return info;
}

} // namespace

CompletionWriter::CompletionWriter(CompletionKind kind, std::string requestId, std::string model)
    : m_kind(kind)
    , m_requestId(std::move(requestId))
    , m_model(std::move(model))
{ }

nlohmann::ordered_json CompletionWriter::head(std::string_view object) const
{
    return {{"id", m_requestId}, {"object", object}, {"created", absl::ToUnixSeconds(absl::Now())}, {"model", m_model}};
}

void CompletionWriter::addChunk(std::string_view payload)
{
    const auto chunk = core::parseJson(payload);
    if (!chunk.is_object() || !chunk.contains("choices") || chunk["choices"].empty()) {
        return;
    }
    const auto &choice = chunk["choices"][0];
    if (m_kind == CompletionKind::Text) {
        m_text += choice.value("text", "");
    } else if (choice.contains("delta")) {
        m_text += choice["delta"].value("content", "");
    }
}

std::string CompletionWriter::fullAnswer(std::string_view finishPayload) const
{
    const auto finish = readFinish(finishPayload);
    nlohmann::ordered_json choice{{"index", 0}};
    if (m_kind == CompletionKind::Chat) {
        choice["message"] = {{"role", "assistant"}, {"content", m_text}};
    } else {
        choice["text"] = m_text;
    }
    choice["finish_reason"] = finish.reason;
    auto answer = head(m_kind == CompletionKind::Chat ? "chat.completion" : "text_completion");
    answer["choices"] = nlohmann::ordered_json::array({std::move(choice)});
    answer["usage"] = finish.usage;
    return answer.dump();
}

std::string CompletionWriter::finalEvents(std::string_view finishPayload, bool includeUsage) const
{
    const auto finish = readFinish(finishPayload);
    const auto *object = m_kind == CompletionKind::Chat ? "chat.completion.chunk" : "text_completion";
    nlohmann::ordered_json choice{{"index", 0}};
    if (m_kind == CompletionKind::Chat) {
        choice["delta"] = nlohmann::ordered_json::object();
    } else {
        choice["text"] = "";
    }
    choice["finish_reason"] = finish.reason;
    auto last = head(object);
    last["choices"] = nlohmann::ordered_json::array({std::move(choice)});
    auto text = dispatch::writeSse(last.dump());
    if (includeUsage) {
        auto usage = head(object);
        usage["choices"] = nlohmann::ordered_json::array();
        usage["usage"] = finish.usage;
        text += dispatch::writeSse(usage.dump());
    }
    core::append(text, ": spurlug-outcome completed\n\n", dispatch::writeSse("[DONE]"));
    return text;
}

std::int64_t promptTokensOf(std::string_view finishPayload)
{
    const auto usage = readFinish(finishPayload).usage;
    return usage.is_object() ? usage.value("prompt_tokens", std::int64_t{0}) : 0;
}

} // namespace spurlug::daemon
