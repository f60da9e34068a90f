//----------------------------------------------------------------------------------------------------------------------
// spurlug: integration tests of the callers' API with real processes
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "fleet.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using support::Answer;
using support::eventually;
using support::Fleet;

namespace
{

/// Fleet that is shared by the tests that do not change it.
Fleet &sharedFleet()
{
    static Fleet fleet;
    return fleet;
}

Answer post(Fleet &fleet, const std::string &path, const std::string &body, const std::string &key = Fleet::ApiKey)
{
    return support::call(fleet.callerAddress("domain-a-1"), "POST", path, body, {{"Authorization", "Bearer " + key}});
}

} // namespace

BOOST_AUTO_TEST_SUITE(callers)

BOOST_AUTO_TEST_CASE(a_stream_is_complete_and_reports_usage)
{
    auto &fleet = sharedFleet();
    const auto prompt = Fleet::makePrompt(1000);
    const nlohmann::json body{{"model", "model"},
                              {"stream", true},
                              {"stream_options", {{"include_usage", true}}},
                              {"max_tokens", 20},
                              {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    const auto answer = post(fleet, "/v1/chat/completions", body.dump());
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.text() == Fleet::expectedAnswer(prompt, 20));
    BOOST_TEST(answer.streamEnded());
    BOOST_TEST(answer.outcome() == "completed");
    BOOST_TEST(answer.body.find("\"prompt_tokens\":1000") != std::string::npos);
    BOOST_TEST(answer.headers.contains("Request-Id"));
}

BOOST_AUTO_TEST_CASE(a_non_streamed_answer_has_the_fields_that_clients_read)
{
    auto &fleet = sharedFleet();
    const auto prompt = Fleet::makePrompt(1000);
    const auto answer = fleet.complete("domain-a-2", prompt, 20, false);
    BOOST_TEST(answer.status == 200);
    const auto value = answer.json();
    BOOST_TEST(value["object"] == "chat.completion");
    BOOST_TEST(value["choices"][0]["message"]["content"] == Fleet::expectedAnswer(prompt, 20));
    BOOST_TEST(value["usage"]["completion_tokens"] == 20);
    const auto text = post(fleet, "/v1/completions", R"({"model":"model","prompt":"hello","max_tokens":3})").json();
    BOOST_TEST(text["object"] == "text_completion");
    BOOST_TEST(text["choices"][0]["text"] == Fleet::expectedAnswer("hello", 3));
}

BOOST_AUTO_TEST_CASE(models_are_listed)
{
    auto &fleet = sharedFleet();
    const auto answer = support::call(fleet.callerAddress("domain-a-1"), "GET", "/v1/models", "",
                                      {{"Authorization", std::string("Bearer ") + Fleet::ApiKey}});
    BOOST_TEST(answer.json()["data"][0]["id"] == "model");
}

BOOST_AUTO_TEST_CASE(refusals_have_an_error_code_and_report_not_run)
{
    auto &fleet = sharedFleet();
    const std::string body = R"({"model":"model","prompt":"x"})";
    const auto before = fleet.metric("domain-a-1", "attempts_started_total");
    struct Case
    {
        std::string body;
        std::string key;
        int status;
        std::string code;
    };
    const std::vector<Case> cases{{body, "tester.wrong", 401, "unknown_key"},
                                  {body, "nobody.secret", 401, "unknown_key"},
                                  {R"({"model":"other","prompt":"x"})", Fleet::ApiKey, 404, "unknown_model"},
                                  {"{", Fleet::ApiKey, 400, "malformed_body"},
                                  {std::string(17U << 20, ' '), Fleet::ApiKey, 413, "body_too_large"}};
    for (const auto &item : cases) {
        const auto answer = post(fleet, "/v1/chat/completions", item.body, item.key);
        BOOST_TEST(answer.errorCode() == item.code);
        BOOST_TEST(answer.outcome() == "not_run");
        BOOST_TEST(answer.status == item.status);
    }
    const auto keyless = support::call(fleet.callerAddress("domain-a-1"), "POST", "/v1/chat/completions", body);
    BOOST_TEST(keyless.status == 401);
    BOOST_TEST(keyless.errorCode() == "missing_key");
    const auto unknownPath = support::call(fleet.callerAddress("domain-a-1"), "GET", "/nowhere");
    BOOST_TEST(unknownPath.status == 404);
    BOOST_TEST(unknownPath.errorCode() == "unknown_path");
    const auto longHeader = support::call(fleet.callerAddress("domain-a-1"), "GET", "/v1/models", "",
                                          {{"Filler", std::string(20'000, 'x')}});
    BOOST_TEST(longHeader.status == 400);
    BOOST_TEST(longHeader.errorCode() == "malformed_request");
    BOOST_TEST(fleet.metric("domain-a-1", "attempts_started_total") == before);
    BOOST_TEST(fleet.metric("domain-a-1", "refusals_total{reason=\"unknown_key\"}") >= 2);
}

BOOST_AUTO_TEST_CASE(requests_to_a_plain_service_are_passed_through)
{
    auto &fleet = sharedFleet();
    const std::map<std::string, std::string> headers{{"Authorization", std::string("Bearer ") + Fleet::ApiKey},
                                                     {"Work-Id", "w1"}};
    const auto answer
        = support::call(fleet.callerAddress("domain-a-1"), "PUT", "/services/service/seats/4?hold=1", "body", headers);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.headers.at("Service") == "standin");
    BOOST_TEST(answer.json()["method"] == "PUT");
    BOOST_TEST(answer.json()["path"] == "/seats/4?hold=1");
    BOOST_TEST(answer.json()["body"] == "body");
    const auto teapot
        = support::call(fleet.callerAddress("domain-a-1"), "GET", "/services/service/teapot", "", headers);
    BOOST_TEST(teapot.status == 418);
    BOOST_TEST(teapot.body == "short and stout");
}

BOOST_AUTO_TEST_CASE(a_decision_is_explained_by_any_daemon)
{
    auto &fleet = sharedFleet();
    const auto answer = fleet.complete("domain-a-1", Fleet::makePrompt(1000), 2);
    const auto id = answer.headers.at("Request-Id");
    nlohmann::json decision;
    BOOST_TEST(eventually([&] {
        decision = support::call(fleet.adminAddress("domain-a-2"), "GET", "/explain/" + id).json();
        return decision.contains("attempts");
    }));
    BOOST_TEST(decision["outcome"] == "completed");
    BOOST_TEST(decision["attempts"][0]["candidates"].size() == 2);
}

BOOST_AUTO_TEST_CASE(an_expired_deadline_is_reported_immediately)
{
    auto &fleet = sharedFleet();
    const auto answer
        = fleet.complete("domain-a-1", Fleet::makePrompt(2000), 100'000, true, {{"Spurlug-Deadline-Ms", "400"}});
    BOOST_TEST(answer.errorCode() == "deadline_passed");
    BOOST_TEST(!answer.streamEnded());
    BOOST_TEST(eventually([&] {
        return fleet.engineState("domain-a-engine-1")["streams"] == 0
            && fleet.engineState("domain-a-engine-2")["streams"] == 0;
    }));
}

BOOST_AUTO_TEST_CASE(a_request_that_cannot_meet_its_deadline_is_refused_immediately)
{
    auto &fleet = sharedFleet();
    // An engine of this fleet prefills the prompt in 2.8 ms.
    const auto answer = fleet.complete("domain-a-1", Fleet::makePrompt(7000), 5, true, {{"Spurlug-Deadline-Ms", "1"}});
    BOOST_TEST(answer.errorCode() == "deadline_too_short");
    BOOST_TEST(answer.outcome() == "not_run");
    BOOST_TEST(answer.headers.contains("Retry-After"));
}

BOOST_AUTO_TEST_CASE(the_admin_api_responds_while_all_caller_connections_are_in_use)
{
    support::FleetOptions options;
    options.daemonsPerDomain = 1;
    options.extraDaemonSettings = {{"limits", {{"connections", 2}}}};
    Fleet fleet(options);
    std::vector<std::thread> callers;
    for (int i = 0; i < 2; ++i) {
        callers.emplace_back(
            [&fleet] { static_cast<void>(fleet.complete("domain-a-1", Fleet::makePrompt(1000), 2000)); });
    }
    BOOST_TEST(eventually([&] { return fleet.metric("domain-a-1", "requests_in_progress") == 2; }));
    const auto refused = fleet.complete("domain-a-1", Fleet::makePrompt(1000), 2);
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.errorCode() == "overloaded");
    BOOST_TEST(refused.headers.at("Retry-After") == "1");
    for (auto &caller : callers) {
        caller.join();
    }
}

BOOST_AUTO_TEST_SUITE_END()
