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
constexpr int ContactSteps = 3000 / StepMs;
constexpr int RunSteps = 4; ///< From a send until its target crashes.
/// Maximum number of sends after that time; the users require this limit.
constexpr int MostLateSends = 3;

const core::Digest Deadly = core::digestOf({"the end"});
const core::Digest Popular = core::digestOf({"everybody asks this"});

core::Time timeOf(int step)
{
    return absl::FromUnixSeconds(1000) + absl::Milliseconds(step * StepMs);
}

/// The faults in one run of a fleet, with times in steps. A partition separates the daemons with an odd number from the
/// others.
struct Course
{
    int daemons = 1;
    double loss = 0; ///< Share of datagrams that are lost.
    int longestDelay = 1; ///< Maximum delay of a datagram in steps; datagrams may be reordered.
    int copiesEvery = 1; ///< Interval in steps at which the content that crashes targets is sent.
    int cutFrom = 0;
    int cutUntil = 0;
    int killedAt = 0;
    int killed = 0; ///< Number of daemons that restart at that step.
    std::uint32_t seed = 0;
};

rc::Gen<Course> courses()
{
    return rc::gen::exec([] {
        Course course;
        course.daemons = *rc::gen::inRange(2, 40);
        course.loss = *rc::gen::inRange(0, 30) / 100.0;
        course.longestDelay = *rc::gen::inRange(1, 6);
        course.copiesEvery = *rc::gen::inRange(1, 40);
        course.cutFrom = *rc::gen::inRange(0, Steps);
        course.cutUntil = *rc::gen::inRange(course.cutFrom, Steps + 1);
        course.killedAt = *rc::gen::inRange(0, Steps);
        course.killed = *rc::gen::inRange(0, course.daemons); // Not all daemons: crash counts are held only by daemons.
        course.seed = *rc::gen::arbitrary<std::uint32_t>();
        return course;
    });
}

