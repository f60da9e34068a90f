//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of admission by prediction and of the times at which refused callers return
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fixtures.h"

#include "spurlug/control/scheduler.h"
#include "spurlug/core/text.h"
#include "spurlug/overload/admission.h"
#include "spurlug/overload/return_book.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>

namespace spurlug::test
{

namespace
{

using control::PlacementReply;
using control::PlacementRequest;
using control::ReplyKind;

constexpr int EngineCount = 20;
constexpr int Slots = 12;
constexpr double AnswerSeconds = 2;

/// A scheduler with engines that are counters: each grant holds a slot, its memory and its prefill work for the times
/// that the scheduler expects. Their work is reported as that of one daemon.
struct Contention
{
    Contention()
    {
        settings.vm = "scheduler";
        settings.overload.admission = settings::FeatureMode::On;
        auto table = core::makeRef<config::RouteTable>();
        table->version = 1;
        config::Route route;
        route.services = {{"model", 1}};
        route.gapObjective = absl::Milliseconds(250);
        table->routes.push_back(route);
        route.gapObjective = absl::Milliseconds(1000);
        table->routes.push_back(route);
        config::ServiceSpec service;
        service.name = "model";
        service.engine = engineCosts();
        service.engine->slots = Slots;
        service.engine->meanPromptTokens = 5000;
        service.engine->meanAnswerTokens = 2000; // 2 s at 1 ms a step.
        table->services.emplace("model", service);
        context.activateConfiguration(table, "{}", "test", at(0));
        context.random.seed(7);
        for (int i = 0; i < EngineCount; ++i) {
            context.targets.put({core::cat("engine-", i), "model", {"127.0.0.1", 8000}, "hall-a", Slots, false});
        }
    }

    /// Reports the work at the engines, all grants included.
    void report(core::Time now)
    {
        control::WorkReport report;
        report.vm = "vm-1";
        report.incarnation = 1;
        report.sequence = ++sequence;
        report.newestGrant = newestGrant;
        std::erase_if(running, [now](const Running &work) { return work.endsAt <= now; });
        std::map<std::uint32_t, relay::Outstanding> works;
        for (const auto &work : running) {
            auto &sum = works[work.engine];
            const bool prefills = now < work.prefilledAt;
            sum.requests += work.isPart ? 0 : 1;
            sum.prefillParts += work.isPart ? 1 : 0;
            sum.decodingRequests += work.isPart || prefills ? 0 : 1;
            sum.shortGapRequests += work.shortGaps && !work.isPart ? 1 : 0;
            sum.memoryTokens += work.tokens;
            sum.decodingContextTokens += work.isPart || prefills ? 0 : work.tokens;
            auto &micros = work.isPart ? sum.partPrefillMicros : sum.prefillMicros;
            micros += prefills ? std::min(work.partMicros, absl::ToInt64Microseconds(work.prefilledAt - now)) : 0;
        }
        for (const auto &[engine, work] : works) {
            report.work.push_back({engine, work, 0});
        }
        scheduler.applyReport(report, now);
    }

    /// Starts the work of a grant; returns the time of its first event.
    core::Time start(const PlacementReply &grant, const PlacementRequest &request, core::Time now)
    {
        newestGrant = std::max(newestGrant, grant.grantNumber);
        const auto first = now + grant.expectedTtft;
        const auto partMicros = absl::ToInt64Microseconds(grant.partPrefillTime);
        for (const auto helper : grant.helpers) {
            running.push_back({helper, first, first, partMicros, 0, request.shortGaps, true});
        }
        const auto answer = absl::Seconds(std::uniform_real_distribution(1.5, 2.5)(random));
        running.push_back({grant.target, first + answer, first, partMicros, request.prompt.maxMemoryTokens(),
                           request.shortGaps, false});
        return first;
    }

