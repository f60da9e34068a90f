//----------------------------------------------------------------------------------------------------------------------
// spurlug: identity of one incarnation of a target
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/target_incarnation.h"

#include "spurlug/core/hash.h"
#include "spurlug/targets/target_table.h"

namespace spurlug::relay
{

std::uint32_t incarnationHash(const TargetIncarnation &incarnation) noexcept
{
    if (incarnation.startMs == 0) {
        return targets::targetHash(incarnation.id);
    }
    return static_cast<std::uint32_t>(core::fastHash(incarnation.id, static_cast<std::uint64_t>(incarnation.startMs)));
}

} // namespace spurlug::relay
