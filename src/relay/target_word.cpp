//----------------------------------------------------------------------------------------------------------------------
// spurlug: what targets say of themselves beside their answers
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/target_word.h"

#include "spurlug/core/http_status.h"
#include "spurlug/core/log.h"

#include <nlohmann/json.hpp>

namespace spurlug::relay
{

bool asksForRest(const AnswerFacts &answer) noexcept
{
    using namespace core::http_status;
    const bool turnedAway = answer.status == Unavailable || answer.status == TooManyRequests;
    return turnedAway && answer.retryAfter && *answer.retryAfter > absl::ZeroDuration();
}

void takeTargetWord(RelayContext &context, const Target &target, const AnswerFacts &answer, std::string_view request)
{
    if (answer.leaving) {
        context.metrics.count(metrics::Counter::LeavingTold);
        core::log(core::LogLevel::Info, "target_says_leaving",
                  {{"target", target.entry.id},
                   {"request", request},
                   {"status", answer.status},
                   {"listedAsLeaving", target.entry.draining}});
    }
    if (asksForRest(answer)) {
        context.metrics.count(metrics::Counter::RestsAsked);
        core::log(core::LogLevel::Info, "target_asks_for_rest",
                  {{"target", target.entry.id},
                   {"request", request},
                   {"status", answer.status},
                   {"restMs", core::toMs(*answer.retryAfter)}});
    }
    if (answer.retryAfterUnreadable) {
        context.metrics.count(metrics::Counter::RestsUnreadable);
        core::log(core::LogLevel::Warning, "rest_unreadable", {{"target", target.entry.id}, {"request", request}});
    }
}

} // namespace spurlug::relay
