//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of store objects that no target, operator or platform would write
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// Other programs may write to the store too. Whatever an object contains, the daemons must stay up, follow the changes
// of the other objects, and start while the object is there.
//
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"
#include "relay_process.h"

#include "spurlug/core/text.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace spurlug::test
{

namespace
{

constexpr auto PropagationTime = absl::Milliseconds(300);
constexpr auto MaxPropagationTime = absl::Seconds(3);

/// Returns arrays nested so deeply that recursion over them overflows the stack.
std::string deepArray()
{
    constexpr std::size_t Depth = 200'000;
    return std::string(Depth, '[') + std::string(Depth, ']');
}

std::string makeObjectText(const std::string &name, const std::string &spec)
{
    return core::cat(R"({"metadata":{"name":")", name, R"(","revision":7},"spec":)", spec, "}");
}

/// An entry with one member replaced or added, as text.
std::string withMember(nlohmann::json entry, const std::string &member, const std::string &value)
{
    entry[member] = "placeholder-value";
    auto text = entry.dump();
    const std::string placeholder = "\"placeholder-value\"";
    return text.replace(text.find(placeholder), placeholder.size(), value);
}

/// An object with an entry of another program, which names a service that the configuration does not have.
std::string foreignObject(const std::string &member, const std::string &value)
{
    const nlohmann::json entry{
        {"service", "foreign"}, {"address", "127.0.0.1:9"}, {"zone", "hall-a"}, {"version", "v1"},
        {"slots", 16},          {"state", "ready"},         {"call_seq", 0},    {"cold_remaining_ms", 0}};
    return makeObjectText("i-foreign", withMember(entry, member, value));
}

/// A daemon in a process of its own, whose store and targets run in a fleet without daemons.
struct OddEntryPlay
{
    RelayFleet fleet{0};
    support::TemporaryDirectory directory;
    settings::RelaySettings settings = fleet.makeSettings();
    RelayProcess daemon{directory, settings};

    /// Sends requests until one is answered with a status, for a time that suffices for a start.
    [[nodiscard]] net::Task<bool> isAnswered(std::string path, int status)
    {
        const auto until = core::now() + absl::Seconds(5);
        while (core::now() < until && !daemon.hasExited()) {
            CallerRequest request;
            request.path = path;
            if ((co_await fleet.sendTo(settings.callerAddress, request)).status == status) {
                co_return true;
            }
            co_await net::sleepFor(absl::Milliseconds(20));
        }
        co_return false;
    }

    /// Replaces the only target of the service by a new one, and checks that requests reach it.
    [[nodiscard]] net::Task<bool> followsChanges()
    {
        auto &previous = *fleet.targets.back();
        fleet.store.remove("servers", previous.id());
        auto &added = fleet.addTarget("app");
        const auto until = core::now() + MaxPropagationTime;
        while (core::now() < until && added.startedRequests().empty()) {
            co_await net::sleepFor(PropagationTime);
            const bool answered = co_await isAnswered("/plain/1", 200);
            if (!answered) {
                co_return false;
            }
        }
        co_return !added.startedRequests().empty();
    }

    [[nodiscard]] std::string logEnd() const
    {
        constexpr std::size_t Bytes = 2000;
        const auto log = daemon.log();
        return log.substr(log.size() - std::min(log.size(), Bytes));
    }

    /// Kills the daemon and starts it again.
    [[nodiscard]] net::Task<> restart()
    {
        if (!daemon.hasExited()) {
            daemon.signal(SIGKILL);
        }
        static_cast<void>(co_await daemon.awaitExit());
        daemon.restart();
    }
};

/// Stores an odd object while a daemon runs, and checks that it and a restarted one serve and follow changes.
void checkOddObject(const std::string &kind, const std::string &name, const std::string &object)
{
    OddEntryPlay play;
    play.fleet.addTarget("app");
    const auto shown = core::cat(kind, " ", object.substr(0, 200));
    play.fleet.run([&]() -> net::Task<> {
        const bool started = co_await play.isAnswered("/plain/1", 200);
        BOOST_TEST_REQUIRE(started);
        play.fleet.store.putRaw(kind, name, object);
        co_await net::sleepFor(PropagationTime);
        BOOST_TEST(!play.daemon.hasExited(), shown);
        const bool followed = co_await play.followsChanges();
        BOOST_TEST(followed, "change after " << shown);
        co_await play.restart();
        const bool restarted = co_await play.isAnswered("/plain/1", 200);
        BOOST_TEST(restarted, "restart with " << shown << "; end of the log: " << play.logEnd());
        const bool followedAgain = co_await play.followsChanges();
        BOOST_TEST(followedAgain, "change after a restart with " << shown);
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(odd_entries)

// Guards against daemons that ended by SIGSEGV, again after each restart, when an entry was nested deeply.
BOOST_AUTO_TEST_CASE(deeply_nested_objects_do_not_end_the_daemons)
{
    checkOddObject("servers", "i-foreign", foreignObject("note", deepArray()));
    checkOddObject("servers", "i-foreign", foreignObject("slots", deepArray()));
    checkOddObject("servers", "i-deep", makeObjectText("i-deep", deepArray()));
    checkOddObject("evacuations", "nowhere", makeObjectText("nowhere", deepArray()));
    checkOddObject("config", "other", makeObjectText("other", deepArray()));
    checkOddObject("servers", "i-deep", deepArray());
    checkOddObject("servers", "i-deep",
                   core::cat(R"({"metadata":{"name":)", deepArray(), R"(},"spec":{"service":"app"}})"));
}

// Guards against an unreadable member that hides the object's name, and with it the target that the object describes.
BOOST_AUTO_TEST_CASE(a_target_is_usable_only_while_the_members_that_describe_it_can_be_read)
{
    RelayFleet fleet;
    auto &target = fleet.addTarget("app");
    auto &other = fleet.addTarget("app");
    const std::vector<std::string> unreadableValues{deepArray(), "1e999"};
    const auto entry = RelayFleet::makeEntry(target, "app");
    const CallerRequest request;
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        for (const auto &unreadable : unreadableValues) {
            fleet.store.remove("servers", other.id());
            fleet.store.putRaw("servers", target.id(),
                               makeObjectText(target.id(), withMember(entry, "note", unreadable)));
            co_await net::sleepFor(PropagationTime);
            const auto withNote = co_await fleet.send(request);
            BOOST_TEST(withNote.status == 200);
            fleet.writeEntry(other, "app");
            fleet.store.putRaw("servers", target.id(),
                               makeObjectText(target.id(), withMember(entry, "slots", unreadable)));
            co_await net::sleepFor(PropagationTime);
            const auto before = target.startedRequests().size();
            for (int i = 0; i < 6; ++i) {
                const auto withoutSlots = co_await fleet.send(request);
                BOOST_TEST(withoutSlots.status == 200);
            }
            BOOST_TEST(target.startedRequests().size() == before);
        }
    });
}

// Guards against daemons that end, or no longer follow the store, over numbers, addresses and members out of range.
BOOST_AUTO_TEST_CASE(objects_with_values_out_of_range_do_not_stop_the_following)
{
    const std::vector<std::pair<std::string, std::string>> oddMembers{
        {"slots", "1e999"},
        {"slots", "99999999999999999999999999"},
        {"cold_remaining_ms", "-0.0"},
        {"call_seq", "18446744073709551615"},
        {"address", "\"127.0.0.1:0\""},
        {"address", "\"127.0.0.1:4294967377\""},
        {"address", "\"engine\\u0000-1:80\""},
    };
    for (const auto &[member, value] : oddMembers) {
        checkOddObject("servers", "i-foreign", foreignObject(member, value));
    }
    checkOddObject("servers", "i-foreign", R"({"metadata":{"name":["i"]},"spec":null})");
    checkOddObject("servers", "i-foreign", R"({"metadata":{"name":""},"spec":[]})");
    checkOddObject("servers", "i-foreign", makeObjectText(std::string(900'000, 'x'), "{}"));
}

// Guards against a name that adds header fields to the requests of callers.
BOOST_AUTO_TEST_CASE(a_name_with_line_breaks_adds_no_header_fields)
{
    RelayFleet fleet;
    auto &target = fleet.addTarget("app");
    fleet.store.remove("servers", target.id());
    const CallerRequest request;
    const auto entry = RelayFleet::makeEntry(target, "app").dump();
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        fleet.store.putRaw("servers", "i-odd", makeObjectText(target.id() + "\\r\\nX-Injected: yes", entry));
        co_await net::sleepFor(PropagationTime);
        static_cast<void>(co_await fleet.send(request));
    });
    for (const auto &started : target.startedRequests()) {
        BOOST_TEST(started.headers.find("X-Injected") == nullptr);
    }
}

// Guards against lists that end, or are never read, at an object that cannot be read or has an unusual name: targets on
// later pages were unknown.
BOOST_AUTO_TEST_CASE(lists_continue_after_pages_of_odd_objects)
{
    const std::vector<std::pair<std::string, std::string>> oddObjects{
        {"a-deep", makeObjectText("a-deep", deepArray())},
        {"a-number", makeObjectText("a-number", "1e999")},
        {"a b", makeObjectText("a b", "{}")},
        {"a&since_rev=z", makeObjectText("a&since_rev=z", "{}")},
        {"a%41", makeObjectText("a%41", "{}")},
        {"a\r\nX: y", makeObjectText("a\\r\\nX: y", "{}")},
        {"a\xC3\xA9", makeObjectText("a\xC3\xA9", "{}")},
    };
    for (const auto &[name, object] : oddObjects) {
        RelayFleet fleet;
        fleet.store.pageItems = 1;
        auto &target = fleet.addTarget("app");
        for (const auto *kind : {"servers", "evacuations", "config"}) {
            fleet.store.putRaw(kind, name, object); // Before all others in the order of names.
        }
        fleet.evacuate("hall-z");
        const CallerRequest request;
        CallerAnswer answer;
        double evacuated = 0;
        fleet.run([&]() -> net::Task<> {
            const auto until = core::now() + MaxPropagationTime;
            while (core::now() < until && (answer.status != 200 || evacuated < 2)) {
                answer = co_await fleet.send(request);
                evacuated = co_await fleet.metric("evacuations_heard_total");
                co_await net::sleepFor(absl::Milliseconds(20));
            }
        });
        BOOST_TEST(answer.status == 200, "a list with the name " << name);
        BOOST_TEST(evacuated == 2, "evacuations after the name " << name);
        BOOST_TEST(target.startedRequests().size() >= 1U);
    }
}

// Guards against daemons that never follow the store again after an answer with members of unexpected types.
BOOST_AUTO_TEST_CASE(answers_with_odd_members_do_not_stop_the_following)
{
    const std::vector<std::pair<std::string, nlohmann::json>> oddMembers{
        {"more", 1},        {"more", "no"}, {"more", nullptr}, {"at", nullptr}, {"at", -7},          {"at", 1e30},
        {"at", UINT64_MAX}, {"at", "9"},    {"gone", "no"},    {"gone", 0},     {"events", nullptr}, {"items", 7},
    };
    for (const auto &odd : oddMembers) {
        const auto &member = odd.first;
        const auto &value = odd.second;
        // Flags stay odd, as in events that are sent again and again; other answers are odd for some time only.
        const bool isFlag = member == "more" || member == "gone";
        RelayFleet fleet;
        fleet.addTarget("app");
        const CallerRequest request;
        bool followed = false;
        const auto edit = [&](nlohmann::json &body) {
            if (member != "gone" && body.contains(member)) {
                body[member] = value;
            }
            for (auto &event : member == "gone" && body.contains("events") ? body["events"] : body["none"]) {
                event["gone"] = event["gone"] == true ? event["gone"] : value;
            }
            body.erase("none");
        };
        fleet.run([&]() -> net::Task<> {
            if (isFlag) {
                fleet.store.editAnswer = edit;
            }
            co_await fleet.waitUntilReady();
            fleet.store.editAnswer = edit;
            fleet.addTarget("app");
            co_await net::sleepFor(PropagationTime);
            if (!isFlag) {
                fleet.store.editAnswer = nullptr;
            }
            fleet.store.remove("servers", fleet.targets.front()->id());
            const auto &added = *fleet.targets.back();
            const auto until = core::now() + MaxPropagationTime;
            while (core::now() < until && !followed) {
                const auto answer = co_await fleet.send(request);
                followed = answer.status == 200 && !added.startedRequests().empty();
                co_await net::sleepFor(absl::Milliseconds(20));
            }
        });
        BOOST_TEST(followed, member << ": " << value);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
