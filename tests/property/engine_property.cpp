//----------------------------------------------------------------------------------------------------------------------
// spurlug: property tests of the stand-in engine's memory and of the broker's grants
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "property.h"

#include "engine_model.h"

#include "spurlug/grants/broker.h"

using namespace spurlug;

BOOST_AUTO_TEST_SUITE(engine_properties)

/// For any sequence of submissions, reservations, releases and expiries, the engine never uses more memory than it has,
/// answers every admitted request in full, and ends with all memory free.
BOOST_AUTO_TEST_CASE(an_engine_never_leaks_or_overcommits_memory)
{
    CHECK_PROPERTY("engine memory", [] {
        standins::EngineCosts costs;
        costs.kvTokens = 1000;
        costs.chunkTokens = 100;
        costs.maxStreams = 8;
        costs.blockTokens = 16;
        standins::EngineModel engine(costs);
        core::Time now = absl::FromUnixSeconds(0);
        std::map<std::string, std::int64_t> received;
        std::map<std::string, std::int64_t> expected;
        const auto steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            const auto id = "j" + std::to_string(*rc::gen::inRange(0, 6));
            switch (*rc::gen::inRange(0, 5)) {
            case 0: {
                standins::EngineRequest job;
                job.id = id + "." + std::to_string(step);
                job.prompt = std::string(static_cast<std::size_t>(*rc::gen::inRange(1, 2000)), 'p');
                job.answerTokens = *rc::gen::inRange(1, 20);
                job.priority = *rc::gen::inRange(0, 3);
                const auto name = job.id;
                const auto answer = job.answerTokens;
                const auto submission = engine.submit(job,
                                                      {[&received, name](std::int64_t offset, const std::string &) {
                                                           RC_ASSERT(offset == received[name]);
                                                           ++received[name];
                                                       },
                                                       [](std::int64_t, std::int64_t) {}});
                if (submission == standins::EngineModel::SubmitResult::Accepted) {
                    expected[name] = answer;
                }
                break;
            }
            case 1:
                engine.reserve(id, *rc::gen::inRange(1, 800), absl::Seconds(*rc::gen::inRange(1, 5)), now);
                break;
            case 2:
                engine.release(id);
                break;
            default:
                now += engine.step(now) + absl::Milliseconds(100);
            }
            RC_ASSERT(engine.load().freeTokens >= 0);
            RC_ASSERT(engine.load().cachedTokens <= costs.kvTokens);
        }
        for (int step = 0; step < 5000 && engine.load().streams > 0; ++step) {
            now += engine.step(now) + absl::Milliseconds(100);
        }
        engine.step(now + absl::Seconds(10));
        RC_ASSERT(engine.load().streams == 0);
        RC_ASSERT(engine.load().freeTokens == costs.kvTokens);
        for (const auto &[name, answer] : expected) {
            RC_ASSERT(received[name] == answer);
        }
    });
}

/// No engine is ever in two grants, each grant has all the engines that were requested, and every request that is
/// repeated until it is granted gets its grant.
BOOST_AUTO_TEST_CASE(a_broker_never_grants_an_engine_twice_and_grants_every_request)
{
    CHECK_PROPERTY("broker", [] {
        const auto engineCount = *rc::gen::inRange(1, 6);
        std::vector<targets::TargetView> engines;
        for (int i = 0; i < engineCount; ++i) {
            targets::TargetView engine;
            engine.id = "e" + std::to_string(i);
            engine.report.condition = targets::TargetCondition::Serving;
            engine.reportAge = absl::ZeroDuration();
            engines.push_back(engine);
        }
        grants::Broker broker;
        core::Time now = absl::FromUnixSeconds(0);
        std::map<std::string, grants::GrantRequest> asking;
        std::map<std::string, grants::Grant> held;
        const auto round = [&](bool mayAsk) {
            now += absl::Milliseconds(*rc::gen::inRange(1, 1500));
            if (mayAsk && *rc::gen::arbitrary<bool>()) {
                const auto id
                    = "r" + std::to_string(asking.size() + held.size() * 100 + absl::ToUnixMillis(now) * 1000);
                asking[id] = {id,
                              "o" + std::to_string(*rc::gen::inRange(0, 3)),
                              1.0,
                              *rc::gen::inRange(1000, 1'000'000),
                              *rc::gen::inRange(1, engineCount + 1),
                              now};
            }
            for (const auto &[id, ask] : asking) {
                broker.enqueue(ask, now);
            }
            broker.grantEngines(engines, 0.5, now);
            std::set<std::string> taken;
            for (const auto &[id, ask] : std::map(asking)) {
                if (const auto grant = broker.grantOf(id)) {
                    RC_ASSERT(grant->targets.size() == static_cast<std::size_t>(ask.engines));
                    held[id] = *grant;
                    asking.erase(id);
                }
            }
            for (const auto &[id, grant] : held) {
                RC_ASSERT(broker.renew(grant.id, now));
                for (const auto &target : grant.targets) {
                    RC_ASSERT(taken.insert(target).second);
                }
            }
            if (!held.empty() && (!mayAsk || *rc::gen::arbitrary<bool>())) {
                broker.release(held.begin()->second.id);
                held.erase(held.begin());
            }
        };
        const auto rounds = *rc::gen::inRange(1, 40);
        for (int i = 0; i < rounds; ++i) {
            round(true);
        }
        for (int i = 0; i < 300 && !(asking.empty() && held.empty()); ++i) {
            round(false);
        }
        RC_ASSERT(asking.empty());
        RC_ASSERT(broker.occupiedEngines() == 0);
    });
}

BOOST_AUTO_TEST_SUITE_END()
