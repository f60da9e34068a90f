//----------------------------------------------------------------------------------------------------------------------
// spurlug: processing of the notices that targets attach to their responses
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/target_notice.h"

#include "spurlug/core/log.h"
#include "spurlug/relay/verdict.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace spurlug::relay
{

namespace
{

constexpr auto LiftedToldFor = absl::Seconds(10); ///< A few heartbeat rounds at their longest interval.

} // namespace

void takeTargetNotice(RelayContext &context, Target &target, const AnswerFacts &answer, std::string_view request,
                      core::Time now)
{
    if (answer.wrongTarget) {
        endLife(context, target, "another incarnation answers");
        return;
    }
    if (answer.cold) {
        noteCold(context, target, *answer.cold, "answer", now);
    }
    if (answer.coldUnreadable) {
        context.metrics.count(metrics::Counter::ColdUnreadable);
        core::log(core::LogLevel::Warning, "cold_unreadable", {{"target", target.entry.id}, {"request", request}});
    }
    if (answer.leaving) {
        context.metrics.count(metrics::Counter::LeavingTold);
        if (context.targets.noteLeaving(target)) {
            core::log(core::LogLevel::Info, "target_leaves",
                      {{"target", target.entry.id}, {"from", "answer"}, {"request", request}});
        }
    }
    if (asksForCooldown(answer)) {
        context.metrics.count(metrics::Counter::CooldownsAsked);
        context.targets.noteCooldown(target, *answer.retryAfter, now);
        core::log(core::LogLevel::Info, "target_cooldown",
                  {{"target", target.entry.id},
                   {"request", request},
                   {"status", answer.status},
                   {"askedMs", core::toMs(*answer.retryAfter)},
                   {"cooldownMs", core::toMs(target.cooldown().until() - now)}});
    }
    if (answer.rateLimit) {
        context.metrics.count(metrics::Counter::RateLimitsTold);
        noteRateLimit(target, answer.rateLimit, now, "answer");
    }
    if (answer.rateLimitUnreadable) {
        context.metrics.count(metrics::Counter::RateLimitUnreadable);
        core::log(core::LogLevel::Warning, "rate_limit_unreadable",
                  {{"target", target.entry.id}, {"request", request}});
    }
    if (answer.retryAfterUnreadable) {
        context.metrics.count(metrics::Counter::RetryAfterUnreadable);
        core::log(core::LogLevel::Warning, "retry_after_unreadable",
                  {{"target", target.entry.id}, {"request", request}});
    }
}

void noteRateLimit(Target &target, std::optional<double> perSecond, core::Time saidAt, std::string_view from)
{
    if (!target.rateLimit.take(perSecond, saidAt)) {
        return;
    }
    core::log(core::LogLevel::Info, perSecond ? "target_limited" : "target_limit_lifted",
              {{"target", target.entry.id}, {"perSecond", perSecond.value_or(0)}, {"from", from}});
}

void noteUnlimited(Target &target, const AnswerFacts &answer, core::Time requestSentAt, core::Time now)
{
    const bool names = answer.rateLimit || answer.rateLimitUnreadable || answer.wrongTarget;
    if (!names && target.rateLimit.perSecond() && requestSentAt > target.rateLimit.saidAt()) {
        noteRateLimit(target, std::nullopt, now, "answer");
    }
}

void takeRateNews(RelayContext &context, const std::vector<targets::RateNews> &news, std::string_view peer,
                  core::Time now)
{
    for (const auto &rate : news) {
        if (const auto target = context.targets.withHash(rate.target)) {
            noteRateLimit(*target, rate.perSecond, now - rate.age, peer);
        }
    }
}

std::vector<targets::RateNews> rateNews(const RelayContext &context, std::size_t most, core::Time now)
{
    std::vector<targets::RateNews> news;
    for (const auto &[id, target] : context.targets.all()) {
        const auto &limit = target->rateLimit;
        const auto age = now - limit.saidAt();
        if (limit.perSecond() || age < core::Duration(LiftedToldFor)) {
            news.push_back({target->hash, limit.perSecond(), age});
        }
    }
    std::sort(news.begin(), news.end(), [](const auto &left, const auto &right) { return left.age < right.age; });
    news.resize(std::min(news.size(), most));
    return news;
}

void noteCold(RelayContext &context, Target &target, core::Duration span, std::string_view from, core::Time now)
{
    if (span <= absl::ZeroDuration()) {
        return;
    }
    const bool isNews = !target.coldStart.lasts(now);
    target.coldStart.note(now + span);
    if (isNews) {
        context.metrics.count(metrics::Counter::ColdStarts);
        core::log(core::LogLevel::Info, "target_cold",
                  {{"target", target.entry.id}, {"forMs", core::toMs(span)}, {"from", from}});
    }
}

void endLife(RelayContext &context, Target &target, std::string_view proof)
{
    if (!context.targets.end(target)) {
        return;
    }
    context.metrics.count(metrics::Counter::LivesOver);
    core::log(core::LogLevel::Info, "target_life_over",
              {{"target", target.entry.id},
               {"startMs", target.entry.startMs},
               {"address", target.entry.address.text()},
               {"proof", proof}});
}

void takeLeavingNews(RelayContext &context, const std::vector<std::uint32_t> &leaving, std::string_view peer)
{
    for (const auto &target : context.targets.noteLeaving(leaving)) {
        core::log(core::LogLevel::Info, "target_leaves",
                  {{"target", target->entry.id}, {"from", "peer"}, {"peer", peer}});
    }
}

std::vector<std::uint32_t> leavingNews(RelayContext &context, std::size_t most)
{
    auto news = context.targets.leavingUnlisted();
    if (news.size() > most) {
        std::shuffle(news.begin(), news.end(), context.random);
        news.resize(most);
    }
    return news;
}

} // namespace spurlug::relay
