//----------------------------------------------------------------------------------------------------------------------
// spurlug: property tests of crash suspects in fleets with restarts, partitions and lost datagrams
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// Content that crashes every target may be sent only a few times once the report of the third crash has had time to
// spread. Harmless content must not stay quarantined, even if targets crash for other reasons while they run it.
//
//----------------------------------------------------------------------------------------------------------------------

#include "property.h"

#include "../unit/relay_state.h"

#include "spurlug/control/crash_exchange.h"
#include "spurlug/core/text.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>
#include <vector>

using namespace spurlug;

namespace
{

constexpr int StepMs = 50;
constexpr int Steps = 400; ///< 20 s.
/// A daemon that was neither restarted nor partitioned for this long must know of the crashes.
constexpr int ReportSpreadSteps = 3000 / StepMs;
constexpr int StepsUntilCrash = 4; ///< From a send until its target crashes.
/// Maximum number of sends after that time; the users require this limit.
constexpr int MaxLateSends = 3;

const core::Digest CrashingContent = core::digestOf({"the end"});
const core::Digest PopularContent = core::digestOf({"everybody asks this"});

core::Time timeOf(int step)
{
    return absl::FromUnixSeconds(1000) + absl::Milliseconds(step * StepMs);
}

/// The faults in one run of a fleet, with times in steps. A partition separates the daemons with an odd number from the
/// others.
struct Scenario
{
    int daemons = 1;
    double lossRate = 0; ///< Share of datagrams that are lost.
    int maxDelaySteps = 1; ///< Maximum delay of a datagram in steps; datagrams may be reordered.
    int sendIntervalSteps = 1; ///< Interval in steps at which the content that crashes targets is sent.
    int partitionFrom = 0;
    int partitionUntil = 0;
    int restartAt = 0;
    int restartedDaemons = 0; ///< Number of daemons that restart at that step.
    std::uint32_t seed = 0;
};

rc::Gen<Scenario> scenarios()
{
    return rc::gen::exec([] {
        Scenario scenario;
        scenario.daemons = *rc::gen::inRange(2, 40);
        scenario.lossRate = *rc::gen::inRange(0, 30) / 100.0;
        scenario.maxDelaySteps = *rc::gen::inRange(1, 6);
        scenario.sendIntervalSteps = *rc::gen::inRange(1, 40);
        scenario.partitionFrom = *rc::gen::inRange(0, Steps);
        scenario.partitionUntil = *rc::gen::inRange(scenario.partitionFrom, Steps + 1);
        scenario.restartAt = *rc::gen::inRange(0, Steps);
        scenario.restartedDaemons
            = *rc::gen::inRange(0, scenario.daemons); // Not all daemons: crash counts are held only by daemons.
        scenario.seed = *rc::gen::arbitrary<std::uint32_t>();
        return scenario;
    });
}

class Fleet
{
public:
    explicit Fleet(const Scenario &scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
    {
        for (int i = 0; i < scenario.daemons; ++i) {
            m_daemons.push_back(makeDaemon(i));
            m_disturbedAt.push_back(-Steps);
        }
    }

    relay::RelayContext &daemon(int number)
    {
        return m_daemons[static_cast<std::size_t>(number)]->context;
    }

    control::CrashExchange &exchange(int number)
    {
        return *m_daemons[static_cast<std::size_t>(number)]->exchange;
    }

    bool sendsTrials(int number)
    {
        return daemon(number).roster.holders(control::Role::Scheduler, 1).front().vm == core::cat("vm-", number);
    }

    int randomDaemon()
    {
        return std::uniform_int_distribution<int>(0, m_scenario.daemons - 1)(m_random);
    }

    /// Whether a daemon was neither restarted nor partitioned within the last ReportSpreadSteps.
    [[nodiscard]] bool wasUndisturbed(int number, int step) const
    {
        return step - m_disturbedAt[static_cast<std::size_t>(number)] > ReportSpreadSteps;
    }

    void runStep(int step)
    {
        if (step == m_scenario.restartAt) {
            for (int i = 0; i < m_scenario.restartedDaemons; ++i) {
                m_daemons[static_cast<std::size_t>(i)] = makeDaemon(i);
                m_disturbedAt[static_cast<std::size_t>(i)] = step;
            }
        }
        if (isPartitioned(step)) {
            std::fill(m_disturbedAt.begin(), m_disturbedAt.end(), step);
        }
        deliver(step);
        for (int i = 0; i < m_scenario.daemons; ++i) {
            exchange(i).gossip(timeOf(step));
        }
        m_step = step;
    }

    void crash(int number, const core::Digest &content, std::uint32_t target, int step)
    {
        daemon(number).crashes.noteCrash(content, target, timeOf(step));
        exchange(number).publishChanges(timeOf(step));
    }

    void crashPart(int number, const core::Digest &part, std::uint32_t target, int step)
    {
        daemon(number).crashes.noteCrash(part, target, timeOf(step), relay::SuspectKind::PromptPart);
        exchange(number).publishChanges(timeOf(step));
    }

    /// \param at The step from which on the content or part is known to have gone well.
    void succeed(int number, const core::Digest &content, int at, int step)
    {
        daemon(number).crashes.noteSuccess(content, timeOf(at));
        exchange(number).publishChanges(timeOf(step));
    }

    void succeed(int number, const core::Digest &content, int step)
    {
        daemon(number).crashes.noteSuccess(content, timeOf(step));
        exchange(number).publishChanges(timeOf(step));
    }

private:
    struct Daemon : test::RelayState
    {
        std::unique_ptr<control::CrashExchange> exchange;
    };

    struct Datagram
    {
        int deliverAt = 0;
        int from = 0;
        int to = 0;
        control::CrashReport report;
    };

    [[nodiscard]] bool isPartitioned(int step) const
    {
        return step >= m_scenario.partitionFrom && step < m_scenario.partitionUntil;
    }

    std::unique_ptr<Daemon> makeDaemon(int number)
    {
        auto daemon = std::make_unique<Daemon>();
        daemon->settings.vm = core::cat("vm-", number);
        std::vector<control::Member> members;
        for (int i = 0; i < m_scenario.daemons; ++i) {
            members.push_back({core::cat("vm-", i),
                               "hall-a",
                               1,
                               membership::DaemonState::Serving,
                               {"127.0.0.1", static_cast<std::uint16_t>(i)},
                               {"127.0.0.1", 1}});
        }
        daemon->context.roster.replace(std::move(members));
        daemon->context.random.seed(m_random());
        daemon->exchange = std::make_unique<control::CrashExchange>(
            daemon->context, [this, number](const core::Address &to, const control::Message &message) {
                send(number, to.port, std::get<control::CrashReport>(message));
            });
        return daemon;
    }

    void send(int from, int to, const control::CrashReport &report)
    {
        if (std::uniform_real_distribution<double>(0, 1)(m_random) >= m_scenario.lossRate) {
            const auto delay = std::uniform_int_distribution<int>(1, m_scenario.maxDelaySteps)(m_random);
            m_inTransit.push_back({m_step + delay, from, to, report});
        }
    }

    void deliver(int step)
    {
        std::vector<Datagram> due;
        std::vector<Datagram> later;
        for (auto &datagram : m_inTransit) {
            (datagram.deliverAt <= step ? due : later).push_back(std::move(datagram));
        }
        m_inTransit = std::move(later);
        for (const auto &datagram : due) {
            const bool isDropped = isPartitioned(step) && datagram.from % 2 != datagram.to % 2;
            if (!isDropped) {
                exchange(datagram.to).handleReport(datagram.report, timeOf(step));
            }
        }
    }

    const Scenario m_scenario;
    std::mt19937 m_random;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<int> m_disturbedAt; ///< Last step at which a daemon was restarted or partitioned.
    std::vector<Datagram> m_inTransit; ///< Datagrams in transit.
    int m_step = 0;
};

/// Counts the sends of Deadly more than ReportSpreadSteps after its third crash, by daemons that were undisturbed for
/// as long.
int countLateSends(const Scenario &scenario)
{
    Fleet fleet(scenario);
    std::vector<std::pair<int, int>> running; // Step at which the target crashes, daemon.
    std::uint32_t crashCount = 0;
    int thirdCrashAt = Steps;
    int lateSendCount = 0;
    for (int step = 0; step < Steps; ++step) {
        fleet.runStep(step);
        for (const auto &[crashesAt, daemon] : running) {
            if (crashesAt == step) {
                fleet.crash(daemon, CrashingContent, ++crashCount, step);
                thirdCrashAt = crashCount == 3 ? step : thirdCrashAt;
            }
        }
        const auto daemon = fleet.randomDaemon();
        if (step % scenario.sendIntervalSteps != 0 || fleet.daemon(daemon).crashes.isQuarantined(CrashingContent)) {
            continue;
        }
        running.emplace_back(step + StepsUntilCrash, daemon);
        lateSendCount += step > thirdCrashAt + ReportSpreadSteps && fleet.wasUndisturbed(daemon, step) ? 1 : 0;
    }
    return lateSendCount;
}

constexpr int ProofSteps = 1000 / StepMs; ///< An answer that goes on for this long shows that its parts are sound.
constexpr int ReplacementSteps = 800 / StepMs; ///< From the crash of an engine to its replacement.
constexpr std::uint32_t CrashesUntilKnown = 5;

/// Traffic with one part that crashes engines, and with sound parts that all requests share.
struct PartTraffic
{
    Scenario faults;
    int engines = 1;
    int soundParts = 1; ///< Requests that crash have all of them; sound ones have the first, and one of the others.
    int badIntervalSteps = 1;
    int soundPerStep = 1; ///< In hundredths of a request.
    int soundRunSteps = 1; ///< Duration of a sound answer.
    int headStartSteps = 0; ///< From the first sound request to the first that crashes.
    int unrelatedCrashAt = 0;
    int unrelatedCrashes = 0; ///< Engines that crash at that step for another reason.
};

std::ostream &operator<<(std::ostream &out, const PartTraffic &traffic)
{
    const auto &faults = traffic.faults;
    return out << "daemons " << faults.daemons << ", loss " << faults.lossRate << ", delay " << faults.maxDelaySteps
               << ", partition " << faults.partitionFrom << " to " << faults.partitionUntil << ", restart at "
               << faults.restartAt << " of " << faults.restartedDaemons << ", seed " << faults.seed << ", engines "
               << traffic.engines << ", sound parts " << traffic.soundParts << ", bad every "
               << traffic.badIntervalSteps << ", sound per step " << traffic.soundPerStep << ", sound run "
               << traffic.soundRunSteps << ", head start " << traffic.headStartSteps << ", unrelated "
               << traffic.unrelatedCrashes << " at " << traffic.unrelatedCrashAt;
}

rc::Gen<PartTraffic> partTraffics()
{
    return rc::gen::exec([] {
        PartTraffic traffic;
        traffic.faults = *scenarios();
        traffic.engines = *rc::gen::inRange(6, 40);
        traffic.soundParts = *rc::gen::inRange(1, 5);
        traffic.badIntervalSteps = *rc::gen::inRange(1, 40);
        traffic.soundPerStep = *rc::gen::inRange(20, 300); // 4 to 60 a second.
        traffic.soundRunSteps = *rc::gen::inRange(4, 60);
        traffic.headStartSteps = *rc::gen::inRange(0, 100);
        traffic.unrelatedCrashAt = *rc::gen::inRange(0, Steps);
        traffic.unrelatedCrashes = *rc::gen::inRange(0, traffic.engines / 2);
        return traffic;
    });
}

/// Runs such traffic and counts what the users limit.
class PartTrafficRun
{
public:
    explicit PartTrafficRun(const PartTraffic &traffic)
        : m_traffic(traffic)
        , m_fleet(traffic.faults)
        , m_random(traffic.faults.seed)
        , m_engines(static_cast<std::size_t>(traffic.engines))
    {
        for (auto &engine : m_engines) {
            engine.incarnation = ++m_incarnations;
        }
        for (int i = 0; i < traffic.soundParts; ++i) {
            m_soundParts.push_back(relay::promptPartDigest(core::cat("sound ", i)));
        }
    }

