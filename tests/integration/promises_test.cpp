//----------------------------------------------------------------------------------------------------------------------
// spurlug: integration tests of guarantees that must hold under failures
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "fleet.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <httplib.h>
#include <thread>

using support::Answer;
using support::eventually;
using support::Fleet;
using support::FleetShape;

namespace
{

constexpr int LongAnswer = 400;

/// Returns the name of an engine that has a stream; empty if none has.
std::string busyEngine(Fleet &fleet)
{
    for (const auto &engine : fleet.engines()) {
        if (fleet.engineState(engine)["streams"] > 0) {
            return engine;
        }
    }
    return {};
}

/// A streamed completion that runs in a thread of its own.
class Background
{
public:
    Background(Fleet &fleet, const std::string &vm, std::string prompt, int tokens,
               const std::map<std::string, std::string> &headers = {})
        : m_thread([this, &fleet, vm, prompt = std::move(prompt), tokens, headers] {
            m_answer = fleet.complete(vm, prompt, tokens, true, headers);
        })
    { }
    ~Background()
    {
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }
    const Answer &wait()
    {
        m_thread.join();
        return m_answer;
    }

private:
    Answer m_answer;
    std::thread m_thread;
};

int runsOf(Fleet &fleet, const std::string &workId)
{
    return support::call(fleet.process("service").address("listen"), "GET", "/standin/runs").json().value(workId, 0);
}

Answer callService(Fleet &fleet, const std::string &method, const std::string &workId)
{
    return support::call(fleet.caller("domain-a-1"), method, "/services/service/work", "",
                         {{"Authorization", std::string("Bearer ") + Fleet::Key}, {"Work-Id", workId}});
}

bool allMemoryFree(Fleet &fleet)
{
    for (const auto &engine : fleet.engines()) {
        const auto state = fleet.engineState(engine);
        if (state["freeTokens"] != state["kvTokens"] || state["reservations"] != 0) {
            return false;
        }
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(promises)

BOOST_AUTO_TEST_CASE(a_killed_engine_s_stream_goes_on_elsewhere_byte_for_byte)
{
    Fleet fleet;
    const auto prompt = Fleet::promptOf(1000);
    Background running(fleet, "domain-a-1", prompt, LongAnswer);
    std::string engine;
    BOOST_REQUIRE(eventually([&] { return fleet.metric("domain-a-1", "tokens_relayed_total") > 20; }));
    engine = busyEngine(fleet);
    BOOST_REQUIRE(!engine.empty());
    fleet.process(engine).kill();
    const auto &answer = running.wait();
    BOOST_TEST(answer.text() == Fleet::expected(prompt, LongAnswer));
    BOOST_TEST(answer.streamEnded());
    BOOST_TEST(fleet.metric("domain-a-1", "streams_resumed_total") == 1);
}

BOOST_AUTO_TEST_CASE(a_stalled_stream_goes_on_elsewhere)
{
    FleetShape shape;
    shape.proxyEngines = true;
    Fleet fleet(shape);
    const auto prompt = Fleet::promptOf(1000);
    Background running(fleet, "domain-a-1", prompt, LongAnswer);
    BOOST_REQUIRE(eventually([&] { return fleet.metric("domain-a-1", "tokens_relayed_total") > 20; }));
    fleet.setFaults(busyEngine(fleet), {{"stallAfter", 0}});
    const auto &answer = running.wait();
    BOOST_TEST(answer.text() == Fleet::expected(prompt, LongAnswer));
    BOOST_TEST(answer.streamEnded());
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_not_asked_for_again_unless_it_may_be)
{
    FleetShape shape;
    shape.proxyService = true;
    Fleet fleet(shape);
    fleet.setFaults("service", {{"loseAnswer", true}});
    const auto once = callService(fleet, "POST", "once");
    BOOST_TEST(once.status == 502);
    BOOST_TEST(once.outcome() == "may_have_run");
    BOOST_TEST(runsOf(fleet, "once") == 1);
    const auto repeated = callService(fleet, "GET", "again");
    BOOST_TEST(repeated.outcome() == "may_have_run");
    BOOST_TEST(runsOf(fleet, "again") == 4);
    fleet.setFaults("service", nlohmann::json::object());
    BOOST_TEST(eventually([&] { return callService(fleet, "GET", "later").status == 200; }));
}

BOOST_AUTO_TEST_CASE(not_run_is_told_only_when_it_did_not_run)
{
    FleetShape shape;
    shape.proxyService = true;
    Fleet fleet(shape);
    fleet.process("service-proxy").kill();
    const auto refused = callService(fleet, "POST", "refused");
    BOOST_TEST(refused.outcome() == "not_run");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(runsOf(fleet, "refused") == 0);
    BOOST_TEST(fleet.metric("domain-a-1", "retries_total{reason=\"connect_failed\"}") == 3);
}

BOOST_AUTO_TEST_CASE(a_keyed_request_runs_once_whichever_daemon_gets_it)
{
    FleetShape shape;
    shape.proxyService = true;
    Fleet fleet(shape);
    const auto send = [&](const std::string &vm, const std::string &key, const std::string &workId) {
        return support::call(
            fleet.caller(vm), "POST", "/services/service/notify", "",
            {{"Authorization", std::string("Bearer ") + Fleet::Key}, {"Work-Id", workId}, {"Idempotency-Key", key}});
    };
    BOOST_TEST(send("domain-a-1", "k1", "first").status == 200);
    for (const auto &vm : fleet.daemons()) {
        const auto repeated = send(vm, "k1", "first");
        BOOST_TEST(repeated.status == 409);
        BOOST_TEST(repeated.errorCode() == "already_claimed");
        BOOST_TEST(repeated.outcome() == "not_run");
    }
    BOOST_TEST(runsOf(fleet, "first") == 1);

    fleet.setFaults("service", {{"loseAnswer", true}});
    BOOST_TEST(send("domain-a-1", "k2", "lost").outcome() == "may_have_run");
    fleet.setFaults("service", nlohmann::json::object());
    BOOST_TEST(send("domain-a-2", "k2", "lost").errorCode() == "already_claimed");
    BOOST_TEST(runsOf(fleet, "lost") == 1);

    fleet.setPlatformFaults({{"loseAnswers", 2}});
    BOOST_TEST(send("domain-a-2", "k3", "claim-answer-lost").status == 200);

    fleet.setPlatformFaults({{"down", true}});
    const auto unavailable = send("domain-a-1", "k4", "down");
    BOOST_TEST(unavailable.errorCode() == "claim_unavailable");
    BOOST_TEST(unavailable.outcome() == "not_run");
    BOOST_TEST(runsOf(fleet, "down") == 0);
    fleet.setPlatformFaults({{"down", false}});
    BOOST_TEST(send("domain-a-2", "k4", "down").status == 200);

    fleet.process("service-proxy").kill();
    BOOST_TEST(send("domain-a-1", "k5", "never").outcome() == "not_run");
    BOOST_TEST(send("domain-a-2", "k5", "never").errorCode() != "already_claimed");
}

BOOST_AUTO_TEST_CASE(a_leaving_target_gets_nothing_new_and_finishes_what_it_has)
{
    Fleet fleet;
    const auto prompt = Fleet::promptOf(1000);
    Background running(fleet, "domain-a-1", prompt, LongAnswer);
    BOOST_REQUIRE(eventually([&] { return !busyEngine(fleet).empty(); }));
    const auto leaving = busyEngine(fleet);
    static_cast<void>(support::call(fleet.process(leaving).address("listen"), "POST", "/standin/leaving"));
    for (const auto &vm : fleet.daemons()) {
        BOOST_TEST(eventually([&] {
            const auto status = fleet.status(vm);
            for (const auto &target : status["targets"]) {
                if (target["id"] == leaving) {
                    return target["condition"] == "leaving";
                }
            }
            return false;
        }));
        for (int i = 0; i < 10; ++i) {
            const auto answer = fleet.complete(vm, Fleet::promptOf(1000), 1);
            const auto id = answer.headers.at("Request-Id");
            nlohmann::json decision;
            BOOST_REQUIRE(eventually([&] {
                decision = support::call(fleet.admin(vm), "GET", "/explain/" + id).json();
                return decision.contains("attempts");
            }));
            BOOST_TEST(decision["attempts"].size() == 1);
            BOOST_TEST(decision["attempts"][0]["chosen"][0] != leaving);
        }
    }
    BOOST_TEST(running.wait().text() == Fleet::expected(prompt, LongAnswer));
}

BOOST_AUTO_TEST_CASE(a_planned_stop_cuts_no_request)
{
    Fleet fleet;
    const auto prompt = Fleet::promptOf(1000);
    Background running(fleet, "domain-a-1", prompt, 4 * LongAnswer);
    BOOST_REQUIRE(eventually([&] { return fleet.metric("domain-a-1", "tokens_relayed_total") > 5; }));
    fleet.process("domain-a-1").signal(SIGTERM);
    BOOST_TEST(eventually([&] { return support::call(fleet.admin("domain-a-1"), "GET", "/ready").status == 503; }));
    BOOST_TEST(running.wait().text() == Fleet::expected(prompt, 4 * LongAnswer));
    BOOST_TEST(fleet.process("domain-a-1").wait() == 0);
    BOOST_TEST(fleet.complete("domain-a-2", prompt, 3).text() == Fleet::expected(prompt, 3));
}

BOOST_AUTO_TEST_CASE(a_prompt_larger_than_two_engines_runs_on_a_group)
{
    FleetShape shape;
    shape.enginesEach = 4;
    shape.engineTokens = 20'000;
    shape.longThresholdTokens = 8'000;
    Fleet fleet(shape);
    const auto prompt = Fleet::promptOf(50'000);
    const auto answer = fleet.complete("domain-a-1", prompt, 30);
    BOOST_TEST(answer.text() == Fleet::expected(prompt, 30));
    const auto id = answer.headers.at("Request-Id");
    nlohmann::json decision;
    BOOST_REQUIRE(eventually([&] {
        decision = support::call(fleet.admin("domain-a-1"), "GET", "/explain/" + id).json();
        return decision.contains("attempts");
    }));
    BOOST_TEST(decision["attempts"][0]["chosen"].size() == 3);
    BOOST_TEST(eventually([&] { return allMemoryFree(fleet); }));
    const auto tooLong = fleet.complete("domain-a-1", Fleet::promptOf(90'000), 30);
    BOOST_TEST(tooLong.errorCode() == "prompt_too_long");
}

BOOST_AUTO_TEST_CASE(memory_comes_back_when_the_daemon_that_reserved_it_dies)
{
    FleetShape shape;
    shape.enginesEach = 3;
    shape.engineTokens = 20'000;
    shape.longThresholdTokens = 8'000;
    Fleet fleet(shape);
    Background running(fleet, "domain-a-1", Fleet::promptOf(45'000), 9'000);
    BOOST_REQUIRE(eventually([&] { return fleet.metric("domain-a-1", "groups_held") == 1; }));
    BOOST_TEST(!allMemoryFree(fleet));
    fleet.process("domain-a-1").kill();
    BOOST_TEST(running.wait().cut);
    BOOST_TEST(eventually([&] { return allMemoryFree(fleet); }));
    const auto prompt = Fleet::promptOf(45'000, "second");
    BOOST_TEST(fleet.complete("domain-a-2", prompt, 5).text() == Fleet::expected(prompt, 5));
}

BOOST_AUTO_TEST_CASE(an_engine_is_told_when_the_caller_is_gone)
{
    Fleet fleet;
    const auto address = fleet.caller("domain-a-1");
    const nlohmann::json body{{"model", "model"}, {"stream", true}, {"max_tokens", 100'000}, {"prompt", "hello"}};
    const auto colon = address.find(':');
    httplib::Client client(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = body.dump();
    request.set_header("Authorization", std::string("Bearer ") + Fleet::Key);
    std::size_t received = 0;
    request.content_receiver = [&](const char *, std::size_t size, std::uint64_t, std::uint64_t) {
        received += size;
        return received < 2000;
    };
    BOOST_TEST(!client.send(request));
    client.stop();
    BOOST_TEST(eventually([&] { return busyEngine(fleet).empty(); }));
    BOOST_TEST(eventually([&] { return fleet.metric("domain-a-1", "failures_total{reason=\"caller_gone\"}") == 1; }));
    BOOST_TEST(eventually([&] { return fleet.metric("domain-a-1", "body_bytes") == 0; }));
}

BOOST_AUTO_TEST_CASE(the_fleet_serves_and_grows_while_the_platform_is_down)
{
    Fleet fleet;
    fleet.setPlatformFaults({{"down", true}});
    const auto prompt = Fleet::promptOf(1000);
    BOOST_TEST(fleet.complete("domain-a-1", prompt, 5).text() == Fleet::expected(prompt, 5));
    // A daemon that starts during the outage gets the configuration from its peers once they contact it.
    const auto peer = fleet.process("domain-a-1").address("peers");
    const auto settings = fleet.writeSettings("domain-a-3", "domain-a", {{"seeds", {peer}}});
    fleet.start("domain-a-3", "spurlugd", {"--settings", settings});
    BOOST_TEST(eventually([&] { return fleet.status("domain-a-3")["state"] == "serving"; }));
    BOOST_TEST(fleet.complete("domain-a-3", prompt, 5).text() == Fleet::expected(prompt, 5));
    fleet.setPlatformFaults({{"down", false}});
    fleet.configuration()["classes"][0]["priority"] = 7;
    const auto [code, output] = fleet.apply();
    BOOST_TEST(code == 0, output);
    BOOST_TEST(eventually([&] { return fleet.status("domain-a-3")["generation"] == 2; }));
}

BOOST_AUTO_TEST_CASE(a_lost_answer_to_a_change_is_found_out)
{
    Fleet fleet;
    fleet.configuration()["classes"][0]["priority"] = 3;
    fleet.setPlatformFaults({{"loseAnswers", 3}});
    const auto [code, output] = fleet.apply();
    BOOST_TEST(code == 0, output);
    BOOST_TEST(output.find("generation 2 is stored") != std::string::npos, output);
    for (const auto &vm : fleet.daemons()) {
        BOOST_TEST(fleet.status(vm)["generation"] == 2);
    }
}

BOOST_AUTO_TEST_CASE(a_bad_change_is_refused_with_every_fault_and_changes_nothing)
{
    Fleet fleet;
    auto good = fleet.configuration();
    fleet.configuration()["pools"][0].erase("model");
    fleet.configuration()["classes"][0]["defaultDeadlineMs"] = -1;
    const auto [code, output] = fleet.apply(false);
    BOOST_TEST(code == 2);
    BOOST_TEST(output.find("/pools/0/model") != std::string::npos, output);
    BOOST_TEST(output.find("/classes/0/defaultDeadlineMs") != std::string::npos, output);
    BOOST_TEST(fleet.status("domain-a-1")["generation"] == 1);
}

BOOST_AUTO_TEST_CASE(a_frozen_daemon_notices_its_own_pause)
{
    Fleet fleet;
    fleet.process("domain-a-2").signal(SIGSTOP);
    BOOST_TEST(eventually([&] { return fleet.status("domain-a-1")["peers"].empty(); }));
    fleet.process("domain-a-2").signal(SIGCONT);
    BOOST_TEST(eventually([&] { return fleet.metric("domain-a-2", "pauses_noticed_total") >= 1; }));
    BOOST_TEST(eventually([&] { return fleet.status("domain-a-1")["peers"].size() == 1; }));
    const auto prompt = Fleet::promptOf(1000);
    BOOST_TEST(fleet.complete("domain-a-2", prompt, 5).text() == Fleet::expected(prompt, 5));
}

BOOST_AUTO_TEST_SUITE_END()
