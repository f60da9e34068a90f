//----------------------------------------------------------------------------------------------------------------------
// spurlug: encoding of a daemon's work at a target and of rate limits
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/membership/work_codec.h"

#include <algorithm>
#include <cmath>

namespace spurlug::membership
{

namespace
{

constexpr double RateUnit = 0.001; ///< Requests per second in one unit of `per_1000_seconds`.

} // namespace

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

void writeRate(const targets::RateNews &news, wire::RateNews &out)
{
    constexpr double Most = UINT32_MAX;
    out.set_target(news.target);
    out.set_lifted(!news.perSecond);
    out.set_per_1000_seconds(
        static_cast<std::uint32_t>(std::clamp(std::floor(news.perSecond.value_or(0) / RateUnit), 0.0, Most)));
    out.set_age_ms(clamp32(core::toMs(news.age)));
}

targets::RateNews readRate(const wire::RateNews &in)
{
    targets::RateNews news;
    news.target = in.target();
    if (!in.lifted()) {
        news.perSecond = in.per_1000_seconds() * RateUnit;
    }
    news.age = core::fromMs(in.age_ms());
    return news;
}

} // namespace spurlug::membership