    void run()
    {
        for (int step = 0; step < Steps; ++step) {
            m_fleet.runStep(step);
            advanceRuns(step);
            if (step == m_traffic.unrelatedCrashAt) {
                for (int i = 0; i < m_traffic.unrelatedCrashes; ++i) {
                    crashEngine(static_cast<std::size_t>(i), step);
                }
            }
            for (int share = m_traffic.soundPerStep; share > 0; share -= 100) {
                if (drawBelow(100) < std::min(share, 100)) {
                    sendSound(step);
                }
            }
            if (step >= m_traffic.headStartSteps && step % m_traffic.badIntervalSteps == 0) {
                sendBad(step);
            }
        }
    }

    [[nodiscard]] int lateBadSends() const noexcept
    {
        return m_lateBadSends;
    }

    /// Whether too many sound requests were refused later than twice the time that reports need.
    [[nodiscard]] bool refusedTooManySound() const noexcept
    {
        constexpr int MinRequests = 20;
        return m_lateSound >= MinRequests && m_lateSoundRefused * 2 > m_lateSound;
    }

private:
    struct Engine
    {
        std::uint32_t incarnation = 0;
        int downUntil = 0;
    };

    struct Run
    {
        int daemon = 0;
        std::size_t engine = 0;
        int beganAt = 0;
        int endsAt = 0;
        bool isBad = false;
        bool isOver = false;
        std::vector<core::Digest> parts;
    };

