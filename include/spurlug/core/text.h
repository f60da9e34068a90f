//----------------------------------------------------------------------------------------------------------------------
// spurlug: joining and reading text
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
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

/// Debian's Abseil has a string_view type of its own.
[[nodiscard]] inline absl::string_view toAbsl(const std::string_view &piece) noexcept
{
    return {piece.data(), piece.size()};
}

} // namespace detail
/// \endcond

/// \brief Joins texts and numbers.
/// \code
/// cat("status ", 503)
/// \endcode
template<typename... Pieces>
[[nodiscard]] std::string cat(const Pieces &...pieces)
{
    return absl::StrCat(detail::toAbsl(pieces)...);
}

/// \brief Adds texts and numbers to the end of a text.
template<typename... Pieces>
void append(std::string &text, const Pieces &...pieces)
{
    absl::StrAppend(&text, detail::toAbsl(pieces)...);
}

/// \brief Reads a whole decimal integer.
/// \returns False, leaving `value` as it was, when the text is anything else.
template<typename Integer>
[[nodiscard]] bool readNumber(std::string_view text, Integer &value) noexcept
{
    Integer read{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), read);
    if (error != std::errc() || end != text.data() + text.size()) {
        return false;
    }
    value = read;
    return true;
}

/// \brief Compares texts; upper and lower case of ASCII letters are the same.
[[nodiscard]] inline bool equalIgnoringCase(std::string_view left, std::string_view right) noexcept
{
    return absl::EqualsIgnoreCase(detail::toAbsl(left), detail::toAbsl(right));
}

} // namespace spurlug::core
