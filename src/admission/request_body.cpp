//----------------------------------------------------------------------------------------------------------------------
// spurlug: parser of completion request bodies
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/admission/request_body.h"

#include "spurlug/core/error.h"
#include "spurlug/core/hash.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace spurlug::admission
{

namespace
{

constexpr std::size_t PrefixBytes = 2048;
constexpr std::size_t MaxNesting = 64;

/// SAX handler: processes values one by one, so that a prompt of several megabytes is not stored again in a JSON tree.
class BodyHandler : public nlohmann::json_sax<nlohmann::json>
{
public:
    RequestBody body;
    bool valid = true;

    bool null() override
    {
        return true;
    }

    bool boolean(bool value) override
    {
        if (m_path.size() == 1 && m_key == "stream") {
            body.stream = value;
        } else if (m_path.size() == 2 && m_path[1] == "stream_options" && m_key == "include_usage") {
            body.includeUsage = value;
        }
        return true;
    }

    bool number_integer(number_integer_t value) override
    {
        return handleNumber(value);
    }

    bool number_unsigned(number_unsigned_t value) override
    {
        return handleNumber(static_cast<std::int64_t>(value));
    }

    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override
    {
        return true;
    }

    bool string(string_t &value) override
    {
        if (m_path.size() == 1 && m_key == "model") {
            body.model = value;
        } else if (inPrompt()) {
            addPromptText(value);
        }
        return true;
    }

    bool binary(binary_t & /*value*/) override
    {
        return false;
    }

    bool start_object(std::size_t /*elements*/) override
    {
        return enterScope();
    }

    bool key(string_t &value) override
    {
        m_key = value;
        return true;
    }

    bool end_object() override
    {
        return leaveScope();
    }

    bool start_array(std::size_t /*elements*/) override
    {
        return enterScope();
    }

    bool end_array() override
    {
        return leaveScope();
    }

    bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) override
    {
        valid = false;
        return false;
    }

private:
    bool enterScope()
    {
        m_path.push_back(m_key);
        return m_path.size() < MaxNesting;
    }

    bool leaveScope()
    {
        m_key = m_path.back();
        m_path.pop_back();
        return true;
    }

    [[nodiscard]] bool inPrompt() const
    {
        const auto &top = m_path.size() > 1 ? m_path[1] : m_key;
        return top == "prompt" || (top == "messages" && (m_key == "content" || m_key == "text"));
    }

    bool handleNumber(std::int64_t value)
    {
        if (m_path.size() == 1 && (m_key == "max_tokens" || m_key == "max_completion_tokens")) {
            body.maxTokens = value;
        }
        return true;
    }

    void addPromptText(const std::string &text)
    {
        body.promptBytes += static_cast<std::int64_t>(text.size());
        if (m_prefixBytesLeft == 0) {
            return;
        }
        const auto part = std::string_view(text).substr(0, m_prefixBytesLeft);
        m_prefixHash = core::fastHash(part, m_prefixHash);
        m_prefixBytesLeft -= part.size();
        if (m_prefixBytesLeft == 0) {
            body.prefixHash = m_prefixHash;
        }
    }

    std::vector<std::string> m_path;
    std::string m_key;
    std::uint64_t m_prefixHash = 1;
    std::size_t m_prefixBytesLeft = PrefixBytes;
};

} // namespace

RequestBody parseRequestBody(std::string_view body)
{
    using core::Reason;
    BodyHandler handler;
    if (!nlohmann::json::sax_parse(body, &handler) || !handler.valid) {
        throw core::Refused(Reason::MalformedBody, "the body is not a JSON object that can be read");
    }
    if (handler.body.model.empty()) {
        throw core::Refused(Reason::MalformedBody, "'model' must be a non-empty string");
    }
    if (handler.body.promptBytes == 0) {
        throw core::Refused(Reason::MalformedBody, "'messages' or 'prompt' must hold some text");
    }
    if (handler.body.maxTokens < 0) {
        throw core::Refused(Reason::MalformedBody, "'max_tokens' must not be negative");
    }
    return handler.body;
}

} // namespace spurlug::admission
