//----------------------------------------------------------------------------------------------------------------------
// spurlug: a daemon's work at a target, on the wire
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/membership/work_codec.h"

#include <algorithm>

namespace spurlug::membership
{

std::uint32_t clamp32(std::int64_t value) noexcept
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value, 0, UINT32_MAX));
}

void writeWork(const targets::TargetWork &work, wire::TargetWork &out)
{
    out.set_target(work.target);
    out.set_read_micros(clamp32(work.work.readMicros));
    out.set_part_micros(clamp32(work.work.partMicros));
    out.set_requests(clamp32(work.work.requests));
    out.set_writers(clamp32(work.work.writers));
    out.set_tight_requests(clamp32(work.work.tightRequests));
    out.set_parts(clamp32(work.work.parts));
    out.set_memory_tokens(clamp32(work.work.memoryTokens));
    out.set_context_tokens(clamp32(work.work.contextTokens));
    out.set_due_micros(clamp32(work.dueMicros));
}

targets::TargetWork readWork(const wire::TargetWork &in)
{
    targets::TargetWork work;
    work.target = in.target();
    work.work.readMicros = in.read_micros();
    work.work.partMicros = in.part_micros();
    work.work.requests = in.requests();
    work.work.writers = in.writers();
    work.work.tightRequests = in.tight_requests();
    work.work.parts = in.parts();
    work.work.memoryTokens = in.memory_tokens();
    work.work.contextTokens = in.context_tokens();
    work.dueMicros = in.due_micros();
    return work;
}

} // namespace spurlug::membership
