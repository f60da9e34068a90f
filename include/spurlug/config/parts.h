//----------------------------------------------------------------------------------------------------------------------
// spurlug: a configuration cut into content-addressed parts and one root
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace spurlug::config
{

/// \brief Name of the one object that says which parts are in force.
inline constexpr std::string_view RootObject = "config/root";

/// \brief Number of shards that organisations are spread over.
inline constexpr int OrganisationShards = 64;

/// \brief What the root object holds.
struct Root
{
    std::int64_t generation = 0;
    std::string changeId; ///< Chosen by the author, so that a lost answer can be looked up.
    std::string author;
    std::map<std::string, std::string> parts; ///< Part name to SHA-256 of its text.
    std::vector<std::string> history; ///< Change ids of the latest generations, newest first, this one included.
};

/// \brief Number of change ids that a root remembers.
inline constexpr std::size_t HistoryLength = 32;

/// \brief The root that follows `current`.
[[nodiscard]] Root nextRoot(const Root &current, const std::string &changeId, const std::string &author,
                            const std::map<std::string, std::string> &parts);

/// \brief The texts of a configuration's parts, by SHA-256.
using PartTexts = std::map<std::string, std::string>;

/// \brief A configuration ready to be stored.
struct Split
{
    std::map<std::string, std::string> parts; ///< Part name to SHA-256.
    PartTexts texts;
};

/// \brief Object name of a part.
[[nodiscard]] std::string partObject(std::string_view hash);

/// \brief Cuts a document into parts: one each for pools, services and classes, and 64 for organisations.
[[nodiscard]] Split splitDocument(const nlohmann::json &document);

/// \brief Puts a document together again.
/// \throws InvalidDocument when a part is missing, does not match its hash or is no JSON.
[[nodiscard]] nlohmann::json joinDocument(const Root &root, const PartTexts &texts);

[[nodiscard]] std::string writeRoot(const Root &root);

/// \throws InvalidDocument when the text is no root.
[[nodiscard]] Root readRoot(std::string_view text);

} // namespace spurlug::config
