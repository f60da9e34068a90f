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

std::map<std::string, std::string> shareOut(const std::vector<std::string> &items,
                                            const std::vector<std::string> &nodes, std::size_t most)
{
    std::map<std::string, std::string> shares;
    if (nodes.empty()) {
        return shares;
    }
    const auto needed = (items.size() + nodes.size() - 1) / nodes.size();
    const auto bound = std::max(most, needed);
    auto ordered = items;
    std::sort(ordered.begin(), ordered.end());
    std::map<std::string, std::size_t> counts;
    for (const auto &item : ordered) {
        for (const auto &node : rankByRendezvous(item, nodes)) {
            if (counts[node] < bound) {
                ++counts[node];
                shares[item] = node;
                break;
            }
        }
    }
    return shares;
}

} // namespace spurlug::core
