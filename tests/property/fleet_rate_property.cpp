//----------------------------------------------------------------------------------------------------------------------
// spurlug: what targets whose rate the fleet shares get from up to a thousand daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// No daemon hears of all requests for a target, so a rate of the whole fleet has to follow from what each knows.
// Wanted: whatever daemons die and start again, and however many of them press, a target gets no more in any span than
// the operator bears: 1.5 times its rate, and five. The model plays no cuts: a daemon counts the domain that it knew at
// its largest. The property fails where a daemon takes at least one request for each cold target.
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
constexpr int LearnsAfterMs = 1500; ///< Daemons that are not cut from each other know each other by then.
constexpr std::uint32_t TargetHash = 0x1234567;

struct Fleet
{
    std::vector<int> daemons; ///< By failure domain.
    int killedAt = 0; ///< A share of all daemons ends and starts at this step.
    double killedShare = 0;
    int schedulers = 0; ///< That place prompts at the same time.
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

/// Takes all that the giver may give now.
int press(relay::RecentSends &sends, const relay::RateShare &share, const relay::FleetRate &rate, core::Time now)
{
    int count = 0;
    while (share.takesOne(rate, sends, now)) {
        sends.add(now);
        ++count;
    }
    return count;
}

/// What the target gets in each step while everybody presses.
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

/// Whether the target gets within any span what the operator bears: 1.5 times its rate, and five.
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
    CHECK_PROPERTY("cold rate", [] {
        const auto fleet = *fleets();
        const auto rate = relay::ColdStart::rate(fleet.perSecond);
        RC_ASSERT(isBorne(play(fleet, rate), rate));
    });
}

// The sum over daemons that each kept to a named limit was more than the limit.
BOOST_AUTO_TEST_CASE(a_limited_target_gets_what_it_named_whoever_presses)
{
    CHECK_PROPERTY("limited rate", [] {
        const auto fleet = *fleets();
        relay::RateLimit limit;
        limit.take(*rc::gen::inRange(1, 400) / 10.0, at(0));
        RC_ASSERT(isBorne(play(fleet, limit.rate()), limit.rate()));
    });
}

/// It is preferred to refusing: where everybody presses for long, it is not left idle.
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
