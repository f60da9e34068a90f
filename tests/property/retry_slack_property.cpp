//----------------------------------------------------------------------------------------------------------------------
// spurlug: property tests of the fleet-wide retry budget with restarts and partitions
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "property.h"

#include "spurlug/relay/fleet_retry_budget.h"

#include <algorithm>
#include <cstdint>
#include <vector>

using namespace spurlug;

namespace
{

constexpr int StepMs = 100;
constexpr int RunMs = 30'000;
constexpr int DiscoveryMs = 1500; ///< Time after which daemons of one side of a partition know each other.

core::Time timeOf(int ms)
{
    return absl::FromUnixSeconds(1000) + absl::Milliseconds(ms);
}

struct Daemon
{
    explicit Daemon(const relay::FleetRetryLimit &limit)
        : budget(limit)
    { }

    relay::FleetRetryBudget budget;
    int startedMs = -60'000;
    std::size_t maxKnownDaemons = 0; ///< Largest number of daemons that it knew since its start.
};

/// A fleet whose daemons send as many retries as they may. All daemons restart at some times and one after the other in
/// a rolling restart; a partition divides the fleet into two sides that know only their own daemons.
struct Fleet
{
    int size = 2;
    std::vector<int> restartsMs; ///< Times at which all daemons restart.
    int rollingRestartMs = 0; ///< Time from which one daemon per step restarts.
    int partitionMs = 0;
    int sideSize = 1;
};

rc::Gen<Fleet> fleets()
{
    return rc::gen::exec([] {
        Fleet fleet;
        fleet.size = *rc::gen::inRange(2, 60);
        const auto restartStep = *rc::gen::inRange(0, RunMs / StepMs);
        fleet.restartsMs = {restartStep * StepMs};
        fleet.rollingRestartMs = *rc::gen::inRange(0, 2 * RunMs / StepMs) * StepMs;
        fleet.partitionMs = *rc::gen::inRange(0, RunMs / StepMs) * StepMs;
        fleet.sideSize = *rc::gen::inRange(1, fleet.size);
        return fleet;
    });
}

/// Returns the number of retries of all daemons in each step of a run of RunMs without new requests.
std::vector<int> retriesPerStep(const Fleet &fleet, const relay::FleetRetryLimit &limit)
{
    std::vector<Daemon> daemons(static_cast<std::size_t>(fleet.size), Daemon(limit));
    for (auto &daemon : daemons) {
        daemon.maxKnownDaemons = daemons.size();
    }
    std::vector<int> retries;
    for (int ms = 0; ms < RunMs; ms += StepMs) {
        int retriesInStep = 0;
        for (int i = 0; i < fleet.size; ++i) {
            auto &daemon = daemons[static_cast<std::size_t>(i)];
            const bool isRestarted
                = std::find(fleet.restartsMs.begin(), fleet.restartsMs.end(), ms) != fleet.restartsMs.end();
            const bool isRollingRestart = ms == fleet.rollingRestartMs + i * StepMs;
            if (isRestarted || isRollingRestart) {
                daemon = Daemon(limit);
                daemon.startedMs = ms;
                daemon.maxKnownDaemons = 1;
            }
            const bool isPartitioned = ms >= fleet.partitionMs;
            const auto reachableDaemons = !isPartitioned ? fleet.size
                : i < fleet.sideSize                     ? fleet.sideSize
                                                         : fleet.size - fleet.sideSize;
            if (ms - daemon.startedMs >= DiscoveryMs) {
                daemon.maxKnownDaemons = std::max(daemon.maxKnownDaemons, static_cast<std::size_t>(reachableDaemons));
            }
            const relay::FleetView fleetView{daemon.maxKnownDaemons, reachableDaemons > 1, true,
                                             absl::Milliseconds(ms - daemon.startedMs)};
            while (daemon.budget.charge("s", relay::slackShare(fleetView, limit.window), timeOf(ms))
                   != relay::RetryCharge::Refused) {
                ++retriesInStep;
            }
        }
        retries.push_back(retriesInStep);
    }
    return retries;
}

} // namespace

BOOST_AUTO_TEST_SUITE(retry_properties)

/// Whatever each daemon knows of its fleet, all daemons together stay within the slack in each window.
BOOST_AUTO_TEST_CASE(the_retry_slack_holds_over_restarts_rolling_restarts_and_a_partition)
{
    CHECK_PROPERTY("slack of the retry budget", [] {
        const auto fleet = *fleets();
        relay::FleetRetryLimit bound;
        bound.slack = *rc::gen::inRange(20, 700);
        const auto repeats = retriesPerStep(fleet, bound);
        const auto steps = static_cast<std::size_t>(absl::ToInt64Milliseconds(bound.window)) / StepMs;
        for (std::size_t first = 0; first + steps <= repeats.size(); ++first) {
            int inWindow = 0;
            for (std::size_t step = first; step < first + steps; ++step) {
                inWindow += repeats[step];
            }
            RC_ASSERT(inWindow <= bound.slack);
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()
