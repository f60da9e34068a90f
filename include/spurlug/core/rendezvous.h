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

/// \brief Weight of `node` for `item`; the node with the highest weight owns the item.
[[nodiscard]] std::uint64_t rendezvousWeight(std::string_view item, std::string_view node) noexcept;

/// \brief Sorts nodes by their weight for an item, highest first.
///
/// When a node joins or leaves, only the items that it owns move.
/// \code
/// auto owners = rankByRendezvous("target:engine-7", {"vm-1", "vm-2", "vm-3"});
/// bool isOwner = owners.front() == "vm-2";
/// \endcode
[[nodiscard]] std::vector<std::string> rankByRendezvous(std::string_view item, std::vector<std::string> nodes);

/// \brief Distributes items over nodes by rendezvous hashing, at most `maxPerNode` to each node.
///
/// An item goes to the node with the highest weight among those below the limit; the result depends only on the items,
/// the nodes and the limit. When a node joins or leaves, its own items and few others move.
/// \param maxPerNode Items per node; raised when necessary to place every item.
/// \returns The node of each item; empty when there are no nodes.
[[nodiscard]] std::map<std::string, std::string> assignByRendezvous(const std::vector<std::string> &items,
                                                                    const std::vector<std::string> &nodes,
                                                                    std::size_t maxPerNode);

} // namespace spurlug::core
