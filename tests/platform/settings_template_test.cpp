//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the settings template that the platform fills in
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// On deployments without evacuations no daemon started: "evacuateMs: expected an integer from 1". The template wrote 0
// for the missing bound. The tests load the settings that the template generates.
//
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/settings/relay_settings.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>
#include <string>

namespace
{

using namespace spurlug;

/// Returns the fields of the users' example and their values as JSON.
std::map<std::string, std::string> exampleFields()
{
    return {{"node_name", "\"front-1\""},
            {"zone", "\"hall-a\""},
            {"region", "\"coast\""},
            {"listen.front", "\"10.1.0.40:8227\""},
            {"listen.readiness", "\"10.1.0.40:8220\""},
            {"listen.control", "\"10.1.0.40:8229\""},
            {"platform.address", "\"10.200.1.7:8223\""},
            {"seeds", "[\"10.1.0.40:8229\"]"},
            {"limits.cpu_share", "0.25"},
            {"limits.memory_mb", "260"},
            {"bounds.drain_ms", "2000"},
            {"bounds.revoke_ms", "5000"},
            {"bounds.fail_closed", "true"},
            {"bounds.grace_s", "8"},
            {"bounds.retry_budget", "0.2"},
            {"bounds.budget_window_s", "10"},
            {"bounds.budget_slack", "100"},
            {"bounds.max_hold_ms", "20000"},
            {"bounds.free_ms", "4000"}};
}

std::string readTemplate()
{
    std::ifstream file("platform/settings.json.template");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Expands what the template uses: fields, sections that depend on whether their field is given, and the list of
/// failure domains.
std::string expandTemplate(std::string text, const std::map<std::string, std::string> &values)
{
    const std::regex section("\\{\\{#((?!zones)[^}]*)\\}\\}([^#]*)\\{\\{/\\1\\}\\}");
    for (std::smatch found; std::regex_search(text, found, section);) {
        text = found.prefix().str() + (values.contains(found[1]) ? found[2].str() : "") + found.suffix().str();
    }
    const std::regex domains("\\{\\{#zones\\}\\}.*\\{\\{/zones\\}\\}");
    text = std::regex_replace(text, domains, "\"hall-a\", \"hall-b\"");
    text = std::regex_replace(text, std::regex("\\{\\{ip\\}\\}"), "10.1.0.40");
    text = std::regex_replace(text, std::regex("\\{\\{internal_ports.0\\}\\}"), "7340");
    for (const auto &[name, value] : values) {
        text = std::regex_replace(text, std::regex("\\{\\{" + name + "\\|json\\}\\}"), value);
    }
    return text;
}

settings::RelaySettings loadExpanded(const std::map<std::string, std::string> &values)
{
    const auto path = std::filesystem::temp_directory_path() / "spurlug-settings-template-test.json";
    std::ofstream(path) << expandTemplate(readTemplate(), values);
    auto loaded = settings::loadRelaySettings(path.string());
    std::filesystem::remove(path);
    return loaded;
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings_template)

BOOST_AUTO_TEST_CASE(a_deployment_without_evacuations_gives_valid_settings)
{
    const auto settings = loadExpanded(exampleFields());
    BOOST_TEST((settings.bounds.evacuate == absl::ZeroDuration()));
    BOOST_TEST(settings.failureDomains.size() == 2U);
    BOOST_TEST((settings.bounds.freeAfter == absl::Milliseconds(4000)));
}

BOOST_AUTO_TEST_CASE(a_deployment_with_evacuations_sets_their_bound)
{
    auto values = exampleFields();
    values["bounds.evacuate_ms"] = "5000";
    BOOST_TEST((loadExpanded(values).bounds.evacuate == absl::Seconds(5)));
}

BOOST_AUTO_TEST_CASE(the_heartbeat_interval_of_targets_is_set_if_it_is_given)
{
    auto values = exampleFields();
    values["heartbeat_ms"] = "1500";
    BOOST_TEST((loadExpanded(values).bounds.targetHeartbeat == absl::Milliseconds(1500)));
}

BOOST_AUTO_TEST_SUITE_END()
