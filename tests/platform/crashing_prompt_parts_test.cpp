//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of prompt parts that crash the engines that answer them
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// The tests guard against a prompt part that crashes one engine after another. In a fleet of eight daemons and 18
// engines, 83 engines crashed under requests that had one part of their prompts in common. No two of these requests had
// the same body, and daemons counted crashes by the whole content of a request, so each request began with a clean
// record. The engines here crash 40 ms after they begin to answer such a prompt. Sound requests share the caller and
// all other parts.
//
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"

#include "spurlug/core/text.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace spurlug::test
{

namespace
{

constexpr std::size_t DaemonCount = 4;
constexpr int EngineCount = 10;
constexpr auto ReplacementDelay = absl::Milliseconds(800); ///< From the crash of an engine to its replacement.
/// All daemons must know of the crashes this long after the fifth one, and send at most three such requests afterwards.
constexpr auto SpreadTime = absl::Seconds(3);
constexpr std::size_t CrashesUntilKnown = 5;
constexpr std::size_t MaxLateRequests = 3;
constexpr double SoundPerSecond = 24;

const std::string BadPart = "bad00001";
const std::string OtherBadPart = "bad00002";

/// The parts of a prompt before the last one, as IDs.
using SharedParts = std::vector<std::string>;

/// Engines that crash on certain parts; a new engine with a new ID replaces each crashed one after a while.
class Engines
{
public:
    explicit Engines(RelayFleet &fleet, std::set<std::string> crashingParts)
        : m_fleet(fleet)
        , m_crashingParts(std::move(crashingParts))
    {
        for (int i = 0; i < EngineCount; ++i) {
            add();
        }
    }

    /// Replaces crashed engines until the end of the test.
    net::Task<> replaceCrashed()
    {
        for (;;) {
            const auto now = core::now();
            noteCrashes(now);
            while (!m_crashed.empty() && now - m_crashed.front().at >= core::Duration(ReplacementDelay)) {
                m_fleet.store.remove("servers", m_crashed.front().engine->id());
                m_crashed.pop_front();
                add();
            }
            co_await net::sleepFor(absl::Milliseconds(5));
        }
    }

    /// Crashes some of the running engines at once.
    void crash(std::size_t count)
    {
        for (std::size_t i = 0; i < count && i < m_running.size(); ++i) {
            m_running[i]->crash();
        }
    }

    /// Engines that are started from now on do not crash any more.
    void repair()
    {
        m_crashingParts.clear();
        for (auto *engine : m_running) {
            engine->crashingParts.clear();
        }
    }

    [[nodiscard]] std::size_t crashCount() const noexcept
    {
        return m_crashTimes.size();
    }

    /// When the daemons must know of the crashes: some time after the fifth one, or after the last if there are fewer.
    [[nodiscard]] core::Time knownAt() const
    {
        const auto crashes = std::min(crashCount(), CrashesUntilKnown);
        return crashes == 0 ? absl::InfiniteFuture() : m_crashTimes[crashes - 1] + core::Duration(SpreadTime);
    }

    /// Number of requests with a part that reached any engine after a time.
    [[nodiscard]] std::size_t countArrivals(const std::string &part, core::Time after) const
    {
        std::size_t count = 0;
        for (const auto &target : m_fleet.targets) {
            const auto &started = target->startedRequests();
            const auto &times = target->startTimes();
            for (std::size_t i = 0; i < started.size(); ++i) {
                const bool hasPart = started[i].headers.value("Prompt-Prefix").find(part) != std::string_view::npos;
                count += hasPart && times[i] > after ? 1 : 0;
            }
        }
        return count;
    }

private:
    struct Crash
    {
        FakeTarget *engine;
        core::Time at;
    };

    void add()
    {
        auto &engine = m_fleet.addTarget("model");
        engine.crashingParts = m_crashingParts;
        engine.crashDelay = absl::Milliseconds(40);
        engine.behaviour.eventCount = 10;
        engine.behaviour.eventInterval = absl::Milliseconds(20);
        m_running.push_back(&engine);
    }

    void noteCrashes(core::Time now)
    {
        std::erase_if(m_running, [&](FakeTarget *engine) {
            if (engine->hasCrashed()) {
                m_crashed.push_back({engine, now});
                m_crashTimes.push_back(now);
            }
            return engine->hasCrashed();
        });
    }

    RelayFleet &m_fleet;
    std::set<std::string> m_crashingParts;
    std::vector<FakeTarget *> m_running;
    std::deque<Crash> m_crashed; ///< Not replaced yet.
    std::vector<core::Time> m_crashTimes;
};

/// Callers that send each request once, to a random daemon.
class Callers
{
public:
    Callers(RelayFleet &fleet, std::size_t daemonCount = DaemonCount)
        : m_fleet(fleet)
        , m_daemonCount(daemonCount)
    { }

    /// Sends requests with these shared parts at a constant rate until a time.
    net::Task<> sendRequests(SharedParts parts, double perSecond, core::Time until)
    {
        while (core::now() < until) {
            net::asio::co_spawn(m_fleet.loop, sendOne(parts), net::asio::detached);
            co_await net::sleepFor(absl::Seconds(1) / perSecond);
        }
    }

    struct Result
    {
        core::Time sentAt;
        core::Duration duration;
        SharedParts parts;
        CallerAnswer answer;
    };

    /// Answers to requests with exactly these parts that were sent after a time.
    [[nodiscard]] std::vector<const Result *> results(const SharedParts &parts, core::Time after) const
    {
        std::vector<const Result *> found;
        for (const auto &result : m_results) {
            if (result.parts == parts && result.sentAt >= after) {
                found.push_back(&result);
            }
        }
        return found;
    }

    /// Share of the requests with exactly these parts that were sent after a time and served.
    [[nodiscard]] double servedShare(const SharedParts &parts, core::Time after) const
    {
        const auto found = results(parts, after);
        const auto served = std::count_if(found.begin(), found.end(), [](const Result *result) {
            return result->answer.status == 200 && result->answer.isComplete;
        });
        return found.empty() ? 0 : static_cast<double>(served) / static_cast<double>(found.size());
    }

private:
    net::Task<> sendOne(SharedParts parts)
    {
        const auto number = ++m_count;
        CallerRequest request;
        request.path = "/chat/1";
        request.promptTokens = 1000;
        request.body = core::cat("question ", number);
        for (const auto &part : parts) {
            core::append(request.promptParts, part, ":300,");
        }
        core::append(request.promptParts, "f00d", number, ":100");
        const auto daemon = std::uniform_int_distribution<std::size_t>(0, m_daemonCount - 1)(m_random);
        const auto sentAt = core::now();
        auto answer = co_await m_fleet.send(request, daemon);
        m_results.push_back({sentAt, core::now() - sentAt, std::move(parts), std::move(answer)});
    }

    RelayFleet &m_fleet;
    const std::size_t m_daemonCount;
    std::mt19937 m_random{20261203};
    int m_count = 0;
    std::vector<Result> m_results;
};

/// Sends sound requests and, beside them, requests with parts that crash engines, and checks both promises.
/// \param crashing Shared parts of the kinds of requests that crash engines; each has one of `badParts`.
/// \param sound Shared parts of the kinds of sound requests.
/// \param perSecond Requests that crash engines, of all kinds together.
void checkCrashingParts(const std::vector<SharedParts> &crashing, const std::vector<SharedParts> &sound,
                        const std::vector<std::string> &badParts, double perSecond)
{
    RelayFleet fleet(DaemonCount, Peers::Connected);
    Engines engines(fleet, {badParts.begin(), badParts.end()});
    Callers callers(fleet);
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await fleet.waitUntilConnected();
        net::asio::co_spawn(fleet.loop, engines.replaceCrashed(), net::asio::detached);
        const auto end = core::now() + absl::Seconds(10);
        for (const auto &parts : sound) {
            net::asio::co_spawn(fleet.loop,
                                callers.sendRequests(parts, SoundPerSecond / static_cast<double>(sound.size()), end),
                                net::asio::detached);
        }
        for (const auto &parts : crashing) {
            net::asio::co_spawn(fleet.loop,
                                callers.sendRequests(parts, perSecond / static_cast<double>(crashing.size()), end),
                                net::asio::detached);
        }
        co_await net::sleepFor(end - core::now() + absl::Seconds(1));
        BOOST_REQUIRE(engines.crashCount() > 0U); // Otherwise the test shows nothing.
        for (const auto &part : badParts) {
            BOOST_TEST_INFO(engines.crashCount() << " engines crashed");
            BOOST_TEST(engines.countArrivals(part, engines.knownAt()) <= MaxLateRequests);
        }
        for (const auto &parts : sound) {
            BOOST_TEST(callers.servedShare(parts, end - absl::Seconds(4)) > 0.95);
        }
        // A request that would crash its engine is refused at once, has not run, and need not come back soon.
        for (const auto &parts : crashing) {
            const auto refused = callers.results(parts, engines.knownAt());
            BOOST_TEST(!refused.empty());
            for (const auto *result : refused) {
                BOOST_TEST(result->answer.status == 503);
                BOOST_TEST((result->duration < absl::Milliseconds(500)));
                BOOST_TEST(std::stod("0" + std::string(result->answer.head.headers.value("Retry-After"))) >= 10);
            }
        }
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_prompt_parts)

// 82 requests reached engines later than 3 s after the fifth crash.
BOOST_AUTO_TEST_CASE(a_first_part_that_crashes_engines_is_quarantined_in_the_whole_fleet)
{
    checkCrashingParts({{BadPart}}, {{"50a9d001"}}, {BadPart}, 10);
}

// Sound requests share the first and the last shared part with those that crash engines, and must go on.
BOOST_AUTO_TEST_CASE(a_part_between_parts_of_sound_requests_is_quarantined_alone)
{
    checkCrashingParts({{"50a9d001", "50a9d002", BadPart, "50a9d003"}},
                       {{"50a9d001"}, {"50a9d001", "50a9d002"}, {"50a9d001", "50a9d002", "50a9d003"}}, {BadPart}, 10);
}

// Two bad parts at the same time: each crash also counts against requests with the other one that run beside it.
BOOST_AUTO_TEST_CASE(two_parts_that_crash_engines_are_both_quarantined)
{
    checkCrashingParts({{"50a9d001", BadPart}, {"50a9d001", OtherBadPart}}, {{"50a9d001"}, {"50a9d002"}},
                       {BadPart, OtherBadPart}, 10);
}

// At one request a second, crashes are far apart, and many sound requests succeed in between.
BOOST_AUTO_TEST_CASE(a_part_that_rarely_comes_is_quarantined)
{
    checkCrashingParts({{"50a9d001", BadPart}}, {{"50a9d001"}}, {BadPart}, 1);
}

// Engines that crash for another reason must not get the parts of the requests on them quarantined.
BOOST_AUTO_TEST_CASE(crashes_for_other_reasons_quarantine_no_part)
{
    RelayFleet fleet(DaemonCount, Peers::Connected);
    Engines engines(fleet, {});
    Callers callers(fleet);
    const std::vector<SharedParts> sound{{"50a9d001"}, {"50a9d001", "50a9d002"}, {"50a9d003"}};
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await fleet.waitUntilConnected();
        net::asio::co_spawn(fleet.loop, engines.replaceCrashed(), net::asio::detached);
        const auto start = core::now();
        const auto end = start + absl::Seconds(9);
        for (const auto &parts : sound) {
            net::asio::co_spawn(fleet.loop, callers.sendRequests(parts, SoundPerSecond / 3, end), net::asio::detached);
        }
        for (int rack = 0; rack < 8; ++rack) {
            co_await net::sleepFor(absl::Milliseconds(700));
            engines.crash(4);
        }
        co_await net::sleepFor(end - core::now() + absl::Seconds(1));
        BOOST_TEST(engines.crashCount() >= 24U);
        for (const auto &parts : sound) {
            BOOST_TEST(callers.servedShare(parts, start + absl::Seconds(6)) > 0.95);
        }
        for (std::size_t daemon = 0; daemon < DaemonCount; ++daemon) {
            const auto refused = co_await fleet.metric("refusals_total{reason=\"crashes_targets\"}", daemon);
            BOOST_TEST(refused == 0);
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