    int drawBelow(int limit)
    {
        return std::uniform_int_distribution<int>(0, limit - 1)(m_random);
    }

    [[nodiscard]] bool isLate(int spreadFactor, int daemon, int step) const
    {
        return m_lastCountedCrashAt >= 0 && step > m_lastCountedCrashAt + spreadFactor * ReportSpreadSteps
            && m_fleet.wasUndisturbed(daemon, step);
    }

    /// \returns Whether a daemon sends a request with these parts to an engine.
    bool send(int daemon, std::vector<core::Digest> parts, bool isBad, int step)
    {
        auto &crashes = m_fleet.daemon(daemon).crashes;
        const bool quarantined = std::any_of(parts.begin(), parts.end(),
                                             [&](const core::Digest &part) { return crashes.isQuarantined(part); });
        const auto uniform = std::uniform_real_distribution<double>(0, 1)(m_random);
        const bool sendsTrials = m_fleet.sendsTrials(daemon);
        if (quarantined && !crashes.tryStartComparison(parts, uniform, sendsTrials, timeOf(step))) {
            return false;
        }
        const auto engine = static_cast<std::size_t>(drawBelow(m_traffic.engines));
        if (m_engines[engine].downUntil <= step) {
            const int duration = isBad ? 1 + drawBelow(4) : m_traffic.soundRunSteps;
            m_runs.push_back({daemon, engine, step, step + duration, isBad, false, std::move(parts)});
        }
        return true;
    }

