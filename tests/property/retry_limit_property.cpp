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

#include "spurlug/relay/fleet_retry_budget.h"

#include <algorithm>
#include <cstdint>
#include <vector>

using namespace spurlug;

namespace
{

constexpr int StepMs = 500;
constexpr int Steps = 80;
constexpr int DiscoveryMs = 1500; ///< Time after which connected daemons know each other.

core::Time timeOf(int step)
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
    int restartAt = 0; ///< Step at which all daemons restart.
    int partitionFrom = 0; ///< Step from which the sides hear nothing of each other.
    std::size_t splitDomain
        = 0; ///< Index of the domain whose daemons hear only their own half of it from that step on.
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
            const bool losesCallers = i % 2 == 0;
            Domain domain;
            domain.daemons = *rc::gen::inRange(1, 12);
            domain.callersFrom = losesCallers ? 0 : movedAt;
            domain.callersUntil = losesCallers ? movedAt : Steps;
            domain.requestsPerStep = *rc::gen::inRange(1, 20);
            domain.failsFrom = movedAt + *rc::gen::inRange(-4, 4);
            domain.failsUntil = Steps;
            fleet.domains.push_back(domain);
        }
        fleet.restartAt = *rc::gen::inRange(0, Steps);
        fleet.partitionFrom = Steps;
        fleet.splitDomain = fleet.domains.size();
        return fleet;
    });
}

rc::Gen<Fleet> fleets(int maxSides, int maxRequests)
{
    return rc::gen::exec([=] {
        Fleet fleet;
        const auto domains = *rc::gen::inRange(1, 6);
        for (int i = 0; i < domains; ++i) {
            Domain domain;
            domain.daemons = *rc::gen::inRange(1, 12);
            domain.side = *rc::gen::inRange(0, maxSides);
            domain.callersFrom = *rc::gen::inRange(0, Steps);
            domain.callersUntil = *rc::gen::inRange(domain.callersFrom, Steps + 1);
            domain.requestsPerStep = *rc::gen::inRange(0, maxRequests + 1);
            domain.failsFrom = *rc::gen::inRange(0, Steps);
            domain.failsUntil = *rc::gen::inRange(domain.failsFrom, Steps + 1);
            fleet.domains.push_back(domain);
        }
        fleet.restartAt = *rc::gen::inRange(0, Steps);
        fleet.partitionFrom = *rc::gen::inRange(0, Steps);
        fleet.splitDomain = *rc::gen::inRange<std::size_t>(0, fleet.domains.size() + 1);
        return fleet;
    });
}

struct Daemon
{
    relay::FleetRetryBudget budget;
    std::size_t domain = 0;
    int index = 0; ///< Index within its domain.
    int startedAt = -Steps;
    std::size_t maxKnownDaemons = 0; ///< Largest number of daemons of its failure domain that it knew at once.
};

/// Requests and retries of all daemons in each step.
struct StepCounts
{
    std::vector<std::int64_t> requests;
    std::vector<std::int64_t> retries;
};

/// Number of daemons of its own domain that a daemon hears, itself included.
std::size_t countHeardLocally(const Daemon &daemon, const Fleet &fleet, int step)
{
    const auto all = fleet.domains[daemon.domain].daemons;
    const bool isSplit = step >= fleet.partitionFrom && daemon.domain == fleet.splitDomain;
    const auto half = all / 2;
    return static_cast<std::size_t>(!isSplit ? all : daemon.index < half ? half : all - half);
}

/// Number of daemons of other domains that a daemon hears.
std::size_t countHeardRemotely(const Daemon &daemon, const Fleet &fleet, int step)
{
    std::size_t heard = 0;
    for (std::size_t i = 0; i < fleet.domains.size(); ++i) {
        const bool isReachable
            = step < fleet.partitionFrom || fleet.domains[i].side == fleet.domains[daemon.domain].side;
        heard += i != daemon.domain && isReachable ? static_cast<std::size_t>(fleet.domains[i].daemons) : 0;
    }
    return heard;
}

