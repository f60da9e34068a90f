//----------------------------------------------------------------------------------------------------------------------
// spurlug: what targets say of themselves beside their answers
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/target_word.h"

#include "spurlug/core/http_status.h"
#include "spurlug/core/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace spurlug::relay
{

bool asksForRest(const AnswerFacts &answer) noexcept
{
    using namespace core::http_status;
    const bool turnedAway = answer.status == Unavailable || answer.status == TooManyRequests;
    return turnedAway && answer.retryAfter && *answer.retryAfter > absl::ZeroDuration();
}

void takeTargetWord(RelayContext &context, Target &target, const AnswerFacts &answer, std::string_view request,
                    core::Time now)
{
    if (answer.leaving) {
        context.metrics.count(metrics::Counter::LeavingTold);
        if (context.targets.noteLeaving(target)) {
            core::log(core::LogLevel::Info, "target_leaves",
                      {{"target", target.entry.id}, {"from", "answer"}, {"request", request}});
        }
    }
    if (asksForRest(answer)) {
        context.metrics.count(metrics::Counter::RestsAsked);
        context.targets.noteRest(target, *answer.retryAfter, now);
        core::log(core::LogLevel::Info, "target_asks_for_rest",
                  {{"target", target.entry.id},
                   {"request", request},
                   {"status", answer.status},
                   {"askedMs", core::toMs(*answer.retryAfter)},
                   {"restMs", core::toMs(target.rest().until() - now)}});
    }
    if (answer.retryAfterUnreadable) {
        context.metrics.count(metrics::Counter::RestsUnreadable);
        core::log(core::LogLevel::Warning, "rest_unreadable", {{"target", target.entry.id}, {"request", request}});
    }
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
