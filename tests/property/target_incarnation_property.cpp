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

constexpr int IdCount = 4;
constexpr std::int64_t FirstStart = 1'700'000'000'000;
constexpr int StepMs = 100;

/// What the directory stores for a target id.
struct StoredEntry
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
    Disappears,
    Overwritten, ///< By a program that does not know the format of entries.
    Rewritten, ///< By the target itself, as it does at each heartbeat.
};

using Directory = std::map<std::string, StoredEntry>;

/// The directory's states by revision; revision 0 is empty.
using History = std::vector<Directory>;

std::string idOf(int number)
{
    return std::string(1, static_cast<char>('a' + number));
}

void applyEvent(Event event, StoredEntry &storedEntry)
{
    switch (event) {
    case Event::Appears:
        storedEntry = {std::max(storedEntry.startMs, FirstStart) + 1, false, true, true};
        return;
    case Event::Drains:
        storedEntry.draining = storedEntry.draining || storedEntry.present;
        storedEntry.readable = true;
        return;
    case Event::Disappears:
        storedEntry.present = false;
        return;
    case Event::Overwritten:
        storedEntry.readable = false;
        return;
    case Event::Rewritten:
        storedEntry.readable = true;
        return;
    }
}

History generateHistory()
{
    History history(1);
    const auto length = *rc::gen::inRange(1, 30);
    for (int i = 0; i < length; ++i) {
        auto nextDirectory = history.back();
        auto &storedEntry = nextDirectory[idOf(*rc::gen::inRange(0, IdCount))];
        const auto event = *rc::gen::element(Event::Appears, Event::Appears, Event::Drains, Event::Disappears,
                                             Event::Overwritten, Event::Rewritten);
        applyEvent(storedEntry.present ? event : Event::Appears, storedEntry);
        history.push_back(nextDirectory);
    }
    return history;
}

TargetChange changeOf(const std::string &id, const StoredEntry &storedEntry)
{
    TargetChange change;
    change.entry = entry(id, storedEntry.draining);
    change.entry.startMs = storedEntry.startMs;
    change.removed = !storedEntry.present;
    if (storedEntry.present && !storedEntry.readable) {
        change.entry = {};
        change.entry.id = id;
        change.fault = "the entry cannot be decoded";
    }
    return change;
}

std::vector<TargetChange> fullList(const Directory &directory)
{
    std::vector<TargetChange> list;
    for (const auto &[id, storedEntry] : directory) {
        if (storedEntry.present) {
            list.push_back(changeOf(id, storedEntry));
        }
    }
    return list;
}

/// Returns all entries of each revision after `from`, up to and including `to`.
std::vector<TargetChange> changesBetween(const History &history, std::size_t from, std::size_t to)
{
    std::vector<TargetChange> changes;
    for (auto revision = from + 1; revision <= to; ++revision) {
        for (const auto &[id, storedEntry] : history[revision]) {
            changes.push_back(changeOf(id, storedEntry));
        }
    }
    return changes;
}

std::set<std::string> usableIds(const Directory &directory)
{
    std::set<std::string> ids;
    for (const auto &[id, storedEntry] : directory) {
        if (storedEntry.present && storedEntry.readable && !storedEntry.draining) {
            ids.insert(id);
        }
    }
    return ids;
}

std::set<std::string> listedIds(const RelayState &state, core::Time now)
{
    std::set<std::string> ids;
    for (const auto &target : state.context.targets.availableTargets("model", now)) {
        ids.insert(target->entry.id);
    }
    return ids;
}

/// A daemon that receives the history in pieces: full lists and changes, each from the directory or from a peer whose
/// data may be outdated.
class DaemonModel
{
public:
    explicit DaemonModel(const History &history)
        : m_history(history)
    { }

    void receiveRandomPiece()
    {
        m_now += absl::Milliseconds(StepMs);
        const auto newest = m_history.size() - 1;
        const auto upTo = *rc::gen::inRange<std::size_t>(0, newest + 1);
        if (*rc::gen::arbitrary<bool>()) {
            receiveList(upTo);
        } else {
            // Changes continue at the known revision or overlap with it; they never leave a gap.
            const auto from = *rc::gen::inRange<std::size_t>(0, m_knownRevision + 1);
            receiveChanges(from, std::max(upTo, from));
        }
        checkIncarnationsNeverGoBack();
        checkNewIncarnationsHaveNoWork();
    }

    void receiveRest()
    {
        m_now += absl::Milliseconds(StepMs);
        receiveChanges(m_knownRevision, m_history.size() - 1);
        RC_ASSERT(listedIds(m_state, m_now) == usableIds(m_history.back()));
    }

private:
    void receiveList(std::size_t upTo)
    {
        m_state.targetListUpdater.applyFullList(fullList(m_history[upTo]), {0, static_cast<std::int64_t>(upTo)}, "test",
                                                m_now);
        m_knownRevision = std::max(m_knownRevision, upTo);
    }

    void receiveChanges(std::size_t from, std::size_t upTo)
    {
        const auto changes = changesBetween(m_history, from, upTo);
        m_state.targetListUpdater.applyChanges(changes, {0, static_cast<std::int64_t>(upTo)}, "test", m_now);
        m_knownRevision = std::max(m_knownRevision, upTo);
    }

    void checkIncarnationsNeverGoBack()
    {
        for (const auto &[id, target] : m_state.context.targets.all()) {
            RC_ASSERT(target->entry.startMs >= m_newestStart[id]);
            m_newestStart[id] = target->entry.startMs;
        }
    }

    void checkNewIncarnationsHaveNoWork()
    {
        for (const auto &[id, target] : m_state.context.targets.all()) {
            const auto requests = target->peerWork(m_now).requests;
            RC_ASSERT(requests == 0 || m_workReportedForStart[id] == target->entry.startMs);
            TargetWork work;
            work.target = target->hash;
            work.work.requests = 1;
            m_state.context.targets.setPeerWork(id, {work}, m_now);
            m_workReportedForStart[id] = target->entry.startMs;
        }
    }

    const History &m_history;
    RelayState m_state;
    core::Time m_now = Start;
    std::size_t m_knownRevision = 0;
    std::map<std::string, std::int64_t> m_newestStart;
    /// Start of the incarnation for which a peer last reported work, by id.
    std::map<std::string, std::int64_t> m_workReportedForStart;
};

} // namespace

BOOST_AUTO_TEST_SUITE(target_life)

BOOST_AUTO_TEST_CASE(the_newest_entries_apply_in_any_order_of_updates_and_no_old_incarnation_returns)
{
    CHECK_PROPERTY("the target list follows the directory", [] {
        const auto history = generateHistory();
        DaemonModel listener(history);
        const auto pieces = *rc::gen::inRange(0, 12);
        for (int i = 0; i < pieces; ++i) {
            listener.receiveRandomPiece();
        }
        listener.receiveRest();
    });
}

BOOST_AUTO_TEST_SUITE_END()
