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

std::uint32_t clampToUint32(std::int64_t value) noexcept
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value, 0, UINT32_MAX));
}

void writeWork(const targets::TargetWork &work, wire::TargetWork &out)
{
    out.set_target(work.target);
    out.set_read_micros(clampToUint32(work.work.prefillMicros));
    out.set_part_micros(clampToUint32(work.work.partPrefillMicros));
    out.set_requests(clampToUint32(work.work.requests));
    out.set_writers(clampToUint32(work.work.decodingRequests));
    out.set_tight_requests(clampToUint32(work.work.shortGapRequests));
    out.set_long_gap(clampToUint32(work.work.longGapRequests));
    out.set_parts(clampToUint32(work.work.prefillParts));
    out.set_memory_tokens(clampToUint32(work.work.memoryTokens));
    out.set_context_tokens(clampToUint32(work.work.decodingContextTokens));
    out.set_due_micros(clampToUint32(work.prefillDueMicros));
}

targets::TargetWork readWork(const wire::TargetWork &in)
{
    targets::TargetWork work;
    work.target = in.target();
    work.work.prefillMicros = in.read_micros();
    work.work.partPrefillMicros = in.part_micros();
    work.work.requests = in.requests();
    work.work.decodingRequests = in.writers();
    work.work.shortGapRequests = in.tight_requests();
    work.work.longGapRequests = in.long_gap();
    work.work.prefillParts = in.parts();
    work.work.memoryTokens = in.memory_tokens();
    work.work.decodingContextTokens = in.context_tokens();
    work.prefillDueMicros = in.due_micros();
    return work;
}

void writeRate(const targets::RateReport &report, wire::RateNews &out)
{
    constexpr double MaxFieldValue = UINT32_MAX;
    out.set_target(report.target);
    out.set_lifted(!report.perSecond);
    out.set_per_1000_seconds(static_cast<std::uint32_t>(
        std::clamp(std::floor(report.perSecond.value_or(0) / RateUnit), 0.0, MaxFieldValue)));
    out.set_age_ms(clampToUint32(core::toMs(report.age)));
}

targets::RateReport readRate(const wire::RateNews &in)
{
    targets::RateReport report;
    report.target = in.target();
    if (!in.lifted()) {
        report.perSecond = in.per_1000_seconds() * RateUnit;
    }
    report.age = core::fromMs(in.age_ms());
    return report;
}

} // namespace spurlug::membership
