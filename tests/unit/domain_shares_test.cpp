//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the division of load among failure domains, and of its gradual moves
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fixtures.h"

#include "spurlug/overload/domain_shares.h"
#include "spurlug/overload/engine_ramps.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>

using namespace spurlug;
using namespace spurlug::overload;
using test::at;

namespace
{

constexpr std::array<std::size_t, 3> Targets{1, 1, 2};
using Daemons = std::array<std::size_t, 3>;

std::string nameOf(std::size_t domain)
{
    return std::string(1, static_cast<char>('a' + domain));
}

DomainSizes sizesOf(const Daemons &daemons, const std::array<std::size_t, 3> &targets = Targets)
{
    DomainSizes sizes;
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        sizes[nameOf(i)] = {daemons.at(i), targets.at(i), static_cast<std::int64_t>(targets.at(i)) * 16};
    }
    return sizes;
}

/// Highest load of a target over the mean. Each daemon knows the size of its own domain and the given sizes of others.
double busiestOverMean(const Daemons &real, const Daemons &reported,
                       const std::array<std::size_t, 3> &targets = Targets)
{
    std::map<std::string, double> loads;
    double total = 0;
    for (std::size_t own = 0; own < real.size(); ++own) {
        auto known = reported;
        known.at(own) = real.at(own);
        for (const auto &[domain, share] : steadyShares(nameOf(own), sizesOf(known, targets))) {
            loads[domain] += share * static_cast<double>(real.at(own));
        }
        total += static_cast<double>(real.at(own));
    }
    double busiest = 0;
    std::size_t count = 0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        count += targets.at(i);
        if (targets.at(i) > 0) {
            busiest = std::max(busiest, loads[nameOf(i)] / static_cast<double>(targets.at(i)));
        }
    }
    return busiest * static_cast<double>(count) / total;
}

} // namespace

BOOST_AUTO_TEST_SUITE(domain_shares)

// Guards against the busiest of four targets having 1.6 times the mean load, as when each daemon prefers its own
// domain.
BOOST_AUTO_TEST_CASE(targets_are_equally_loaded_whatever_the_sizes_of_the_domains)
{
    for (const auto &daemons : {Daemons{29, 29, 28}, Daemons{43, 22, 21}, Daemons{10, 66, 10}, Daemons{5, 5, 76}}) {
        BOOST_TEST(busiestOverMean(daemons, daemons) < 1.01);
    }
    BOOST_TEST(busiestOverMean({29, 29, 28}, {29, 29, 28}, {1, 0, 2}) < 1.01);
    BOOST_TEST(busiestOverMean({86, 0, 0}, {86, 0, 0}, {0, 1, 2}) < 1.01);
}

// Guards against an uneven load while a domain starts or loses a daemon each second and others know it 7 s later.
BOOST_AUTO_TEST_CASE(old_counts_of_daemons_leave_the_load_nearly_equal)
{
    BOOST_TEST(busiestOverMean({29, 29, 28}, {29, 29, 21}) < 1.2);
    BOOST_TEST(busiestOverMean({29, 29, 28}, {36, 29, 28}) < 1.2);
    BOOST_TEST(busiestOverMean({40, 25, 21}, {33, 32, 21}) < 1.2);
}

// Guards against requests that cross although their own domain has room.
BOOST_AUTO_TEST_CASE(only_the_excess_of_a_domain_crosses)
{
    const auto sizes = sizesOf({29, 29, 28});
    BOOST_TEST(steadyShares("c", sizes).at("c") == 1.0);
    const auto fromA = steadyShares("a", sizes);
    BOOST_TEST(fromA.at("a") == 0.25 / (29.0 / 86), boost::test_tools::tolerance(1e-9));
    BOOST_TEST(fromA.at("b") == 0.0);
    BOOST_TEST(fromA.at("c") == 1 - fromA.at("a"), boost::test_tools::tolerance(1e-9));
}

