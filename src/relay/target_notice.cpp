//----------------------------------------------------------------------------------------------------------------------
// spurlug: processing of the notices that targets attach to their responses
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/target_notice.h"

#include "spurlug/core/log.h"
#include "spurlug/relay/answer_result.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace spurlug::relay
{

namespace
{

constexpr auto LiftedLimitReportTime = absl::Seconds(10); ///< A few heartbeat rounds at their longest interval.

} // namespace

void applyTargetNotice(RelayContext &context, Target &target, const AnswerInfo &answer, std::string_view request,
                       core::Time now)
{
    if (answer.wrongTarget) {
        endIncarnation(context, target, "another incarnation answers");
        return;
    }
    if (answer.remainingWarmUp) {
        noteWarmUp(context, target, *answer.remainingWarmUp, "answer", now);
    }
    if (answer.warmUpInvalid) {
        context.metrics.count(metrics::Counter::WarmUpTimeMalformed);
        core::log(core::LogLevel::Warning, "cold_unreadable", {{"target", target.entry.id}, {"request", request}});
    }
    if (answer.draining) {
        context.metrics.count(metrics::Counter::LeavingAnnounced);
        if (context.targets.noteDraining(target)) {
            core::log(core::LogLevel::Info, "target_leaves",
                      {{"target", target.entry.id}, {"from", "answer"}, {"request", request}});
        }
    }
    if (asksForCooldown(answer)) {
        context.metrics.count(metrics::Counter::CooldownsRequested);
        context.targets.noteCooldown(target, *answer.retryAfter, now);
        core::log(core::LogLevel::Info, "target_cooldown",
                  {{"target", target.entry.id},
                   {"request", request},
                   {"status", answer.status},
                   {"askedMs", core::toMs(*answer.retryAfter)},
                   {"cooldownMs", core::toMs(target.cooldown().endsAt() - now)}});
    }
    if (answer.rateLimit) {
        context.metrics.count(metrics::Counter::RateLimitsReported);
        noteRateLimit(target, answer.rateLimit, now, "answer");
    }
    if (answer.rateLimitInvalid) {
        context.metrics.count(metrics::Counter::RateLimitMalformed);
        core::log(core::LogLevel::Warning, "rate_limit_unreadable",
                  {{"target", target.entry.id}, {"request", request}});
    }
    if (answer.retryAfterInvalid) {
        context.metrics.count(metrics::Counter::RetryAfterMalformed);
        core::log(core::LogLevel::Warning, "retry_after_unreadable",
                  {{"target", target.entry.id}, {"request", request}});
    }
}

void noteRateLimit(Target &target, std::optional<double> perSecond, core::Time announcedAt, std::string_view from)
{
    if (!target.rateLimit.update(perSecond, announcedAt)) {
        return;
    }
    core::log(core::LogLevel::Info, perSecond ? "target_limited" : "target_limit_lifted",
              {{"target", target.entry.id}, {"perSecond", perSecond.value_or(0)}, {"from", from}});
}

void noteLimitLifted(Target &target, const AnswerInfo &answer, core::Time requestSentAt, core::Time now)
{
    const bool announcesLimit = answer.rateLimit || answer.rateLimitInvalid || answer.wrongTarget;
    if (!announcesLimit && target.rateLimit.perSecond() && requestSentAt > target.rateLimit.announcedAt()) {
        noteRateLimit(target, std::nullopt, now, "answer");
    }
}

void applyRateReports(RelayContext &context, const std::vector<targets::RateReport> &reports, std::string_view peer,
                      core::Time now)
{
    for (const auto &report : reports) {
        if (const auto target = context.targets.findByHash(report.target)) {
            noteRateLimit(*target, report.perSecond, now - report.age, peer);
        }
    }
}

std::vector<targets::RateReport> rateReports(const RelayContext &context, std::size_t maxCount, core::Time now)
{
    std::vector<targets::RateReport> reports;
    for (const auto &[id, target] : context.targets.all()) {
        const auto &limit = target->rateLimit;
        const auto age = now - limit.announcedAt();
        if (limit.perSecond() || age < core::Duration(LiftedLimitReportTime)) {
            reports.push_back({target->hash, limit.perSecond(), age});
        }
    }
    std::sort(reports.begin(), reports.end(), [](const auto &left, const auto &right) { return left.age < right.age; });
    reports.resize(std::min(reports.size(), maxCount));
    return reports;
}

void noteWarmUp(RelayContext &context, Target &target, core::Duration span, std::string_view from, core::Time now)
{
    if (span <= absl::ZeroDuration()) {
        return;
    }
    const bool startsNow = !target.warmUp.isActive(now);
    target.warmUp.extend(now + span);
    if (startsNow) {
        context.metrics.count(metrics::Counter::ColdStarts);
        core::log(core::LogLevel::Info, "target_cold",
                  {{"target", target.entry.id}, {"forMs", core::toMs(span)}, {"from", from}});
    }
}

void endIncarnation(RelayContext &context, Target &target, std::string_view proof)
{
    if (!context.targets.endIncarnation(target)) {
        return;
    }
    context.metrics.count(metrics::Counter::IncarnationsEnded);
    core::log(core::LogLevel::Info, "target_life_over",
              {{"target", target.entry.id},
               {"startMs", target.entry.startMs},
               {"address", target.entry.address.text()},
               {"proof", proof}});
}

void applyDrainingReports(RelayContext &context, const std::vector<std::uint32_t> &drainingHashes,
                          std::string_view peer)
{
    for (const auto &target : context.targets.noteDraining(drainingHashes)) {
        core::log(core::LogLevel::Info, "target_leaves",
                  {{"target", target->entry.id}, {"from", "peer"}, {"peer", peer}});
    }
}

std::vector<std::uint32_t> drainingReports(RelayContext &context, std::size_t maxCount)
{
    auto hashes = context.targets.unlistedDraining();
    if (hashes.size() > maxCount) {
        std::shuffle(hashes.begin(), hashes.end(), context.random);
        hashes.resize(maxCount);
    }
    return hashes;
}

} // namespace spurlug::relay
