//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the load view and of daemons that decide alone
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "relay_state.h"

#include "spurlug/control/scheduler_client.h"
#include "spurlug/core/text.h"
#include "spurlug/membership/load_view_codec.h"
#include "spurlug/overload/load_view_publisher.h"
#include "spurlug/relay/fleet_membership.h"
#include "spurlug/relay/request_progress.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <numeric>

namespace
{

using namespace spurlug;
using namespace spurlug::relay;
using namespace spurlug::test;
using overload::LoadView;
using overload::ViewVerdict;

const core::Time WallTime = absl::FromUnixSeconds(1'800'000'000);

/// Returns a view of 300 daemons that together drain `perSecond` short prompts a second while others wait.
LoadView view(std::uint64_t schedulerStart, std::uint32_t number, double perSecond = 100,
              core::Duration age = absl::ZeroDuration())
{
    LoadView result;
    result.schedulerStart = schedulerStart;
    result.number = number;
    result.kinds[0] = {1000, absl::Seconds(12), perSecond};
    result.kinds[1] = {100, absl::Seconds(30), 27'000};
    result.daemons = 300;
    result.age = age;
    return result;
}

std::size_t encodedSize(const LoadView &view)
{
    wire::LoadView out;
    membership::writeLoadView(view, out);
    return out.ByteSizeLong();
}

/// A daemon with one short prompt that waits to be placed without a scheduler.
struct LoneDaemon
{
    LoneDaemon(net::Loop &loop, metrics::Metrics &metrics, const std::string &vm, settings::FeatureMode admission)
    {
        settings.vm = vm;
        settings.peerAddress = {"127.0.0.1", 1};
        settings.controlAddress = {"127.0.0.1", 2};
        settings.overload.admission = admission;
        context = std::make_unique<RelayContext>(loop, settings, metrics);
        const auto table = chatTable(absl::Milliseconds(300), absl::Milliseconds(250));
        context->activateConfiguration(table, "{}", "test", at(0));
        request = std::make_unique<RequestProgress>(*context, shortPrompt(), at(0));
        BOOST_REQUIRE(!request->authorise(at(0)));
        query = request->query(at(0));
    }

    /// \returns Whether its request may be placed now; another one then takes its place.
    bool admits(core::Time now)
    {
        const bool may = request->mayDecideAlone(query, now);
        if (may) {
            request->noteDecidedAlone(query, now);
        }
        return may;
    }

    settings::RelaySettings settings;
    std::unique_ptr<RelayContext> context;
    std::unique_ptr<RequestProgress> request;
    TargetQuery query;
};

/// 300 daemons of which each always has a waiting request.
struct LoneFleet
{
    static constexpr std::int64_t TickMs = 10;
    static constexpr std::size_t TicksPerSecond = 100;

    LoneFleet()
    {
        for (int i = 0; i < 300; ++i) {
            daemons.push_back(
                std::make_unique<LoneDaemon>(loop, metrics, core::cat("vm-", i), settings::FeatureMode::On));
        }
    }

    /// Gives the view of a function to each daemon.
    void take(const std::function<LoadView(std::size_t daemon)> &viewOf, std::int64_t ms)
    {
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            daemons[i]->context->takeLoadView(viewOf(i), at(ms));
        }
    }

    /// Lets the first `count` daemons decide alone. \returns Admissions in each tick.
    std::vector<int> run(std::int64_t fromMs, std::int64_t toMs, std::size_t count = 300)
    {
        std::vector<int> admitted;
        for (auto ms = fromMs; ms < toMs; ms += TickMs) {
            admitted.push_back(
                static_cast<int>(std::count_if(daemons.begin(), daemons.begin() + static_cast<std::ptrdiff_t>(count),
                                               [ms](const auto &daemon) { return daemon->admits(at(ms)); })));
        }
        return admitted;
    }

    net::Loop loop;
    metrics::Metrics metrics;
    std::vector<std::unique_ptr<LoneDaemon>> daemons;
};

/// Least and most admissions within any window of `ticks` ticks.
std::pair<int, int> extremes(const std::vector<int> &admitted, std::size_t ticks)
{
    std::pair<int, int> result{std::numeric_limits<int>::max(), 0};
    for (std::size_t i = 0; i + ticks <= admitted.size(); ++i) {
        const auto begin = admitted.begin() + static_cast<std::ptrdiff_t>(i);
        const auto sum = std::accumulate(begin, begin + static_cast<std::ptrdiff_t>(ticks), 0);
        result = {std::min(result.first, sum), std::max(result.second, sum)};
    }
    return result;
}

/// Checks that no window of more than a second admits more than twice the capacity, and that none admits nothing.
void checkBounds(const std::vector<int> &admitted, std::size_t capacityPerSecond)
{
    for (const std::size_t ticks : {101, 150, 200}) {
        const auto [least, most] = extremes(admitted, ticks);
        BOOST_TEST(least > 0);
        BOOST_TEST(static_cast<std::size_t>(most) <= 2 * capacityPerSecond * ticks / LoneFleet::TicksPerSecond);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_view)

/// Guards against a broken or hostile datagram that disables admission or outranks all later views.
BOOST_AUTO_TEST_CASE(impossible_views_are_rejected_and_change_nothing)
{
    const std::vector<std::function<void(LoadView &)>> faults{
        [](LoadView &v) { v.schedulerStart = 0; },
        [](LoadView &v) {
            v.schedulerStart = static_cast<std::uint64_t>(absl::ToUnixNanos(WallTime + absl::Seconds(61)));
        },
        [](LoadView &v) { v.number = 0; },
        [](LoadView &v) { v.daemons = 0; },
        [](LoadView &v) { v.age = absl::Seconds(-1); },
        [](LoadView &v) { v.age = absl::Seconds(3); },
        [](LoadView &v) { v.kinds[0].drainPerSecond = -1; },
        [](LoadView &v) { v.kinds[1].drainPerSecond = std::numeric_limits<double>::quiet_NaN(); },
        [](LoadView &v) { v.kinds[1].drainPerSecond = std::numeric_limits<double>::infinity(); },
        [](LoadView &v) { v.kinds[0].expectedWait = absl::Seconds(-1); },
        [](LoadView &v) { v.kinds[0].expectedWait = absl::InfiniteDuration(); },
        [](LoadView &v) { v.excesses.resize(LoadView::MaxExcesses + 1); },
        [](LoadView &v) {
            v.excesses.push_back({1, absl::Seconds(-1)});
        },
    };
    overload::LoadViewStore store(absl::Seconds(3));
    BOOST_TEST((store.accept(view(5, 5), at(0), WallTime) == ViewVerdict::Accepted));
    for (std::size_t i = 0; i < faults.size(); ++i) {
        auto faulty = view(5, 6);
        faults[i](faulty);
        BOOST_TEST((store.accept(faulty, at(0), WallTime) == ViewVerdict::Impossible), "fault " << i);
        BOOST_TEST(store.newest(at(0))->number == 5U);
    }
    const auto soon = static_cast<std::uint64_t>(absl::ToUnixNanos(WallTime + absl::Seconds(59)));
    BOOST_TEST((store.accept(view(soon, 1), at(0), WallTime) == ViewVerdict::Accepted));
}

/// Guards against delayed datagrams and a second scheduler that make a daemon switch back and forth between views, and
/// against a dead scheduler whose last view blocks those of its successor.
BOOST_AUTO_TEST_CASE(the_newest_view_counts_until_it_is_too_old)
{
    overload::LoadViewStore store(absl::Seconds(3));
    BOOST_TEST((store.accept(view(2, 7, 100, absl::Seconds(1)), at(0), WallTime) == ViewVerdict::Accepted));
    BOOST_TEST((store.accept(view(2, 7), at(10), WallTime) == ViewVerdict::Known));
    BOOST_TEST((store.accept(view(2, 6), at(10), WallTime) == ViewVerdict::Known));
    BOOST_TEST((store.accept(view(1, 99), at(10), WallTime) == ViewVerdict::Outdated));
    BOOST_TEST((store.newest(at(500))->age == absl::Milliseconds(1500))); // It was a second old when it arrived.
    BOOST_TEST(store.newest(at(1999)).has_value());
    BOOST_TEST(!store.newest(at(2000)).has_value());
    BOOST_TEST((store.accept(view(1, 100), at(2000), WallTime) == ViewVerdict::Accepted));
    BOOST_TEST((store.accept(view(3, 1), at(2001), WallTime) == ViewVerdict::Accepted));
}

/// Guards against views that cost a daemon of a large fleet more than 200 bytes/s.
BOOST_AUTO_TEST_CASE(views_are_small_and_rare)
{
    std::vector<overload::ShareExcess> excesses;
    for (std::uint32_t i = 0; i < 12; ++i) {
        excesses.push_back({0xffff0000U + i, absl::Seconds(i)});
    }
    overload::LoadViewPublisher publisher(static_cast<std::uint64_t>(absl::ToUnixNanos(WallTime)));
    const auto kinds = view(1, 1).kinds;
    std::size_t bytes = 0;
    std::uint32_t lastNumber = 0;
    for (int ms = 0; ms < 10'000; ms += 20) {
        if (const auto published = publisher.publish("vm", kinds, 985, excesses, at(ms))) {
            BOOST_TEST(published->excesses.size() == LoadView::MaxExcesses);
            BOOST_TEST((published->excesses.front().excess == absl::Seconds(11))); // The largest one.
            BOOST_TEST(published->number > lastNumber);
            BOOST_TEST(encodedSize(*published) <= 96U);
            lastNumber = published->number;
            bytes += encodedSize(*published);
        }
    }
    BOOST_TEST(bytes / 10 <= 200U);
    BOOST_TEST(bytes > 0U);
    for (std::size_t i = 0; i < 3 * overload::LoadViewPublisher::MaxDaemons; ++i) { // The table is bounded.
        const bool published = publisher.publish(core::cat("vm-", i), kinds, 985, {}, at(20'000)).has_value();
        BOOST_TEST(published == (i < overload::LoadViewPublisher::MaxDaemons));
    }
    BOOST_TEST(publisher.publish("vm", kinds, 985, {}, at(20'500)).has_value());
}

/// Guards against daemons that never learn the view, and against views while admission is off.
BOOST_AUTO_TEST_CASE(views_travel_with_queued_replies_and_answers_to_heartbeats)
{
    for (const auto mode : {settings::FeatureMode::On, settings::FeatureMode::Off}) {
        const bool active = mode == settings::FeatureMode::On;
        net::Loop loop;
        metrics::Metrics metrics;
        LoneDaemon daemon(loop, metrics, "scheduler", mode);
        control::Scheduler scheduler(*daemon.context);
        control::PlacementRequest ask;
        ask.vm = "vm";
        ask.service = "model";
        ask.prompt = {5000, 500};
        const auto askAt = [&](std::int64_t ms) {
            ++ask.requestNumber;
            return scheduler.handleRequest(ask, at(ms));
        };
        const auto reply = askAt(0); // No engine is listed, so the request is queued.
        BOOST_TEST((reply.kind == control::ReplyKind::Queued));
        BOOST_TEST(reply.load.has_value() == active);
        BOOST_TEST(!askAt(499).load.has_value());
        BOOST_TEST((askAt(500).load.has_value()) == active);
        scheduler.removeExpired(at(500));
        BOOST_TEST((metrics.prometheusText().find("backlog_short 3") != std::string::npos) == active);

        LoneDaemon receiver(loop, metrics, "vm", mode);
        control::Scheduler ownScheduler(*receiver.context);
        control::SchedulerClient client(*receiver.context, ownScheduler, [](const auto &, const auto &) {});
        client.handleReply(reply, at(0));
        BOOST_TEST(receiver.context->loadViews.newest(at(0)).has_value() == active);

        std::vector<membership::Heartbeat> sent;
        FleetMembership registrar(*daemon.context, [&sent](const core::Address &, const std::string &datagram) {
            const auto heartbeat = membership::readHeartbeat(datagram, "");
            BOOST_REQUIRE(heartbeat.has_value());
            sent.push_back(*heartbeat);
        });
        membership::Heartbeat question;
        question.sender.vm = "other";
        question.sender.incarnation = 1;
        question.sender.peerAddress = {"127.0.0.1", 3};
        question.sender.rpcAddress = {"127.0.0.1", 4};
        question.wantsReply = true;
        const auto answerAt = [&](std::int64_t ms, bool wantsLoad) {
            ++question.sender.sequence;
            question.wantsLoad = wantsLoad;
            sent.clear();
            registrar.handleHeartbeat(question, at(ms));
            BOOST_REQUIRE(!sent.empty());
            return sent.back().load;
        };
        BOOST_TEST(answerAt(600, true).has_value() == active);
        BOOST_TEST(!answerAt(610, false).has_value());
        BOOST_TEST(!answerAt(1500, true).has_value()); // The view is a second old.
    }
}

/// Guards against requests that wait for ever, or although nothing waits before them, while no scheduler is reached.
BOOST_AUTO_TEST_CASE(only_new_requests_behind_others_need_a_token)
{
    net::Loop loop;
    metrics::Metrics metrics;
    LoneDaemon daemon(loop, metrics, "vm", settings::FeatureMode::On);
    BOOST_TEST(daemon.admits(at(0))); // All daemons were killed: no view is known.
    auto idle = view(1, 1);
    idle.kinds[0].waiting = 0;
    daemon.context->takeLoadView(idle, at(0));
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(daemon.admits(at(1)));
    }
    auto unknownRate = view(1, 2, 0);
    daemon.context->takeLoadView(unknownRate, at(1));
    BOOST_TEST(daemon.admits(at(1)));
    daemon.context->takeLoadView(view(1, 3), at(1));
    for (int i = 0; i < 10; ++i) {
        static_cast<void>(daemon.admits(at(2)));
    }
    BOOST_TEST(!daemon.admits(at(20)));
    daemon.context->targets.put(entry("engine"));
    const auto chosen = daemon.request->choose(at(20));
    BOOST_REQUIRE(chosen.has_value());
    daemon.request->beginAttempt(*chosen, "", at(20));
    daemon.request->endAttempt(core::Outcome::MayHaveRun, core::Reason::TargetFailed, std::nullopt, "", at(30));
    BOOST_TEST(daemon.admits(at(30)));
    LoneDaemon inactive(loop, metrics, "vm", settings::FeatureMode::Off);
    inactive.context->takeLoadView(view(1, 1), at(0));
    BOOST_TEST(!inactive.context->loadViews.newest(at(0)).has_value());
}

/// Guards against a daemon that admits no long prompts for minutes after one that cost many times its part.
BOOST_AUTO_TEST_CASE(a_quiet_time_repays_the_debt_of_a_large_prompt)
{
    overload::LocalAdmission admission(0.5);
    const auto kind = overload::Kind::LongGaps;
    const auto mayAdmit = [&](std::int64_t ms) { return admission.mayAdmit(kind, 90, view(1, 1), at(ms)); };
    static_cast<void>(mayAdmit(0));
    admission.noteAdmitted(kind, 30'000, view(1, 1)); // Of 90 ms each second.
    BOOST_TEST(!mayAdmit(10'000));
    BOOST_TEST(!mayAdmit(400'000));
    BOOST_TEST(!mayAdmit(400'800));
    BOOST_TEST(mayAdmit(401'600)); // 1.5 requests were left.
}

/// Guards against daemons that overload the engines, or stop serving, when the scheduler dies.
BOOST_AUTO_TEST_CASE(daemons_that_decide_alone_admit_no_more_than_twice_the_capacity)
{
    LoneFleet fleet;
    // Views of ages from 0 to 1 s, with rates up to 20 % off.
    const auto viewOf = [](std::size_t i) {
        return view(1, static_cast<std::uint32_t>(i % 11 + 1), 80 + static_cast<double>(i % 5) * 10,
                    absl::Milliseconds(i % 11 * 100));
    };
    fleet.take(viewOf, 0);
    checkBounds(fleet.run(0, 2000), 100);
    BOOST_TEST(fleet.run(3000, 3010).front() == 300); // The views are gone: each daemon decides by its own work.

    LoneFleet idle; // A quiet time is made up for by one second, not by more.
    idle.take(viewOf, 0);
    static_cast<void>(idle.run(0, 10));
    idle.take([](std::size_t) { return view(1, 20); }, 60'000);
    checkBounds(idle.run(60'000, 62'500), 100);
}

/// Guards against two schedulers whose views add up, and against too many requests while a failure domain is cut off
/// from the scheduler and after it has come back.
BOOST_AUTO_TEST_CASE(two_schedulers_and_a_domain_that_is_cut_off_do_not_double_the_rate)
{
    LoneFleet fleet;
    fleet.take([](std::size_t i) { return view(1 + i % 2, 1); }, 0);
    fleet.take([](std::size_t i) { return view(2 - i % 2, 2); }, 50);
    checkBounds(fleet.run(50, 2950), 100);

    LoneFleet parted; // A third of the daemons; the scheduler continues to grant 100 a second to the others.
    parted.take([](std::size_t) { return view(1, 1); }, 0);
    auto admitted = parted.run(0, 2900, 100);
    for (auto &count : admitted) {
        ++count;
    }
    checkBounds(admitted, 100);
    parted.take([](std::size_t) { return view(1, 2); }, 2900); // Back; the scheduler then dies.
    checkBounds(parted.run(2900, 5800), 100);
}

BOOST_AUTO_TEST_SUITE_END()
