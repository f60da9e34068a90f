//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the state of a daemon's links to targets and of the choice of peers for tunnels
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/text.h"
#include "spurlug/net/tunnel.h"
#include "spurlug/relay/target_links.h"
#include "spurlug/relay/tunnel_peers.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace spurlug::test
{

namespace
{

const auto Start = absl::UnixEpoch() + absl::Hours(1);

core::Time at(int ms)
{
    return Start + absl::Milliseconds(ms);
}

relay::TargetEntry engine(int number, const std::string &service = "model")
{
    relay::TargetEntry entry;
    entry.id = core::cat("i-", number);
    entry.service = service;
    entry.address = {"127.0.0.1", static_cast<std::uint16_t>(number)};
    entry.failureDomain = "hall-a";
    return entry;
}

control::Member member(const std::string &vm, const std::string &failureDomain)
{
    control::Member result;
    result.vm = vm;
    result.failureDomain = failureDomain;
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_links_state)

// Guards against a daemon that loses the head start of its own link at each target anew.
BOOST_AUTO_TEST_CASE(two_bypassed_links_of_a_service_stand_for_all)
{
    relay::TargetLinks links;
    links.noteConnected(engine(3), at(0));
    links.noteBypassed(engine(1), at(100));
    BOOST_TEST(links.isDown(engine(1), at(101)));
    BOOST_TEST(!links.isDown(engine(3), at(101)));
    links.noteBypassed(engine(2), at(110));
    BOOST_TEST(links.isDown(engine(3), at(111)));
    BOOST_TEST(!links.isDown(engine(4, "app"), at(111)));
}

// Guards against links that stay down although one of them works again.
BOOST_AUTO_TEST_CASE(a_connection_ends_the_assumption_about_the_other_links)
{
    relay::TargetLinks links;
    links.noteBypassed(engine(1), at(0));
    links.noteBypassed(engine(2), at(0));
    BOOST_TEST(!links.startTrial(engine(3), at(100)));
    BOOST_TEST(links.startTrial(engine(3), at(300)));
    BOOST_TEST(!links.startTrial(engine(4), at(301))); // One trial at a time.
    links.noteConnected(engine(3), at(302));
    BOOST_TEST(!links.isDown(engine(4), at(303)));
    BOOST_TEST(links.isDown(engine(1), at(303)));
    BOOST_TEST(links.startTrial(engine(1), at(303)));
    BOOST_TEST(!links.isDown(engine(1), at(11'000)));
}

// Guards against work that is repeated because new connections fail while open ones still carry their answers.
BOOST_AUTO_TEST_CASE(bytes_that_arrive_while_a_link_is_down_show_that_open_connections_work)
{
    relay::TargetLinks links;
    links.noteBytes(engine(1), at(0));
    BOOST_TEST(!links.openConnectionsWork("model"));
    links.noteBypassed(engine(1), at(100));
    links.noteBytes(engine(2), at(200)); // Was in transit.
    BOOST_TEST(!links.openConnectionsWork("model"));
    links.noteBytes(engine(2), at(500));
    BOOST_TEST(links.openConnectionsWork("model"));
    links.noteConnected(engine(2), at(600));
    links.noteBypassed(engine(2), at(700)); // Another outage.
    BOOST_TEST(!links.openConnectionsWork("model"));
}

// Guards against requests that are refused while a few targets have failed, or for longer than no path is known.
BOOST_AUTO_TEST_CASE(requests_are_refused_only_while_several_targets_cannot_be_reached)
{
    relay::TargetLinks links;
    links.noteUnreached(engine(1), at(0));
    links.noteUnreached(engine(2), at(10));
    links.noteUnreached(engine(2), at(20));
    BOOST_TEST(!links.refusesRequest("model", at(21)));
    links.noteUnreached(engine(3), at(30));
    BOOST_TEST(!links.refusesRequest("model", at(31))); // Let through, to try again.
    BOOST_TEST(links.refusesRequest("model", at(32)));
    BOOST_TEST(!links.refusesRequest("app", at(32)));
    BOOST_TEST(!links.refusesRequest("model", at(290)));
    links.noteReachedThroughPeer(engine(9));
    BOOST_TEST(!links.refusesRequest("model", at(291)));
    BOOST_TEST(!links.refusesRequest("model", at(2000)));
}

// Guards against tunnels that cross failure domains twice, and against peers that are asked again at once.
BOOST_AUTO_TEST_CASE(near_peers_that_have_not_failed_are_chosen_first)
{
    control::Roster roster("vm-1");
    auto draining = member("vm-5", "hall-a");
    draining.state = membership::DaemonState::Draining;
    roster.replace({member("vm-1", "hall-a"), member("vm-2", "hall-a"), member("vm-3", "hall-b"),
                    member("vm-4", "hall-c"), draining});
    relay::TunnelPeers peers(roster, "hall-a");
    std::mt19937_64 random(1);
    const auto choices = [&](const std::string &domain, core::Time now) {
        std::set<std::string> chosen;
        for (int i = 0; i < 50; ++i) {
            chosen.insert(peers.choose(domain, {}, random, now)->vm);
        }
        return chosen;
    };
    BOOST_TEST((choices("hall-c", at(0)) == std::set<std::string>{"vm-2", "vm-4"}));
    peers.noteFailed("vm-2", at(0));
    peers.noteFailed("vm-4", at(0));
    BOOST_TEST((choices("hall-c", at(1)) == std::set<std::string>{"vm-3"}));
    peers.noteFailed("vm-3", at(1));
    BOOST_TEST(choices("hall-c", at(2)).size() == 3U); // All failed: any may be back.
    BOOST_TEST((choices("hall-c", at(300)) == std::set<std::string>{"vm-2", "vm-4"}));
    BOOST_TEST(!peers.choose("hall-c", {"vm-2", "vm-3", "vm-4"}, random, at(300)).has_value());
}

// Guards against tunnels that all go through one peer.
BOOST_AUTO_TEST_CASE(open_tunnels_are_spread_over_the_peers)
{
    control::Roster roster("vm-1");
    roster.replace({member("vm-1", "hall-a"), member("vm-2", "hall-a"), member("vm-3", "hall-a")});
    relay::TunnelPeers peers(roster, "hall-a");
    std::mt19937_64 random(2);
    std::vector<core::Ref<relay::TunnelUse>> open;
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i) {
        const auto vm = peers.choose("hall-a", {}, random, at(0))->vm;
        ++counts[vm];
        open.push_back(peers.noteOpened(vm));
    }
    BOOST_TEST(std::abs(counts["vm-2"] - counts["vm-3"]) <= 10);
}

// Guards against a proxy whose malformed requests or responses are taken for something else.
BOOST_AUTO_TEST_CASE(tunnel_requests_and_responses_are_read_as_written)
{
    const net::TunnelRequest tunnel{{"10.0.0.1", 80}, {"10.0.0.2", 8080}, absl::Seconds(3)};
    auto request = net::writeTunnelRequest(tunnel, absl::Milliseconds(90));
    const auto read = net::readTunnelRequest(request);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read->target == tunnel.target));
    BOOST_TEST((read->connectTimeout == absl::Milliseconds(90)));
    BOOST_TEST((read->lifetime == absl::Seconds(3)));
    request.target = "no address";
    BOOST_TEST(!net::readTunnelRequest(request).has_value());
    request = net::writeTunnelRequest(tunnel, absl::Milliseconds(90));
    request.headers.set("Connect-Timeout-Ms", "-1");
    BOOST_TEST(!net::readTunnelRequest(request).has_value());
    for (const auto &[result, name] : core::EnumNames<net::TunnelResult>::table) {
        const auto head = net::writeTunnelResponse(result);
        BOOST_TEST((net::readTunnelResponse(head.status, head.headers.value(net::TunnelErrorField)) == result), name);
    }
    BOOST_TEST((net::readTunnelResponse(502, "other") == net::TunnelResult::ProxyUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
