//----------------------------------------------------------------------------------------------------------------------
// spurlug: property tests of token reassembly and at-most-once execution against oracles
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "property.h"

#include "spurlug/dispatch/retry.h"
#include "spurlug/dispatch/token_reassembler.h"

#include <algorithm>
#include <random>

using namespace spurlug;

BOOST_AUTO_TEST_SUITE(dispatch_properties)

/// Even if tokens arrive late, repeatedly, out of order or from an abandoned attempt, the caller gets each token once
/// and in order. The answer is complete exactly when all its tokens were handed out.
BOOST_AUTO_TEST_CASE(a_caller_gets_each_token_once_and_in_order)
{
    CHECK_PROPERTY("reassembly", [] {
        const auto total = *rc::gen::inRange<std::int64_t>(1, 30);
        const auto attempts = *rc::gen::inRange(1, 4);
        dispatch::TokenReassembler reassembly;
        std::vector<std::string> handedOut;
        for (int attempt = 1; attempt <= attempts; ++attempt) {
            reassembly.beginAttempt(attempt);
            const bool last = attempt == attempts;
            const auto count = last ? 0 : *rc::gen::inRange(0, 40);
            std::vector<std::int64_t> offsets;
            for (auto offset = reassembly.nextOffset(); last && offset < total; ++offset) {
                offsets.push_back(offset);
            }
            for (int i = 0; i < count; ++i) {
                offsets.push_back(*rc::gen::inRange<std::int64_t>(0, total));
            }
            const auto doubled = *rc::gen::inRange(0, 10);
            for (int i = 0; i < doubled && !offsets.empty(); ++i) {
                offsets.push_back(*rc::gen::elementOf(offsets));
            }
            const auto random = *rc::gen::arbitrary<unsigned>();
            std::shuffle(offsets.begin(), offsets.end(), std::mt19937(random));
            for (const auto offset : offsets) {
                const auto stale = *rc::gen::inRange(0, attempt);
                for (auto &payload : reassembly.accept(stale, offset, "stale")) {
                    handedOut.push_back(payload);
                }
                for (auto &payload : reassembly.accept(attempt, offset, std::to_string(offset))) {
                    handedOut.push_back(payload);
                }
                RC_ASSERT(reassembly.nextOffset() == static_cast<std::int64_t>(handedOut.size()));
            }
            reassembly.setTotal(attempt, total);
            RC_ASSERT(reassembly.isComplete() == (static_cast<std::int64_t>(handedOut.size()) == total));
        }
        RC_ASSERT(reassembly.isComplete());
        for (std::size_t i = 0; i < handedOut.size(); ++i) {
            RC_ASSERT(handedOut[i] == std::to_string(i));
        }
    });
}

/// The oracle counts how often targets actually ran the request. A request that must not be repeated never runs twice,
/// and a request runs twice only after an attempt was reported as "may have run".
BOOST_AUTO_TEST_CASE(a_non_repeatable_request_runs_at_most_once)
{
    CHECK_PROPERTY("at most once", [] {
        core::Time now = absl::FromUnixSeconds(0);
        const auto deadline = now + absl::Seconds(*rc::gen::inRange(1, 20));
        const bool repeatable = *rc::gen::arbitrary<bool>();
        int runs = 0;
        int attempts = 0;
        bool toldMayHaveRun = false;
        while (true) {
            ++attempts;
            // Draws what happens at the target and derives the result that a client reports; it reports NotExecuted
            // only if it knows that the request did not run.
            const bool ran = *rc::gen::arbitrary<bool>();
            const bool answerLost = *rc::gen::arbitrary<bool>();
            runs += ran ? 1 : 0;
            dispatch::AttemptResult end;
            if (ran && !answerLost) {
                end = {core::Outcome::Completed, core::Reason::None};
            } else if (!ran && !answerLost) {
                end = {core::Outcome::NotRun, core::Reason::TargetRefused};
            } else {
                end = {core::Outcome::MayHaveRun, core::Reason::TargetFailed};
            }
            toldMayHaveRun = toldMayHaveRun || end.outcome == core::Outcome::MayHaveRun;
            const auto jitter = *rc::gen::inRange(0, 100) / 100.0;
            const auto decision = dispatch::decideRetry({repeatable, attempts, deadline}, end, {}, jitter, now);
            if (!decision.retry) {
                break;
            }
            RC_ASSERT(end.outcome != core::Outcome::Completed);
            now += decision.delay + absl::Milliseconds(*rc::gen::inRange(0, 3000));
            RC_ASSERT(decision.delay > absl::ZeroDuration());
        }
        if (!repeatable) {
            RC_ASSERT(runs <= 1);
        }
        if (runs > 1) {
            RC_ASSERT(toldMayHaveRun);
        }
        RC_ASSERT(attempts <= dispatch::RetryPolicy{}.maxAttempts);
    });
}

BOOST_AUTO_TEST_SUITE_END()
