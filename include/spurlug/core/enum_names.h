//----------------------------------------------------------------------------------------------------------------------
// spurlug: names of enumerators, kept in one table per enumeration
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace spurlug::core
{

/// \brief One row of an enumeration's table of names.
template<typename Enum>
struct EnumName
{
    Enum value;
    std::string_view name;
};

/// \brief The table of names of `Enum`; specialise it with a `static constexpr std::array` called `table`.
///
/// \code
/// template<> struct EnumNames<Colour> {
///     static constexpr std::array table{EnumName<Colour>{Colour::Red, "red"}};
/// };
/// \endcode
template<typename Enum>
struct EnumNames;

/// \brief An enumeration that has a table of names.
template<typename Enum>
concept NamedEnum = requires
{
    EnumNames<Enum>::table.size();
};

/// \brief Returns the name of an enumerator, or "unknown" for a value that is not in the table.
template<NamedEnum Enum>
[[nodiscard]] constexpr std::string_view nameOf(Enum value) noexcept
{
    for (const auto &row : EnumNames<Enum>::table) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "unknown";
}

/// \brief Returns the enumerator called `name`, or nothing when there is none.
template<NamedEnum Enum>
[[nodiscard]] constexpr std::optional<Enum> enumFromName(std::string_view name) noexcept
{
    for (const auto &row : EnumNames<Enum>::table) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace spurlug::core