    void sendSound(int step)
    {
        const auto daemon = m_fleet.randomDaemon();
        std::vector<core::Digest> parts{m_soundParts.front()};
        const auto second = static_cast<std::size_t>(drawBelow(m_traffic.soundParts));
        if (second > 0) {
            parts.push_back(m_soundParts[second]);
        }
        const bool sent = send(daemon, std::move(parts), false, step);
        if (isLate(2, daemon, step)) {
            ++m_lateSound;
            m_lateSoundRefused += sent ? 0 : 1;
        }
    }

    void sendBad(int step)
    {
        const auto daemon = m_fleet.randomDaemon();
        auto parts = m_soundParts;
        parts.push_back(m_badPart);
        const bool sent = send(daemon, std::move(parts), true, step);
        m_lateBadSends += sent && m_badCrashes >= CrashesUntilKnown && isLate(1, daemon, step) ? 1 : 0;
    }

    void advanceRuns(int step)
    {
        for (std::size_t i = 0; i < m_runs.size(); ++i) {
            const auto &run = m_runs[i];
            const bool lasts = step - run.beganAt == ProofSteps;
            if (!run.isOver && run.isBad && step == run.endsAt) {
                crashEngine(run.engine, step);
            } else if (!run.isOver && (step == run.endsAt || lasts)) {
                for (const auto &part : run.parts) {
                    m_fleet.succeed(run.daemon, part, run.beganAt, step);
                }
            }
            m_runs[i].isOver = m_runs[i].isOver || step >= run.endsAt;
        }
        std::erase_if(m_runs, [](const Run &run) { return run.isOver; });
    }

    void crashEngine(std::size_t number, int step)
    {
        auto &engine = m_engines[number];
        if (engine.downUntil > step) {
            return;
        }
        bool isCounted = false;
        for (auto &run : m_runs) {
            if (run.engine != number || run.isOver) {
                continue;
            }
            run.isOver = true;
            isCounted = isCounted || run.isBad;
            for (const auto &part : run.parts) {
                if (step - run.beganAt < ProofSteps) {
                    m_fleet.crashPart(run.daemon, part, engine.incarnation, step);
                }
            }
        }
        if (isCounted && m_badCrashes++ < CrashesUntilKnown) {
            m_lastCountedCrashAt = step;
        }
        engine = {++m_incarnations, step + ReplacementSteps};
    }

