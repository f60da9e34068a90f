//----------------------------------------------------------------------------------------------------------------------
// spurlug: property tests of draining and cooldown notices of targets, from entries, answers and peers in any order
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "property.h"
#include "relay_state.h"

#include "spurlug/relay/answer_result.h"
#include "spurlug/relay/target_choice.h"
#include "spurlug/relay/target_notice.h"

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

constexpr int DaemonCount = 2;
constexpr int TargetCount = 3;
constexpr int MaxSteps = 400;
constexpr std::int64_t FirstStart = 1'700'000'000'000;
/// Draining incarnations are remembered for ten minutes after their entries were removed; the model stays within that.
constexpr auto MaxModelTime = absl::Minutes(9);

/// The actual state of one process of the service.
struct Process
{
    std::string id;
    std::int64_t startMs = FirstStart;
    bool isDraining = false;

    [[nodiscard]] TargetIncarnation incarnation() const
    {
        return {id, startMs};
    }
};

/// What the targets themselves told one daemon, by incarnation.
struct ReceivedNotices
{
    std::map<std::uint32_t, bool> drainingByIncarnation;
    std::map<std::uint32_t, core::Time> cooldownUntil;
};

/// A fleet whose daemons learn of targets in any order and choose targets for themselves and for each other.
class Fleet
{
public:
    Fleet()
    {
        for (int i = 0; i < TargetCount; ++i) {
            m_processes.push_back({std::string(1, static_cast<char>('a' + i))});
        }
        for (int i = 0; i < DaemonCount; ++i) {
            startDaemon(static_cast<std::size_t>(i));
        }
    }

    void step()
    {
        const auto daemon = drawDaemon();
        switch (*rc::gen::weightedElement<int>(
            {{10, 0}, {5, 1}, {12, 2}, {3, 3}, {5, 4}, {2, 5}, {1, 6}, {1, 7}, {20, 8}, {2, 9}})) {
        case 0:
            receiveEntry(daemon);
            break;
        case 1:
            receiveRemoval(daemon);
            break;
        case 2:
            receiveAnswer(daemon);
            break;
        case 3:
            receivePeerReport(daemon);
            break;
        case 4:
            advanceTime();
            break;
        case 5:
            drawProcess().isDraining = true;
            break;
        case 6:
            restart(drawProcess());
            break;
        case 7:
            startDaemon(daemon); // A restarted daemon has lost what it was told.
            break;
        case 8:
            choose(daemon, drawDaemon());
            break;
        default:
            m_daemons[daemon]->context.targets.removeExpired(m_now);
            break;
        }
    }

private:
    [[nodiscard]] static std::size_t drawDaemon()
    {
        return *rc::gen::inRange<std::size_t>(0, DaemonCount);
    }

    Process &drawProcess()
    {
        return m_processes[*rc::gen::inRange<std::size_t>(0, TargetCount)];
    }

    void startDaemon(std::size_t daemon)
    {
        m_daemons[daemon] = std::make_unique<RelayState>();
        m_daemons[daemon]->context.table = m_table;
        m_daemons[daemon]->context.random.seed(daemon); // A fixed seed makes each case reproducible.
        m_notices[daemon] = {};
    }

    static void restart(Process &process)
    {
        ++process.startMs;
        process.isDraining = false;
    }

    /// Delivers an entry of the running incarnation or of an earlier one. The store or a peer may be outdated, so that
    /// the entry may say "ready" for a draining target.
    void receiveEntry(std::size_t daemon)
    {
        const auto &process = drawProcess();
        TargetChange change;
        change.entry = entry(process.id);
        change.entry.startMs = *rc::gen::inRange<std::int64_t>(FirstStart, process.startMs + 1);
        change.entry.draining
            = change.entry.startMs == process.startMs && process.isDraining && *rc::gen::arbitrary<bool>();
        m_daemons[daemon]->targetListUpdater.applyChanges({change}, {0, ++m_revision}, "test", m_now);
    }

    void receiveRemoval(std::size_t daemon)
    {
        TargetChange change;
        change.entry.id = drawProcess().id;
        change.removed = true;
        m_daemons[daemon]->targetListUpdater.applyChanges({change}, {0, ++m_revision}, "test", m_now);
    }

