//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the stand-in engine's models
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "engine_commands.h"
#include "engine_model.h"

#include <boost/test/unit_test.hpp>

using namespace standins;

namespace
{

const Time Start = absl::FromUnixSeconds(1000);

EngineCosts smallCosts()
{
    EngineCosts costs;
    costs.kvTokens = 10'000;
    costs.chunkTokens = 512;
    return costs;
}

EngineRequest job(const std::string &id, std::size_t bytes, std::int64_t priority)
{
    EngineRequest job;
    job.id = id;
    job.prompt = std::string(bytes, 'a');
    job.priority = priority;
    job.answerTokens = 4;
    return job;
}

/// Steps the engine until it has no streams left. Returns the elapsed time.
Duration runUntilIdle(EngineModel &engine)
{
    Time now = Start;
    while (engine.load().streams > 0) {
        now += engine.step(now);
    }
    return now - Start;
}

} // namespace

BOOST_AUTO_TEST_SUITE(standin_tests)

BOOST_AUTO_TEST_CASE(a_short_prompt_overtakes_a_long_one_between_its_chunks)
{
    EngineModel engine(smallCosts());
    std::vector<std::string> finished;
    const auto note = [&](const std::string &id) {
        return JobCallbacks{[](std::int64_t, const std::string &) {},
                            [&finished, id](std::int64_t, std::int64_t) { finished.push_back(id); }};
    };
    engine.submit(job("long", 30'000, 100), note("long"));
    engine.step(Start);
    engine.submit(job("short", 2'000, 0), note("short"));
    runUntilIdle(engine);
    BOOST_TEST(finished.front() == "short");
}

BOOST_AUTO_TEST_CASE(a_known_prefix_is_not_computed_again)
{
    EngineModel engine(smallCosts());
    engine.submit(job("first", 16'000, 0), {[](auto, const auto &) {}, [](auto, auto) {}});
    const auto cold = runUntilIdle(engine);
    engine.submit(job("second", 16'000, 0), {[](auto, const auto &) {}, [](auto, auto) {}});
    const auto warm = runUntilIdle(engine);
    BOOST_TEST((warm < cold));
}

BOOST_AUTO_TEST_CASE(exported_memory_saves_another_engine_the_prefill_and_expires)
{
    EngineModel from(smallCosts());
    EngineModel to(smallCosts());
    from.submit(job("j", 16'000, 0), {[](auto, const auto &) {}, [](auto, auto) {}});
    BOOST_TEST(!from.exportKv("j", "x", absl::Seconds(5), Start).has_value());
    for (int i = 0; i < 8; ++i) {
        from.step(Start);
    }
    const auto kv = from.exportKv("j", "x", absl::Seconds(5), Start);
    BOOST_REQUIRE(kv.has_value());
    to.importKv(*kv, Start);
    to.submit(job("j", 16'000, 0), {[](auto, const auto &) {}, [](auto, auto) {}});
    EngineModel cold(smallCosts());
    cold.submit(job("j", 16'000, 0), {[](auto, const auto &) {}, [](auto, auto) {}});
    BOOST_TEST((runUntilIdle(to) < runUntilIdle(cold)));
    runUntilIdle(from);
    BOOST_TEST(from.load().reservations == 1);
    from.step(Start + absl::Seconds(6));
    BOOST_TEST(from.load().freeTokens == smallCosts().kvTokens);
}

BOOST_AUTO_TEST_CASE(cache_events_arrive_late_and_with_gaps)
{
    CacheEvents events(absl::Milliseconds(200), 3, 4);
    for (std::uint64_t block = 1; block <= 7; ++block) {
        events.add(CacheEventKind::Stored, block, Start);
    }
    BOOST_TEST(events.eventsAfter(0, Start).empty());
    std::vector<std::uint64_t> numbers;
    for (const auto &event : events.eventsAfter(1, Start + absl::Seconds(1))) {
        numbers.push_back(event.number);
    }
    const std::vector<std::uint64_t> expected{2, 4, 5, 7};
    BOOST_TEST(numbers == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_fence_refuses_an_older_epoch_and_its_absence_does_not)
{
    EngineCommands fenced(true, absl::Seconds(20));
    EngineCommands open(false, absl::Seconds(20));
    for (auto *orders : {&fenced, &open}) {
        BOOST_TEST((orders->apply({5, "load", "m", "v2"}, Start) == EngineCommands::CommandResult::Accepted));
    }
    BOOST_TEST((fenced.apply({4, "load", "m", "v1"}, Start) == EngineCommands::CommandResult::Outdated));
    BOOST_TEST((open.apply({4, "load", "m", "v1"}, Start) == EngineCommands::CommandResult::Accepted));
    BOOST_TEST(fenced.loadedVersions(Start).empty());
    BOOST_TEST(fenced.loadedVersions(Start + absl::Seconds(20)).at("m") == "v2");
    BOOST_TEST(open.loadedVersions(Start + absl::Seconds(20)).at("m") == "v1");
    BOOST_TEST((fenced.apply({5, "dance", "m", ""}, Start) == EngineCommands::CommandResult::UnknownKind));
}

BOOST_AUTO_TEST_SUITE_END()
