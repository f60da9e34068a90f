//----------------------------------------------------------------------------------------------------------------------
// spurlug: HTTP API for operators and their tools
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/daemon/admin_api.h"

#include "spurlug/core/error.h"
#include "spurlug/core/text.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace spurlug::daemon
{

namespace
{

constexpr int NotFound = 404;
constexpr int Unavailable = 503;
constexpr int Accepted = 202;
constexpr std::size_t MaxDecisions = 100;

constexpr auto JsonType = "application/json";

nlohmann::ordered_json targetStatus(const targets::TargetView &view)
{
    nlohmann::ordered_json out{{"id", view.id},
                               {"failureDomain", view.failureDomain},
                               {"condition", core::nameOf(view.report.condition)},
                               {"queuedTokens", view.report.queuedTokens},
                               {"streams", view.report.streams},
                               {"freeTokens", view.report.freeTokens},
                               {"ejected", view.ejected}};
    if (view.reportAge < absl::Hours(1)) {
        out["reportAgeMs"] = core::toMs(view.reportAge);
    }
    return out;
}

} // namespace

AdminApi::AdminApi(AdminApiComponents components)
    : m_components(std::move(components))
{ }

void AdminApi::configure(httplib::Server &server)
{
    server.Get("/healthz", [](const auto &, auto &response) { response.set_content("ok\n", "text/plain"); });
    server.Get("/ready", [this](const auto &, auto &response) {
        const auto state = m_components.fleet.state();
        response.status = state == membership::DaemonState::Serving ? 200 : Unavailable;
        response.set_content(std::string(core::nameOf(state)) + "\n", "text/plain");
    });
    server.Get("/metrics", [this](const auto &, auto &response) {
        m_components.updateGauges();
        response.set_content(m_components.metrics.prometheusText(), "text/plain; version=0.0.4");
    });
    server.Get("/status", [this](const auto &, auto &response) { response.set_content(status().dump(), JsonType); });
    server.Get(R"(/explain/(.+))", [this](const auto &request, auto &response) {
        const auto decision = m_components.finder.find(request.matches[1].str(), SearchScope::Fleet, core::now());
        response.status = decision ? 200 : NotFound;
        response.set_content(decision.value_or(R"({"error":"no such decision is kept"})"), JsonType);
    });
    server.Get("/decisions", [this](const auto &request, auto &response) {
        std::uint64_t after = 0;
        [[maybe_unused]] const bool given = core::parseInteger(request.get_param_value("after"), after);
        const auto [decisions, last] = m_components.decisions.decisionsAfter(after, MaxDecisions);
        auto list = nlohmann::ordered_json::array();
        for (const auto &decision : decisions) {
            list.push_back(explain::toJson(decision));
        }
        response.set_content(nlohmann::ordered_json{{"last", last}, {"decisions", std::move(list)}}.dump(), JsonType);
    });
    server.Post("/drain", [this](const auto &, auto &response) {
        m_components.startDrain();
        response.status = Accepted;
    });
}

nlohmann::ordered_json AdminApi::status() const
{
    const auto now = core::now();
    const auto configuration = m_components.store.current();
    nlohmann::ordered_json out{{"vm", m_components.identity.vm},
                               {"failureDomain", m_components.identity.failureDomain},
                               {"state", core::nameOf(m_components.fleet.state())},
                               {"generation", m_components.store.generation()},
                               {"refusedGeneration", m_components.store.refusedGeneration()},
                               {"refusal", m_components.store.refusal()}};
    out["peers"] = nlohmann::ordered_json::array();
    for (const auto &peer : m_components.fleet.alivePeers(now)) {
        out["peers"].push_back({{"vm", peer.report.vm},
                                {"failureDomain", peer.report.failureDomain},
                                {"state", core::nameOf(peer.report.state)},
                                {"generation", peer.report.generation},
                                {"refusedGeneration", peer.report.refusedGeneration},
                                {"heardMsAgo", core::toMs(now - peer.lastHeartbeatAt)}});
    }
    out["domains"] = nlohmann::ordered_json::array();
    for (const auto &domain : m_components.fleet.domainSummaries(now)) {
        out["domains"].push_back({{"failureDomain", domain.failureDomain},
                                  {"daemons", domain.daemonCount},
                                  {"lowestGeneration", domain.lowestGeneration},
                                  {"ageMs", core::toMs(domain.age)}});
    }
    out["targets"] = nlohmann::ordered_json::array();
    if (configuration) {
        for (const auto &pool : configuration->pools) {
            for (const auto &view : m_components.targets.views(pool.targets, now)) {
                out["targets"].push_back(targetStatus(view));
            }
        }
    }
    return out;
}

} // namespace spurlug::daemon
