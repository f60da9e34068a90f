//----------------------------------------------------------------------------------------------------------------------
// spurlug: property tests of draining and cooldown notices of targets, from entries, answers and peers in any order
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "property.h"
#include "relay_state.h"

#include "spurlug/relay/target_choice.h"
#include "spurlug/relay/target_notice.h"
#include "spurlug/relay/verdict.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace spurlug;
using namespace spurlug::relay;
using namespace spurlug::test;

namespace
{

constexpr int Daemons = 2;
constexpr int Targets = 3;
constexpr int MostSteps = 400;
constexpr std::int64_t FirstStart = 1'700'000'000'000;
/// Draining incarnations are remembered for ten minutes after their entries were removed; the model stays within that.
constexpr auto LongestStory = absl::Minutes(9);

/// The actual state of one process of the service.
struct Process
{
    std::string id;
    std::int64_t startMs = FirstStart;
    bool leaves = false;

    [[nodiscard]] TargetLife life() const
    {
        return {id, startMs};
    }
};

/// What the targets themselves told one daemon, by incarnation.
struct Told
{
    std::map<std::uint32_t, bool> leaves;
    std::map<std::uint32_t, core::Time> restUntil;
};

/// A fleet whose daemons learn of targets in any order and choose targets for themselves and for each other.
class Fleet
{
public:
    Fleet()
    {
        for (int i = 0; i < Targets; ++i) {
            m_processes.push_back({std::string(1, static_cast<char>('a' + i))});
        }
        for (int i = 0; i < Daemons; ++i) {
            start(static_cast<std::size_t>(i));
        }
    }

    void step()
    {
        const auto daemon = drawDaemon();
        switch (*rc::gen::weightedElement<int>(
            {{10, 0}, {5, 1}, {12, 2}, {3, 3}, {5, 4}, {2, 5}, {1, 6}, {1, 7}, {20, 8}, {2, 9}})) {
        case 0:
            hearEntry(daemon);
            break;
        case 1:
            hearGone(daemon);
            break;
        case 2:
            hearAnswer(daemon);
            break;
        case 3:
            hearPeer(daemon);
            break;
        case 4:
            passTime();
            break;
        case 5:
            drawProcess().leaves = true;
            break;
        case 6:
            restart(drawProcess());
            break;
        case 7:
            start(daemon); // A restarted daemon has lost what it was told.
            break;
        case 8:
            choose(daemon, drawDaemon());
            break;
        default:
            m_daemons[daemon]->context.targets.forgetGone(m_now);
            break;
        }
    }

private:
    [[nodiscard]] static std::size_t drawDaemon()
    {
        return *rc::gen::inRange<std::size_t>(0, Daemons);
    }

    Process &drawProcess()
    {
        return m_processes[*rc::gen::inRange<std::size_t>(0, Targets)];
    }

    void start(std::size_t daemon)
    {
        m_daemons[daemon] = std::make_unique<RelayState>();
        m_daemons[daemon]->context.table = m_table;
        m_daemons[daemon]->context.random.seed(daemon); // A fixed seed makes each case reproducible.
        m_told[daemon] = {};
    }

    static void restart(Process &process)
    {
        ++process.startMs;
        process.leaves = false;
    }

    /// Delivers an entry of the running incarnation or of an earlier one. The store or a peer may be outdated, so that
    /// the entry may say "ready" for a draining target.
    void hearEntry(std::size_t daemon)
    {
        const auto &process = drawProcess();
        TargetChange change;
        change.entry = entry(process.id);
        change.entry.startMs = *rc::gen::inRange<std::int64_t>(FirstStart, process.startMs + 1);
        change.entry.draining
            = change.entry.startMs == process.startMs && process.leaves && *rc::gen::arbitrary<bool>();
        m_daemons[daemon]->intake.changes({change}, {0, ++m_revision}, "test", m_now);
    }

    void hearGone(std::size_t daemon)
    {
        TargetChange change;
        change.entry.id = drawProcess().id;
        change.gone = true;
        m_daemons[daemon]->intake.changes({change}, {0, ++m_revision}, "test", m_now);
    }