class Fleet
{
public:
    explicit Fleet(const Course &course)
        : m_course(course)
        , m_random(course.seed)
    {
        for (int i = 0; i < course.daemons; ++i) {
            m_daemons.push_back(start(i));
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

    int draw()
    {
        return std::uniform_int_distribution<int>(0, m_course.daemons - 1)(m_random);
    }

    /// Whether a daemon was neither restarted nor partitioned within the last ContactSteps.
    [[nodiscard]] bool inTouch(int number, int step) const
    {
        return step - m_disturbedAt[static_cast<std::size_t>(number)] > ContactSteps;
    }

    void play(int step)
    {
        if (step == m_course.killedAt) {
            for (int i = 0; i < m_course.killed; ++i) {
                m_daemons[static_cast<std::size_t>(i)] = start(i);
                m_disturbedAt[static_cast<std::size_t>(i)] = step;
            }
        }
        if (cut(step)) {
            std::fill(m_disturbedAt.begin(), m_disturbedAt.end(), step);
        }
        deliver(step);
        for (int i = 0; i < m_course.daemons; ++i) {
            exchange(i).gossip(timeOf(step));
        }
        m_step = step;
    }

    void end(int number, const core::Digest &work, std::uint32_t target, int step)
    {
        daemon(number).crashes.targetEnded(work, target, timeOf(step));
        exchange(number).tellChanges(timeOf(step));
    }

    void survive(int number, const core::Digest &work, int step)
    {
        daemon(number).crashes.survived(work, timeOf(step));
        exchange(number).tellChanges(timeOf(step));
    }

private:
    struct Daemon : test::RelayState
    {
        std::unique_ptr<control::CrashExchange> exchange;
    };

    struct Word
    {
        int at = 0;
        int from = 0;
        int to = 0;
        control::CrashNews news;
    };

    [[nodiscard]] bool cut(int step) const
    {
        return step >= m_course.cutFrom && step < m_course.cutUntil;
    }

    std::unique_ptr<Daemon> start(int number)
    {
        auto daemon = std::make_unique<Daemon>();
        daemon->settings.vm = core::cat("vm-", number);
        std::vector<control::Member> members;
        for (int i = 0; i < m_course.daemons; ++i) {
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
                send(number, to.port, std::get<control::CrashNews>(message));
            });
        return daemon;
    }

    void send(int from, int to, const control::CrashNews &news)
    {
        if (std::uniform_real_distribution<double>(0, 1)(m_random) >= m_course.loss) {
            const auto delay = std::uniform_int_distribution<int>(1, m_course.longestDelay)(m_random);
            m_words.push_back({m_step + delay, from, to, news});
        }
    }

    void deliver(int step)
    {
        std::vector<Word> due;
        std::vector<Word> later;
        for (auto &word : m_words) {
            (word.at <= step ? due : later).push_back(std::move(word));
        }
        m_words = std::move(later);
        for (const auto &word : due) {
            const bool parted = cut(step) && word.from % 2 != word.to % 2;
            if (!parted) {
                exchange(word.to).take(word.news, timeOf(step));
            }
        }
    }

    const Course m_course;
    std::mt19937 m_random;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<int> m_disturbedAt; ///< Last step at which a daemon was restarted or partitioned.
    std::vector<Word> m_words; ///< Datagrams in transit.
    int m_step = 0;
};

/// Counts the sends of Deadly more than ContactSteps after its third crash, by daemons that were undisturbed for as
/// long.
int lateSends(const Course &course)
{
    Fleet fleet(course);
    std::vector<std::pair<int, int>> running; // Step at which the target crashes, daemon.
    std::uint32_t ended = 0;
    int thirdAt = Steps;
    int late = 0;
    for (int step = 0; step < Steps; ++step) {
        fleet.play(step);
        for (const auto &[endsAt, daemon] : running) {
            if (endsAt == step) {
                fleet.end(daemon, Deadly, ++ended, step);
                thirdAt = ended == 3 ? step : thirdAt;
            }
        }
        const auto daemon = fleet.draw();
        if (step % course.copiesEvery != 0 || fleet.daemon(daemon).crashes.quarantined(Deadly)) {
            continue;
        }
        running.emplace_back(step + RunSteps, daemon);
        late += step > thirdAt + ContactSteps && fleet.inTouch(daemon, step) ? 1 : 0;
    }
    return late;
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_properties)

BOOST_AUTO_TEST_CASE(work_that_ends_targets_is_hardly_sent_once_the_third_end_had_time_to_get_around)
{
    BOOST_TEST(rc::check("the number of late sends is limited", [] {
        const auto course = *courses();
        RC_ASSERT(lateSends(course) <= MostLateSends);
    }));
}

// A rack failure crashes the targets of all copies of a popular request at once, although the same content succeeded
// shortly before. Successes elsewhere must lift its quarantine.
BOOST_AUTO_TEST_CASE(work_that_runs_well_all_the_time_is_free_soon_after_many_targets_ended_under_it)
{
    BOOST_TEST(rc::check("popular content is not quarantined", [] {
        auto course = *courses();
        course.killed = 0;
        course.cutFrom = course.cutUntil = Steps;
        const auto copies = *rc::gen::inRange(1, 30);
        const auto racks = *rc::gen::inRange(1, 4);
        Fleet fleet(course);
        const int first = *rc::gen::inRange(20, 100);
        std::uint32_t ended = 0;
        for (int step = 0; step < Steps; ++step) {
            fleet.play(step);
            if (step % 10 == 0) {
                fleet.survive(fleet.draw(), Popular, step); // Succeeds twice a second at random daemons.
            }
            const bool rackLost = step >= first && step < first + racks * 20 && (step - first) % 20 == 0;
            for (int copy = 0; rackLost && copy < copies; ++copy) {
                fleet.end(fleet.draw(), Popular, ++ended, step);
            }
        }
        for (int i = 0; i < course.daemons; ++i) {
            RC_ASSERT(!fleet.daemon(i).crashes.quarantined(Popular));
        }
    }));
}

// A caller's request reaches at most four targets, two in each of two tries. It must not be quarantined while fewer
// than three of them crash, whatever the reason.
BOOST_AUTO_TEST_CASE(a_request_is_not_kept_from_its_last_targets_by_two_ends)
{
    BOOST_TEST(rc::check("two crashes cause no quarantine", [] {
        auto course = *courses();
        Fleet fleet(course);
        const int first = *rc::gen::inRange(0, Steps / 2);
        const int second = *rc::gen::inRange(first, Steps / 2 + 1);
        for (int step = 0; step < Steps; ++step) {
            fleet.play(step);
            if (step == first) {
                fleet.end(fleet.draw(), Deadly, 1, step);
            }
            if (step == second) {
                fleet.end(fleet.draw(), Deadly, 2, step);
            }
        }
        for (int i = 0; i < course.daemons; ++i) {
            RC_ASSERT(!fleet.daemon(i).crashes.quarantined(Deadly));
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