    PlacementRequest request(bool shortGaps, std::uint64_t number) const
    {
        PlacementRequest request;
        request.vm = "vm-1";
        request.requestNumber = number;
        request.digest = number;
        request.service = "model";
        request.shortGaps = shortGaps;
        request.prompt = {shortGaps ? 5000 : 100'000, 500};
        request.ttftObjective = shortGaps ? absl::Milliseconds(300) : absl::Seconds(3);
        request.callerTimeout = shortGaps ? absl::Seconds(2) : absl::Seconds(12);
        request.timeLeft = absl::Seconds(shortGaps ? 10 : 30);
        return request;
    }

    struct Running
    {
        std::uint32_t engine;
        core::Time endsAt;
        core::Time prefilledAt;
        std::int64_t partMicros;
        std::int64_t tokens;
        bool shortGaps;
        bool isPart;
    };

    net::Loop loop;
    settings::RelaySettings settings;
    metrics::Metrics metrics;
    RelayContext context{loop, settings, metrics};
    control::Scheduler scheduler{context};
    std::vector<Running> running;
    std::uint64_t sequence = 0;
    std::uint64_t newestGrant = 0;
    std::mt19937_64 random{7};
};

/// What became of the callers of a run, counted by the arrival of a caller's first request.
struct Results
{
    double offered = 0;
    double inTime = 0; ///< First event within the objective, counted from the caller's last arrival.
    double late = 0;
    double refusals = 0; ///< Including repeated refusals of one caller.

    [[nodiscard]] double share() const
    {
        return inTime / offered;
    }
};

/// Offers prompts at constant mean rates to a Contention.
class Load
{
public:
    /// \param returning Whether refused callers return when they are told to.
    Load(double shortPerSecond, double longPerSecond, bool returning)
        : m_rates{shortPerSecond, longPerSecond}
        , m_returning(returning)
    { }

    /// The callers that arrive from 4 s to 14 s, of short-gap and long-gap prompts.
    std::array<Results, 2> run()
    {
        constexpr int StepMs = 5;
        for (int ms = 0; ms < LastCountedMs + 6000; ms += StepMs) {
            const auto now = at(ms);
            while (!m_returns.empty() && m_returns.begin()->first <= now) {
                const auto caller = m_returns.extract(m_returns.begin()).mapped();
                arrive(caller, now);
            }
            for (std::size_t kind = 0; kind < m_rates.size(); ++kind) {
                std::poisson_distribution<int> arrivals(m_rates.at(kind) * StepMs / 1000);
                for (int count = m_rates.at(kind) > 0 ? arrivals(m_state.random) : 0; count > 0; --count) {
                    const bool counted = ms >= FirstCountedMs && ms < LastCountedMs;
                    m_results.at(kind).offered += counted ? 1 : 0;
                    arrive({++m_callerCount, kind == 0, counted, now, now + absl::Seconds(10)}, now);
                }
            }
            if (ms % (2 * StepMs) == 0) {
                runRound(now, ms % 150 == 0);
            }
        }
        return m_results;
    }

private:
    static constexpr int FirstCountedMs = 4000;
    static constexpr int LastCountedMs = 14'000;

    struct Caller
    {
        std::uint64_t number;
        bool shortGaps;
        bool counted;
        core::Time arrivedAt;
        core::Time deadline;
    };

    void arrive(Caller caller, core::Time now)
    {
        caller.arrivedAt = now;
        m_waiting.emplace(++m_requestCount, caller);
        ask(m_requestCount, now);
    }

    void ask(std::uint64_t number, core::Time now)
    {
        const auto &caller = m_waiting.at(number);
        auto request = m_state.request(caller.shortGaps, number);
        request.digest = caller.number;
        request.waited = now - caller.arrivedAt;
        request.timeLeft = caller.deadline - now;
        handle(m_state.scheduler.handleRequest(request, now), now);
    }

    void handle(const PlacementReply &reply, core::Time now)
    {
        if (reply.kind == ReplyKind::Queued) {
            return;
        }
        const auto caller = m_waiting.extract(reply.requestNumber).mapped();
        auto &results = m_results.at(caller.shortGaps ? 0 : 1);
        if (reply.kind == ReplyKind::Refused) {
            results.refusals += caller.counted ? 1 : 0;
            if (m_returning && reply.retryAfter > absl::ZeroDuration()) {
                m_returns.emplace(now + reply.retryAfter, caller);
            }
            return;
        }
        const auto request = m_state.request(caller.shortGaps, reply.requestNumber);
        const bool inTime = m_state.start(reply, request, now) - caller.arrivedAt <= request.ttftObjective;
        (inTime ? results.inTime : results.late) += caller.counted ? 1 : 0;
    }

    void runRound(core::Time now, bool repeat)
    {
        m_state.report(now);
        m_state.scheduler.removeExpired(now);
        for (const auto &[vm, reply] : m_state.scheduler.placeQueued(now)) {
            handle(reply, now);
        }
        for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
            const auto [number, caller] = *waiting++;
            if (now - caller.arrivedAt > m_state.request(caller.shortGaps, number).callerTimeout) {
                m_state.scheduler.cancel({"vm-1", number});
                m_waiting.erase(number);
            } else if (repeat) {
                ask(number, now);
            }
        }
    }

