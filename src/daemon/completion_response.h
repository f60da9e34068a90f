//----------------------------------------------------------------------------------------------------------------------
// spurlug: writes the response to a completion request
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/admission/admission.h"
#include "spurlug/admission/request_body.h"
#include "spurlug/core/text.h"
#include "spurlug/daemon/completion_writer.h"
#include "spurlug/daemon/error_body.h"
#include "spurlug/daemon/request_guard.h"
#include "spurlug/dispatch/sse.h"

#include <algorithm>
#include <httplib.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

namespace spurlug::daemon
{

/// \brief Maximum time before a stream starts although the outcome of the request is still unknown.
inline constexpr auto MaxStatusDelay = absl::Milliseconds(1500);

/// \brief Waits for the first output of the request, which determines the status of the response.
/// \returns `dispatch::NoOutput` if there is none within the given time.
[[nodiscard]] inline dispatch::Output firstOutput(dispatch::RequestHandler &handler, core::Duration maxWait)
{
    const auto waitEnd = core::now() + maxWait;
    while (true) {
        auto output = handler.next(
            std::min(core::Duration(CallerCheckInterval), std::max(waitEnd - core::now(), absl::ZeroDuration())));
        if (!std::holds_alternative<dispatch::NoOutput>(output) || core::now() >= waitEnd) {
            return output;
        }
    }
}

/// \brief Writes the answer to one completion request.
class CompletionResponse
{
public:
    CompletionResponse(std::shared_ptr<RequestGuard> guard, CompletionKind kind, admission::RequestBody fields,
                       admission::TokenEstimator &tokenEstimator)
        : m_guard(std::move(guard))
        , m_fields(std::move(fields))
        , m_tokenEstimator(tokenEstimator)
        , m_writer(kind, m_guard->handler->request().id, m_fields.model)
    { }

    /// \brief Waits until the request is complete or has failed, and writes the full answer or the error.
    void writeFull(httplib::Response &response)
    {
        while (true) {
            const auto output = m_guard->handler->next(CallerCheckInterval);
            if (const auto *tokens = std::get_if<dispatch::Tokens>(&output)) {
                std::for_each(tokens->payloads.begin(), tokens->payloads.end(),
                              [this](const auto &payload) { m_writer.addChunk(payload); });
            } else if (const auto *finished = std::get_if<dispatch::Finished>(&output)) {
                updateTokenEstimate(*finished);
                response.set_header("Spurlug-Outcome", std::string(core::nameOf(core::Outcome::Completed)));
                response.set_content(m_writer.fullAnswer(finished->payload), "application/json");
                return;
            } else if (const auto *failed = std::get_if<dispatch::Failed>(&output)) {
                writeError(response, toReply(failed->result, m_guard->handler->request().id));
                return;
            }
        }
    }

    /// \brief Starts the stream when the first output is available or `MaxStatusDelay` has passed; a failure until then
    /// becomes an error response.
    static void writeStream(const std::shared_ptr<CompletionResponse> &self, httplib::Response &response)
    {
        auto first = firstOutput(*self->m_guard->handler, MaxStatusDelay);
        if (const auto *failed = std::get_if<dispatch::Failed>(&first)) {
            writeError(response, toReply(failed->result, self->m_guard->handler->request().id));
            return;
        }
        self->m_firstOutput = std::move(first);
        constexpr int Ok = 200;
        response.status = Ok;
        response.set_header("Cache-Control", "no-cache");
        response.set_chunked_content_provider(
            "text/event-stream", [self](std::size_t, httplib::DataSink &sink) { return self->writeNext(sink); });
    }

private:
    bool writeNext(httplib::DataSink &sink)
    {
        auto output = m_firstOutput ? std::move(*m_firstOutput) : m_guard->handler->next(CallerCheckInterval);
        m_firstOutput.reset();
        if (const auto *tokens = std::get_if<dispatch::Tokens>(&output)) {
            std::string text;
            for (const auto &payload : tokens->payloads) {
                core::append(text, "data: ", payload, "\n\n");
            }
            return sink.write(text.data(), text.size());
        }
        if (const auto *finished = std::get_if<dispatch::Finished>(&output)) {
            updateTokenEstimate(*finished);
            return writeLast(sink, m_writer.finalEvents(finished->payload, m_fields.includeUsage));
        }
        if (const auto *failed = std::get_if<dispatch::Failed>(&output)) {
            const auto reply = toReply(failed->result, m_guard->handler->request().id);
            return writeLast(sink, dispatch::writeSse(errorBody(reply).dump()));
        }
        if (!sink.is_writable()) {
            m_guard->handler->abandon();
            return false;
        }
        return true;
    }

    static bool writeLast(httplib::DataSink &sink, const std::string &text)
    {
        const bool written = sink.write(text.data(), text.size());
        sink.done();
        return written;
    }

    void updateTokenEstimate(const dispatch::Finished &finished)
    {
        m_tokenEstimator.update(m_fields.model, m_fields.promptBytes, promptTokensOf(finished.payload));
    }

    std::shared_ptr<RequestGuard> m_guard;
    admission::RequestBody m_fields;
    admission::TokenEstimator &m_tokenEstimator;
    CompletionWriter m_writer;
    std::optional<dispatch::Output> m_firstOutput;
};

} // namespace spurlug::daemon
