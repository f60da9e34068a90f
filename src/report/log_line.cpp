//----------------------------------------------------------------------------------------------------------------------
// spurlug: parses a line of a daemon's structured log
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/report/log_line.h"

#include "spurlug/core/json_document.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <system_error>

namespace spurlug::report
{

std::optional<nlohmann::json> parseLogLine(std::string_view line)
{
    const auto begin = line.find('{');
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    auto object = core::parseJson(line.substr(begin));
    return object.is_object() ? std::optional(std::move(object)) : std::nullopt;
}

core::Time lineTime(const nlohmann::json &line)
{
    core::Time time = absl::InfinitePast();
    std::string error;
    const auto timeText = line.value("time", "");
    return absl::ParseTime(absl::RFC3339_full, timeText, &time, &error) ? time : absl::InfinitePast();
}

core::Time collectionTime(std::string_view line, const nlohmann::json &object)
{
    const auto begin = std::min(line.find_first_not_of(' '), line.size());
    double seconds = 0;
    const auto *end = line.data() + line.size();
    const bool hasTimestamp = std::from_chars(line.data() + begin, end, seconds).ec == std::errc();
    return hasTimestamp ? absl::UnixEpoch() + absl::Seconds(seconds) : lineTime(object);
}

} // namespace spurlug::report
