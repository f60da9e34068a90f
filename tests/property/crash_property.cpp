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

} // namespace

BOOST_AUTO_TEST_SUITE(crash_properties)

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
