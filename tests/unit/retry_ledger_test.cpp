//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of a daemon's share of the fleet-wide retry budget
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fixtures.h"

#include "spurlug/relay/retry_ledger.h"
#include "spurlug/settings/relay_settings.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace spurlug;
using namespace spurlug::relay;
using namespace spurlug::test;

BOOST_AUTO_TEST_SUITE(retry_ledger)

BOOST_AUTO_TEST_CASE(repeated_sends_of_all_daemons_stay_within_the_fleet_s_bound)
{
    constexpr int Daemons = 6;
    RetryBound bound;
    const auto share = slackShare({Daemons, true, true, absl::Seconds(20)}, bound.window);
    std::vector<RetryLedger> ledgers(Daemons, RetryLedger(bound));
    int requests = 0;
    int repeats = 0;
    for (int ms = 0; ms < 10'000; ms += 10) {
        for (auto &ledger : ledgers) {
            if (ms % 50 == 0) {
                ledger.request("s", at(ms));
                ++requests;
            }
            repeats += ledger.take("s", share, at(ms)) != RepeatCharge::Refused ? 1 : 0;
        }
    }
    BOOST_TEST(repeats > 0);
    BOOST_TEST(repeats <= bound.ratio * requests + bound.slack);
}

BOOST_AUTO_TEST_CASE(a_daemon_that_has_just_started_or_hears_nobody_spends_none_of_the_fleet_s_slack)
{
    // All daemons of a fleet were killed at once: each knows only the seeds and spent its share in its previous run.
    const auto window = absl::Seconds(10);
    BOOST_TEST(slackShare({3, true, true, absl::Seconds(1)}, window) == 0);
    BOOST_TEST(slackShare({3, false, true, absl::Seconds(60)}, window) == 0);
    const auto young = slackShare({76, true, true, absl::Seconds(5)}, window);
    const auto settled = slackShare({76, true, true, absl::Seconds(11)}, window);
    BOOST_TEST(young > 0);
    BOOST_TEST(young < settled);
    BOOST_TEST(76 * (settled + young) < 1);
}

BOOST_AUTO_TEST_CASE(each_failure_domain_has_the_same_part_of_the_slack_whoever_hears_it)
{
    const auto window = absl::Seconds(10);
    const auto ofSmall = 5 * slackShare({5, true, true, absl::Seconds(60), 3}, window);
    const auto ofLarge = 25 * slackShare({25, true, true, absl::Seconds(60), 3}, window);
    BOOST_TEST(ofSmall == ofLarge, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(3 * ofLarge < 1);
    settings::RelaySettings settings;
    settings.failureDomain = "a";
    BOOST_TEST(settings.countsTogether("b")); // Without configured domains, all daemons count together.
    settings.failureDomains = {"a", "b"};
    BOOST_TEST(settings.countsTogether("a"));
    BOOST_TEST(!settings.countsTogether("b"));
}

BOOST_AUTO_TEST_SUITE_END()
