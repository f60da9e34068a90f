//----------------------------------------------------------------------------------------------------------------------
// spurlug: property tests of the fleet-wide retry budget with restarts and partitions
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "property.h"

#include "spurlug/relay/retry_ledger.h"

#include <algorithm>
#include <cstdint>
#include <vector>

using namespace spurlug;

namespace
{

constexpr int StepMs = 100;
constexpr int DayMs = 30'000;
constexpr int LearnsAfterMs = 1500; ///< Time after which daemons of one side of a partition know each other.

core::Time at(int ms)
{
    return absl::FromUnixSeconds(1000) + absl::Milliseconds(ms);
}

struct Daemon
{
    explicit Daemon(const relay::RetryBound &bound)
        : ledger(bound)
    { }

    relay::RetryLedger ledger;
    int startedMs = -60'000;
    std::size_t largest = 0; ///< Largest number of daemons that it knew since its start.
};

/// A fleet whose daemons send as many retries as they may. All daemons restart at some times and one after the other in
/// a rolling restart; a partition divides the fleet into two sides that know only their own daemons.
struct Fleet
{
    int size = 2;
    std::vector<int> killsMs; ///< Times at which all daemons restart.
    int rollFromMs = 0; ///< Time from which one daemon per step restarts.
    int cutMs = 0;
    int sideSize = 1;
};

rc::Gen<Fleet> fleets()
{
    return rc::gen::exec([] {
        Fleet fleet;
        fleet.size = *rc::gen::inRange(2, 60);
        const auto kill = *rc::gen::inRange(0, DayMs / StepMs);
        fleet.killsMs = {kill * StepMs};
        fleet.rollFromMs = *rc::gen::inRange(0, 2 * DayMs / StepMs) * StepMs;
        fleet.cutMs = *rc::gen::inRange(0, DayMs / StepMs) * StepMs;
        fleet.sideSize = *rc::gen::inRange(1, fleet.size);
        return fleet;
    });
}

/// Returns the number of retries of all daemons in each step of a run of DayMs without new requests.
std::vector<int> repeatsOf(const Fleet &fleet, const relay::RetryBound &bound)
{
    std::vector<Daemon> daemons(static_cast<std::size_t>(fleet.size), Daemon(bound));
    for (auto &daemon : daemons) {
        daemon.largest = daemons.size();
    }
    std::vector<int> repeats;
    for (int ms = 0; ms < DayMs; ms += StepMs) {
        int inStep = 0;
        for (int i = 0; i < fleet.size; ++i) {
            auto &daemon = daemons[static_cast<std::size_t>(i)];
            const bool killed = std::find(fleet.killsMs.begin(), fleet.killsMs.end(), ms) != fleet.killsMs.end();
            const bool rolled = ms == fleet.rollFromMs + i * StepMs;
            if (killed || rolled) {
                daemon = Daemon(bound);
                daemon.startedMs = ms;
                daemon.largest = 1;
            }
            const bool cut = ms >= fleet.cutMs;
            const auto side = !cut ? fleet.size : i < fleet.sideSize ? fleet.sideSize : fleet.size - fleet.sideSize;
            if (ms - daemon.startedMs >= LearnsAfterMs) {
                daemon.largest = std::max(daemon.largest, static_cast<std::size_t>(side));
            }
            const relay::FleetKnowledge knowledge{daemon.largest, side > 1, true,
                                                  absl::Milliseconds(ms - daemon.startedMs)};
            while (daemon.ledger.take("s", relay::slackShare(knowledge, bound.window), at(ms))
                   != relay::RepeatCharge::Refused) {
                ++inStep;
            }
        }
        repeats.push_back(inStep);
    }
    return repeats;
}

} // namespace

BOOST_AUTO_TEST_SUITE(retry_properties)

/// Whatever each daemon knows of its fleet, all daemons together stay within the slack in each window.
BOOST_AUTO_TEST_CASE(the_fleet_s_slack_is_kept_over_starts_kills_of_all_rolling_restarts_and_a_cut)
{
    CHECK_PROPERTY("slack of the retry budget", [] {
        const auto fleet = *fleets();
        relay::RetryBound bound;
        bound.slack = *rc::gen::inRange(20, 700);
        const auto repeats = repeatsOf(fleet, bound);
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
