//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the broker that grants engines
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/grants/broker.h"

#include <boost/test/unit_test.hpp>

using namespace spurlug;

namespace
{

const core::Time Start = absl::FromUnixSeconds(1000);

std::vector<targets::TargetView> engines(int count)
{
    std::vector<targets::TargetView> all;
    for (int i = 0; i < count; ++i) {
        targets::TargetView engine;
        engine.id = "e" + std::to_string(i);
        engine.report.condition = targets::TargetCondition::Serving;
        engine.reportAge = absl::ZeroDuration();
        all.push_back(engine);
    }
    return all;
}

grants::GrantRequest grantRequest(const std::string &id, const std::string &organisation, std::int64_t tokens,
                                  int count, core::Time at)
{
    return {id, organisation, 1.0, tokens, count, at};
}

} // namespace

BOOST_AUTO_TEST_SUITE(grants_tests)

BOOST_AUTO_TEST_CASE(a_group_is_granted_whole_or_not_at_all)
{
    grants::Broker broker;
    broker.enqueue(grantRequest("r", "o", 1'000'000, 3, Start), Start);
    broker.grantEngines(engines(2), 1.0, Start);
    BOOST_TEST(!broker.grantOf("r").has_value());
    broker.grantEngines(engines(3), 0.5, Start);
    BOOST_REQUIRE(broker.grantOf("r").has_value());
    BOOST_TEST(broker.grantOf("r")->targets.size() == 3);
}

BOOST_AUTO_TEST_CASE(small_requests_do_not_overtake_a_large_one_forever)
{
    grants::Broker broker;
    broker.enqueue(grantRequest("first", "o", 100'000, 1, Start), Start);
    broker.grantEngines(engines(3), 1.0, Start);
    const auto running = broker.grantOf("first").value().id;
    broker.enqueue(grantRequest("large", "o", 1'000'000, 3, Start), Start);
    broker.enqueue(grantRequest("small", "o", 50'000, 1, Start + absl::Seconds(1)), Start + absl::Seconds(1));
    broker.grantEngines(engines(3), 1.0, Start + absl::Seconds(1));
    BOOST_TEST(!broker.grantOf("small").has_value());
    broker.release(running);
    broker.grantEngines(engines(3), 1.0, Start + absl::Seconds(1));
    BOOST_TEST(broker.grantOf("large").has_value());
}

BOOST_AUTO_TEST_CASE(the_organisation_served_least_goes_first_and_waiting_counts)
{
    grants::Broker broker;
    broker.enqueue(grantRequest("a1", "a", 300'000, 1, Start), Start);
    broker.grantEngines(engines(1), 1.0, Start);
    broker.release(broker.grantOf("a1").value().id);
    broker.enqueue(grantRequest("a2", "a", 300'000, 1, Start), Start);
    broker.enqueue(grantRequest("b1", "b", 300'000, 1, Start), Start);
    broker.grantEngines(engines(1), 1.0, Start);
    BOOST_TEST(broker.grantOf("b1").has_value());
    broker.release(broker.grantOf("b1").value().id);
    const auto later = Start + absl::Seconds(3);
    broker.enqueue(grantRequest("a2", "a", 300'000, 1, Start), later);
    broker.enqueue(grantRequest("b2", "b", 300'000, 1, later), later);
    broker.grantEngines(engines(1), 1.0, later);
    BOOST_TEST(broker.grantOf("a2").has_value());
}

BOOST_AUTO_TEST_CASE(grants_and_requests_expire_without_their_owner)
{
    grants::Broker broker;
    broker.enqueue(grantRequest("r", "o", 1, 1, Start), Start);
    broker.grantEngines(engines(1), 1.0, Start);
    BOOST_TEST(broker.occupiedEngines() == 1);
    broker.enqueue(grantRequest("s", "o", 1, 1, Start), Start);
    broker.grantEngines(engines(1), 1.0, Start + absl::Seconds(7));
    BOOST_TEST(broker.occupiedEngines() == 0);
    BOOST_TEST(broker.queuedCount() == 0);
}

BOOST_AUTO_TEST_CASE(long_prompts_stay_within_their_share)
{
    grants::Broker broker;
    for (int i = 0; i < 10; ++i) {
        broker.enqueue(grantRequest("r" + std::to_string(i), "o", 1, 1, Start), Start);
    }
    broker.grantEngines(engines(8), 0.5, Start);
    BOOST_TEST(broker.occupiedEngines() == 4);
}

BOOST_AUTO_TEST_SUITE_END()
