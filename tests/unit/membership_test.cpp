//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of membership and heartbeats
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/membership/fleet.h"
#include "spurlug/membership/heartbeat.h"
#include "spurlug/membership/peer_table.h"

#include <boost/test/unit_test.hpp>

using namespace spurlug;
using membership::HeartbeatResult;

namespace
{

const core::Time Start = absl::FromUnixSeconds(1000);
constexpr auto Timeout = absl::Seconds(3);

membership::PeerReport peerReport(const std::string &vm, std::uint64_t incarnation, std::uint64_t sequence)
{
    membership::PeerReport report;
    report.vm = vm;
    report.failureDomain = "a";
    report.peerAddress = {"127.0.0.1", 1};
    report.rpcAddress = {"127.0.0.1", 2};
    report.incarnation = incarnation;
    report.sequence = sequence;
    report.state = membership::DaemonState::Serving;
    return report;
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership_tests)

BOOST_AUTO_TEST_CASE(heartbeats_are_accepted_once_and_in_order)
{
    membership::PeerTable table("self", "a", Timeout);
    BOOST_TEST((table.recordHeartbeat(peerReport("b", 1, 5), Start) == HeartbeatResult::New));
    BOOST_TEST((table.recordHeartbeat(peerReport("b", 1, 5), Start) == HeartbeatResult::Duplicate));
    BOOST_TEST((table.recordHeartbeat(peerReport("b", 1, 4), Start) == HeartbeatResult::Duplicate));
    BOOST_TEST((table.recordHeartbeat(peerReport("b", 2, 1), Start) == HeartbeatResult::New));
    BOOST_TEST((table.recordHeartbeat(peerReport("b", 1, 9), Start) == HeartbeatResult::Outdated));
    BOOST_TEST((table.recordHeartbeat(peerReport("self", 1, 1), Start) == HeartbeatResult::Own));
}

// Guards against rejecting the heartbeats of a daemon that restarts while its time of day is set back: its incarnation
// number is lower than the last one.
BOOST_AUTO_TEST_CASE(a_daemon_that_restarts_with_a_lower_incarnation_number_is_heard_at_once)
{
    membership::PeerTable table("self", "a", Timeout);
    BOOST_TEST((table.recordHeartbeat(peerReport("b", 9, 5), Start) == HeartbeatResult::New));
    const auto restartAt = Start + absl::Milliseconds(300);
    BOOST_TEST((table.recordHeartbeat(peerReport("b", 4, 1), restartAt) == HeartbeatResult::New));
    BOOST_TEST((table.recordHeartbeat(peerReport("b", 9, 6), restartAt) == HeartbeatResult::Outdated));
    BOOST_TEST((table.recordHeartbeat(peerReport("b", 4, 2), restartAt) == HeartbeatResult::Accepted));
    BOOST_TEST((table.recordHeartbeat(peerReport("b", 4, 2), restartAt) == HeartbeatResult::Duplicate));
    BOOST_TEST(table.find("b")->report.incarnation == 4U);
}

// Guards against rejecting a running daemon for good after a late message of an earlier, unknown incarnation.
BOOST_AUTO_TEST_CASE(an_incarnation_that_a_late_message_replaced_is_heard_again)
{
    membership::PeerTable table("self", "a", Timeout);
    BOOST_TEST((table.recordHeartbeat(peerReport("b", 9, 1), Start) == HeartbeatResult::New));
    BOOST_TEST((table.recordHeartbeat(peerReport("b", 4, 7), Start) == HeartbeatResult::New));
    const auto later = Start + absl::Seconds(8);
    BOOST_TEST((table.recordHeartbeat(peerReport("b", 9, 30), later) == HeartbeatResult::New));
}

BOOST_AUTO_TEST_CASE(silence_ends_a_role_and_an_empty_list_does_not)
{
    membership::PeerTable table("self", "a", Timeout);
    table.recordHeartbeat(peerReport("b", 1, 1), Start);
    table.applyVmList({});
    BOOST_TEST(table.roleHolders(true, Start + absl::Seconds(3)).size() == 2);
    BOOST_TEST(table.roleHolders(true, Start + absl::Seconds(4)).size() == 1);
}

BOOST_AUTO_TEST_CASE(a_peer_listed_as_draining_holds_no_role_until_it_restarts)
{
    membership::PeerTable table("self", "a", Timeout);
    table.recordHeartbeat(peerReport("b", 1, 1), Start);
    table.applyVmList({{"b", "a", {"127.0.0.1", 1}, true}});
    BOOST_TEST(table.roleHolders(true, Start).size() == 1);
    table.recordHeartbeat(peerReport("b", 2, 1), Start);
    BOOST_TEST(table.roleHolders(true, Start).size() == 2);
}

BOOST_AUTO_TEST_CASE(a_pause_of_this_process_does_not_count_as_silence_of_peers)
{
    membership::PeerTable table("self", "a", Timeout);
    table.recordHeartbeat(peerReport("b", 1, 1), Start);
    table.extendTimeouts(absl::Seconds(60), Start + absl::Seconds(60));
    BOOST_TEST(table.roleHolders(true, Start + absl::Seconds(61)).size() == 2);
}

BOOST_AUTO_TEST_CASE(a_heartbeat_received_after_a_pause_does_not_extend_the_peer_timeout)
{
    membership::PeerTable table("self", "a", Timeout);
    const auto resumed = Start + absl::Seconds(60);
    table.recordHeartbeat(peerReport("b", 1, 1), resumed);
    table.extendTimeouts(absl::Seconds(60), resumed);
    BOOST_TEST(table.roleHolders(true, resumed + absl::Seconds(4)).size() == 1);
}

BOOST_AUTO_TEST_CASE(a_heartbeat_is_decoded_as_encoded_and_rejected_with_a_wrong_key)
{
    membership::Heartbeat sent;
    sent.sender = peerReport("b", 7, 8);
    sent.sender.generation = 42;
    membership::ObservedLoad load;
    load.target = 0xdeadbeef;
    load.report.condition = targets::TargetCondition::Draining;
    load.report.queuedTokens = 123'456;
    load.age = absl::Milliseconds(250);
    sent.loads.push_back(load);
    sent.unreachableTargets = {7, 0xfeedface};
    auto datagram = membership::writeHeartbeat(sent, "key");
    const auto received = membership::readHeartbeat(datagram, "key");
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST(received->sender.vm == "b");
    BOOST_TEST(received->sender.generation == 42);
    BOOST_TEST(received->sender.rpcAddress.text() == "127.0.0.1:2");
    BOOST_TEST(received->loads.at(0).target == 0xdeadbeef);
    BOOST_TEST((received->unreachableTargets == std::vector<std::uint32_t>{7, 0xfeedface}));
    BOOST_TEST(received->loads.at(0).report.queuedTokens == 123'456);
    BOOST_TEST((received->loads.at(0).report.condition == targets::TargetCondition::Draining));
    BOOST_TEST(!membership::readHeartbeat(datagram, "other").has_value());
    BOOST_TEST(!membership::readHeartbeat(datagram, "").has_value());
    for (std::size_t i = 0; i < datagram.size(); ++i) {
        datagram[i] ^= 1;
        BOOST_TEST(!membership::readHeartbeat(datagram, "key").has_value());
        datagram[i] ^= 1;
    }
}

BOOST_AUTO_TEST_CASE(the_newest_summary_counts_and_only_direct_ones_are_forwarded)
{
    membership::DomainTable table("a");
    membership::DomainSummary summary;
    summary.failureDomain = "b";
    summary.daemonCount = 4;
    summary.age = absl::Seconds(2);
    BOOST_TEST(table.update(summary, false, Start));
    BOOST_TEST(table.summariesToForward(Start).empty());
    summary.age = absl::Seconds(3);
    BOOST_TEST(!table.update(summary, true, Start));
    summary.age = absl::ZeroDuration();
    summary.daemonCount = 5;
    BOOST_TEST(table.update(summary, true, Start));
    const auto later = Start + absl::Seconds(4);
    BOOST_TEST(table.summariesToForward(later).size() == 1);
    BOOST_TEST(table.summaries(later).at(0).daemonCount == 5);
    BOOST_TEST((table.summaries(later).at(0).age == absl::Seconds(4)));
    BOOST_TEST(table.summariesToForward(Start + absl::Seconds(6)).empty());
    BOOST_TEST(table.summaries(Start + absl::Hours(5)).size() == 1);
    summary.failureDomain = "a";
    BOOST_TEST(!table.update(summary, true, Start));
}

/// Guards against exceeding an organisation's limit threefold: a fleet of three failure domains started while they were
/// partitioned from each other, and each domain took its own daemons for the whole fleet.
BOOST_AUTO_TEST_CASE(a_failure_domain_never_heard_of_counts_as_large_as_the_local_one)
{
    membership::Fleet fleet("vm-0", "a", Timeout, {"a", "b", "c"});
    for (const auto *vm : {"vm-1", "vm-2", "vm-3"}) {
        fleet.recordHeartbeat(peerReport(vm, 1, 1), Start);
    }
    fleet.setState(membership::DaemonState::Serving);
    BOOST_TEST(fleet.daemonCount(Start) == 12U);
    membership::Heartbeat heartbeat;
    heartbeat.sender.failureDomain = "b";
    heartbeat.summaries.emplace_back();
    heartbeat.summaries.back().failureDomain = "b";
    heartbeat.summaries.back().daemonCount = 2;
    fleet.storeSummaries(heartbeat, Start);
    BOOST_TEST(fleet.daemonCount(Start) == 10U); // Four local daemons, two reported for b, four assumed for c.
}

BOOST_AUTO_TEST_CASE(a_delegate_prefers_contacts_that_it_hears)
{
    membership::PeerTable table("self", "a", Timeout);
    table.applyVmList({{"b1", "b", {"127.0.0.1", 11}, false}, {"b2", "b", {"127.0.0.1", 12}, false}});
    BOOST_TEST(table.otherDomains().size() == 1);
    BOOST_TEST(table.contactAddresses("b", 3, Start).size() == 2);
    auto heard = peerReport("b2", 1, 1);
    heard.failureDomain = "b";
    heard.peerAddress.port = 12;
    table.recordHeartbeat(heard, Start);
    BOOST_TEST(table.contactAddresses("b", 1, Start).at(0).port == 12);
    BOOST_TEST(table.roleHolders(true, Start).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