/// What a daemon knows of its fleet's size at a step.
relay::FleetView fleetViewOf(Daemon &daemon, const Fleet &fleet, int step)
{
    const auto uptimeMs = (step - daemon.startedAt) * StepMs;
    const bool hasDiscovered = uptimeMs >= DiscoveryMs;
    const auto localDaemons = hasDiscovered ? countHeardLocally(daemon, fleet, step) : 1;
    const auto remoteDaemons = hasDiscovered ? countHeardRemotely(daemon, fleet, step) : 0;
    daemon.maxKnownDaemons = std::max(daemon.maxKnownDaemons, localDaemons);
    return {daemon.maxKnownDaemons, localDaemons + remoteDaemons > 1, true, absl::Milliseconds(uptimeMs),
            fleet.domains.size()};
}

void runStep(Daemon &daemon, const Fleet &fleet, int step, StepCounts &stepCounts)
{
    const auto &domain = fleet.domains[daemon.domain];
    if (step >= domain.callersFrom && step < domain.callersUntil) {
        for (int i = 0; i < domain.requestsPerStep; ++i) {
            daemon.budget.noteRequest("s", timeOf(step));
        }
        stepCounts.requests.back() += domain.requestsPerStep;
    }
    if (step < domain.failsFrom || step >= domain.failsUntil) {
        return;
    }
    const auto share = relay::slackShare(fleetViewOf(daemon, fleet, step), daemon.budget.limit().window);
    while (daemon.budget.charge("s", share, timeOf(step)) != relay::RetryCharge::Refused) {
        ++stepCounts.retries.back();
    }
}

StepCounts simulate(const Fleet &fleet, const relay::FleetRetryLimit &limit)
{
    std::vector<Daemon> daemons;
    for (std::size_t domain = 0; domain < fleet.domains.size(); ++domain) {
        for (int i = 0; i < fleet.domains[domain].daemons; ++i) {
            daemons.push_back({relay::FleetRetryBudget(limit), domain, i});
        }
    }
    StepCounts stepCounts;
    for (int step = 0; step < Steps; ++step) {
        stepCounts.requests.push_back(0);
        stepCounts.retries.push_back(0);
        for (auto &daemon : daemons) {
            if (step == fleet.restartAt) {
                daemon = {relay::FleetRetryBudget(limit), daemon.domain, daemon.index, step};
            }
            runStep(daemon, fleet, step, stepCounts);
        }
    }
    return stepCounts;
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
void checkRetryLimit(const StepCounts &stepCounts, const relay::FleetRetryLimit &limit)
{
    const auto window = static_cast<int>(absl::ToInt64Milliseconds(limit.window)) / StepMs;
    for (int end = 1; end <= Steps; ++end) {
        std::int64_t requests = 0;
        for (const int windowOffset : {0, window / 2, window}) {
            requests = std::max(requests, sumOf(stepCounts.requests, end - windowOffset - window, end - windowOffset));
        }
        const auto allowed = limit.ratio * static_cast<double>(requests) + limit.slack;
        RC_ASSERT(static_cast<double>(sumOf(stepCounts.retries, end - window, end)) <= allowed);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(repeat_bound_properties)

/// The fleet is partitioned between its failure domains into any number of sides, and possibly within one domain, from
/// its start or later.
BOOST_AUTO_TEST_CASE(partitioned_failure_domains_stay_within_the_retry_slack)
{
    CHECK_PROPERTY("slack of partitioned fleets", [] {
        relay::FleetRetryLimit bound;
        bound.slack = *rc::gen::inRange(100, 700);
        checkRetryLimit(simulate(*fleets(5, 0), bound), bound);
    });
}

/// Callers move between daemons while targets fail and daemons restart.
BOOST_AUTO_TEST_CASE(the_retry_limit_holds_when_callers_move_to_other_daemons)
{
    CHECK_PROPERTY("retry limit with moving callers", [] {
        relay::FleetRetryLimit bound;
        bound.slack = *rc::gen::inRange(20, 300);
        checkRetryLimit(simulate(*fleetsWithMovingCallers(), bound), bound);
    });
}

BOOST_AUTO_TEST_CASE(the_retry_limit_holds_under_load_failures_partitions_and_restarts)
{
    CHECK_PROPERTY("bound", [] {
        relay::FleetRetryLimit bound;
        bound.slack = *rc::gen::inRange(20, 300);
        checkRetryLimit(simulate(*fleets(5, 20), bound), bound);
    });
}

BOOST_AUTO_TEST_SUITE_END()
