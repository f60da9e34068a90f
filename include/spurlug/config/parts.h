//----------------------------------------------------------------------------------------------------------------------
// spurlug: splits a configuration into content-addressed parts and one root
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

/// \brief Name of the object that lists the active parts.
inline constexpr std::string_view RootObjectName = "config/root";

/// \brief Number of shards that organisations are distributed over.
inline constexpr int OrganisationShardCount = 64;

/// \brief Content of the root object.
struct Root
{
    std::int64_t generation = 0;
    std::string changeId; ///< Chosen by the author, to find out the result of a change whose answer was lost.
    std::string author;
    std::map<std::string, std::string> parts; ///< Part name to SHA-256 of its text.
    std::vector<std::string> history; ///< Change ids of the latest generations, newest first, including this one.
};

/// \brief Maximum number of change ids in the history of a root.
inline constexpr std::size_t MaxHistoryLength = 32;

/// \brief Creates the root of the generation after `current`.
[[nodiscard]] Root makeNextRoot(const Root &current, const std::string &changeId, const std::string &author,
                                const std::map<std::string, std::string> &parts);

/// \brief Texts of a configuration's parts by their SHA-256.
using PartTexts = std::map<std::string, std::string>;

/// \brief A configuration that is split into parts, ready to be stored.
struct SplitConfiguration
{
    std::map<std::string, std::string> parts; ///< Part name to SHA-256.
    PartTexts texts;
};

/// \brief Object name of a part.
[[nodiscard]] std::string partObjectName(std::string_view hash);

/// \brief Splits a document into parts: one each for pools, services and classes, and up to 64 for organisations.
[[nodiscard]] SplitConfiguration splitDocument(const nlohmann::json &document);

/// \brief Joins the parts of a document.
/// \throws InvalidDocument when a part is missing, does not match its hash or is not JSON.
[[nodiscard]] nlohmann::json joinDocument(const Root &root, const PartTexts &texts);

/// \brief Serialises a root.
[[nodiscard]] std::string serialiseRoot(const Root &root);

/// \brief Parses a root.
/// \throws InvalidDocument when the text is not a valid root.
[[nodiscard]] Root parseRoot(std::string_view text);

} // namespace spurlug::config
