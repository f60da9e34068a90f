//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of requests that crash the targets that run them
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// The tests guard against request content that crashes one engine after another. In a fleet of eight daemons and 18
// engines, two requests crashed 42 and 43 engines in one day, and each crash lost ten to fourteen other requests. Each
// engine crashed within a quarter of a second after it began to run the request. The caller repeated the request under
// new ids at any daemon, and each daemon sent it to two engines. The daemons tracked crashes only per request id and
// only while the request ran, so none knew that the same content had crashed engines before, here or at another
// daemon. The tests do the same with four daemons.
//
//----------------------------------------------------------------------------------------------------------------------

#include "relay_fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

namespace spurlug::test
{

namespace
{

constexpr std::size_t DaemonCount = 4;
/// A request that crashed this many targets is not sent again.
constexpr std::size_t MaxCrashes = 3;
/// Interval between two copies: far longer than daemons need to exchange crash reports, far shorter than callers wait.
constexpr auto CopyInterval = absl::Milliseconds(100);

/// Targets of one service that crash on one request body. A new target with a new id replaces each crashed one.
class CrashingService
{
public:
    CrashingService(RelayFleet &fleet, std::string service, int targets, std::string body)
        : m_fleet(fleet)
        , m_service(std::move(service))
        , m_body(std::move(body))
    {
        for (int i = 0; i < targets; ++i) {
            addTarget();
        }
    }

    [[nodiscard]] std::size_t crashCount() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_targets.begin(), m_targets.end(), [](const auto *target) { return target->hasCrashed(); }));
    }

    [[nodiscard]] const std::vector<FakeTarget *> &targets() const noexcept
    {
        return m_targets;
    }

    /// Removes the entries of the crashed targets and starts as many new targets.
    void replaceCrashed()
    {
        const auto previousTargets = m_targets;
        for (auto *target : previousTargets) {
            if (target->hasCrashed() && m_replaced.insert(target).second) {
                m_fleet.store.remove("servers", target->id());
                addTarget();
            }
        }
    }

    void addTarget()
    {
        auto &target = m_fleet.addTarget(m_service);
        target.crashingBody = m_body;
        target.behaviour.eventCount = m_service == "model" ? 3 : 0;
        m_targets.push_back(&target);
    }

private:
    RelayFleet &m_fleet;
    const std::string m_service;
    const std::string m_body;
    std::vector<FakeTarget *> m_targets;
    std::set<FakeTarget *> m_replaced;
};

CallerRequest chatRequest(std::string body)
{
    CallerRequest request;
    request.path = "/chat/1";
    request.promptTokens = 1000;
    request.body = std::move(body);
    return request;
}

CallerRequest safeRequest(std::string body)
{
    CallerRequest request;
    request.path = "/safe/1";
    request.body = std::move(body);
    return request;
}

/// Sends copies of a request to all daemons in turn, each after the answer to the previous one.
net::Task<std::vector<CallerAnswer>> sendCopies(RelayFleet &fleet, CrashingService &service,
                                                const CallerRequest &request, int copies)
{
    std::vector<CallerAnswer> answers;
    for (int i = 0; i < copies; ++i) {
        auto answer = co_await fleet.send(request, static_cast<std::size_t>(i) % DaemonCount);
        answers.push_back(std::move(answer));
        service.replaceCrashed();
        co_await net::sleepFor(CopyInterval);
    }
    co_return answers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_requests)

BOOST_AUTO_TEST_CASE(a_prompt_that_crashes_engines_is_blocked_at_all_daemons_after_the_third_crash)
{
    RelayFleet fleet(DaemonCount, Peers::Connected);
    CrashingService engines(fleet, "model", 6, "the end");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await fleet.waitUntilConnected();
        const auto answers = co_await sendCopies(fleet, engines, chatRequest("the end"), 12);
        BOOST_TEST(engines.crashCount() == MaxCrashes);
        const auto &last = answers.back();
        BOOST_TEST(last.status == 503); // The request did not run and will not run.
        BOOST_TEST(std::stod("0" + std::string(last.head.headers.value("Retry-After"))) >= 10);
        for (std::size_t daemon = 0; daemon < DaemonCount; ++daemon) {
            const auto other = co_await fleet.send(chatRequest("another question"), daemon);
            BOOST_TEST(other.status == 200);
        }
    });
}

BOOST_AUTO_TEST_CASE(a_plain_request_that_crashes_targets_is_blocked_at_all_daemons_after_the_third_crash)
{
    RelayFleet fleet(DaemonCount, Peers::Connected);
    CrashingService service(fleet, "app", 5, "the end");
    fleet.run([&]() -> net::Task<> {
        co_await fleet.waitUntilReady();
        co_await fleet.waitUntilConnected();
        const auto answers = co_await sendCopies(fleet, service, safeRequest("the end"), 12);
        BOOST_TEST(service.crashCount() == MaxCrashes);
        BOOST_TEST(answers.back().status == 503);
        const auto other = co_await fleet.send(safeRequest("another question"));
        BOOST_TEST(other.status == 200);
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace spurlug::test
