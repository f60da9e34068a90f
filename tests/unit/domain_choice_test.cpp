//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the choice of targets by the shares of failure domains
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_state.h"

#include "spurlug/relay/target_choice.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>

using namespace spurlug;
using namespace spurlug::test;

namespace
{

/// A daemon of one of three domains. Plain targets: one in hall-a, one in hall-b, two in hall-c.
struct Daemon : RelayState
{
    explicit Daemon(const std::string &domain, settings::FeatureMode mode = settings::FeatureMode::On,
                    std::size_t enginesPerDomain = 0, settings::FeatureMode feedback = settings::FeatureMode::Off)
    {
        settings.overload.targetFeedback = feedback;
        settings.failureDomain = domain;
        context.random.seed(1);
        settings.overload.domainShift = mode;
        auto table = core::makeRef<config::RouteTable>(*chatTable());
        if (enginesPerDomain == 0) {
            table->services.at("model").engine.reset();
        }
        context.activateConfiguration(table, "", "test", at(0));
        context.domainSizes = {{"hall-a", 29}, {"hall-b", 29}, {"hall-c", 28}};
        for (const std::string hall : {"hall-a", "hall-b", "hall-c"}) {
            const std::size_t plainTargets = hall == "hall-c" ? 2 : 1;
            for (std::size_t i = 0; i < std::max(enginesPerDomain, plainTargets); ++i) {
                auto target = entry(hall + "/" + std::to_string(i));
                target.failureDomain = hall;
                context.targets.put(target);
            }
        }
    }