    void hearAnswer(std::size_t daemon)
    {
        const auto &process = drawProcess();
        auto &context = m_daemons[daemon]->context;
        const auto target = context.targets.find(process.id);
        if (!target || target->entry.startMs != process.startMs) {
            return; // That incarnation no longer runs and so cannot answer.
        }
        AnswerFacts answer;
        answer.leaving = process.leaves;
        answer.status = *rc::gen::element(200, 421, 429, 500, 503);
        if (*rc::gen::arbitrary<bool>()) {
            answer.retryAfter = absl::Milliseconds(*rc::gen::inRange(0, 400'000));
        }
        takeTargetNotice(context, *target, answer, "request", m_now);
        auto &told = m_told[daemon];
        told.leaves[target->hash] = told.leaves[target->hash] || answer.leaving;
        if (asksForCooldown(answer)) {
            const auto until = m_now + std::min(*answer.retryAfter, core::Duration(targets::LongestCooldown));
            auto &known = told.restUntil.try_emplace(target->hash, until).first->second;
            known = std::max(known, until);
        }
    }

    void hearPeer(std::size_t daemon)
    {
        auto &peer = m_daemons[drawDaemon()]->context;
        const auto news = leavingNews(peer, 2);
        takeLeavingNews(m_daemons[daemon]->context, news, "peer");
    }

    /// The time may include a suspension, during which the daemons' clock continues.
    void passTime()
    {
        const auto span = absl::Milliseconds(*rc::gen::element(1, 50, 500, 3000, 35'000));
        if (m_now + span < Start + LongestStory) {
            m_now += span;
        }
    }

    [[nodiscard]] bool wants(const Process &process, std::size_t daemon) const
    {
        const auto rest = m_told[daemon].restUntil.find(lifeHash(process.life()));
        return !process.leaves && (rest == m_told[daemon].restUntil.end() || rest->second <= m_now);
    }

    /// Whether the chooser lists a running incarnation that accepts requests from the asker.
    [[nodiscard]] bool someWant(std::size_t asker, std::size_t chooser) const
    {
        for (const auto &process : m_processes) {
            const auto known = m_daemons[chooser]->context.targets.withHash(lifeHash(process.life()));
            if (known && known->listed(m_now) && wants(process, asker)) {
                return true;
            }
        }
        return false;
    }

    void check(std::size_t asker, const Target &target) const
    {
        const bool runs = std::any_of(m_processes.begin(), m_processes.end(), [&target](const Process &process) {
            return lifeHash(process.life()) == target.hash;
        });
        if (!runs) {
            return; // An outdated list may name an incarnation that has ended and cannot be reached.
        }
        const auto &told = m_told[asker];
        const auto leaves = told.leaves.find(target.hash);
        RC_ASSERT(leaves == told.leaves.end() || !leaves->second);
        const auto rest = told.restUntil.find(target.hash);
        RC_ASSERT(rest == told.restUntil.end() || rest->second <= m_now);
    }

    /// Returns those of the chosen targets that the asker knows and may use.
    [[nodiscard]] std::vector<core::Ref<Target>> usable(std::size_t asker, const ChosenTargets &chosen) const
    {
        const auto &targets = m_daemons[asker]->context.targets;
        std::vector<core::Ref<Target>> used;
        const auto use = [&](std::uint32_t hash) {
            const auto target = targets.withHash(hash);
            if (target && !unwantedNow(*target, m_now)) {
                used.push_back(target);
            }
            return target && !unwantedNow(*target, m_now);
        };
        if (use(chosen.target->hash)) {
            for (const auto &helper : chosen.helpers) {
                use(helper->hash);
            }
        }
        return used;
    }

    /// One daemon chooses targets for another one, from its own list and the avoided targets in the request. If the
    /// asker can use none of them, it chooses itself.
    void choose(std::size_t asker, std::size_t chooser)
    {
        TargetQuery query;
        query.service = "model";
        query.unwanted = m_daemons[asker]->context.targets.unwantedHere(m_now);
        query.from = "hall-a";
        if (*rc::gen::arbitrary<bool>()) {
            query.prompt = prompt(*rc::gen::element(1'000, 40'000, 130'000), false);
        }
        const auto chosen = chooseTargets(m_daemons[chooser]->context, query, m_now);
        RC_ASSERT(chosen || !someWant(asker, chooser));
        if (!chosen) {
            return;
        }
        const auto used = usable(asker, *chosen);
        for (const auto &target : used) {
            check(asker, *target);
        }
        RC_ASSERT(asker != chooser || used.size() == chosen->helpers.size() + 1);
        if (used.empty()) {
            choose(asker, asker);
        }
    }

    const config::RouteTableRef m_table = chatTable();
    core::Time m_now = Start;
    std::int64_t m_revision = 0;
    std::vector<Process> m_processes;
    std::array<std::unique_ptr<RelayState>, Daemons> m_daemons;
    std::array<Told, Daemons> m_told;
};

} // namespace

BOOST_AUTO_TEST_SUITE(target_notice)

BOOST_AUTO_TEST_CASE(whatever_is_heard_in_whatever_order_what_a_target_said_of_itself_binds_the_daemon_it_told)
{
    CHECK_PROPERTY("draining and cooling-down targets get no requests, and others are used", [] {
        Fleet fleet;
        const auto steps = *rc::gen::inRange(1, MostSteps);
        for (int i = 0; i < steps; ++i) {
            fleet.step();
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()
