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
#include "spurlug/relay/rate_limit.h"
#include "spurlug/relay/warm_up.h"

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
constexpr int DiscoveryMs = 1500; ///< Time after which connected daemons know each other.
constexpr std::uint32_t TargetHash = 0x1234567;

struct Fleet
{
    std::vector<int> daemonsPerDomain; ///< Number of daemons by failure domain.
    int restartAt = 0; ///< Step at which a share of all daemons restarts.
    double restartedShare = 0;
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

core::Time timeOf(int step)
{
    return absl::FromUnixSeconds(1000) + absl::Milliseconds(step * StepMs);
}

rc::Gen<Fleet> fleets()
{
    return rc::gen::exec([] {
        Fleet fleet;
        const auto domains = *rc::gen::inRange(1, 6);
        for (int i = 0; i < domains; ++i) {
            fleet.daemonsPerDomain.push_back(*rc::gen::inRange(1, 201));
        }
        fleet.restartAt = *rc::gen::inRange(0, Steps);
        fleet.restartedShare = *rc::gen::inRange(0, 101) / 100.0;
        fleet.schedulers = *rc::gen::inRange(0, 4);
        fleet.perSecond = *rc::gen::inRange(2, 51);
        return fleet;
    });
}

relay::FleetView fleetViewOf(const Daemon &daemon, const Fleet &fleet, int step)
{
    const auto uptimeMs = (step - daemon.startedAt) * StepMs;
    const auto localDaemons
        = uptimeMs >= DiscoveryMs ? static_cast<std::size_t>(fleet.daemonsPerDomain[daemon.domain]) : 1;
    return {localDaemons, uptimeMs >= DiscoveryMs, true, absl::Milliseconds(uptimeMs), fleet.daemonsPerDomain.size()};
}

std::vector<Daemon> daemonsOf(const Fleet &fleet)
{
    std::vector<Daemon> daemons;
    for (std::size_t domain = 0; domain < fleet.daemonsPerDomain.size(); ++domain) {
        for (int i = 0; i < fleet.daemonsPerDomain[domain]; ++i) {
            daemons.push_back({core::cat("vm-", domain, "-", i), domain});
        }
    }
    return daemons;
}

/// Sends as many requests as the sender may send now and returns their number.
int sendAllPermitted(relay::RecentSends &sends, const relay::LocalRateShare &share, const relay::FleetRate &rate,
                     core::Time now)
{
    int count = 0;
    while (share.allowsRequest(rate, sends, now)) {
        sends.add(now);
        ++count;
    }
    return count;
}

/// Returns the number of requests that the target gets in each step while all senders send as much as they may.
std::vector<int> simulate(const Fleet &fleet, const relay::FleetRate &rate)
{
    using relay::SenderRole;
    auto daemons = daemonsOf(fleet);
    std::vector<relay::RecentSends> schedulers(static_cast<std::size_t>(fleet.schedulers));
    const auto senderRole = schedulers.empty() ? SenderRole::AnyDaemon : SenderRole::Unscheduled;
    const auto restartedCount = static_cast<std::size_t>(fleet.restartedShare * static_cast<double>(daemons.size()));
    std::vector<int> received;
    for (int step = 0; step < Steps; ++step) {
        int sentInStep = 0;
        for (std::size_t i = 0; step == fleet.restartAt && i < restartedCount; ++i) {
            daemons[i].startedAt = step;
            daemons[i].sends = {};
        }
        for (auto &daemon : daemons) {
            const relay::LocalRateShare share(senderRole, fleetViewOf(daemon, fleet, step), daemon.vm, TargetHash);
            sentInStep += sendAllPermitted(daemon.sends, share, rate, timeOf(step));
        }
        for (auto &scheduler : schedulers) {
            sentInStep += sendAllPermitted(scheduler, {SenderRole::Scheduler, {}, "", TargetHash}, rate, timeOf(step));
        }
        received.push_back(sentInStep);
    }
    return received;
}

/// Whether the target gets in each span at most what operators tolerate: 1.5 times its rate, plus five requests.
bool isWithinLimit(const std::vector<int> &received, const relay::FleetRate &rate)
{
    const auto span = static_cast<std::ptrdiff_t>(rate.span / absl::Milliseconds(StepMs));
    const auto maxRequests = rate.perSecond * absl::ToDoubleSeconds(rate.span) * 1.5 + 5;
    for (auto first = received.begin(); received.end() - first >= span; ++first) {
        if (std::accumulate(first, first + span, 0) > maxRequests) {
            return false;
        }
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_rate_properties)

BOOST_AUTO_TEST_CASE(a_target_that_warms_up_stays_within_the_tolerated_rate)
{
    CHECK_PROPERTY("warm-up rate", [] {
        const auto fleet = *fleets();
        const auto rate = relay::WarmUp::rate(fleet.perSecond);
        RC_ASSERT(isWithinLimit(simulate(fleet, rate), rate));
    });
}

// Daemons that each keep to an announced limit must not exceed it together.
BOOST_AUTO_TEST_CASE(a_limited_target_stays_within_the_tolerance_of_its_announced_rate)
{
    CHECK_PROPERTY("limited rate", [] {
        const auto fleet = *fleets();
        relay::RateLimit limit;
        limit.update(*rc::gen::inRange(1, 400) / 10.0, timeOf(0));
        RC_ASSERT(isWithinLimit(simulate(fleet, limit.rate()), limit.rate()));
    });
}

/// Using a target is better than refusing requests: under sustained load, the target gets more than a quarter of its
/// rate.
BOOST_AUTO_TEST_CASE(a_target_with_a_shared_rate_is_not_left_idle)
{
    for (const int size : {1, 20, 200}) {
        for (const auto &rate : {relay::WarmUp::rate(14), relay::FleetRate{1.5, absl::Seconds(4)}}) {
            Fleet fleet;
            fleet.daemonsPerDomain = {size, size, size, size, size};
            fleet.restartAt = Steps;
            const auto received = simulate(fleet, rate);
            const auto permittedRequests = rate.perSecond * Steps / StepsPerSecond;
            BOOST_TEST(std::accumulate(received.begin(), received.end(), 0) > permittedRequests / 4);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
