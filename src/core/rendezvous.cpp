//----------------------------------------------------------------------------------------------------------------------
// spurlug: rendezvous hashing (highest random weight)
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/rendezvous.h"

#include "spurlug/core/hash.h"

#include <algorithm>

namespace spurlug::core
{

std::uint64_t rendezvousWeight(std::string_view item, std::string_view node) noexcept
{
    return fastHash(node, fastHash(item));
}

std::vector<std::string> rankByRendezvous(std::string_view item, std::vector<std::string> nodes)
{
    std::sort(nodes.begin(), nodes.end(), [item](const std::string &left, const std::string &right) {
        const auto leftWeight = rendezvousWeight(item, left);
        const auto rightWeight = rendezvousWeight(item, right);
        return leftWeight != rightWeight ? leftWeight > rightWeight : left < right;
    });
    return nodes;
}

std::map<std::string, std::string> assignByRendezvous(const std::vector<std::string> &items,
                                                      const std::vector<std::string> &nodes, std::size_t maxPerNode)
{
    std::map<std::string, std::string> assignments;
    if (nodes.empty()) {
        return assignments;
    }
    const auto minPerNode = (items.size() + nodes.size() - 1) / nodes.size();
    const auto limit = std::max(maxPerNode, minPerNode);
    auto sortedItems = items;
    std::sort(sortedItems.begin(), sortedItems.end());
    std::map<std::string, std::size_t> counts;
    for (const auto &item : sortedItems) {
        for (const auto &node : rankByRendezvous(item, nodes)) {
            if (counts[node] < limit) {
                ++counts[node];
                assignments[item] = node;
                break;
            }
        }
    }
    return assignments;
}

} // namespace spurlug::core
