//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of membership and heartbeats
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/membership/fleet.h"
#include "spurlug/membership/heartbeat.h"
#include "spurlug/membership/peer_table.h"

#include <boost/test/unit_test.hpp>

using namespace spurlug;
using membership::HeardResult;

namespace
{

const core::Time Start = absl::FromUnixSeconds(1000);
constexpr auto Timeout = absl::Seconds(3);

membership::PeerNews news(const std::string &vm, std::uint64_t incarnation, std::uint64_t sequence)
{
    membership::PeerNews news;
    news.vm = vm;
    news.failureDomain = "a";
    news.peerAddress = {"127.0.0.1", 1};
    news.rpcAddress = {"127.0.0.1", 2};
    news.incarnation = incarnation;
    news.sequence = sequence;
    news.state = membership::DaemonState::Serving;
    return news;
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership_tests)

BOOST_AUTO_TEST_CASE(heartbeats_are_taken_once_and_in_order)
{
    membership::PeerTable table("self", "a", Timeout);
    BOOST_TEST((table.hear(news("b", 1, 5), Start) == HeardResult::New));
    BOOST_TEST((table.hear(news("b", 1, 5), Start) == HeardResult::Repeated));
    BOOST_TEST((table.hear(news("b", 1, 4), Start) == HeardResult::Repeated));
    BOOST_TEST((table.hear(news("b", 2, 1), Start) == HeardResult::New));
    BOOST_TEST((table.hear(news("b", 1, 9), Start) == HeardResult::Outdated));
    BOOST_TEST((table.hear(news("self", 1, 1), Start) == HeardResult::Own));
}

BOOST_AUTO_TEST_CASE(silence_ends_a_role_and_an_empty_list_does_not)
{
    membership::PeerTable table("self", "a", Timeout);
    table.hear(news("b", 1, 1), Start);
    table.noteVmList({});
    BOOST_TEST(table.roleHolders(true, Start + absl::Seconds(3)).size() == 2);
    BOOST_TEST(table.roleHolders(true, Start + absl::Seconds(4)).size() == 1);
}

BOOST_AUTO_TEST_CASE(a_peer_listed_as_leaving_holds_no_role_until_it_starts_again)
{
    membership::PeerTable table("self", "a", Timeout);
    table.hear(news("b", 1, 1), Start);
    table.noteVmList({{"b", "a", {"127.0.0.1", 1}, true}});
    BOOST_TEST(table.roleHolders(true, Start).size() == 1);
    table.hear(news("b", 2, 1), Start);
    BOOST_TEST(table.roleHolders(true, Start).size() == 2);
}

BOOST_AUTO_TEST_CASE(an_own_pause_is_not_held_against_the_peers)
{
    membership::PeerTable table("self", "a", Timeout);
    table.hear(news("b", 1, 1), Start);
    table.noteOwnPause(absl::Seconds(60), Start + absl::Seconds(60));
    BOOST_TEST(table.roleHolders(true, Start + absl::Seconds(61)).size() == 2);
}

BOOST_AUTO_TEST_CASE(a_heartbeat_that_waited_out_the_pause_makes_no_peer_live_longer)
{
    membership::PeerTable table("self", "a", Timeout);
    const auto resumed = Start + absl::Seconds(60);
    table.hear(news("b", 1, 1), resumed);
    table.noteOwnPause(absl::Seconds(60), resumed);
    BOOST_TEST(table.roleHolders(true, resumed + absl::Seconds(4)).size() == 1);
}

BOOST_AUTO_TEST_CASE(a_heartbeat_survives_the_wire_and_a_stranger_s_does_not)
{
    membership::Heartbeat sent;
    sent.news = news("b", 7, 8);
    sent.news.generation = 42;
    membership::ObservedLoad load;
    load.target = 0xdeadbeef;
    load.report.condition = targets::TargetCondition::Leaving;
    load.report.queuedTokens = 123'456;
    load.age = absl::Milliseconds(250);
    sent.loads.push_back(load);
    sent.unreachable = {7, 0xfeedface};
    auto datagram = membership::writeHeartbeat(sent, "key");
    const auto received = membership::readHeartbeat(datagram, "key");
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST(received->news.vm == "b");
    BOOST_TEST(received->news.generation == 42);
    BOOST_TEST(received->news.rpcAddress.text() == "127.0.0.1:2");
    BOOST_TEST(received->loads.at(0).target == 0xdeadbeef);
    BOOST_TEST((received->unreachable == std::vector<std::uint32_t>{7, 0xfeedface}));
    BOOST_TEST(received->loads.at(0).report.queuedTokens == 123'456);
    BOOST_TEST((received->loads.at(0).report.condition == targets::TargetCondition::Leaving));
    BOOST_TEST(!membership::readHeartbeat(datagram, "other").has_value());
    BOOST_TEST(!membership::readHeartbeat(datagram, "").has_value());
    for (std::size_t i = 0; i < datagram.size(); ++i) {
        datagram[i] ^= 1;
        BOOST_TEST(!membership::readHeartbeat(datagram, "key").has_value());
        datagram[i] ^= 1;
    }
}

BOOST_AUTO_TEST_CASE(the_newest_summary_counts_and_only_direct_ones_are_repeated)
{
    membership::DomainTable table("a");
    membership::DomainSummary summary;
    summary.failureDomain = "b";
    summary.daemons = 4;
    summary.age = absl::Seconds(2);
    BOOST_TEST(table.hear(summary, false, Start));
    BOOST_TEST(table.toRepeat(Start).empty());
    summary.age = absl::Seconds(3);
    BOOST_TEST(!table.hear(summary, true, Start));
    summary.age = absl::ZeroDuration();
    summary.daemons = 5;
    BOOST_TEST(table.hear(summary, true, Start));
    const auto later = Start + absl::Seconds(4);
    BOOST_TEST(table.toRepeat(later).size() == 1);
    BOOST_TEST(table.known(later).at(0).daemons == 5);
    BOOST_TEST((table.known(later).at(0).age == absl::Seconds(4)));
    BOOST_TEST(table.toRepeat(Start + absl::Seconds(6)).empty());
    BOOST_TEST(table.known(Start + absl::Hours(5)).size() == 1);
    summary.failureDomain = "a";
    BOOST_TEST(!table.hear(summary, true, Start));
}

/// Guards against exceeding an organisation's limit threefold: a fleet of three failure domains started while they were
/// partitioned from each other, and each domain took its own daemons for the whole fleet.
BOOST_AUTO_TEST_CASE(a_failure_domain_that_was_never_heard_counts_as_large_as_the_own_one)
{
    membership::Fleet fleet("vm-0", "a", Timeout, {"a", "b", "c"});
    for (const auto *vm : {"vm-1", "vm-2", "vm-3"}) {
        fleet.hear(news(vm, 1, 1), Start);
    }
    fleet.setState(membership::DaemonState::Serving);
    BOOST_TEST(fleet.daemons(Start) == 12U);
    membership::Heartbeat heartbeat;
    heartbeat.news.failureDomain = "b";
    heartbeat.summaries.emplace_back();
    heartbeat.summaries.back().failureDomain = "b";
    heartbeat.summaries.back().daemons = 2;
    fleet.hearSummaries(heartbeat, Start);
    BOOST_TEST(fleet.daemons(Start) == 10U); // Four local daemons, two reported for b, four assumed for c.
}

BOOST_AUTO_TEST_CASE(a_delegate_prefers_contacts_that_it_hears)
{
    membership::PeerTable table("self", "a", Timeout);
    table.noteVmList({{"b1", "b", {"127.0.0.1", 11}, false}, {"b2", "b", {"127.0.0.1", 12}, false}});
    BOOST_TEST(table.otherDomains().size() == 1);
    BOOST_TEST(table.contactsIn("b", 3, Start).size() == 2);
    auto heard = news("b2", 1, 1);
    heard.failureDomain = "b";
    heard.peerAddress.port = 12;
    table.hear(heard, Start);
    BOOST_TEST(table.contactsIn("b", 1, Start).at(0).port == 12);
    BOOST_TEST(table.roleHolders(true, Start).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
