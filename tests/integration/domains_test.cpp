//----------------------------------------------------------------------------------------------------------------------
// spurlug: integration tests of several failure domains and of their failures
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "fleet.h"

#include <boost/test/unit_test.hpp>

using support::eventually;
using support::Fleet;
using support::FleetOptions;

namespace
{

FleetOptions threeDomains()
{
    FleetOptions options;
    options.domains = {"domain-a", "domain-b", "domain-c"};
    options.daemonsPerDomain = 2;
    options.enginesPerDomain = 1;
    return options;
}

bool knowsDomains(Fleet &fleet, const std::string &vm, std::size_t count)
{
    const auto status = fleet.status(vm);
    return status["domains"].size() == count;
}

std::int64_t generationOf(Fleet &fleet, const std::string &vm)
{
    return fleet.status(vm)["generation"];
}

} // namespace

BOOST_AUTO_TEST_SUITE(domains)

BOOST_AUTO_TEST_CASE(every_daemon_knows_every_domain_and_explains_all_decisions)
{
    Fleet fleet(threeDomains());
    for (const auto &vm : fleet.daemons()) {
        BOOST_TEST(eventually([&] { return knowsDomains(fleet, vm, 2); }));
    }
    const auto answer = fleet.complete("domain-a-1", Fleet::makePrompt(1000), 2);
    const auto id = answer.headers.at("Request-Id");
    for (const auto &vm : fleet.daemons()) {
        BOOST_TEST(eventually([&] {
            return support::call(fleet.adminAddress(vm), "GET", "/explain/" + id).json().contains("attempts");
        }));
    }
}

BOOST_AUTO_TEST_CASE(a_domain_without_engines_uses_engines_of_other_domains)
{
    Fleet fleet(threeDomains());
    BOOST_TEST(eventually([&] { return knowsDomains(fleet, "domain-a-1", 2); }));
    fleet.process("domain-a-engine-1").kill();
    const auto prompt = Fleet::makePrompt(1000);
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(fleet.complete("domain-a-1", prompt, 5).text() == Fleet::expectedAnswer(prompt, 5));
    }
    BOOST_TEST(eventually([&] {
        static_cast<void>(fleet.complete("domain-a-1", prompt, 5));
        return fleet.metric("domain-a-1", "requests_spilled_total") > 0;
    }));
    const auto longPrompt = Fleet::makePrompt(40'000);
    const auto answer = fleet.complete("domain-a-1", longPrompt, 5);
    BOOST_TEST(answer.text() == Fleet::expectedAnswer(longPrompt, 5));
}

BOOST_AUTO_TEST_CASE(a_domain_that_cannot_reach_the_platform_is_updated_through_other_domains)
{
    auto options = threeDomains();
    options.domainWithoutPlatform = "domain-c";
    Fleet fleet(options);
    BOOST_TEST(generationOf(fleet, "domain-c-1") == 1);
    fleet.configuration()["classes"][0]["priority"] = 9;
    const auto [code, output] = fleet.applyConfiguration();
    BOOST_TEST(code == 0, output);
    BOOST_TEST(
        eventually([&] { return generationOf(fleet, "domain-c-1") == 2 && generationOf(fleet, "domain-c-2") == 2; }));
    const auto prompt = Fleet::makePrompt(1000);
    BOOST_TEST(fleet.complete("domain-c-2", prompt, 5).text() == Fleet::expectedAnswer(prompt, 5));
}

BOOST_AUTO_TEST_CASE(an_isolated_domain_continues_to_serve)
{
    Fleet fleet(threeDomains());
    BOOST_TEST(eventually([&] { return knowsDomains(fleet, "domain-a-1", 2); }));
    for (const auto *killed :
         {"domain-b-1", "domain-b-2", "domain-c-1", "domain-c-2", "domain-b-engine-1", "domain-c-engine-1"}) {
        fleet.process(killed).kill();
    }
    fleet.setPlatformFaults({{"down", true}});
    const auto prompt = Fleet::makePrompt(1000);
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(fleet.complete("domain-a-2", prompt, 5).text() == Fleet::expectedAnswer(prompt, 5));
    }
}

BOOST_AUTO_TEST_SUITE_END()
