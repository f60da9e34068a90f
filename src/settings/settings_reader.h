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

#include <cstdint>
#include <fstream>
#include <iterator>
#include <string>
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

inline core::LogLevel readLogLevel(core::ObjectReader &reader)
{
    const auto level = core::enumFromName<core::LogLevel>(reader.string("logLevel", "info"));
    if (!level) {
        reader.addFault("logLevel", "debug, info, warning or error");
    }
    return level.value_or(core::LogLevel::Info);
}

/// \brief Reads a file with `read` and reports all errors that were recorded.
/// \throws InvalidDocument with one line per error: file, JSON pointer and what was expected.
template<typename Settings, typename Read>
Settings loadChecked(const std::string &path, Read read)
{
    std::ifstream file(path);
    if (!file) {
        throw core::InvalidDocument(core::cat(path, ": : expected a readable file"));
    }
    const auto document = core::parseJson(std::string(std::istreambuf_iterator<char>(file), {}));
    if (document.is_discarded()) {
        throw core::InvalidDocument(core::cat(path, ": : expected a JSON document"));
    }
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
