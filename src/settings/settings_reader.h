//----------------------------------------------------------------------------------------------------------------------
// spurlug: helpers for reading settings files
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/error.h"
#include "spurlug/core/json_document.h"
#include "spurlug/core/json_reader.h"
#include "spurlug/core/log.h"
#include "spurlug/core/text.h"
#include "spurlug/core/time.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <cstdint>
#include <fstream>
#include <ios>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace spurlug::settings
{

inline constexpr std::int64_t MaxMs = 3'600'000;
inline constexpr std::int64_t MaxEntries = 1'000'000;

/// \brief Reads a required address and records an error if it is missing or malformed.
inline core::Address readAddress(core::ObjectReader &reader, const std::string &key)
{
    const auto text = reader.string(key);
    if (text.empty()) {
        return {};
    }
    try {
        return core::parseAddress(text);
    } catch (const core::InvalidDocument &) {
        reader.addFault(key, "HOST:PORT");
        return {};
    }
}

/// \brief Reads an optional array of addresses.
inline std::vector<core::Address> readAddresses(core::ObjectReader &reader, const std::string &key)
{
    std::vector<core::Address> all;
    for (const auto &text : reader.strings(key)) {
        try {
            all.push_back(core::parseAddress(text));
        } catch (const core::InvalidDocument &) {
            reader.addFault(key, "an array of HOST:PORT");
        }
    }
    return all;
}

/// \brief Reads an optional number of milliseconds.
inline core::Duration readMs(core::ObjectReader &reader, const std::string &key, core::Duration fallback)
{
    return core::fromMs(reader.integer(key, 1, MaxMs, core::toMs(fallback)));
}

/// \brief Reads an optional number and limits it to a range. A value outside the range is logged; a negative one is an
/// error. Zero counts as missing where it is below the range.
inline double readLimited(core::ObjectReader &reader, const std::string &key, double min, double max, double fallback)
{
    constexpr double Missing = -1;
    const auto value = reader.number(key, 0, std::numeric_limits<double>::max(), Missing);
    if (value == Missing || (value == 0 && min > 0)) {
        return fallback;
    }
    const auto limited = std::clamp(value, min, max);
    if (limited != value) {
        core::log(core::LogLevel::Warning, "setting_limited",
                  {{"setting", core::cat(reader.pointer(), "/", key)}, {"given", value}, {"used", limited}});
    }
    return limited;
}

/// \brief Reads an optional duration, which may be a fraction: `name` with the suffix "Ms", or "Seconds".
inline core::Duration readDuration(core::ObjectReader &reader, const std::string &name, core::Duration fallback)
{
    constexpr double MsPerSecond = 1000;
    const auto fallbackMs = absl::ToDoubleMilliseconds(fallback);
    const auto ms = readLimited(reader, name + "Ms", 1, MaxMs, fallbackMs);
    const auto seconds = readLimited(reader, name + "Seconds", 1 / MsPerSecond, MaxMs / MsPerSecond, ms / MsPerSecond);
    return absl::Milliseconds(seconds * MsPerSecond);
}

/// \brief Removes the members of an object that are null or an empty string. Deployment tools write them for fields that
/// have no value.
inline void removeEmptyMembers(nlohmann::json &object)
{
    for (auto member = object.begin(); object.is_object() && member != object.end();) {
        const bool isEmpty = member->is_null() || *member == "";
        member = isEmpty ? object.erase(member) : std::next(member);
    }
}

/// \brief Replaces a string that contains a number, true or false by that value, in any case of the letters.
inline void parseText(nlohmann::json &value)
{
    if (value.is_string()) {
        auto parsed
            = nlohmann::json::parse(absl::AsciiStrToLower(value.get_ref<const std::string &>()), nullptr, false);
        if (parsed.is_number() || parsed.is_boolean()) {
            value = std::move(parsed);
        }
    }
}

inline core::LogLevel readLogLevel(core::ObjectReader &reader)
{
    const auto level = core::enumFromName<core::LogLevel>(reader.string("logLevel", "info"));
    if (!level) {
        reader.addFault("logLevel", "debug, info, warning or error");
    }
    return level.value_or(core::LogLevel::Info);
}

/// \brief Reads a file with `read` and reports all errors that were recorded.
/// \param prepare Changes the document before it is read.
/// \throws InvalidDocument with one line per error: file, JSON pointer and what was expected.
template<typename Settings, typename Read, typename Prepare>
Settings loadChecked(const std::string &path, Read read, Prepare prepare)
{
    std::ifstream file(path);
    const auto unreadable = core::cat(path, ": : expected a readable file");
    if (!file) {
        throw core::InvalidDocument(unreadable);
    }
    nlohmann::json document;
    try {
        document = core::parseJson(std::string(std::istreambuf_iterator<char>(file), {}));
    } catch (const std::ios_base::failure &) { // The file can be opened, but not read.
        throw core::InvalidDocument(unreadable);
    }
    if (document.is_discarded()) {
        throw core::InvalidDocument(core::cat(path, ": : expected a JSON document"));
    }
    prepare(document);
    std::vector<core::Fault> faults;
    core::ObjectReader reader(document, "", faults);
    auto settings = read(reader);
    std::string lines;
    for (const auto &fault : faults) {
        core::append(lines, lines.empty() ? "" : "\n", path, ": ", fault.pointer, ": expected ", fault.expected);
    }
    if (!lines.empty()) {
        throw core::InvalidDocument(lines);
    }
    return settings;
}

} // namespace spurlug::settings