    /// Number of choices of each target.
    std::map<std::string, int> choose(int requests, core::Time now, const TargetQuery &query = plainQuery())
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < requests; ++i) {
            const auto chosen = chooseTargets(context, query, now);
            ++counts[chosen ? chosen->target->entry.id : "none"];
        }
        return counts;
    }

    static TargetQuery plainQuery()
    {
        TargetQuery query;
        query.service = "model";
        return query;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(domain_choice)

// Guards against an uneven load of plain targets, and against an uneven choice among those of one domain.
BOOST_AUTO_TEST_CASE(daemons_of_all_domains_load_all_plain_targets_equally)
{
    constexpr int Requests = 10'000;
    std::map<std::string, int> loads;
    for (const std::string domain : {"hall-a", "hall-b", "hall-c"}) {
        for (const auto &[id, count] : Daemon(domain).choose(Requests, at(0))) {
            loads[id] += count;
        }
    }
    BOOST_TEST(loads.size() == 4U);
    for (const auto &[id, count] : loads) {
        BOOST_TEST(count * 4.0 / (3 * Requests) == 1.0, boost::test_tools::tolerance(0.05));
    }
}

// Guards against a slow target that keeps its full share because no other target of its domain takes its requests.
BOOST_AUTO_TEST_CASE(a_slow_target_alone_in_its_domain_gets_a_smaller_share)
{
    Daemon daemon("hall-a", settings::FeatureMode::On, 0, settings::FeatureMode::On);
    daemon.context.domainSizes = {{"hall-a", 60}, {"hall-b", 1}, {"hall-c", 1}};
    const auto equal = daemon.choose(10'000, at(0));
    for (int i = 0; i < 20; ++i) {
        daemon.context.targets.find("hall-b/0")->speed.addGap(4, at(0));
    }
    const auto slow = daemon.choose(10'000, at(1));
    BOOST_TEST(slow.at("hall-b/0") > 0);
    BOOST_TEST(slow.at("hall-b/0") * 2 < equal.at("hall-b/0"));
}

// Guards against a change of behaviour where the feature is off.
BOOST_AUTO_TEST_CASE(without_the_feature_the_own_domain_is_preferred)
{
    Daemon daemon("hall-a", settings::FeatureMode::Off);
    BOOST_TEST(daemon.choose(1000, at(0)).at("hall-a/0") == 1000);
    BOOST_TEST(daemon.context.domainShares.empty());
}

// Guards against requests to a domain beyond a cut, and against a step when it returns.
BOOST_AUTO_TEST_CASE(a_domain_behind_a_cut_gets_nothing_and_returns_gradually)
{
    Daemon daemon("hall-a");
    daemon.context.domainSizes["hall-a"] = 40;
    const auto crossing = daemon.choose(10'000, at(0));
    const auto before = crossing.at("hall-c/0") + crossing.at("hall-c/1");
    daemon.context.links.noteFailure("hall-a", "hall-c", 1, at(1));
    daemon.context.links.noteFailure("hall-a", "hall-c", 2, at(1));
    const auto cut = daemon.choose(1000, at(2));
    BOOST_TEST(!cut.contains("hall-c/0"));
    BOOST_TEST(!cut.contains("hall-c/1"));
    BOOST_TEST(!cut.contains("none"));
    // The daemons beyond the cut send nothing here: 40 and 29 share two targets.
    BOOST_TEST(cut.at("hall-b/0") / 1000.0 == 1 - 0.5 * 69 / 40, boost::test_tools::tolerance(0.2));
    daemon.context.links.noteSuccess("hall-a", "hall-c");
    BOOST_TEST(!daemon.choose(1000, at(100)).contains("hall-c/0"));
    const auto half = daemon.choose(10'000, at(1100));
    BOOST_TEST((half.at("hall-c/0") + half.at("hall-c/1")) * 2.0 / before == 1.0, boost::test_tools::tolerance(0.1));
    BOOST_TEST(daemon.metrics.value(metrics::Counter::DomainRamps) == 1);
}

// Guards against a request that waits because the domain that is drawn for it can't answer.
BOOST_AUTO_TEST_CASE(a_request_finds_the_only_target_that_may_answer)
{
    Daemon daemon("hall-a");
    auto query = Daemon::plainQuery();
    const auto hashOf = [&daemon](const std::string &id) { return daemon.context.targets.find(id)->hash; };
    query.excludedTargets = {hashOf("hall-a/0"), hashOf("hall-c/0"), hashOf("hall-c/1")};
    BOOST_TEST(daemon.choose(100, at(0), query).at("hall-b/0") == 100); // Its share for daemons of hall-a is 0.
    daemon.context.targets.setEvacuatedDomains({"hall-a", "hall-c"});
    BOOST_TEST(daemon.choose(100, at(10)).at("hall-b/0") == 100);
}

// Guards against work that piles up at one target while another one of the domain is free, or the domain is full.
BOOST_AUTO_TEST_CASE(own_work_at_a_target_counts)
{
    Daemon daemon("hall-c");
    const auto busy = daemon.context.targets.find("hall-c/0");
    std::vector<std::unique_ptr<LocalWork>> works;
    const auto addWork = [&](const core::Ref<Target> &target, int requests) {
        Outstanding work;
        work.requests = requests;
        works.push_back(std::make_unique<LocalWork>(target, LocalWork::Kind::Request, work, at(0), at(0), false));
    };
    addWork(busy, 1);
    BOOST_TEST(daemon.choose(100, at(0)).at("hall-c/1") == 100);
    addWork(busy, 31);
    addWork(daemon.context.targets.find("hall-c/1"), 32);
    const auto counts = daemon.choose(100, at(0));
    BOOST_TEST(!counts.contains("none"));
    BOOST_TEST(!counts.contains("hall-c/0"));
}

// Guards against a scheduler that sends all prompts to a domain whose evacuation has just ended, and against prompts
// that wait although its engines are the only free ones.
BOOST_AUTO_TEST_CASE(the_scheduler_uses_the_engines_of_a_domain_that_returns_gradually)
{
    Daemon daemon("hall-a", settings::FeatureMode::On, 6);
    daemon.settings.placement.tightSpare = 0; // No engine is reserved for short gaps.
    auto query = Daemon::plainQuery();
    query.prompt = promptRequest(2000, false);
    query.forScheduler = true;
    daemon.context.targets.setEvacuatedDomains({"hall-c"});
    daemon.choose(1, at(0), query);
    daemon.context.targets.setEvacuatedDomains({});
    query.allowedTargets.emplace();
    for (int i = 0; i < 6; ++i) {
        query.allowedTargets->push_back(daemon.context.targets.find("hall-c/" + std::to_string(i))->hash);
    }
    BOOST_TEST(daemon.choose(300, at(100), query).size() == 1U);
    BOOST_TEST(daemon.choose(300, at(1300), query).size() == 4U);
    std::vector<targets::TargetWork> full;
    for (const auto &[id, target] : daemon.context.targets.all()) {
        if (id != "hall-c/5") {
            Outstanding work;
            work.requests = work.decodingRequests = work.shortGapRequests = 16;
            full.push_back({target->hash, work, 0});
        }
    }
    daemon.context.targets.setPeerWork("others", full, at(1310));
    BOOST_TEST(daemon.choose(20, at(1310), query).at("hall-c/5") == 20);
    daemon.context.targets.removePeer("others");
    BOOST_TEST(daemon.choose(300, at(2200), query).size() == 6U);
    BOOST_TEST(daemon.metrics.value(metrics::Counter::DomainRamps) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
