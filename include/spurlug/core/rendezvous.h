//----------------------------------------------------------------------------------------------------------------------
// spurlug: rendezvous hashing (highest random weight)
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace spurlug::core
{

/// \brief Weight of `node` for `item`: the node with the highest weight holds the item.
[[nodiscard]] std::uint64_t rendezvousWeight(std::string_view item, std::string_view node) noexcept;

/// \brief Orders nodes by their weight for an item, highest first.
///
/// A node that joins or leaves moves only the items it holds itself.
/// \code
/// auto holders = rankByRendezvous("target:engine-7", {"vm-1", "vm-2", "vm-3"});
/// bool mine = holders.front() == "vm-2";
/// \endcode
[[nodiscard]] std::vector<std::string> rankByRendezvous(std::string_view item, std::vector<std::string> nodes);

} // namespace spurlug::core
