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

} // namespace spurlug::core
