//----------------------------------------------------------------------------------------------------------------------
// spurlug: property tests of concurrent configuration changes and of daemons that receive them, against an oracle
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "fake_object_api.h"
#include "property.h"

#include "spurlug/config/apply.h"
#include "spurlug/config/store.h"

#include <functional>
#include <set>

using namespace spurlug;
using property::FakeObjectApi;
using property::FakeState;
using property::generateFaults;

namespace
{

nlohmann::json makeDocument(int number)
{
    return {{"organisations", {{{"name", "o" + std::to_string(number)}}}},
            {"classes", {{{"name", "c"}, {"priority", number}}}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_properties)

/// A change is committed exactly once if its author was told that it succeeded, and never if the author was told that
/// it failed. Generations increase by one.
BOOST_AUTO_TEST_CASE(concurrent_authors_learn_whether_their_change_was_committed)
{
    CHECK_PROPERTY("apply", [] {
        FakeState state;
        const FakeObjectApi api(state);
        int number = 0;
        std::map<std::string, bool> told;
        const auto author = [&](const std::string &name) {
            const auto changeId = name + std::to_string(++number);
            try {
                const auto document = makeDocument(number);
                config::applyConfiguration(api, document, config::readStoredRoot(api), changeId, name);
                told[changeId] = true;
            } catch (const core::VersionConflict &) {
                told[changeId] = false;
            } catch (const core::PlatformUnavailable &) {
                told[changeId] = false;
            } catch (const core::UnknownResult &) {
                return;
            }
        };
        state.concurrentWrite = [&] { author("other"); };
        const auto rounds = *rc::gen::inRange(1, 8);
        for (int round = 0; round < rounds; ++round) {
            state.faults = *generateFaults();
            author("main");
        }
        std::vector<config::Root> committed;
        for (const auto &value : state.writtenValues[std::string(config::RootObjectName)]) {
            committed.push_back(config::parseRoot(value));
        }
        std::multiset<std::string> inForce;
        for (std::size_t i = 0; i < committed.size(); ++i) {
            RC_ASSERT(committed[i].generation == static_cast<std::int64_t>(i) + 1);
            inForce.insert(committed[i].changeId);
        }
        for (const auto &[changeId, success] : told) {
            RC_ASSERT(inForce.count(changeId) == (success ? 1U : 0U));
        }
    });
}

/// A daemon that receives root objects out of order, repeatedly, late or corrupted never returns to an older
/// generation, and ends at the newest valid one that it received.
BOOST_AUTO_TEST_CASE(a_daemon_never_returns_to_an_older_generation)
{
    CHECK_PROPERTY("follow", [] {
        const auto generations = *rc::gen::inRange(1, 8);
        std::vector<std::pair<std::string, config::PartTexts>> roots;
        for (int i = 1; i <= generations; ++i) {
            const auto split = config::splitDocument(makeDocument(i));
            const config::Root root{i, "c" + std::to_string(i), "a", split.parts, {}};
            roots.emplace_back(config::serialiseRoot(root), split.texts);
        }
        std::vector<std::int64_t> applied;
        config::Store store([&](const auto &configuration) { applied.push_back(configuration->generation); });
        std::int64_t best = 0;
        const auto steps = *rc::gen::inRange(1, 40);
        for (int step = 0; step < steps; ++step) {
            const auto index = *rc::gen::inRange(0, generations);
            auto [root, texts] = roots[static_cast<std::size_t>(index)];
            const bool broken = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
            if (broken && !texts.empty()) {
                texts.begin()->second += "x";
            }
            const auto before = store.generation();
            store.offer(root, std::move(texts));
            RC_ASSERT(store.generation() >= before);
            if (!broken) {
                best = std::max<std::int64_t>(best, index + 1);
            }
            RC_ASSERT(store.generation() == best);
        }
        RC_ASSERT(std::is_sorted(applied.begin(), applied.end()));
    });
}

BOOST_AUTO_TEST_SUITE_END()