// Guards against a lone daemon that takes the silence of the others for an absence of demand.
BOOST_AUTO_TEST_CASE(a_single_daemon_uses_its_own_domain_first)
{
    BOOST_TEST(steadyShares("a", sizesOf({1, 0, 0})).at("a") == 1.0);
    const auto shares = steadyShares("a", sizesOf({1, 0, 0}, {0, 1, 2}));
    BOOST_TEST(!shares.contains("a"));
    BOOST_TEST(shares.at("c") == 2.0 / 3, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(steadyShares("a", sizesOf({1, 0, 0}, {0, 0, 0})).empty());
}

// Guards against load that moves in one step to a domain that returns, and against load left at one that is gone.
BOOST_AUTO_TEST_CASE(a_domain_is_left_at_once_and_used_again_gradually)
{
    const Daemons daemons{29, 29, 28};
    const auto whole = steadyShares("a", sizesOf(daemons)).at("c");
    DomainShares shares;
    BOOST_TEST(!shares.update("a", sizesOf(daemons), at(0)).startsRamp);
    BOOST_TEST(shares.shares(at(0)).at("c") == whole);
    auto cut = sizesOf(daemons);
    cut.erase("c");
    BOOST_TEST(!shares.update("a", cut, at(10)).changes.empty());
    BOOST_TEST(!shares.shares(at(10)).contains("c"));
    BOOST_TEST(shares.shares(at(10)).at("a") == 1.0, boost::test_tools::tolerance(1e-9));
    const auto update = shares.update("a", sizesOf(daemons), at(5000));
    BOOST_TEST(update.startsRamp);
    for (const auto &[ms, part] : {std::pair{5000, 0.0}, {6000, 0.5}, {7000, 1.0}, {9000, 1.0}}) {
        const auto now = shares.shares(at(ms));
        BOOST_TEST(now.at("c") == whole * part, boost::test_tools::tolerance(1e-9));
        BOOST_TEST(now.at("a") + now.at("b") + now.at("c") == 1.0, boost::test_tools::tolerance(1e-9));
    }
}

// Guards against a ramp that starts anew, and so never ends, with each daemon that joins.
BOOST_AUTO_TEST_CASE(small_changes_do_not_delay_the_end_of_a_ramp)
{
    DomainShares shares;
    shares.update("a", sizesOf({29, 29, 28}, {1, 1, 0}), at(0));
    BOOST_TEST(shares.update("a", sizesOf({29, 29, 28}), at(10)).startsRamp);
    for (std::size_t i = 1; i <= 7; ++i) {
        BOOST_TEST(!shares.update("a", sizesOf({29, 29, 28 - i % 2}), at(10 + 250 * static_cast<int>(i))).startsRamp);
    }
    BOOST_TEST((shares.shares(at(2010)) == steadyShares("a", sizesOf({29, 29, 27}))));
}

// Guards against all requests going to the idle engines of a domain that was evacuated or cut off until now.
BOOST_AUTO_TEST_CASE(engines_of_a_domain_that_returns_are_used_gradually)
{
    EngineRamps ramps;
    BOOST_TEST(ramps.update({{"a", 18}, {"b", 18}}, at(0)) == 0U);
    BOOST_TEST(ramps.update({{"a", 18}}, at(100)) == 0U);
    BOOST_TEST(ramps.update({{"a", 18}, {"b", 18}}, at(9000)) == 1U);
    BOOST_TEST((ramps.limits() == EngineCounts{{"b", 1}}));
    BOOST_TEST(ramps.update({{"a", 17}, {"b", 18}}, at(10'000)) == 0U);
    BOOST_TEST((ramps.limits() == EngineCounts{{"b", 9}}));
    BOOST_TEST(ramps.update({{"a", 18}, {"b", 18}}, at(11'000)) == 0U); // One engine of "a" restarted.
    BOOST_TEST(ramps.limits().empty());
}

BOOST_AUTO_TEST_SUITE_END()
