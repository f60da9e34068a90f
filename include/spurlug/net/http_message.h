//----------------------------------------------------------------------------------------------------------------------
// spurlug: HTTP message types
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spurlug::net
{

/// \brief One header field.
struct HeaderField
{
    std::string name;
    std::string value;
};

/// \brief Header fields in the order of arrival; names are case-insensitive.
class Headers
{
public:
    /// \name Commands
    /// @{
    /// \brief Appends a field.
    void add(std::string_view name, std::string_view value);
    /// \brief Replaces all fields of that name by one field.
    void set(std::string_view name, std::string_view value);
    /// \brief Removes all fields of that name.
    void remove(std::string_view name);
    /// @}

    /// \name Queries
    /// @{
    /// \brief Value of the first field of that name; null when there is none.
    [[nodiscard]] const std::string *find(std::string_view name) const noexcept;
    /// \brief Value of the first field of that name; empty when there is none.
    [[nodiscard]] std::string_view value(std::string_view name) const noexcept;
    /// \brief Whether a comma-separated field contains `token`, ignoring case.
    [[nodiscard]] bool containsToken(std::string_view name, std::string_view token) const;
    /// \brief All fields in order.
    [[nodiscard]] const std::vector<HeaderField> &fields() const noexcept;
    /// @}

private:
    std::vector<HeaderField> m_fields;
};

/// \brief A complete request.
struct Request
{
    std::string method;
    std::string target; ///< Path and query as sent.
    Headers headers;
    std::string body;
    bool hasBody = false; ///< False for a request with neither a length nor chunks.
    bool keepAlive = true; ///< Whether the sender keeps the connection open for more requests.
};

/// \brief A body that is held once, however many send it.
using SharedBody = std::shared_ptr<const std::string>;

/// \brief How the end of a response's body is determined.
enum class BodyFraming
{
    ContentLength, ///< By its length, also when there is no body.
    Chunked,
    UntilClose, ///< By the closing of the connection.
};

/// \brief Status line and header fields of a response.
struct ResponseHead
{
    int status = 0;
    std::string reasonPhrase; ///< Reason phrase; may be empty.
    Headers headers;
    BodyFraming framing = BodyFraming::ContentLength;
    std::optional<std::uint64_t> length; ///< Length of a sized body, in bytes.
};

/// \brief A complete response.
struct Response
{
    ResponseHead head;
    std::string body;
};

/// \brief Whether a header field applies to one connection only (RFC 9110, 7.6.1) and is not forwarded.
[[nodiscard]] bool isHopByHop(const Headers &headers, std::string_view name);

} // namespace spurlug::net