    Contention m_state;
    const std::array<double, 2> m_rates;
    const bool m_returning;
    std::array<Results, 2> m_results;
    std::map<std::uint64_t, Caller> m_waiting; ///< By request number.
    std::multimap<core::Time, Caller> m_returns;
    std::uint64_t m_requestCount = 0;
    std::uint64_t m_callerCount = 0;
};

/// Requests/s that fill all slots: a slot is taken for the answer and about 0.15 s until its first event.
constexpr double ShortCapacity = EngineCount * Slots / (AnswerSeconds + 0.15);
constexpr double LongCapacity = 20;

/// Callers whose first event was in time, by kind, at a load factor.
std::array<Results, 2> runAt(double factor, double shortShare, double longShare, bool returning = false)
{
    return Load(ShortCapacity * factor * shortShare, LongCapacity * factor * longShare, returning).run();
}

overload::RefusedCaller refusedCaller(std::uint64_t digest)
{
    overload::RefusedCaller caller;
    caller.digest = digest;
    caller.timeLeft = absl::Seconds(6);
    caller.leastTtft = absl::Milliseconds(50);
    caller.backlog = absl::Milliseconds(400);
    caller.spacing = absl::Milliseconds(10);
    return caller;
}

/// Takes all slots of a Contention with short-gap prompts from `from` to `until`, ms, and then offers 200 prompts/s,
/// nearly twice the capacity.
/// Returns the number of refusals.
int fillAndQueue(Contention &state, int from, int until)
{
    int refusals = 0;
    std::uint64_t number = 1'000'000 + static_cast<std::uint64_t>(from) * 1000;
    for (int ms = from; ms < until; ms += 10) {
        state.report(at(ms));
        std::vector<std::pair<PlacementReply, PlacementRequest>> replies;
        const int count = state.running.size() < EngineCount * Slots * 3 / 4 ? EngineCount : 2;
        for (int i = 0; i < count; ++i) {
            const auto request = state.request(true, ++number);
            replies.emplace_back(state.scheduler.handleRequest(request, at(ms)), request);
        }
        for (const auto &[vm, reply] : state.scheduler.placeQueued(at(ms))) {
            replies.emplace_back(reply, state.request(true, reply.requestNumber));
        }
        for (const auto &[reply, request] : replies) {
            refusals += reply.kind == ReplyKind::Refused ? 1 : 0;
            if (reply.kind == ReplyKind::Granted) {
                state.start(reply, request, at(ms));
            }
        }
    }
    return refusals;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission_by_prediction)

// Without admission, 7 % more short prompts than slots made a third of all first events late: all requests waited
// equally long, and those that were late anyway delayed the others.
BOOST_AUTO_TEST_CASE(short_prompts_beyond_the_capacity_do_not_delay_the_others)
{
    const auto atCapacity = runAt(1, 1, 0)[0].inTime;
    for (const auto factor : {0.8, 1.07, 1.1, 1.5, 2.0, 4.0}) {
        const auto results = runAt(factor, 1, 0)[0];
        BOOST_TEST_CONTEXT("load factor " << factor << ", offered " << results.offered << ", in time " << results.inTime
                                          << ", late " << results.late)
        {
            if (factor <= 1.07) {
                BOOST_TEST(results.share() >= 0.93);
            }
            if (factor < 1) {
                BOOST_TEST(results.refusals == 0);
            } else {
                BOOST_TEST(results.inTime >= atCapacity * 0.95);
            }
        }
    }
}

// Retries of refused callers must not displace first requests so far that fewer callers are served in time.
BOOST_AUTO_TEST_CASE(returning_callers_do_not_reduce_the_number_served_in_time)
{
    const auto atCapacity = runAt(1, 1, 0, true)[0].inTime;
    for (const auto factor : {1.07, 1.5, 4.0}) {
        const auto results = runAt(factor, 1, 0, true)[0];
        BOOST_TEST_CONTEXT("load factor " << factor << ", refusals " << results.refusals)
        {
            BOOST_TEST(results.inTime >= atCapacity * 0.95);
            if (factor < 1.1) {
                BOOST_TEST(results.share() >= 0.93);
                // With returns as soon as the backlog had drained, half of all callers were refused once.
                BOOST_TEST(results.refusals <= results.offered * 0.3);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(long_prompts_beyond_the_capacity_do_not_delay_the_others)
{
    const auto atCapacity = runAt(1, 0, 1)[1].inTime;
    for (const auto factor : {0.8, 1.07, 1.1, 1.5, 2.0, 4.0}) {
        const auto results = runAt(factor, 0, 1)[1];
        BOOST_TEST_CONTEXT("load factor " << factor << ", offered " << results.offered << ", in time "
                                          << results.inTime)
        {
            if (factor < 1) {
                BOOST_TEST(results.share() == 1);
            }
            if (factor >= 2) {
                BOOST_TEST(results.inTime >= atCapacity * 0.9); // Some 180 prompts: one more or less is 0.6 %.
            }
        }
    }
}

// Long prompts that wait must not take slots from short ones that can be in time.
BOOST_AUTO_TEST_CASE(short_prompts_of_a_mixed_load_are_in_time)
{
    for (const auto factor : {0.8, 1.0, 1.07, 1.1}) {
        const auto results = runAt(factor, 0.5, 0.5);
        BOOST_TEST_CONTEXT("load factor " << factor)
        {
            BOOST_TEST(results[0].share() >= 0.93);
            BOOST_TEST((factor > 1 || results[1].share() == 1));
        }
    }
    const auto atCapacity = runAt(1, 1, 0)[0].inTime;
    for (const auto factor : {1.5, 2.0, 4.0}) {
        BOOST_TEST_CONTEXT("load factor " << factor)
        {
            const auto results = runAt(factor, 0.5, 0.5)[0];
            BOOST_TEST(results.inTime >= std::min(atCapacity, results.offered) * 0.9);
        }
    }
}

// A scheduler that has just taken over does not know the work of the fleet; if it refused by prediction, a burst
// during a change of the scheduler would be refused as a whole.
BOOST_AUTO_TEST_CASE(a_new_scheduler_refuses_nobody_in_its_first_300_ms)
{
    Contention state;
    BOOST_TEST(fillAndQueue(state, 0, 300) == 0);
    BOOST_TEST(fillAndQueue(state, 300, 1500) > 0);
    // The daemons used another scheduler for a while.
    BOOST_TEST(fillAndQueue(state, 10'000, 10'300) == 0);
}

// The datagram of a refusal may be lost. A second decision could grant a request whose caller has the refusal.
BOOST_AUTO_TEST_CASE(a_refusal_is_repeated_for_a_repeated_ask_and_never_given_to_a_request_that_may_have_run)
{
    Contention state;
    fillAndQueue(state, 0, 1500);
    const auto request = state.request(true, 1);
    const auto refusal = state.scheduler.handleRequest(request, at(1500));
    BOOST_REQUIRE((refusal.kind == ReplyKind::Refused));
    BOOST_TEST((refusal.retryAfter >= absl::Milliseconds(100) && refusal.retryAfter <= request.timeLeft / 3));
    state.running.clear(); // All slots are free now.
    state.report(at(1520));
    const auto again = state.scheduler.handleRequest(request, at(1530));
    BOOST_TEST((again.kind == ReplyKind::Refused && again.retryAfter == refusal.retryAfter));
    fillAndQueue(state, 1530, 3000);
    auto retried = state.request(true, 2);
    retried.mayHaveRun = true;
    BOOST_TEST((state.scheduler.handleRequest(retried, at(3000)).kind == ReplyKind::Queued));
    auto older = state.request(true, 3); // A daemon that does not know refusals would leave the scheduler aside.
    older.digest = 0;
    BOOST_TEST((state.scheduler.handleRequest(older, at(3000)).kind == ReplyKind::Queued));
    for (const auto &[vm, reply] : state.scheduler.placeQueued(at(3000))) {
        BOOST_TEST((reply.kind != ReplyKind::Refused || reply.requestNumber > 3));
    }
}

BOOST_AUTO_TEST_CASE(without_a_known_drain_rate_nothing_is_late_or_refused)
{
    const overload::Admission admission(0);
    const overload::WaitingPrompt prompt{at(0), at(2000), absl::Milliseconds(300), absl::Milliseconds(50)};
    BOOST_TEST((admission.predict(prompt, {1000, 1000}, at(0)).verdict == overload::Verdict::InTime));
}

// Callers that return in one moment are refused again in one moment.
BOOST_AUTO_TEST_CASE(refused_callers_return_one_after_the_other)
{
    overload::ReturnBook book;
    auto previous = absl::ZeroDuration();
    for (std::uint64_t digest = 1; digest <= 100; ++digest) {
        const auto retryAfter = book.enter(refusedCaller(digest), at(0));
        BOOST_TEST((retryAfter >= previous + absl::Milliseconds(9)));
        previous = retryAfter;
    }
    std::set<core::Duration> beyondLimit;
    for (std::uint64_t digest = 101; digest <= 300; ++digest) {
        const auto retryAfter = book.enter(refusedCaller(digest), at(0));
        BOOST_TEST((retryAfter <= absl::Seconds(2))); // A third of the time left.
        beyondLimit.insert(retryAfter);
    }
    BOOST_TEST(beyondLimit.size() == 200);
}

BOOST_AUTO_TEST_CASE(a_caller_that_returns_early_keeps_its_time_and_one_on_time_goes_ahead_once)
{
    overload::ReturnBook book;
    const auto retryAfter = book.enter(refusedCaller(1), at(0));
    BOOST_TEST((book.arrivalOf(1, at(100)) == overload::Arrival::Early));
    BOOST_TEST((book.enter(refusedCaller(1), at(100)) == retryAfter - absl::Milliseconds(100)));
    BOOST_TEST((book.arrivalOf(1, Start + retryAfter) == overload::Arrival::OnTime));
    book.remove(1);
    BOOST_TEST((book.arrivalOf(1, Start + retryAfter) == overload::Arrival::New));
}

BOOST_AUTO_TEST_CASE(a_caller_whose_deadline_comes_first_is_not_told_to_return)
{
    overload::ReturnBook book;
    auto caller = refusedCaller(1);
    caller.timeLeft = absl::Milliseconds(440); // 400 ms of backlog and 50 ms to the first event.
    BOOST_TEST((book.enter(caller, at(0)) == absl::ZeroDuration()));
    BOOST_TEST(book.size() == 0);
}

// After a dip of the drain rate, callers were told that they cannot succeed although the backlog had drained.
BOOST_AUTO_TEST_CASE(callers_return_sooner_again_when_the_backlog_drains_faster)
{
    overload::ReturnBook book;
    auto caller = refusedCaller(1);
    caller.timeLeft = absl::Seconds(30);
    caller.backlog = absl::Seconds(20);
    BOOST_TEST((book.enter(caller, at(0)) > absl::ZeroDuration()));
    BOOST_TEST((book.enter(refusedCaller(2), at(1000)) == absl::Milliseconds(420))); // The backlog and two callers.
}

BOOST_AUTO_TEST_CASE(the_return_book_is_bounded)
{
    overload::ReturnBook book;
    for (std::uint64_t digest = 1; digest <= 2 * overload::ReturnBook::MaxEntries; ++digest) {
        auto caller = refusedCaller(digest);
        caller.spacing = absl::ZeroDuration();
        static_cast<void>(book.enter(caller, at(static_cast<std::int64_t>(digest) / 8)));
    }
    BOOST_TEST(book.size() == overload::ReturnBook::MaxEntries);
    static_cast<void>(book.enter(refusedCaller(1), at(60'000)));
    BOOST_TEST(book.size() == 1); // The others expired.
}

// A caller that returns when it was told to must not wait behind callers that were never refused.
BOOST_AUTO_TEST_CASE(a_caller_that_returns_on_time_goes_ahead_of_new_ones)
{
    Contention state;
    fillAndQueue(state, 0, 1500);
    const auto refusal = state.scheduler.handleRequest(state.request(true, 1), at(1500));
    BOOST_REQUIRE((refusal.kind == ReplyKind::Refused));
    const auto returnsAt = 1500 + absl::ToInt64Milliseconds(refusal.retryAfter) + 10;
    fillAndQueue(state, 1500, static_cast<int>(returnsAt));
    auto returned = state.request(true, 2);
    returned.digest = 1;
    const auto reply = state.scheduler.handleRequest(returned, at(returnsAt));
    BOOST_TEST((reply.kind == ReplyKind::Queued));
    BOOST_TEST(state.metrics.value(metrics::Counter::ReturnsOnTime) == 1);
    state.running.erase(state.running.begin(), state.running.begin() + 12); // Frees a few slots.
    state.report(at(returnsAt + 10));
    const auto replies = state.scheduler.placeQueued(at(returnsAt + 10));
    BOOST_REQUIRE(!replies.empty());
    BOOST_TEST(replies.front().second.requestNumber == 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
