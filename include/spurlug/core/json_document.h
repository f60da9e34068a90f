//----------------------------------------------------------------------------------------------------------------------
// spurlug: JSON documents of other programs
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace spurlug::core
{

/// Maximum nesting depth of a document. Copies, comparisons and dumps of a document recurse into it.
inline constexpr int MaxJsonDepth = 128;

/// \brief Returns how deeply arrays and objects are nested in a JSON text; 0 for a text without any. Brackets in
/// strings do not count. The result for a text that is not JSON is unspecified.
[[nodiscard]] int jsonDepth(std::string_view text) noexcept;

/// \brief Parses a document of another program.
/// \returns A discarded value if the text is not JSON, has a number out of range, or is nested deeper than
/// `MaxJsonDepth`.
[[nodiscard]] nlohmann::json parseJson(std::string_view text);

} // namespace spurlug::core
