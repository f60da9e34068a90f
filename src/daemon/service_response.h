//----------------------------------------------------------------------------------------------------------------------
// spurlug: writes the response to a call of a plain service
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/text.h"
#include "spurlug/daemon/error_body.h"
#include "spurlug/daemon/request_guard.h"

#include <httplib.h>
#include <memory>
#include <string>
#include <utility>

namespace spurlug::daemon
{

/// \brief Response bodies below this size are buffered and sent with a content length; larger ones are sent in chunks.
inline constexpr std::size_t MaxBufferedBytes = 256U << 10;

/// \brief Writes the response of a plain service to the caller.
class ServiceResponse
{
public:
    explicit ServiceResponse(std::shared_ptr<RequestGuard> guard)
        : m_guard(std::move(guard))
    { }

    /// \brief Sends a small response with a content length and a large one in chunks.
    static void write(const std::shared_ptr<ServiceResponse> &self, httplib::Response &response)
    {
        while (self->m_buffer.size() < MaxBufferedBytes) {
            auto output = self->m_guard->handler->next(CallerCheckInterval);
            if (const auto *head = std::get_if<dispatch::HeadEvent>(&output)) {
                self->writeHead(*head, response);
            } else if (auto *bytes = std::get_if<dispatch::BytesEvent>(&output)) {
                self->m_buffer += bytes->bytes;
            } else if (std::holds_alternative<dispatch::Finished>(output)) {
                response.set_header("Spurlug-Outcome", std::string(core::nameOf(core::Outcome::Completed)));
                response.set_content(self->m_buffer, self->m_contentType);
                return;
            } else if (const auto *failed = std::get_if<dispatch::Failed>(&output)) {
                response.headers.clear();
                response.set_header("Request-Id", self->m_guard->handler->request().id);
                writeError(response, toReply(failed->result, self->m_guard->handler->request().id));
                return;
            }
        }
        response.set_chunked_content_provider(
            self->m_contentType, [self](std::size_t, httplib::DataSink &sink) { return self->writeNext(sink); });
    }

private:
    void writeHead(const dispatch::HeadEvent &head, httplib::Response &response)
    {
        response.status = head.status;
        for (const auto &[name, value] : head.headers) {
            if (core::equalsIgnoreCase(name, "Content-Type")) {
                m_contentType = value;
            } else {
                response.set_header(name.c_str(), value);
            }
        }
    }

    /// Once the head has been sent, a failure can be signalled only by closing the connection before the last chunk.
    bool writeNext(httplib::DataSink &sink)
    {
        if (!m_buffer.empty()) {
            const auto buffered = std::exchange(m_buffer, {});
            return sink.write(buffered.data(), buffered.size());
        }
        auto output = m_guard->handler->next(CallerCheckInterval);
        if (const auto *bytes = std::get_if<dispatch::BytesEvent>(&output)) {
            return sink.write(bytes->bytes.data(), bytes->bytes.size());
        }
        if (std::holds_alternative<dispatch::Finished>(output)) {
            sink.done();
            return true;
        }
        return !std::holds_alternative<dispatch::Failed>(output) && sink.is_writable();
    }

    std::shared_ptr<RequestGuard> m_guard;
    std::string m_buffer;
    std::string m_contentType = "application/octet-stream";
};

} // namespace spurlug::daemon
