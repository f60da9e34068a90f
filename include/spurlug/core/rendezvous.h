//----------------------------------------------------------------------------------------------------------------------
// spurlug: rendezvous hashing (highest random weight)
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <map>
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

/// \brief Shares items out over nodes by rendezvous hashing, none getting more than `most`.
///
/// An item goes to the node with the highest weight that has room; every caller with the same items and nodes comes to
/// the same result. A node that joins or leaves moves its own items and few others.
/// \param most Raised as far as it takes to give every item a node.
/// \returns The node of each item; empty when there is no node.
[[nodiscard]] std::map<std::string, std::string> shareOut(const std::vector<std::string> &items,
                                                          const std::vector<std::string> &nodes, std::size_t most);

} // namespace spurlug::core