    const PartTraffic m_traffic;
    Fleet m_fleet;
    std::mt19937 m_random;
    std::vector<Engine> m_engines;
    std::vector<Run> m_runs;
    std::vector<core::Digest> m_soundParts;
    const core::Digest m_badPart = relay::promptPartDigest("bad");
    std::uint32_t m_incarnations = 0;
    std::uint32_t m_badCrashes = 0; ///< Engines that crashed while they ran a request with the bad part.
    int m_lastCountedCrashAt = -1; ///< Step of the fifth of them, or of the last one if there are fewer.
    int m_lateBadSends = 0;
    int m_lateSound = 0;
    int m_lateSoundRefused = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_properties)

// A part of prompts that crashes engines, among requests that share all their other parts with it.
BOOST_AUTO_TEST_CASE(a_part_that_crashes_engines_is_rarely_sent_after_the_fifth_crash_had_time_to_spread)
{
    BOOST_TEST(rc::check("the number of late sends is limited", [] {
        PartTrafficRun run(*partTraffics());
        run.run();
        RC_ASSERT(run.lateBadSends() <= MaxLateSends);
    }));
}

// Sound requests that share parts with those that crash engines must not stay refused.
BOOST_AUTO_TEST_CASE(parts_beside_the_one_that_crashes_engines_are_not_quarantined_for_long)
{
    BOOST_TEST(rc::check("sound requests are sent", [] {
        PartTrafficRun run(*partTraffics());
        run.run();
        RC_ASSERT(!run.refusedTooManySound());
    }));
}

BOOST_AUTO_TEST_CASE(content_that_crashes_targets_is_rarely_sent_after_the_third_crash_report_had_time_to_spread)
{
    BOOST_TEST(rc::check("the number of late sends is limited", [] {
        const auto course = *scenarios();
        RC_ASSERT(countLateSends(course) <= MaxLateSends);
    }));
}

// A rack failure crashes the targets of all copies of a popular request at once, although the same content succeeded
// shortly before. Successes elsewhere must lift its quarantine.
BOOST_AUTO_TEST_CASE(content_that_keeps_succeeding_is_not_quarantined_after_a_rack_failure)
{
    BOOST_TEST(rc::check("popular content is not quarantined", [] {
        auto course = *scenarios();
        course.restartedDaemons = 0;
        course.partitionFrom = course.partitionUntil = Steps;
        const auto copies = *rc::gen::inRange(1, 30);
        const auto racks = *rc::gen::inRange(1, 4);
        Fleet fleet(course);
        const int first = *rc::gen::inRange(20, 100);
        std::uint32_t ended = 0;
        for (int step = 0; step < Steps; ++step) {
            fleet.runStep(step);
            if (step % 10 == 0) {
                fleet.succeed(fleet.randomDaemon(), PopularContent, step); // Succeeds twice a second at random daemons.
            }
            const bool rackLost = step >= first && step < first + racks * 20 && (step - first) % 20 == 0;
            for (int copy = 0; rackLost && copy < copies; ++copy) {
                fleet.crash(fleet.randomDaemon(), PopularContent, ++ended, step);
            }
        }
        for (int i = 0; i < course.daemons; ++i) {
            RC_ASSERT(!fleet.daemon(i).crashes.isQuarantined(PopularContent));
        }
    }));
}

// A caller's request reaches at most four targets, two in each of two tries. It must not be quarantined while fewer
// than three of them crash, whatever the reason.
BOOST_AUTO_TEST_CASE(two_crashes_do_not_quarantine_a_request)
{
    BOOST_TEST(rc::check("two crashes cause no quarantine", [] {
        auto course = *scenarios();
        Fleet fleet(course);
        const int first = *rc::gen::inRange(0, Steps / 2);
        const int second = *rc::gen::inRange(first, Steps / 2 + 1);
        for (int step = 0; step < Steps; ++step) {
            fleet.runStep(step);
            if (step == first) {
                fleet.crash(fleet.randomDaemon(), CrashingContent, 1, step);
            }
            if (step == second) {
                fleet.crash(fleet.randomDaemon(), CrashingContent, 2, step);
            }
        }
        for (int i = 0; i < course.daemons; ++i) {
            RC_ASSERT(!fleet.daemon(i).crashes.isQuarantined(CrashingContent));
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
