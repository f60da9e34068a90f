//----------------------------------------------------------------------------------------------------------------------
// spurlug: property tests of the rate limits of targets that up to a thousand daemons share
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// No daemon knows of all requests to a target, so each daemon derives its share of a fleet-wide rate from what it
// knows. Whichever daemons restart, and however many of them send as much as they may, a target must not get more in
// any span than operators tolerate: 1.5 times its rate, plus five requests. The model has no partitions, because a
// daemon uses the largest size that it knew of its domain. The property fails if each daemon may send at least one
// request to each target that is warming up.
//
//----------------------------------------------------------------------------------------------------------------------

#include "property.h"

#include "spurlug/core/text.h"
#include "spurlug/relay/cold_start.h"
#include "spurlug/relay/rate_limit.h"

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <string>
#include <vector>

using namespace spurlug;

namespace
{

constexpr int StepMs = 100;
constexpr int StepsPerSecond = 1000 / StepMs;
constexpr int Steps = 80;
constexpr int LearnsAfterMs = 1500; ///< Time after which connected daemons know each other.
constexpr std::uint32_t TargetHash = 0x1234567;

struct Fleet
{
    std::vector<int> daemons; ///< Number of daemons by failure domain.
    int killedAt = 0; ///< Step at which a share of all daemons restarts.
    double killedShare = 0;
    int schedulers = 0; ///< Number of schedulers that place prompts at the same time.
    double perSecond = 0;
};

struct Daemon
{
    std::string vm;
    std::size_t domain = 0;
    int startedAt = -Steps * StepsPerSecond;
    relay::RecentSends sends{};
};

core::Time at(int step)
{
    return absl::FromUnixSeconds(1000) + absl::Milliseconds(step * StepMs);
}

rc::Gen<Fleet> fleets()
{
    return rc::gen::exec([] {
        Fleet fleet;
        const auto domains = *rc::gen::inRange(1, 6);
        for (int i = 0; i < domains; ++i) {
            fleet.daemons.push_back(*rc::gen::inRange(1, 201));
        }
        fleet.killedAt = *rc::gen::inRange(0, Steps);
        fleet.killedShare = *rc::gen::inRange(0, 101) / 100.0;
        fleet.schedulers = *rc::gen::inRange(0, 4);
        fleet.perSecond = *rc::gen::inRange(2, 51);
        return fleet;
    });
}

relay::FleetKnowledge knowledgeOf(const Daemon &daemon, const Fleet &fleet, int step)
{
    const auto lifeMs = (step - daemon.startedAt) * StepMs;
    const auto atHome = lifeMs >= LearnsAfterMs ? static_cast<std::size_t>(fleet.daemons[daemon.domain]) : 1;
    return {atHome, lifeMs >= LearnsAfterMs, true, absl::Milliseconds(lifeMs), fleet.daemons.size()};
}

std::vector<Daemon> daemonsOf(const Fleet &fleet)
{
    std::vector<Daemon> daemons;
    for (std::size_t domain = 0; domain < fleet.daemons.size(); ++domain) {
        for (int i = 0; i < fleet.daemons[domain]; ++i) {
            daemons.push_back({core::cat("vm-", domain, "-", i), domain});
        }
    }
    return daemons;
}

/// Sends as many requests as the sender may send now and returns their number.
int press(relay::RecentSends &sends, const relay::RateShare &share, const relay::FleetRate &rate, core::Time now)
{
    int count = 0;
    while (share.takesOne(rate, sends, now)) {
        sends.add(now);
        ++count;
    }
    return count;
}

/// Returns the number of requests that the target gets in each step while all senders send as much as they may.
std::vector<int> play(const Fleet &fleet, const relay::FleetRate &rate)
{
    using relay::RateGiver;
    auto daemons = daemonsOf(fleet);
    std::vector<relay::RecentSends> schedulers(static_cast<std::size_t>(fleet.schedulers));
    const auto giver = schedulers.empty() ? RateGiver::Everybody : RateGiver::Alone;
    const auto killed = static_cast<std::size_t>(fleet.killedShare * static_cast<double>(daemons.size()));
    std::vector<int> got;
    for (int step = 0; step < Steps; ++step) {
        int sum = 0;
        for (std::size_t i = 0; step == fleet.killedAt && i < killed; ++i) {
            daemons[i].startedAt = step;
            daemons[i].sends = {};
        }
        for (auto &daemon : daemons) {
            const relay::RateShare share(giver, knowledgeOf(daemon, fleet, step), daemon.vm, TargetHash);
            sum += press(daemon.sends, share, rate, at(step));
        }
        for (auto &scheduler : schedulers) {
            sum += press(scheduler, {RateGiver::Scheduler, {}, "", TargetHash}, rate, at(step));
        }
        got.push_back(sum);
    }
    return got;
}

/// Whether the target gets in each span at most what operators tolerate: 1.5 times its rate, plus five requests.
bool isBorne(const std::vector<int> &got, const relay::FleetRate &rate)
{
    const auto span = static_cast<std::ptrdiff_t>(rate.span / absl::Milliseconds(StepMs));
    const auto most = rate.perSecond * absl::ToDoubleSeconds(rate.span) * 1.5 + 5;
    for (auto first = got.begin(); got.end() - first >= span; ++first) {
        if (std::accumulate(first, first + span, 0) > most) {
            return false;
        }
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_rate_properties)

BOOST_AUTO_TEST_CASE(a_cold_target_gets_what_the_operator_bears_whoever_presses)
{
    CHECK_PROPERTY("warm-up rate", [] {
        const auto fleet = *fleets();
        const auto rate = relay::ColdStart::rate(fleet.perSecond);
        RC_ASSERT(isBorne(play(fleet, rate), rate));
    });
}

// Daemons that each keep to an announced limit must not exceed it together.
BOOST_AUTO_TEST_CASE(a_limited_target_gets_what_it_named_whoever_presses)
{
    CHECK_PROPERTY("limited rate", [] {
        const auto fleet = *fleets();
        relay::RateLimit limit;
        limit.take(*rc::gen::inRange(1, 400) / 10.0, at(0));
        RC_ASSERT(isBorne(play(fleet, limit.rate()), limit.rate()));
    });
}

/// Using a target is better than refusing requests: under sustained load, the target gets more than a quarter of its
/// rate.
BOOST_AUTO_TEST_CASE(a_target_whose_rate_is_shared_is_not_left_idle)
{
    for (const int size : {1, 20, 200}) {
        for (const auto &rate : {relay::ColdStart::rate(14), relay::FleetRate{1.5, absl::Seconds(4)}}) {
            Fleet fleet;
            fleet.daemons = {size, size, size, size, size};
            fleet.killedAt = Steps;
            const auto got = play(fleet, rate);
            const auto named = rate.perSecond * Steps / StepsPerSecond;
            BOOST_TEST(std::accumulate(got.begin(), got.end(), 0) > named / 4);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
