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
using support::FleetOptions;

namespace
{

constexpr int LongAnswerTokens = 400;

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
class BackgroundCompletion
{
public:
    BackgroundCompletion(Fleet &fleet, const std::string &vm, std::string prompt, int tokens,
                         const std::map<std::string, std::string> &headers = {})
        : m_thread([this, &fleet, vm, prompt = std::move(prompt), tokens, headers] {
            m_answer = fleet.complete(vm, prompt, tokens, true, headers);
        })
    { }
    ~BackgroundCompletion()
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

int runCountOf(Fleet &fleet, const std::string &workId)
{
    return support::call(fleet.process("service").address("listen"), "GET", "/standin/runs").json().value(workId, 0);
}

Answer callService(Fleet &fleet, const std::string &method, const std::string &workId)
{
    return support::call(fleet.callerAddress("domain-a-1"), method, "/services/service/work", "",
                         {{"Authorization", std::string("Bearer ") + Fleet::ApiKey}, {"Work-Id", workId}});
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

BOOST_AUTO_TEST_CASE(a_killed_engine_s_stream_resumes_byte_for_byte_on_another_engine)
{
    Fleet fleet;
    const auto prompt = Fleet::makePrompt(1000);
    BackgroundCompletion running(fleet, "domain-a-1", prompt, LongAnswerTokens);
    std::string engine;
    BOOST_REQUIRE(eventually([&] { return fleet.metric("domain-a-1", "tokens_relayed_total") > 20; }));
    engine = busyEngine(fleet);
    BOOST_REQUIRE(!engine.empty());
    fleet.process(engine).kill();
    const auto &answer = running.wait();
    BOOST_TEST(answer.text() == Fleet::expectedAnswer(prompt, LongAnswerTokens));
    BOOST_TEST(answer.streamEnded());
    BOOST_TEST(fleet.metric("domain-a-1", "streams_resumed_total") == 1);
}

BOOST_AUTO_TEST_CASE(a_stalled_stream_resumes_on_another_engine)
{
    FleetOptions options;
    options.proxyEngines = true;
    Fleet fleet(options);
    // The stream must outlast the search for its engine, which takes some 0.2 s on a busy machine.
    constexpr int AnswerTokens = 10 * LongAnswerTokens;
    const auto prompt = Fleet::makePrompt(1000);
    BackgroundCompletion running(fleet, "domain-a-1", prompt, AnswerTokens);
    BOOST_REQUIRE(eventually([&] { return fleet.metric("domain-a-1", "tokens_relayed_total") > 20; }));
    const auto engine = busyEngine(fleet);
    BOOST_REQUIRE(!engine.empty());
    fleet.setFaults(engine, {{"stallAfter", 0}});
    const auto &answer = running.wait();
    BOOST_TEST(answer.text() == Fleet::expectedAnswer(prompt, AnswerTokens));
    BOOST_TEST(answer.streamEnded());
}

BOOST_AUTO_TEST_CASE(a_request_whose_answer_is_lost_is_retried_only_if_repeatable)
{
    FleetOptions options;
    options.proxyService = true;
    Fleet fleet(options);
    fleet.setFaults("service", {{"loseAnswer", true}});
    const auto once = callService(fleet, "POST", "once");
    BOOST_TEST(once.status == 502);
    BOOST_TEST(once.outcome() == "may_have_run");
    BOOST_TEST(runCountOf(fleet, "once") == 1);
    const auto repeated = callService(fleet, "GET", "again");
    BOOST_TEST(repeated.outcome() == "may_have_run");
    BOOST_TEST(runCountOf(fleet, "again") == 4);
    fleet.setFaults("service", nlohmann::json::object());
    BOOST_TEST(eventually([&] { return callService(fleet, "GET", "later").status == 200; }));
}

BOOST_AUTO_TEST_CASE(not_run_is_reported_only_if_the_request_did_not_run)
{
    FleetOptions options;
    options.proxyService = true;
    Fleet fleet(options);
    fleet.process("service-proxy").kill();
    const auto refused = callService(fleet, "POST", "refused");
    BOOST_TEST(refused.outcome() == "not_run");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(runCountOf(fleet, "refused") == 0);
    BOOST_TEST(fleet.metric("domain-a-1", "retries_total{reason=\"connect_failed\"}") == 3);
}

BOOST_AUTO_TEST_CASE(a_request_with_an_idempotency_key_runs_once_on_any_daemon)
{
    FleetOptions options;
    options.proxyService = true;
    Fleet fleet(options);
    const auto send = [&](const std::string &vm, const std::string &key, const std::string &workId) {
        return support::call(
            fleet.callerAddress(vm), "POST", "/services/service/notify", "",
            {{"Authorization", std::string("Bearer ") + Fleet::ApiKey}, {"Work-Id", workId}, {"Idempotency-Key", key}});
    };
    BOOST_TEST(send("domain-a-1", "k1", "first").status == 200);
    for (const auto &vm : fleet.daemons()) {
        const auto repeated = send(vm, "k1", "first");
        BOOST_TEST(repeated.status == 409);
        BOOST_TEST(repeated.errorCode() == "already_claimed");
        BOOST_TEST(repeated.outcome() == "not_run");
    }
    BOOST_TEST(runCountOf(fleet, "first") == 1);

    fleet.setFaults("service", {{"loseAnswer", true}});
    BOOST_TEST(send("domain-a-1", "k2", "lost").outcome() == "may_have_run");
    fleet.setFaults("service", nlohmann::json::object());
    BOOST_TEST(send("domain-a-2", "k2", "lost").errorCode() == "already_claimed");
    BOOST_TEST(runCountOf(fleet, "lost") == 1);

    fleet.setPlatformFaults({{"loseAnswers", 2}});
    BOOST_TEST(send("domain-a-2", "k3", "claim-answer-lost").status == 200);

    fleet.setPlatformFaults({{"down", true}});
    const auto unavailable = send("domain-a-1", "k4", "down");
    BOOST_TEST(unavailable.errorCode() == "claim_unavailable");
    BOOST_TEST(unavailable.outcome() == "not_run");
    BOOST_TEST(runCountOf(fleet, "down") == 0);
    fleet.setPlatformFaults({{"down", false}});
    BOOST_TEST(send("domain-a-2", "k4", "down").status == 200);

    fleet.process("service-proxy").kill();
    BOOST_TEST(send("domain-a-1", "k5", "never").outcome() == "not_run");
    BOOST_TEST(send("domain-a-2", "k5", "never").errorCode() != "already_claimed");
}

BOOST_AUTO_TEST_CASE(a_draining_target_gets_no_new_requests_and_finishes_its_own)
{
    Fleet fleet;
    const auto prompt = Fleet::makePrompt(1000);
    BackgroundCompletion running(fleet, "domain-a-1", prompt, LongAnswerTokens);
    BOOST_REQUIRE(eventually([&] { return !busyEngine(fleet).empty(); }));
    const auto drainingEngine = busyEngine(fleet);
    static_cast<void>(support::call(fleet.process(drainingEngine).address("listen"), "POST", "/standin/leaving"));
    for (const auto &vm : fleet.daemons()) {
        BOOST_TEST(eventually([&] {
            const auto status = fleet.status(vm);
            for (const auto &target : status["targets"]) {
                if (target["id"] == drainingEngine) {
                    return target["condition"] == "leaving";
                }
            }
            return false;
        }));
        for (int i = 0; i < 10; ++i) {
            const auto answer = fleet.complete(vm, Fleet::makePrompt(1000), 1);
            const auto id = answer.headers.at("Request-Id");
            nlohmann::json decision;
            BOOST_REQUIRE(eventually([&] {
                decision = support::call(fleet.adminAddress(vm), "GET", "/explain/" + id).json();
                return decision.contains("attempts");
            }));
            BOOST_TEST(decision["attempts"].size() == 1);
            BOOST_TEST(decision["attempts"][0]["chosen"][0] != drainingEngine);
        }
    }
    BOOST_TEST(running.wait().text() == Fleet::expectedAnswer(prompt, LongAnswerTokens));
}

BOOST_AUTO_TEST_CASE(a_graceful_shutdown_interrupts_no_request)
{
    Fleet fleet;
    const auto prompt = Fleet::makePrompt(1000);
    BackgroundCompletion running(fleet, "domain-a-1", prompt, 4 * LongAnswerTokens);
    BOOST_REQUIRE(eventually([&] { return fleet.metric("domain-a-1", "tokens_relayed_total") > 5; }));
    fleet.process("domain-a-1").signal(SIGTERM);
    BOOST_TEST(
        eventually([&] { return support::call(fleet.adminAddress("domain-a-1"), "GET", "/ready").status == 503; }));
    BOOST_TEST(running.wait().text() == Fleet::expectedAnswer(prompt, 4 * LongAnswerTokens));
    BOOST_TEST(fleet.process("domain-a-1").wait() == 0);
    BOOST_TEST(fleet.complete("domain-a-2", prompt, 3).text() == Fleet::expectedAnswer(prompt, 3));
}

BOOST_AUTO_TEST_CASE(a_prompt_larger_than_two_engines_runs_on_an_engine_group)
{
    FleetOptions options;
    options.enginesPerDomain = 4;
    options.engineTokens = 20'000;
    options.longThresholdTokens = 8'000;
    Fleet fleet(options);
    const auto prompt = Fleet::makePrompt(50'000);
    const auto answer = fleet.complete("domain-a-1", prompt, 30);
    BOOST_TEST(answer.text() == Fleet::expectedAnswer(prompt, 30));
    const auto id = answer.headers.at("Request-Id");
    nlohmann::json decision;
    BOOST_REQUIRE(eventually([&] {
        decision = support::call(fleet.adminAddress("domain-a-1"), "GET", "/explain/" + id).json();
        return decision.contains("attempts");
    }));
    BOOST_TEST(decision["attempts"][0]["chosen"].size() == 3);
    BOOST_TEST(eventually([&] { return allMemoryFree(fleet); }));
    const auto tooLong = fleet.complete("domain-a-1", Fleet::makePrompt(90'000), 30);
    BOOST_TEST(tooLong.errorCode() == "prompt_too_long");
}

BOOST_AUTO_TEST_CASE(memory_is_released_when_the_daemon_that_reserved_it_is_killed)
{
    FleetOptions options;
    options.enginesPerDomain = 3;
    options.engineTokens = 20'000;
    options.longThresholdTokens = 8'000;
    Fleet fleet(options);
    BackgroundCompletion running(fleet, "domain-a-1", Fleet::makePrompt(45'000), 9'000);
    BOOST_REQUIRE(eventually([&] { return fleet.metric("domain-a-1", "groups_held") == 1; }));
    BOOST_TEST(!allMemoryFree(fleet));
    fleet.process("domain-a-1").kill();
    BOOST_TEST(running.wait().isIncomplete);
    BOOST_TEST(eventually([&] { return allMemoryFree(fleet); }));
    const auto prompt = Fleet::makePrompt(45'000, "second");
    BOOST_TEST(fleet.complete("domain-a-2", prompt, 5).text() == Fleet::expectedAnswer(prompt, 5));
}

BOOST_AUTO_TEST_CASE(an_engine_stops_when_the_caller_disconnects)
{
    Fleet fleet;
    const auto address = fleet.callerAddress("domain-a-1");
    const nlohmann::json body{{"model", "model"}, {"stream", true}, {"max_tokens", 100'000}, {"prompt", "hello"}};
    const auto colon = address.find(':');
    httplib::Client client(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = body.dump();
    request.set_header("Authorization", std::string("Bearer ") + Fleet::ApiKey);
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
    const auto prompt = Fleet::makePrompt(1000);
    BOOST_TEST(fleet.complete("domain-a-1", prompt, 5).text() == Fleet::expectedAnswer(prompt, 5));
    // A daemon that starts during the outage gets the configuration from its peers once they contact it.
    const auto peer = fleet.process("domain-a-1").address("peers");
    const auto settings = fleet.writeSettings("domain-a-3", "domain-a", {{"seeds", {peer}}});
    fleet.startProgram("domain-a-3", "spurlugd", {"--settings", settings});
    BOOST_TEST(eventually([&] { return fleet.status("domain-a-3")["state"] == "serving"; }));
    BOOST_TEST(fleet.complete("domain-a-3", prompt, 5).text() == Fleet::expectedAnswer(prompt, 5));
    fleet.setPlatformFaults({{"down", false}});
    fleet.configuration()["classes"][0]["priority"] = 7;
    const auto [code, output] = fleet.applyConfiguration();
    BOOST_TEST(code == 0, output);
    BOOST_TEST(eventually([&] { return fleet.status("domain-a-3")["generation"] == 2; }));
}

BOOST_AUTO_TEST_CASE(a_change_whose_answer_is_lost_is_verified)
{
    Fleet fleet;
    fleet.configuration()["classes"][0]["priority"] = 3;
    fleet.setPlatformFaults({{"loseAnswers", 3}});
    const auto [code, output] = fleet.applyConfiguration();
    BOOST_TEST(code == 0, output);
    BOOST_TEST(output.find("generation 2 is stored") != std::string::npos, output);
    for (const auto &vm : fleet.daemons()) {
        BOOST_TEST(fleet.status(vm)["generation"] == 2);
    }
}

BOOST_AUTO_TEST_CASE(an_invalid_change_is_rejected_with_all_errors_and_not_applied)
{
    Fleet fleet;
    auto originalConfiguration = fleet.configuration();
    fleet.configuration()["pools"][0].erase("model");
    fleet.configuration()["classes"][0]["defaultDeadlineMs"] = -1;
    const auto [code, output] = fleet.applyConfiguration(false);
    BOOST_TEST(code == 2);
    BOOST_TEST(output.find("/pools/0/model") != std::string::npos, output);
    BOOST_TEST(output.find("/classes/0/defaultDeadlineMs") != std::string::npos, output);
    BOOST_TEST(fleet.status("domain-a-1")["generation"] == 1);
}

BOOST_AUTO_TEST_CASE(a_suspended_daemon_detects_its_pause)
{
    Fleet fleet;
    fleet.process("domain-a-2").signal(SIGSTOP);
    BOOST_TEST(eventually([&] { return fleet.status("domain-a-1")["peers"].empty(); }));
    fleet.process("domain-a-2").signal(SIGCONT);
    BOOST_TEST(eventually([&] { return fleet.metric("domain-a-2", "pauses_noticed_total") >= 1; }));
    BOOST_TEST(eventually([&] { return fleet.status("domain-a-1")["peers"].size() == 1; }));
    const auto prompt = Fleet::makePrompt(1000);
    BOOST_TEST(fleet.complete("domain-a-2", prompt, 5).text() == Fleet::expectedAnswer(prompt, 5));
}

BOOST_AUTO_TEST_SUITE_END()
