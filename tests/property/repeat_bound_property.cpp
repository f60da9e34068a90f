//----------------------------------------------------------------------------------------------------------------------
// spurlug: property tests of the fleet-wide retry budget with several failure domains and moving callers
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// No daemon knows of all retries, so each derives its share of the fleet-wide budget from what it knows at that moment.
// These tests guard against three faults of such a rule:
//
// 1. After all daemons were killed, each restarted one knew three others and took a third of the fleet's slack, while
//    the requests met full engines. A fleet of 76 daemons sent 1,027 retries in ten seconds with a limit of 624.
//
// 2. Parts of a fleet that are partitioned from their start each take themselves for the whole fleet.
//
// 3. Each daemon's budget follows from the requests of its own last window, so that callers who move count twice, at
//    their previous daemon and at the new one.
//
// A rule that fixes only the first fault fails these tests.
//
//----------------------------------------------------------------------------------------------------------------------

#include "property.h"

#include "spurlug/relay/retry_ledger.h"

#include <algorithm>
#include <cstdint>
#include <vector>

using namespace spurlug;

namespace
{

constexpr int StepMs = 500;
constexpr int Steps = 80;
constexpr int LearnsAfterMs = 1500; ///< Time after which connected daemons know each other.

core::Time at(int step)
{
    return absl::FromUnixSeconds(1000) + absl::Milliseconds(step * StepMs);
}

/// The load and faults of one failure domain. Callers send requests during one period; targets fail during another one,
/// in which daemons send as many retries as they may.
struct Domain
{
    int daemons = 1;
    int side = 0; ///< Side of a partition; domains of one side hear each other.
    int callersFrom = 0; ///< Step.
    int callersUntil = 0;
    int requestsPerStep = 0; ///< Number of requests to each daemon.
    int failsFrom = 0; ///< Step.
    int failsUntil = 0;
};

struct Fleet
{
    std::vector<Domain> domains;
    int killedAt = 0; ///< Step at which all daemons restart.
    int cutFrom = 0; ///< Step from which the sides hear nothing of each other.
    std::size_t parted = 0; ///< Index of the domain whose daemons hear only their own half of it from that step on.
};

/// Generates fleets in which the callers of some domains move to other domains at one step, and targets fail from about
/// that step on.
rc::Gen<Fleet> fleetsWithMovingCallers()
{
    return rc::gen::exec([] {
        constexpr int WindowSteps = 20;
        Fleet fleet;
        const auto movedAt = *rc::gen::inRange(WindowSteps, Steps - WindowSteps);
        const auto domains = *rc::gen::inRange(2, 6);
        for (int i = 0; i < domains; ++i) {
            const bool isLeft = i % 2 == 0;
            Domain domain;
            domain.daemons = *rc::gen::inRange(1, 12);
            domain.callersFrom = isLeft ? 0 : movedAt;
            domain.callersUntil = isLeft ? movedAt : Steps;
            domain.requestsPerStep = *rc::gen::inRange(1, 20);
            domain.failsFrom = movedAt + *rc::gen::inRange(-4, 4);
            domain.failsUntil = Steps;
            fleet.domains.push_back(domain);
        }
        fleet.killedAt = *rc::gen::inRange(0, Steps);
        fleet.cutFrom = Steps;
        fleet.parted = fleet.domains.size();
        return fleet;
    });
}

rc::Gen<Fleet> fleets(int mostSides, int mostRequests)
{
    return rc::gen::exec([=] {
        Fleet fleet;
        const auto domains = *rc::gen::inRange(1, 6);
        for (int i = 0; i < domains; ++i) {
            Domain domain;
            domain.daemons = *rc::gen::inRange(1, 12);
            domain.side = *rc::gen::inRange(0, mostSides);
            domain.callersFrom = *rc::gen::inRange(0, Steps);
            domain.callersUntil = *rc::gen::inRange(domain.callersFrom, Steps + 1);
            domain.requestsPerStep = *rc::gen::inRange(0, mostRequests + 1);
            domain.failsFrom = *rc::gen::inRange(0, Steps);
            domain.failsUntil = *rc::gen::inRange(domain.failsFrom, Steps + 1);
            fleet.domains.push_back(domain);
        }
        fleet.killedAt = *rc::gen::inRange(0, Steps);
        fleet.cutFrom = *rc::gen::inRange(0, Steps);
        fleet.parted = *rc::gen::inRange<std::size_t>(0, fleet.domains.size() + 1);
        return fleet;
    });
}

struct Daemon
{
    relay::RetryLedger ledger;
    std::size_t domain = 0;
    int number = 0; ///< Index within its domain.
    int startedAt = -Steps;
    std::size_t largest = 0; ///< Largest number of daemons of its failure domain that it knew at once.
};

/// Requests and retries of all daemons in each step.
struct Day
{
    std::vector<std::int64_t> requests;
    std::vector<std::int64_t> repeats;
};

/// Number of daemons of its own domain that a daemon hears, itself included.
std::size_t heardAtHome(const Daemon &daemon, const Fleet &fleet, int step)
{
    const auto all = fleet.domains[daemon.domain].daemons;
    const bool parted = step >= fleet.cutFrom && daemon.domain == fleet.parted;
    const auto half = all / 2;
    return static_cast<std::size_t>(!parted ? all : daemon.number < half ? half : all - half);
}

/// Number of daemons of other domains that a daemon hears.
std::size_t heardElsewhere(const Daemon &daemon, const Fleet &fleet, int step)
{
    std::size_t heard = 0;
    for (std::size_t i = 0; i < fleet.domains.size(); ++i) {
        const bool reached = step < fleet.cutFrom || fleet.domains[i].side == fleet.domains[daemon.domain].side;
        heard += i != daemon.domain && reached ? static_cast<std::size_t>(fleet.domains[i].daemons) : 0;
    }
    return heard;
}

/// What a daemon knows of its fleet's size at a step.
relay::FleetKnowledge knowledgeOf(Daemon &daemon, const Fleet &fleet, int step)
{
    const auto lifeMs = (step - daemon.startedAt) * StepMs;
    const bool hasLearned = lifeMs >= LearnsAfterMs;
    const auto atHome = hasLearned ? heardAtHome(daemon, fleet, step) : 1;
    const auto elsewhere = hasLearned ? heardElsewhere(daemon, fleet, step) : 0;
    daemon.largest = std::max(daemon.largest, atHome);
    return {daemon.largest, atHome + elsewhere > 1, true, absl::Milliseconds(lifeMs), fleet.domains.size()};
}

void runStep(Daemon &daemon, const Fleet &fleet, int step, Day &day)
{
    const auto &domain = fleet.domains[daemon.domain];
    if (step >= domain.callersFrom && step < domain.callersUntil) {
        for (int i = 0; i < domain.requestsPerStep; ++i) {
            daemon.ledger.request("s", at(step));
        }
        day.requests.back() += domain.requestsPerStep;
    }
    if (step < domain.failsFrom || step >= domain.failsUntil) {
        return;
    }
    const auto share = relay::slackShare(knowledgeOf(daemon, fleet, step), daemon.ledger.bound().window);
    while (daemon.ledger.take("s", share, at(step)) != relay::RepeatCharge::Refused) {
        ++day.repeats.back();
    }
}

Day play(const Fleet &fleet, const relay::RetryBound &bound)
{
    std::vector<Daemon> daemons;
    for (std::size_t domain = 0; domain < fleet.domains.size(); ++domain) {
        for (int i = 0; i < fleet.domains[domain].daemons; ++i) {
            daemons.push_back({relay::RetryLedger(bound), domain, i});
        }
    }
    Day day;
    for (int step = 0; step < Steps; ++step) {
        day.requests.push_back(0);
        day.repeats.push_back(0);
        for (auto &daemon : daemons) {
            if (step == fleet.killedAt) {
                daemon = {relay::RetryLedger(bound), daemon.domain, daemon.number, step};
            }
            runStep(daemon, fleet, step, day);
        }
    }
    return day;
}

std::int64_t sumOf(const std::vector<std::int64_t> &counts, int from, int until)
{
    std::int64_t sum = 0;
    for (int step = std::max(from, 0); step < until; ++step) {
        sum += counts[static_cast<std::size_t>(step)];
    }
    return sum;
}

/// Checks that no window exceeds the retry limit. The limit counts the requests of the window itself, of the previous
/// one or of the one half a window earlier, whichever has the most.
void checkBound(const Day &day, const relay::RetryBound &bound)
{
    const auto window = static_cast<int>(absl::ToInt64Milliseconds(bound.window)) / StepMs;
    for (int end = 1; end <= Steps; ++end) {
        std::int64_t requests = 0;
        for (const int before : {0, window / 2, window}) {
            requests = std::max(requests, sumOf(day.requests, end - before - window, end - before));
        }
        const auto allowed = bound.ratio * static_cast<double>(requests) + bound.slack;
        RC_ASSERT(static_cast<double>(sumOf(day.repeats, end - window, end)) <= allowed);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(repeat_bound_properties)

/// The fleet is partitioned between its failure domains into any number of sides, and possibly within one domain, from
/// its start or later.
BOOST_AUTO_TEST_CASE(the_slack_is_kept_by_any_number_of_sides_of_failure_domains)
{
    CHECK_PROPERTY("slack of partitioned fleets", [] {
        relay::RetryBound bound;
        bound.slack = *rc::gen::inRange(100, 700);
        checkBound(play(*fleets(5, 0), bound), bound);
    });
}

/// Callers move between daemons while targets fail and daemons restart.
BOOST_AUTO_TEST_CASE(the_bound_is_kept_when_callers_move_to_other_daemons)
{
    CHECK_PROPERTY("retry limit with moving callers", [] {
        relay::RetryBound bound;
        bound.slack = *rc::gen::inRange(20, 300);
        checkBound(play(*fleetsWithMovingCallers(), bound), bound);
    });
}

BOOST_AUTO_TEST_CASE(the_bound_is_kept_whatever_callers_targets_cuts_and_restarts_do)
{
    CHECK_PROPERTY("bound", [] {
        relay::RetryBound bound;
        bound.slack = *rc::gen::inRange(20, 300);
        checkBound(play(*fleets(5, 20), bound), bound);
    });
}

BOOST_AUTO_TEST_SUITE_END()
