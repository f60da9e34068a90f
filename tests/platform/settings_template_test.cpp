//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the settings template that the platform fills in
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
//
// On deployments without evacuations no daemon started: "evacuateMs: expected an integer from 1". The template wrote 0
// for the missing bound. The tests load the settings that the template generates.
//
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/error.h"
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
            {"seeds", "\"10.1.0.40:8229\", \"10.2.0.29:8229\""}, // Entries of the list.
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

/// Returns a JSON value as the template's placeholders give it without "|json".
std::string plainText(const std::string &value)
{
    return value.starts_with('"') ? value.substr(1, value.size() - 2) : value;
}

/// Expands what the template uses: fields, as JSON or as plain text, sections that depend on whether their field is
/// given, and the lists of failure domains and of seeds. Fields without a value give nothing.
std::string expandTemplate(std::string text, const std::map<std::string, std::string> &values)
{
    const std::regex section("\\{\\{#((?!zones|seeds)[^}]*)\\}\\}([^#]*)\\{\\{/\\1\\}\\}");
    for (std::smatch found; std::regex_search(text, found, section);) {
        text = found.prefix().str() + (values.contains(found[1]) ? found[2].str() : "") + found.suffix().str();
    }
    const std::regex domains("\\{\\{#zones\\}\\}\"\\{\\{@\\}\\}\"\\{\\{,\\}\\}\\{\\{/zones\\}\\}");
    text = std::regex_replace(text, domains, "\"hall-a\", \"hall-b\"");
    const std::regex seeds("\\{\\{#seeds\\}\\}\"\\{\\{\\.\\}\\}\"\\{\\{,\\}\\}\\{\\{/seeds\\}\\}");
    text = std::regex_replace(text, seeds, values.contains("seeds") ? values.at("seeds") : "");
    text = std::regex_replace(text, std::regex("\\{\\{ip\\}\\}"), "10.1.0.40");
    text = std::regex_replace(text, std::regex("\\{\\{internal_ports.0\\}\\}"), "7340");
    const std::regex field("\\{\\{([a-z_.]+)(\\|json)?\\}\\}");
    for (std::smatch found; std::regex_search(text, found, field);) {
        const auto value = values.find(found[1]);
        const auto json = value == values.end() ? std::string() : value->second;
        text = found.prefix().str() + (found[2].matched ? json : plainText(json)) + found.suffix().str();
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

// Guards against a bound of zero that is limited to 1 ms, which would turn evacuations on.
BOOST_AUTO_TEST_CASE(a_bound_of_zero_counts_as_missing)
{
    auto values = exampleFields();
    values["bounds.evacuate_ms"] = "0";
    values["heartbeat_ms"] = "0";
    const auto bounds = loadExpanded(values).bounds;
    BOOST_TEST((bounds.evacuate == absl::ZeroDuration()));
    BOOST_TEST((bounds.targetHeartbeat == settings::RelayBounds().targetHeartbeat));
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

// Guards against a fraction of a second that made the settings invalid, so that no daemon started.
BOOST_AUTO_TEST_CASE(durations_in_seconds_may_be_fractions)
{
    auto values = exampleFields();
    values["bounds.grace_s"] = "8.0";
    values["bounds.budget_window_s"] = "7.5";
    values["bounds.drain_ms"] = "2000.0";
    values["limits.memory_mb"] = "112.5";
    const auto settings = loadExpanded(values);
    BOOST_TEST((settings.bounds.grace == absl::Seconds(8)));
    BOOST_TEST((settings.bounds.retryWindow == absl::Milliseconds(7500)));
    BOOST_TEST((settings.bounds.drain == absl::Seconds(2)));
    BOOST_TEST(settings.memory == 225 << 19U);
}

// Guards against a field without a value that made the settings invalid, so that no daemon started.
BOOST_AUTO_TEST_CASE(each_bound_and_limit_may_be_absent)
{
    const settings::RelaySettings defaults;
    auto none = exampleFields();
    for (const auto &[name, value] : exampleFields()) {
        if (name.starts_with("bounds.") || name.starts_with("limits.") || name == "seeds") {
            auto values = exampleFields();
            values.erase(name);
            none.erase(name);
            BOOST_TEST_CONTEXT(name)
            {
                BOOST_CHECK_NO_THROW(static_cast<void>(loadExpanded(values)));
            }
        }
    }
    const auto settings = loadExpanded(none);
    BOOST_TEST((settings.bounds.grace == defaults.bounds.grace));
    BOOST_TEST(settings.bounds.retryRatio == defaults.bounds.retryRatio);
    BOOST_TEST(settings.bounds.failClosed == defaults.bounds.failClosed);
    BOOST_TEST(settings.seeds.empty());
}

// Guards against a value that is false or zero and is taken for one that is absent.
BOOST_AUTO_TEST_CASE(false_and_zero_are_no_absent_values)
{
    auto values = exampleFields();
    values["bounds.fail_closed"] = "false";
    values["bounds.retry_budget"] = "0";
    values["bounds.budget_slack"] = "0.0";
    const auto settings = loadExpanded(values);
    BOOST_TEST(!settings.bounds.failClosed);
    BOOST_TEST(settings.bounds.retryRatio == 0);
    BOOST_TEST(settings.bounds.retrySlack == 0);
}

// Guards against a large number that made the settings invalid, so that no daemon started.
BOOST_AUTO_TEST_CASE(numbers_above_their_range_are_limited)
{
    auto values = exampleFields();
    values["bounds.max_hold_ms"] = "7200000";
    values["bounds.budget_slack"] = "1e9";
    const auto settings = loadExpanded(values);
    BOOST_TEST((settings.bounds.longestHold == absl::Hours(1)));
    BOOST_TEST(settings.bounds.retrySlack == 1e6);
}

BOOST_AUTO_TEST_CASE(wrong_values_are_refused)
{
    for (const auto &[name, value] : std::map<std::string, std::string>{{"bounds.grace_s", "-1"},
                                                                        {"bounds.drain_ms", "\"soon\""},
                                                                        {"bounds.fail_closed", "\"perhaps\""},
                                                                        {"listen.front", "\"nowhere\""},
                                                                        {"platform.address", "\"\""},
                                                                        {"node_name", "\"\""}}) {
        auto values = exampleFields();
        values[name] = value;
        BOOST_TEST_CONTEXT(name)
        {
            BOOST_CHECK_THROW(static_cast<void>(loadExpanded(values)), core::InvalidDocument);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
