//----------------------------------------------------------------------------------------------------------------------
// spurlug: identity of one incarnation of a target
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/target_life.h"

#include "spurlug/core/hash.h"
#include "spurlug/targets/target_table.h"

namespace spurlug::relay
{

std::uint32_t lifeHash(const TargetLife &life) noexcept
{
    if (life.startMs == 0) {
        return targets::targetHash(life.id);
    }
    return static_cast<std::uint32_t>(core::fastHash(life.id, static_cast<std::uint64_t>(life.startMs)));
}

} // namespace spurlug::relay
