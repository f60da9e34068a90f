//----------------------------------------------------------------------------------------------------------------------
// spurlug: HTTP messages as plain data
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
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

/// \brief Header fields in the order they came; names are compared without case.
class Headers
{
public:
    /// \name Commands
    /// @{
    void add(std::string_view name, std::string_view value);
    /// \brief Replaces all fields of that name by one.
    void set(std::string_view name, std::string_view value);
    void remove(std::string_view name);
    /// @}

    /// \name Queries
    /// @{
    /// \brief Value of the first field of that name; null when there is none.
    [[nodiscard]] const std::string *find(std::string_view name) const noexcept;
    /// \brief Value of the first field of that name; empty when there is none.
    [[nodiscard]] std::string_view value(std::string_view name) const noexcept;
    /// \brief Whether a comma-separated field holds `token`, without case.
    [[nodiscard]] bool holdsToken(std::string_view name, std::string_view token) const;
    [[nodiscard]] const std::vector<HeaderField> &fields() const noexcept;
    /// @}

private:
    std::vector<HeaderField> m_fields;
};

/// \brief A whole request.
struct Request
{
    std::string method;
    std::string target; ///< Path and query as they were sent.
    Headers headers;
    std::string body;
    bool hasBody = false; ///< False for a request without length and chunks.
    bool keepAlive = true; ///< Whether the sender keeps the connection for more requests.
};

/// \brief How the end of a response's body is known.
enum class BodyFraming
{
    Sized, ///< By its length, none included.
    Chunked,
    UntilClose, ///< By the end of the connection.
};

/// \brief Status line and header fields of a response.
struct ResponseHead
{
    int status = 0;
    std::string phrase; ///< Reason phrase; may be empty.
    Headers headers;
    BodyFraming framing = BodyFraming::Sized;
    std::optional<std::uint64_t> length; ///< Bytes of the body, where it is sized.
};

/// \brief A whole response.
struct Response
{
    ResponseHead head;
    std::string body;
};

/// \brief Whether a header field concerns one connection only (RFC 9110, 7.6.1) and is not passed on.
[[nodiscard]] bool isHopByHop(const Headers &headers, std::string_view name);

} // namespace spurlug::net
