//----------------------------------------------------------------------------------------------------------------------
// spurlug: what may have crashed a target, and the crashes that count against it
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/crash_suspect.h"

#include <algorithm>

namespace spurlug::relay
{

core::Time CrashSuspect::lastCrashAt() const noexcept
{
    core::Time last = absl::InfinitePast();
    for (const auto &crash : crashes) {
        last = std::max(last, crash.at);
    }
    return last;
}

std::size_t crashesToQuarantine(SuspectKind kind) noexcept
{
    constexpr std::size_t ContentCrashes = 3;
    constexpr std::size_t PartCrashes = 4;
    return kind == SuspectKind::Content ? ContentCrashes : PartCrashes;
}

core::Duration successSpan(SuspectKind kind) noexcept
{
    constexpr auto ContentSpan = absl::Seconds(10);
    constexpr auto PartSpan = absl::Milliseconds(2500);
    return kind == SuspectKind::Content ? core::Duration(ContentSpan) : core::Duration(PartSpan);
}

core::Digest promptPartDigest(std::string_view id)
{
    return core::digestOf({"prompt part", id});
}

} // namespace spurlug::relay
