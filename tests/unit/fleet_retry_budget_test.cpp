//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of a daemon's share of the fleet-wide retry budget
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fixtures.h"

#include "spurlug/relay/fleet_retry_budget.h"
#include "spurlug/settings/relay_settings.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace spurlug;
using namespace spurlug::relay;
using namespace spurlug::test;

BOOST_AUTO_TEST_SUITE(retry_ledger)

BOOST_AUTO_TEST_CASE(retries_of_all_daemons_stay_within_the_fleet_wide_budget)
{
    constexpr int Daemons = 6;
    FleetRetryLimit limit;
    const auto share = slackShare({Daemons, true, true, absl::Seconds(20)}, limit.window);
    std::vector<FleetRetryBudget> budgets(Daemons, FleetRetryBudget(limit));
    int requests = 0;
    int retries = 0;
    for (int ms = 0; ms < 10'000; ms += 10) {
        for (auto &budget : budgets) {
            if (ms % 50 == 0) {
                budget.noteRequest("s", at(ms));
                ++requests;
            }
            retries += budget.charge("s", share, at(ms)) != RetryCharge::Refused ? 1 : 0;
        }
    }
    BOOST_TEST(retries > 0);
    BOOST_TEST(retries <= limit.ratio * requests + limit.slack);
}

BOOST_AUTO_TEST_CASE(a_daemon_that_has_just_started_or_hears_no_peer_uses_no_slack)
{
    // All daemons of a fleet were killed at once: each knows only the seeds and spent its share in its previous run.
    const auto window = absl::Seconds(10);
    BOOST_TEST(slackShare({3, true, true, absl::Seconds(1)}, window) == 0);
    BOOST_TEST(slackShare({3, false, true, absl::Seconds(60)}, window) == 0);
    const auto starting = slackShare({76, true, true, absl::Seconds(5)}, window);
    const auto established = slackShare({76, true, true, absl::Seconds(11)}, window);
    BOOST_TEST(starting > 0);
    BOOST_TEST(starting < established);
    BOOST_TEST(76 * (established + starting) < 1);
}

BOOST_AUTO_TEST_CASE(each_failure_domain_has_the_same_share_of_the_slack_regardless_of_its_size)
{
    const auto window = absl::Seconds(10);
    const auto smallDomainSlack = 5 * slackShare({5, true, true, absl::Seconds(60), 3}, window);
    const auto largeDomainSlack = 25 * slackShare({25, true, true, absl::Seconds(60), 3}, window);
    BOOST_TEST(smallDomainSlack == largeDomainSlack, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(3 * largeDomainSlack < 1);
    settings::RelaySettings settings;
    settings.failureDomain = "a";
    BOOST_TEST(settings.sharesLimitsWith("b")); // Without configured domains, all daemons count together.
    settings.failureDomains = {"a", "b"};
    BOOST_TEST(settings.sharesLimitsWith("a"));
    BOOST_TEST(!settings.sharesLimitsWith("b"));
}

BOOST_AUTO_TEST_SUITE_END()
