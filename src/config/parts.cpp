//----------------------------------------------------------------------------------------------------------------------
// spurlug: splits a configuration into content-addressed parts and one root
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/config/parts.h"

#include "spurlug/core/error.h"
#include "spurlug/core/hash.h"
#include "spurlug/core/json_document.h"
#include "spurlug/core/text.h"

#include <absl/strings/str_format.h>
#include <algorithm>

namespace spurlug::config
{

namespace
{

constexpr std::string_view OrganisationPartPrefix = "organisations-";

void addPart(SplitConfiguration &split, const std::string &name, const nlohmann::json &value)
{
    auto text = value.dump();
    auto hash = core::sha256Hex(text);
    split.parts[name] = hash;
    split.texts[hash] = std::move(text);
}

std::map<std::string, nlohmann::json> shardOrganisations(const nlohmann::json &organisations)
{
    std::map<std::string, nlohmann::json> shards;
    for (const auto &organisation : organisations) {
        const auto shard = core::fastHash(organisation.value("name", "")) % OrganisationShardCount;
        shards[absl::StrFormat("organisations-%02d", shard)].push_back(organisation);
    }
    return shards;
}

nlohmann::json parsePart(const std::string &name, const std::string &hash, const PartTexts &texts)
{
    const auto found = texts.find(hash);
    if (found == texts.end()) {
        throw core::InvalidDocument(core::cat("part ", name, " is missing"));
    }
    if (core::sha256Hex(found->second) != hash) {
        throw core::InvalidDocument(core::cat("part ", name, " does not match its hash"));
    }
    auto value = core::parseJson(found->second);
    if (value.is_discarded()) {
        throw core::InvalidDocument(core::cat("part ", name, " is not JSON"));
    }
    return value;
}

} // namespace

std::string partObjectName(std::string_view hash)
{
    return core::cat("config/parts/", hash);
}

SplitConfiguration splitDocument(const nlohmann::json &document)
{
    SplitConfiguration split;
    for (const auto &[key, value] : document.items()) {
        if (key != "organisations") {
            addPart(split, key, value);
        }
    }
    const auto organisations = document.value("organisations", nlohmann::json::array());
    for (const auto &[name, shard] : shardOrganisations(organisations)) {
        addPart(split, name, shard);
    }
    return split;
}

nlohmann::json joinDocument(const Root &root, const PartTexts &texts)
{
    nlohmann::json document = nlohmann::json::object();
    document["organisations"] = nlohmann::json::array();
    for (const auto &[name, hash] : root.parts) {
        auto value = parsePart(name, hash, texts);
        if (!name.starts_with(OrganisationPartPrefix)) {
            document[name] = std::move(value);
            continue;
        }
        for (auto &organisation : value) {
            document["organisations"].push_back(std::move(organisation));
        }
    }
    return document;
}

Root makeNextRoot(const Root &current, const std::string &changeId, const std::string &author,
                  const std::map<std::string, std::string> &parts)
{
    Root next{current.generation + 1, changeId, author, parts, {changeId}};
    next.history.insert(next.history.end(), current.history.begin(), current.history.end());
    next.history.resize(std::min(next.history.size(), MaxHistoryLength));
    return next;
}

std::string serialiseRoot(const Root &root)
{
    return nlohmann::json{{"generation", root.generation},
                          {"changeId", root.changeId},
                          {"author", root.author},
                          {"parts", root.parts},
                          {"history", root.history}}
        .dump();
}

Root parseRoot(std::string_view text)
{
    try {
        const auto value = core::parseJson(text);
        if (value.is_discarded()) {
            throw core::InvalidDocument("root: not JSON");
        }
        Root root;
        value.at("generation").get_to(root.generation);
        value.at("changeId").get_to(root.changeId);
        value.at("author").get_to(root.author);
        value.at("parts").get_to(root.parts);
        value.at("history").get_to(root.history);
        return root;
    } catch (const nlohmann::json::exception &error) {
        throw core::InvalidDocument(core::cat("root: ", error.what()));
    }
}

} // namespace spurlug::config
