//----------------------------------------------------------------------------------------------------------------------
// spurlug: JSON documents of other programs
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <string_view>

namespace spurlug::core
{

/// \brief Returns how deeply arrays and objects are nested in a JSON text; 0 for a text without any. Brackets in
/// strings do not count. The result for a text that is not JSON is unspecified.
[[nodiscard]] int jsonDepth(std::string_view text) noexcept;

} // namespace spurlug::core
