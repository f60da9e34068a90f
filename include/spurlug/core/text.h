//----------------------------------------------------------------------------------------------------------------------
// spurlug: text concatenation, comparison and number parsing
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <charconv>
#include <string>
#include <string_view>
#include <system_error>

namespace spurlug::core
{

/// \cond
namespace detail
{

template<typename Piece>
[[nodiscard]] const Piece &toAbsl(const Piece &piece) noexcept
{
    return piece;
}

/// Debian's build of Abseil has its own string_view type.
[[nodiscard]] inline absl::string_view toAbsl(const std::string_view &piece) noexcept
{
    return {piece.data(), piece.size()};
}

} // namespace detail
/// \endcond

/// \brief Concatenates texts and numbers.
/// \code
/// cat("status ", 503)
/// \endcode
template<typename... Pieces>
[[nodiscard]] std::string cat(const Pieces &...pieces)
{
    return absl::StrCat(detail::toAbsl(pieces)...);
}

/// \brief Appends texts and numbers to a text.
template<typename... Pieces>
void append(std::string &text, const Pieces &...pieces)
{
    absl::StrAppend(&text, detail::toAbsl(pieces)...);
}

/// \brief Parses a text that is one decimal integer.
/// \returns False, with `value` unchanged, when the text is anything else.
template<typename Integer>
[[nodiscard]] bool parseInteger(std::string_view text, Integer &value) noexcept
{
    Integer parsed{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), parsed);
    if (error != std::errc() || end != text.data() + text.size()) {
        return false;
    }
    value = parsed;
    return true;
}

/// \brief Compares texts, ignoring the case of ASCII letters.
[[nodiscard]] inline bool equalsIgnoreCase(std::string_view left, std::string_view right) noexcept
{
    return absl::EqualsIgnoreCase(detail::toAbsl(left), detail::toAbsl(right));
}

/// \brief Whether a text is a token, such as the name of an HTTP header field (RFC 9110, 5.6.2).
[[nodiscard]] inline bool isToken(std::string_view text) noexcept
{
    constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&Marks](char byte) {
        const bool isLetter = (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z');
        return isLetter || (byte >= '0' && byte <= '9') || Marks.find(byte) != std::string_view::npos;
    });
}

} // namespace spurlug::core
