//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the settings file and the configuration
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/config/configuration.h"
#include "spurlug/config/parts.h"
#include "spurlug/config/store.h"
#include "spurlug/core/error.h"
#include "spurlug/settings/settings.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace spurlug;

namespace
{

nlohmann::json validDocument()
{
    return nlohmann::json::parse(R"({
        "pools": [{"name": "p", "model": "m",
                   "targets": [{"id": "t1", "address": "127.0.0.1:1", "failureDomain": "a"}]}],
        "organisations": [{"name": "o", "keys": []}],
        "classes": [{"name": "c"}]})");
}

std::vector<core::Fault> faultsOf(const nlohmann::json &document)
{
    std::vector<core::Fault> faults;
    static_cast<void>(config::parseConfiguration(document, 1, faults));
    return faults;
}

struct StoredConfiguration
{
    std::string root;
    config::PartTexts texts;
};

StoredConfiguration storedConfiguration(const nlohmann::json &document, std::int64_t generation)
{
    auto split = config::splitDocument(document);
    config::Root root{generation, "change", "author", split.parts, {}};
    return {config::serialiseRoot(root), std::move(split.texts)};
}

std::string settingsFault(const std::string &text)
{
    auto path = (std::filesystem::temp_directory_path() / "spurlug-settings-XXXXXX").string();
    close(mkstemp(path.data()));
    std::ofstream(path) << text;
    try {
        static_cast<void>(settings::loadSettings(path));
    } catch (const core::InvalidDocument &error) {
        std::remove(path.c_str());
        return error.what();
    }
    std::remove(path.c_str());
    return {};
}

constexpr auto ValidSettings = R"("vm": "v", "failureDomain": "d", "region": "r", "callerAddress": "127.0.0.1:0",
    "adminAddress": "127.0.0.1:0", "peerAddress": "127.0.0.1:0", "rpcAddress": "127.0.0.1:0")";

} // namespace

BOOST_AUTO_TEST_SUITE(config_tests)

BOOST_AUTO_TEST_CASE(settings_errors_name_the_json_pointer)
{
    const std::string valid = ValidSettings;
    BOOST_TEST(settingsFault("{" + valid + "}") == "");
    BOOST_TEST(settingsFault("{" + valid + R"(, "limits": {"connections": 0}})").find("/limits/connections")
               != std::string::npos);
    BOOST_TEST(settingsFault("{" + valid + R"(, "colour": 1})").find("/colour") != std::string::npos);
    BOOST_TEST(settingsFault("{" + valid + R"(, "logLevel": "loud"})").find("/logLevel") != std::string::npos);
    BOOST_TEST(settingsFault("{").find("expected a JSON document") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(all_faults_of_a_document_are_listed)
{
    auto document = validDocument();
    BOOST_TEST(faultsOf(document).empty());
    document["pools"][0]["longShare"] = 2;
    document["classes"][0]["defaultDeadlineMs"] = 0;
    document["organisations"].push_back({{"name", "o"}});
    document["nonsense"] = 1;
    BOOST_TEST(faultsOf(document).size() == 4);
}

BOOST_AUTO_TEST_CASE(joined_parts_equal_the_split_document)
{
    auto document = validDocument();
    for (int i = 0; i < 500; ++i) {
        document["organisations"].push_back({{"name", "org" + std::to_string(i)}});
    }
    const auto split = config::splitDocument(document);
    const config::Root root{1, "c", "a", split.parts, {}};
    auto joined = config::joinDocument(config::parseRoot(config::serialiseRoot(root)), split.texts);
    const auto byName = [](const auto &left, const auto &right) { return left.at("name") < right.at("name"); };
    std::sort(joined["organisations"].begin(), joined["organisations"].end(), byName);
    std::sort(document["organisations"].begin(), document["organisations"].end(), byName);
    BOOST_TEST(joined == document);
}

BOOST_AUTO_TEST_CASE(a_change_of_one_organisation_changes_one_part)
{
    auto document = validDocument();
    for (int i = 0; i < 500; ++i) {
        document["organisations"].push_back({{"name", "org" + std::to_string(i)}});
    }
    const auto before = config::splitDocument(document);
    document["organisations"][77]["weight"] = 3;
    const auto after = config::splitDocument(document);
    std::size_t changed = 0;
    for (const auto &[name, hash] : after.parts) {
        changed += before.parts.at(name) != hash ? 1 : 0;
    }
    BOOST_TEST(changed == 1);
}

BOOST_AUTO_TEST_CASE(a_tampered_part_is_refused)
{
    auto parts = storedConfiguration(validDocument(), 1);
    parts.texts.begin()->second += " ";
    config::Store store([](const auto &) {});
    BOOST_TEST((store.offer(parts.root, parts.texts) == config::OfferResult::Refused));
    BOOST_TEST(store.generation() == 0);
    BOOST_TEST(store.refusedGeneration() == 1);
}

BOOST_AUTO_TEST_CASE(a_store_never_activates_an_older_generation)
{
    std::vector<std::int64_t> applied;
    config::Store store([&](const auto &configuration) { applied.push_back(configuration->generation); });
    for (const std::int64_t generation : {3, 2, 5, 5, 1, 4, 6}) {
        const auto parts = storedConfiguration(validDocument(), generation);
        store.offer(parts.root, parts.texts);
    }
    const std::vector<std::int64_t> expected{3, 5, 6};
    BOOST_TEST(applied == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_refused_generation_keeps_the_active_one)
{
    config::Store store([](const auto &) {});
    const auto valid = storedConfiguration(validDocument(), 1);
    store.offer(valid.root, valid.texts);
    auto document = validDocument();
    document["pools"][0].erase("model");
    const auto invalid = storedConfiguration(document, 2);
    BOOST_TEST((store.offer(invalid.root, invalid.texts) == config::OfferResult::Refused));
    BOOST_TEST(store.generation() == 1);
    BOOST_TEST(store.refusal().find("/pools/0/model") != std::string::npos);
    const auto corrected = storedConfiguration(validDocument(), 3);
    BOOST_TEST((store.offer(corrected.root, corrected.texts) == config::OfferResult::Applied));
}

BOOST_AUTO_TEST_CASE(a_key_finds_its_organisation_and_no_other)
{
    auto document = validDocument();
    document["organisations"][0]["keys"] = {{{"salt", "s"}, {"digest", config::keyDigest("s", "s.secret")}}};
    std::vector<core::Fault> faults;
    const auto configuration = config::parseConfiguration(document, 1, faults);
    BOOST_REQUIRE(configuration->organisationForKey("s.secret") != nullptr);
    BOOST_TEST(configuration->organisationForKey("s.secret")->name == "o");
    BOOST_TEST(configuration->organisationForKey("s.secreT") == nullptr);
    BOOST_TEST(configuration->organisationForKey("other.secret") == nullptr);
    BOOST_TEST(configuration->organisationForKey("") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
