//----------------------------------------------------------------------------------------------------------------------
// spurlug: property tests of the target list with restarts, unreadable entries and updates in any order
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "property.h"
#include "relay_state.h"

#include "spurlug/targets/target_table.h"

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace spurlug;
using namespace spurlug::relay;
using namespace spurlug::test;

namespace
{

constexpr int Ids = 4;
constexpr std::int64_t FirstStart = 1'700'000'000'000;
constexpr int StepMs = 100;

/// What the directory stores for a target id.
struct Held
{
    std::int64_t startMs = 0;
    bool draining = false;
    bool readable = true;
    bool present = false;
};

/// An event of one target or its entry; each makes one revision.
enum class Event
{
    Appears, ///< As a new incarnation.
    Drains,
    Goes,
    Overwritten, ///< By a program that does not know the format of entries.
    Rewritten, ///< By the target itself, as it does at each heartbeat.
};

using Directory = std::map<std::string, Held>;

/// The directory's states by revision; revision 0 is empty.
using History = std::vector<Directory>;

std::string idOf(int number)
{
    return std::string(1, static_cast<char>('a' + number));
}

void apply(Event event, Held &held)
{
    switch (event) {
    case Event::Appears:
        held = {std::max(held.startMs, FirstStart) + 1, false, true, true};
        return;
    case Event::Drains:
        held.draining = held.draining || held.present;
        held.readable = true;
        return;
    case Event::Goes:
        held.present = false;
        return;
    case Event::Overwritten:
        held.readable = false;
        return;
    case Event::Rewritten:
        held.readable = true;
        return;
    }
}

History drawHistory()
{
    History history(1);
    const auto length = *rc::gen::inRange(1, 30);
    for (int i = 0; i < length; ++i) {
        auto next = history.back();
        auto &held = next[idOf(*rc::gen::inRange(0, Ids))];
        const auto event = *rc::gen::element(Event::Appears, Event::Appears, Event::Drains, Event::Goes,
                                             Event::Overwritten, Event::Rewritten);
        apply(held.present ? event : Event::Appears, held);
        history.push_back(next);
    }
    return history;
}

TargetChange changeOf(const std::string &id, const Held &held)
{
    TargetChange change;
    change.entry = entry(id, held.draining);
    change.entry.startMs = held.startMs;
    change.gone = !held.present;
    if (held.present && !held.readable) {
        change.entry = {};
        change.entry.id = id;
        change.fault = "the entry cannot be decoded";
    }
    return change;
}

std::vector<TargetChange> wholeList(const Directory &directory)
{
    std::vector<TargetChange> list;
    for (const auto &[id, held] : directory) {
        if (held.present) {
            list.push_back(changeOf(id, held));
        }
    }
    return list;
}

/// Returns all entries of each revision after `from`, up to and including `to`.
std::vector<TargetChange> changesBetween(const History &history, std::size_t from, std::size_t to)
{
    std::vector<TargetChange> changes;
    for (auto revision = from + 1; revision <= to; ++revision) {
        for (const auto &[id, held] : history[revision]) {
            changes.push_back(changeOf(id, held));
        }
    }
    return changes;
}

std::set<std::string> usable(const Directory &directory)
{
    std::set<std::string> ids;
    for (const auto &[id, held] : directory) {
        if (held.present && held.readable && !held.draining) {
            ids.insert(id);
        }
    }
    return ids;
}

std::set<std::string> listed(const RelayState &state, core::Time now)
{
    std::set<std::string> ids;
    for (const auto &target : state.context.targets.listed("model", now)) {
        ids.insert(target->entry.id);
    }
    return ids;
}

/// A daemon that receives the history in pieces: full lists and changes, each from the directory or from a peer whose
/// data may be outdated.
class Listener
{
public:
    explicit Listener(const History &history)
        : m_history(history)
    { }

    void hearSomething()
    {
        m_now += absl::Milliseconds(StepMs);
        const auto newest = m_history.size() - 1;
        const auto upTo = *rc::gen::inRange<std::size_t>(0, newest + 1);
        if (*rc::gen::arbitrary<bool>()) {
            hearList(upTo);
        } else {
            // Changes continue at the known revision or overlap with it; they never leave a gap.
            const auto from = *rc::gen::inRange<std::size_t>(0, m_known + 1);
            hearChanges(from, std::max(upTo, from));
        }
        checkLivesNeverGoBack();
        checkNewLivesHaveNoWork();
    }

    void hearRest()
    {
        m_now += absl::Milliseconds(StepMs);
        hearChanges(m_known, m_history.size() - 1);
        RC_ASSERT(listed(m_state, m_now) == usable(m_history.back()));
    }

private:
    void hearList(std::size_t upTo)
    {
        m_state.intake.whole(wholeList(m_history[upTo]), {0, static_cast<std::int64_t>(upTo)}, "test", m_now);
        m_known = std::max(m_known, upTo);
    }

    void hearChanges(std::size_t from, std::size_t upTo)
    {
        const auto changes = changesBetween(m_history, from, upTo);
        m_state.intake.changes(changes, {0, static_cast<std::int64_t>(upTo)}, "test", m_now);
        m_known = std::max(m_known, upTo);
    }

    void checkLivesNeverGoBack()
    {
        for (const auto &[id, target] : m_state.context.targets.all()) {
            RC_ASSERT(target->entry.startMs >= m_newestStart[id]);
            m_newestStart[id] = target->entry.startMs;
        }
    }

    void checkNewLivesHaveNoWork()
    {
        for (const auto &[id, target] : m_state.context.targets.all()) {
            const auto requests = target->peers(m_now).requests;
            RC_ASSERT(requests == 0 || m_workOf[id] == target->entry.startMs);
            TargetWork work;
            work.target = target->hash;
            work.work.requests = 1;
            m_state.context.targets.peerWork(id, {work}, m_now);
            m_workOf[id] = target->entry.startMs;
        }
    }

    const History &m_history;
    RelayState m_state;
    core::Time m_now = Start;
    std::size_t m_known = 0;
    std::map<std::string, std::int64_t> m_newestStart;
    /// Start of the incarnation for which a peer last reported work, by id.
    std::map<std::string, std::int64_t> m_workOf;
};

} // namespace

BOOST_AUTO_TEST_SUITE(target_life)

BOOST_AUTO_TEST_CASE(whatever_order_news_come_in_the_newest_entries_decide_and_no_life_comes_back)
{
    CHECK_PROPERTY("the target list follows the directory", [] {
        const auto history = drawHistory();
        Listener listener(history);
        const auto pieces = *rc::gen::inRange(0, 12);
        for (int i = 0; i < pieces; ++i) {
            listener.hearSomething();
        }
        listener.hearRest();
    });
}

BOOST_AUTO_TEST_SUITE_END()