    void receiveAnswer(std::size_t daemon)
    {
        const auto &process = drawProcess();
        auto &context = m_daemons[daemon]->context;
        const auto target = context.targets.find(process.id);
        if (!target || target->entry.startMs != process.startMs) {
            return; // That incarnation no longer runs and so cannot answer.
        }
        AnswerInfo answer;
        answer.draining = process.isDraining;
        answer.status = *rc::gen::element(200, 421, 429, 500, 503);
        if (*rc::gen::arbitrary<bool>()) {
            answer.retryAfter = absl::Milliseconds(*rc::gen::inRange(0, 400'000));
        }
        applyTargetNotice(context, *target, answer, "request", m_now);
        auto &notices = m_notices[daemon];
        notices.drainingByIncarnation[target->hash] = notices.drainingByIncarnation[target->hash] || answer.draining;
        if (asksForCooldown(answer)) {
            const auto until = m_now + std::min(*answer.retryAfter, core::Duration(targets::MaxCooldown));
            auto &knownUntil = notices.cooldownUntil.try_emplace(target->hash, until).first->second;
            knownUntil = std::max(knownUntil, until);
        }
    }

    void receivePeerReport(std::size_t daemon)
    {
        auto &peer = m_daemons[drawDaemon()]->context;
        const auto report = drainingReports(peer, 2);
        applyDrainingReports(m_daemons[daemon]->context, report, "peer");
    }

    /// The time may include a suspension, during which the daemons' clock continues.
    void advanceTime()
    {
        const auto span = absl::Milliseconds(*rc::gen::element(1, 50, 500, 3000, 35'000));
        if (m_now + span < Start + MaxModelTime) {
            m_now += span;
        }
    }

    [[nodiscard]] bool acceptsRequests(const Process &process, std::size_t daemon) const
    {
        const auto cooldown = m_notices[daemon].cooldownUntil.find(incarnationHash(process.incarnation()));
        return !process.isDraining && (cooldown == m_notices[daemon].cooldownUntil.end() || cooldown->second <= m_now);
    }

    /// Whether the chooser lists a running incarnation that accepts requests from the asker.
    [[nodiscard]] bool anyAcceptsRequests(std::size_t requester, std::size_t chooser) const
    {
        for (const auto &process : m_processes) {
            const auto known = m_daemons[chooser]->context.targets.findByHash(incarnationHash(process.incarnation()));
            if (known && known->acceptsNewWork(m_now) && acceptsRequests(process, requester)) {
                return true;
            }
        }
        return false;
    }

    void checkMayBeUsed(std::size_t requester, const Target &target) const
    {
        const bool isRunning = std::any_of(m_processes.begin(), m_processes.end(), [&target](const Process &process) {
            return incarnationHash(process.incarnation()) == target.hash;
        });
        if (!isRunning) {
            return; // An outdated list may name an incarnation that has ended and cannot be reached.
        }
        const auto &notices = m_notices[requester];
        const auto drainingEntry = notices.drainingByIncarnation.find(target.hash);
        RC_ASSERT(drainingEntry == notices.drainingByIncarnation.end() || !drainingEntry->second);
        const auto cooldown = notices.cooldownUntil.find(target.hash);
        RC_ASSERT(cooldown == notices.cooldownUntil.end() || cooldown->second <= m_now);
    }

    /// Returns those of the chosen targets that the asker knows and may use.
    [[nodiscard]] std::vector<core::Ref<Target>> usableTargets(std::size_t requester, const ChosenTargets &chosen) const
    {
        const auto &targets = m_daemons[requester]->context.targets;
        std::vector<core::Ref<Target>> usedTargets;
        const auto addIfUsable = [&](std::uint32_t hash) {
            const auto target = targets.findByHash(hash);
            if (target && !reasonToAvoid(*target, m_now)) {
                usedTargets.push_back(target);
            }
            return target && !reasonToAvoid(*target, m_now);
        };
        if (addIfUsable(chosen.target->hash)) {
            for (const auto &helper : chosen.helpers) {
                addIfUsable(helper->hash);
            }
        }
        return usedTargets;
    }

    /// One daemon chooses targets for another one, from its own list and the avoided targets in the request. If the
    /// asker can use none of them, it chooses itself.
    void choose(std::size_t requester, std::size_t chooser)
    {
        TargetQuery query;
        query.service = "model";
        query.avoidedTargets = m_daemons[requester]->context.targets.avoidedTargets(m_now);
        query.senderDomain = "hall-a";
        if (*rc::gen::arbitrary<bool>()) {
            query.prompt = promptRequest(*rc::gen::element(1'000, 40'000, 130'000), false);
        }
        const auto chosen = chooseTargets(m_daemons[chooser]->context, query, m_now);
        RC_ASSERT(chosen || !anyAcceptsRequests(requester, chooser));
        if (!chosen) {
            return;
        }
        const auto usedTargets = usableTargets(requester, *chosen);
        for (const auto &target : usedTargets) {
            checkMayBeUsed(requester, *target);
        }
        RC_ASSERT(requester != chooser || usedTargets.size() == chosen->helpers.size() + 1);
        if (usedTargets.empty()) {
            choose(requester, requester);
        }
    }

    const config::RouteTableRef m_table = chatTable();
    core::Time m_now = Start;
    std::int64_t m_revision = 0;
    std::vector<Process> m_processes;
    std::array<std::unique_ptr<RelayState>, DaemonCount> m_daemons;
    std::array<ReceivedNotices, DaemonCount> m_notices;
};

} // namespace

BOOST_AUTO_TEST_SUITE(target_notice)

BOOST_AUTO_TEST_CASE(a_daemon_honours_what_a_target_told_it_in_any_order_of_events)
{
    CHECK_PROPERTY("draining and cooling-down targets get no requests, and others are used", [] {
        Fleet fleet;
        const auto steps = *rc::gen::inRange(1, MaxSteps);
        for (int i = 0; i < steps; ++i) {
            fleet.step();
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()
